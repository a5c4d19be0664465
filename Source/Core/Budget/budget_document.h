#ifndef BUDGET_BUDGET_DOCUMENT_H_
#define BUDGET_BUDGET_DOCUMENT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "Common/clock.h"
#include "Common/error.h"
#include "Common/strong_id.h"
#include "absl/strings/string_view.h"

namespace figflow {

// The sheet's columns max_down and budget_minutes of a project.
struct BudgetGrant {
  uint64_t config_revision = 0;
  // Instances that may be down at once, planned and unplanned together.
  int max_down = 0;
  // Instance time that may be down on each UTC day.
  std::chrono::milliseconds per_day{0};
};

// The time in which an operation may keep its instance down.
struct BudgetReservation {
  InstanceId instance;
  WallTime begin;
  // The operation's calls to the platform must not take effect after this.
  WallTime end;
};

struct DayCharge {
  std::chrono::milliseconds planned{0};
  std::chrono::milliseconds unplanned{0};
};

// Value of the key "budget/<project>".
struct BudgetDocument {
  ProjectId project;
  std::string write_id;
  // Latest time of any change. Times before it count as this time, so that a
  // clock that went back does not open an earlier day again.
  WallTime latest;
  BudgetGrant grant;
  std::map<OperationId, BudgetReservation> reservations;
  // Instances that are down unplanned, and since when.
  std::map<InstanceId, WallTime> failures;
  // By UTC day (whole days since the Unix epoch).
  std::map<int64_t, DayCharge> charges;
  // Operations that ended, and when: a late repetition reserves nothing.
  std::map<OperationId, WallTime> ended;
};

std::string FormatBudgetDocument(const BudgetDocument& document);
// kInvalid with the path of the first fault, also for an unknown version.
Result<BudgetDocument> ParseBudgetDocument(absl::string_view text);

}  // namespace figflow

#endif  // BUDGET_BUDGET_DOCUMENT_H_
