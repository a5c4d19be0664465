#ifndef SCHEDULING_CUSTOMER_KEYS_H_
#define SCHEDULING_CUSTOMER_KEYS_H_

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "Common/error.h"
#include "Scheduling/fleet_plan.h"
#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"

namespace figflow {

// Why a call that needs a key is refused as unauthorized.
enum class KeyFault {
  kMissing,
  // The key could not be read from the call.
  kMalformed,
  // No customer of the plan has the key.
  kUnknown,
};

// Stable lower-case name used in logs and metrics.
absl::string_view KeyFaultName(KeyFault fault);

// Returns the error of a call without a valid key: kPermissionDenied, with the
// name of the fault as its message.
tl::unexpected<Error> RefuseKey(KeyFault fault);

// The keys of a plan's customers. Built once for each plan and not changed
// afterwards; has at most one entry for each key that the plan lists.
class CustomerKeys {
 public:
  // What is wrong with the keys of the plan.
  struct Faults {
    // Keys that belong to nobody because several customers have them.
    size_t ambiguous = 0;
    // Keys that are empty, or of a customer without a name.
    size_t unusable = 0;
    // Customers with such keys.
    std::set<std::string> customers;

    bool any() const { return ambiguous + unusable > 0; }
  };

  explicit CustomerKeys(const std::vector<CustomerConfig>& customers);

  // Returns the name of the customer that has `key`, or null. Its duration does
  // not depend on how much of a key of the plan matches.
  const std::string* Find(absl::string_view key) const;
  const Faults& faults() const { return faults_; }
  // Returns the number of different keys, including ambiguous ones.
  size_t size() const { return size_; }

 private:
  struct Entry {
    std::string key;
    std::string customer;
    bool ambiguous = false;
  };

  // Keyed by the hash of the key, which differs between processes.
  absl::flat_hash_map<size_t, std::vector<Entry>> entries_;
  Faults faults_;
  size_t size_ = 0;
};

// Returns the name of the customer that has `key`. Error kPermissionDenied.
Result<std::string> FindCustomerByKey(const FleetPlan& plan,
                                      absl::string_view key);

// Logs how many keys the plan has and what is wrong with them.
void LogCustomerKeys(const FleetPlan& plan);

}  // namespace figflow

#endif  // SCHEDULING_CUSTOMER_KEYS_H_
