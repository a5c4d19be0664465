#ifndef BUDGET_AVAILABILITY_BUDGET_H_
#define BUDGET_AVAILABILITY_BUDGET_H_

#include <chrono>
#include <cstdint>
#include <map>

#include "Budget/budget_document.h"
#include "Common/clock.h"
#include "Common/error.h"
#include "Common/strong_id.h"

namespace figflow {

// Pure functions on a budget document. All are idempotent; functions that
// return bool tell whether the document changed. A `now` before the document's
// latest time counts as the latest time.

// Instance time of [begin, end) by UTC day.
std::map<int64_t, std::chrono::milliseconds> SplitByDay(WallTime begin,
                                                        WallTime end);

// Takes the grant over unless a newer configuration set it. A lower grant does
// not affect reservations that were made before.
bool SetGrant(BudgetDocument& document, const BudgetGrant& grant);

// Reserves `worst_case` from now on for taking `instance` down. Each UTC day
// that the time touches must have its own part left, so neither side of
// midnight is overspent. An open unplanned failure of the instance ends: the
// reservation covers it from now on. A repeated call returns the first
// reservation.
// Errors: kResourceExhausted, max_down or the budget does not allow it;
// kConflict, the operation has ended or another one holds the instance;
// kInvalid, worst_case is not positive.
Result<BudgetReservation> Reserve(BudgetDocument& document,
                                  const OperationId& operation,
                                  const InstanceId& instance,
                                  std::chrono::milliseconds worst_case,
                                  WallTime now);

// Replaces the reservation by the time used up to now, at most the reserved
// time. A `now` that lags behind the clock of Reserve charges less by the lag,
// so callers pass a wall time that does not go back (see SteadyWallTime). For
// an operation without reservation only records that it ended, so that a
// delayed Reserve fails.
bool Settle(BudgetDocument& document,
            const OperationId& operation,
            WallTime now);

// As Settle, for an instance that did not come back: from now, or from the end
// of the reservation if that is earlier, the instance is down unplanned.
bool SettleAsFailed(BudgetDocument& document,
                    const OperationId& operation,
                    WallTime now);

// Begins to charge an unplanned failure. No change while a reservation covers
// the instance.
bool BeginFailure(BudgetDocument& document,
                  const InstanceId& instance,
                  WallTime now);
bool EndFailure(BudgetDocument& document,
                const InstanceId& instance,
                WallTime now);

struct BudgetStatus {
  int max_down = 0;
  // Instances down or reserved to go down.
  int down = 0;
  std::chrono::milliseconds granted{0};
  std::chrono::milliseconds planned{0};
  std::chrono::milliseconds unplanned{0};
  std::chrono::milliseconds reserved{0};
  // What maintenance may still reserve; below zero after unplanned failures.
  std::chrono::milliseconds remaining{0};
};

// The budget of one UTC day as of `now`; open failures count up to `now`.
BudgetStatus StatusOfDay(const BudgetDocument& document,
                         int64_t day,
                         WallTime now);
// Of the day of `now`.
BudgetStatus StatusNow(const BudgetDocument& document, WallTime now);

}  // namespace figflow

#endif  // BUDGET_AVAILABILITY_BUDGET_H_
