#include "Scheduling/customer_keys.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

#include "Common/constant_time.h"
#include "Common/log.h"
#include "absl/hash/hash.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace figflow {
namespace {

constexpr std::array<absl::string_view, 3> kFaultNames = {
    "missing", "malformed", "unknown"};
// A plan with many faulty customers must not fill the log.
constexpr size_t kMaxLoggedCustomers = 10;

size_t HashOf(absl::string_view key) {
  return absl::Hash<absl::string_view>()(key);
}

}  // namespace

absl::string_view KeyFaultName(KeyFault fault) {
  return kFaultNames[static_cast<size_t>(fault)];
}

tl::unexpected<Error> RefuseKey(KeyFault fault) {
  return Fail(ErrorCode::kPermissionDenied, "caller.key", "",
              std::string(KeyFaultName(fault)));
}

CustomerKeys::CustomerKeys(const std::vector<CustomerConfig>& customers) {
  for (const CustomerConfig& customer : customers) {
    for (const std::string& key : customer.keys) {
      if (key.empty() || customer.name.empty()) {
        ++faults_.unusable;
        faults_.customers.insert(customer.name);
        continue;
      }
      std::vector<Entry>& entries = entries_[HashOf(key)];
      const auto known =
          std::find_if(entries.begin(), entries.end(),
                       [&](const Entry& entry) { return entry.key == key; });
      if (known == entries.end()) {
        entries.push_back({key, customer.name});
        ++size_;
      } else if (known->customer != customer.name) {
        faults_.ambiguous += known->ambiguous ? 0 : 1;
        faults_.customers.insert({known->customer, customer.name});
        known->ambiguous = true;
      }
    }
  }
}

const std::string* CustomerKeys::Find(absl::string_view key) const {
  const auto entries = entries_.find(HashOf(key));
  if (entries == entries_.end()) {
    return nullptr;
  }
  const std::string* customer = nullptr;
  for (const Entry& entry : entries->second) {
    if (CredentialMatches(entry.key, key) && !entry.ambiguous) {
      customer = &entry.customer;
    }
  }
  return customer;
}

Result<std::string> FindCustomerByKey(const FleetPlan& plan,
                                      absl::string_view key) {
  const std::string* customer =
      plan.keys == nullptr ? nullptr : plan.keys->Find(key);
  if (customer == nullptr) {
    return RefuseKey(KeyFault::kUnknown);
  }
  return *customer;
}

void LogCustomerKeys(const FleetPlan& plan) {
  if (plan.keys == nullptr) {
    return;
  }
  const CustomerKeys::Faults& faults = plan.keys->faults();
  auto last = faults.customers.begin();
  std::advance(last, std::min(faults.customers.size(), kMaxLoggedCustomers));
  LogEvent(faults.any() ? LogLevel::kError : LogLevel::kInfo,
           LogCategory::kConfig,
           faults.any() ? "customer_keys_faulty" : "customer_keys_read",
           {{"plan_version", absl::StrCat(plan.version)},
            {"customers", absl::StrCat(plan.customers.size())},
            {"keys", absl::StrCat(plan.keys->size())},
            {"ambiguous", absl::StrCat(faults.ambiguous)},
            {"unusable", absl::StrCat(faults.unusable)},
            {"of", absl::StrJoin(faults.customers.begin(), last, ",")}});
}

}  // namespace figflow
