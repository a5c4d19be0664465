#ifndef MAINTENANCE_FAILURE_ACCOUNTANT_H_
#define MAINTENANCE_FAILURE_ACCOUNTANT_H_

#include <cstdint>
#include <map>
#include <set>

#include "Budget/budget_store.h"
#include "Common/clock.h"
#include "Common/error.h"
#include "Common/strong_id.h"
#include "Pools/data_centre_document.h"
#include "Pools/instance_ownership.h"

namespace figflow {

// Charges instances that the platform reported as gone to their project's
// budget, from their departure until they are back in use or their pool has its
// wanted count again. Every daemon of a data centre may run it: the budget's
// changes are idempotent. Calls the store only for changes. Not thread-safe.
class FailureAccountant {
 public:
  explicit FailureAccountant(const BudgetStore& budget) : budget_(budget) {}

  Result<void> Step(const DataCentreDocument& document,
                    const PoolsConfig& config,
                    WallTime now);

 private:
  struct Failure {
    ProjectId project;
    uint64_t boot = 0;
    bool ended = false;
  };

  // Ends failures that an earlier process left open.
  Result<void> EndRecovered(const DataCentreDocument& document,
                            const PoolsConfig& config,
                            WallTime now);
  Result<void> End(const InstanceId& id, Failure& failure, WallTime now);

  const BudgetStore& budget_;
  std::map<InstanceId, Failure> failures_;
  // Projects whose open failures were looked at since this process started.
  std::set<ProjectId> checked_;
};

}  // namespace figflow

#endif  // MAINTENANCE_FAILURE_ACCOUNTANT_H_
