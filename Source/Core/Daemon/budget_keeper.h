#ifndef DAEMON_BUDGET_KEEPER_H_
#define DAEMON_BUDGET_KEEPER_H_

#include <cstdint>
#include <map>

#include "Budget/budget_store.h"
#include "Common/clock.h"
#include "Common/metrics.h"
#include "Common/strong_id.h"
#include "Daemon/control_loop.h"
#include "Maintenance/failure_accountant.h"
#include "Pools/data_centre_store.h"

namespace figflow {

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

  BudgetStore& budgets_;
  DataCentreStore& data_centre_;
  Counter& grants_written_;
  Counter& errors_;
  FailureAccountant failures_;
  const EntryId entry_;
  const uint64_t incarnation_;
  // Revision whose grants are all written, and the grants.
  uint64_t granted_revision_ = 0;
  std::map<ProjectId, BudgetGrant> granted_;
};

}  // namespace figflow

#endif  // DAEMON_BUDGET_KEEPER_H_
