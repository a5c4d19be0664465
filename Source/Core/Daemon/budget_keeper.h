#ifndef DAEMON_BUDGET_KEEPER_H_
#define DAEMON_BUDGET_KEEPER_H_

#include <chrono>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "Budget/budget_store.h"
#include "Common/clock.h"
#include "Common/metrics.h"
#include "Common/strong_id.h"
#include "Daemon/control_loop.h"
#include "Pools/data_centre_store.h"

namespace figflow {

using InstanceFailure = std::pair<ProjectId, InstanceId>;

// Instances that left and whose pool is short of instances because of it. Of a
// pool that lacks n instances the n that left last count.
std::set<InstanceFailure> MissingInstances(const DataCentreDocument& document,
                                           const PoolsConfig& config);

// True if this entry should do the work of the data centre that one daemon is
// enough for: it has the lowest id of the active members. Only saves work; the
// calls behind it are idempotent.
bool IsFirstMember(const DataCentreDocument& document,
                   const EntryId& entry,
                   uint64_t incarnation);

// Keeps the budget documents in line with the sheet's grants and with unplanned
// failures of this data centre. A step of the control loop.
class BudgetKeeper {
 public:
  BudgetKeeper(BudgetStore& budgets,
               DataCentreStore& data_centre,
               MetricsRegistry& metrics,
               EntryId entry,
               uint64_t incarnation);

  void Step(const ControlRound& round);

 private:
  void WriteGrants(const FleetConfiguration& configuration);
  void WriteFailures(const DataCentreDocument& document,
                     const PoolsConfig& config,
                     const FleetConfiguration& configuration,
                     const ControlRound& round);
  // Failures on record that concern this data centre's instances. Returns
  // false if a document could not be read.
  bool LoadFailures(const DataCentreDocument& document,
                    const FleetConfiguration& configuration);

  BudgetStore& budgets_;
  DataCentreStore& data_centre_;
  Counter& grants_written_;
  Counter& failures_begun_;
  Counter& failures_ended_;
  const EntryId entry_;
  const uint64_t incarnation_;
  // Revision whose grants are all written, and the grants.
  uint64_t granted_revision_ = 0;
  std::map<ProjectId, BudgetGrant> granted_;
  // Failures on record; loaded again when this daemon becomes the first member.
  bool loaded_ = false;
  std::set<InstanceFailure> open_;
};

}  // namespace figflow

#endif  // DAEMON_BUDGET_KEEPER_H_
