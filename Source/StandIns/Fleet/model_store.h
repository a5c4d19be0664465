#ifndef STANDINS_FLEET_MODEL_STORE_H_
#define STANDINS_FLEET_MODEL_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Platform/transactional_store.h"
#include "StandIns/Fleet/model_node.h"
#include "StandIns/Fleet/virtual_time.h"

namespace figflow::model {

struct StoreFaults {
  // No call is answered.
  bool silent = false;
  // Leases run out while the store is silent.
  bool lapse = false;
  std::chrono::milliseconds latency{4};
  // Share of the writes that are carried out without an answer, and whether
  // they are carried out 1 to 6 s later.
  double lost_share = 0;
  bool lost_late = false;
  // A write of a larger value is refused.
  size_t max_value_bytes = 1'048'576;
  // Lease renewals are refused.
  bool refuse_renewals = false;
};

// The platform's store in memory, as its contract says.
class ModelStore {
 public:
  ModelStore(VirtualTime& time, uint64_t seed);

  // The store as one daemon reaches it.
  std::unique_ptr<TransactionalStore> ViewOf(NodePtr node);

  // Writes of the platform and its operators.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // Forgets the history: waiting watches hear nothing of what came before.
  void ForgetHistory();
  // Loses the watches that wait, while their connections stay open.
  void SwallowWatches();
  // Takes away the keys that carry a lease of this daemon.
  void Revoke(const std::string& key);
  // Transactions that were refused since the start.
  uint64_t refused() const { return refused_; }
  // Writes that were carried out since the start.
  uint64_t commits() const { return commits_; }
  const StoreItem* Find(const std::string& key) const;

  StoreFaults faults;

 private:
  friend class StoreView;

  struct Lease {
    std::chrono::milliseconds ttl{0};
    MonoTime ends;
  };
  struct Waiter {
    std::string prefix;
    uint64_t after = 0;
    std::function<void(StoreChanges)> done;
    // No change up to this revision concerns the watch.
    uint64_t checked = 0;
  };

  void Write(const std::string& key, const std::string& value, LeaseId lease);
  TransactionResult Apply(const Transaction& transaction, bool* lease_missing);
  StoreChanges ChangesAfter(const std::string& prefix, uint64_t revision) const;
  void Notify();
  void ExpireLeases();
  void CheckLeases();

  VirtualTime& time_;
  std::mt19937_64 random_;
  uint64_t revision_ = 1;
  uint64_t commits_ = 0;
  uint64_t refused_ = 0;
  uint64_t forgotten_ = 0;
  LeaseId next_lease_ = 1;
  std::map<std::string, StoreItem> items_;
  std::multimap<uint64_t, StoreItem> history_;
  std::map<LeaseId, Lease> leases_;
  std::map<uint64_t, Waiter> waiters_;
  uint64_t next_waiter_ = 1;
  // Watches that got lost on the way.
  std::set<uint64_t> lost_;
};

}  // namespace figflow::model

#endif  // STANDINS_FLEET_MODEL_STORE_H_
