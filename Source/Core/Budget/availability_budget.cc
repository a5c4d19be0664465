#include "Budget/availability_budget.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <set>

#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

using std::chrono::milliseconds;

constexpr char kStep[] = "budget.reserve";
constexpr milliseconds kDay = std::chrono::hours(24);
// Operators look back over a month.
constexpr int64_t kChargeRetentionDays = 35;
// A daemon paused for longer than this could reserve for an ended operation.
// 250 operations a day keep the list below 100 KB.
constexpr std::chrono::hours kEndedRetention{72};

int64_t DayOf(WallTime time) {
  return std::max<int64_t>(SinceEpoch(time).count(), 0) / kDay.count();
}

// `now` in whole milliseconds, the resolution of the document, and not before
// its latest time.
WallTime EffectiveTime(const BudgetDocument& document, WallTime now) {
  return std::max(FromEpoch(SinceEpoch(now)), document.latest);
}

void Advance(BudgetDocument& document, WallTime effective) {
  document.latest = effective;
  const int64_t oldest = DayOf(effective) - kChargeRetentionDays;
  document.charges.erase(document.charges.begin(),
                         document.charges.lower_bound(oldest));
  for (auto it = document.ended.begin(); it != document.ended.end();) {
    it = effective - it->second > kEndedRetention ? document.ended.erase(it)
                                                  : std::next(it);
  }
}

void Charge(BudgetDocument& document,
            WallTime begin,
            WallTime end,
            milliseconds DayCharge::*kind) {
  for (const auto& [day, part] : SplitByDay(begin, end)) {
    document.charges[day].*kind += part;
  }
}

milliseconds PartOfDay(WallTime begin, WallTime end, int64_t day) {
  const auto parts = SplitByDay(begin, end);
  const auto it = parts.find(day);
  return it == parts.end() ? milliseconds(0) : it->second;
}

std::set<InstanceId> DownInstances(const BudgetDocument& document) {
  std::set<InstanceId> down;
  for (const auto& [operation, reservation] : document.reservations) {
    down.insert(reservation.instance);
  }
  for (const auto& [instance, since] : document.failures) {
    down.insert(instance);
  }
  return down;
}

bool IsReserved(const BudgetDocument& document, const InstanceId& instance) {
  return std::any_of(
      document.reservations.begin(), document.reservations.end(),
      [&](const auto& entry) { return entry.second.instance == instance; });
}

// Ends the operation. Returns the reservation it had, or nullopt; `changed`
// tells whether the document changed.
std::optional<BudgetReservation> EndOperation(BudgetDocument& document,
                                              const OperationId& operation,
                                              WallTime effective,
                                              bool& changed) {
  std::optional<BudgetReservation> reservation;
  const auto it = document.reservations.find(operation);
  if (it != document.reservations.end()) {
    reservation = it->second;
    document.reservations.erase(it);
  }
  changed = document.ended.emplace(operation, effective).second;
  if (changed) {
    Advance(document, effective);
  }
  return reservation;
}

}  // namespace

std::map<int64_t, milliseconds> SplitByDay(WallTime begin, WallTime end) {
  std::map<int64_t, milliseconds> parts;
  for (WallTime at = begin; at < end;) {
    const int64_t day = DayOf(at);
    const WallTime next = std::min(end, FromEpoch(kDay * (day + 1)));
    parts[day] += std::chrono::duration_cast<milliseconds>(next - at);
    at = next;
  }
  return parts;
}

bool SetGrant(BudgetDocument& document, const BudgetGrant& grant) {
  if (grant.config_revision <= document.grant.config_revision) {
    return false;
  }
  // An unchanged grant is not worth a write for each configuration revision.
  const bool changed = grant.max_down != document.grant.max_down ||
                       grant.per_day != document.grant.per_day;
  document.grant = grant;
  return changed;
}

Result<BudgetReservation> Reserve(BudgetDocument& document,
                                  const OperationId& operation,
                                  const InstanceId& instance,
                                  milliseconds worst_case,
                                  WallTime now) {
  const std::string& project = document.project.value();
  if (worst_case <= milliseconds(0)) {
    return Fail(ErrorCode::kInvalid, kStep, project,
                "the time to reserve is not positive");
  }
  if (document.ended.count(operation) != 0) {
    return Fail(ErrorCode::kConflict, kStep, project,
                absl::StrCat("operation ", operation.value(), " has ended"));
  }
  const auto existing = document.reservations.find(operation);
  if (existing != document.reservations.end()) {
    if (existing->second.instance != instance) {
      return Fail(ErrorCode::kConflict, kStep, project,
                  absl::StrCat("operation ", operation.value(),
                               " is for another instance"));
    }
    return existing->second;
  }
  if (IsReserved(document, instance)) {
    return Fail(
        ErrorCode::kConflict, kStep, project,
        absl::StrCat("another operation holds instance ", instance.value()));
  }
  std::set<InstanceId> down = DownInstances(document);
  down.insert(instance);
  if (static_cast<int64_t>(down.size()) > document.grant.max_down) {
    return Fail(ErrorCode::kResourceExhausted, kStep, project,
                absl::StrCat(down.size(),
                             " instances would be down, max_down "
                             "is ",
                             document.grant.max_down));
  }
  const WallTime begin = EffectiveTime(document, now);
  const WallTime end = begin + worst_case;
  for (const auto& [day, part] : SplitByDay(begin, end)) {
    const milliseconds remaining = StatusOfDay(document, day, begin).remaining;
    if (remaining < part) {
      return Fail(ErrorCode::kResourceExhausted, kStep, project,
                  absl::StrCat(part.count(), " ms needed and ",
                               remaining.count(), " ms left on day ", day));
    }
  }
  EndFailure(document, instance, begin);
  Advance(document, begin);
  const BudgetReservation reservation{instance, begin, end};
  document.reservations.emplace(operation, reservation);
  return reservation;
}

bool Settle(BudgetDocument& document,
            const OperationId& operation,
            WallTime now) {
  const WallTime effective = EffectiveTime(document, now);
  bool changed = false;
  const auto reservation =
      EndOperation(document, operation, effective, changed);
  if (reservation) {
    Charge(document, reservation->begin, std::min(effective, reservation->end),
           &DayCharge::planned);
  }
  return changed;
}

bool SettleAsFailed(BudgetDocument& document,
                    const OperationId& operation,
                    WallTime now) {
  const WallTime effective = EffectiveTime(document, now);
  bool changed = false;
  const auto reservation =
      EndOperation(document, operation, effective, changed);
  if (reservation) {
    const WallTime failed = std::min(effective, reservation->end);
    Charge(document, reservation->begin, failed, &DayCharge::planned);
    document.failures.emplace(reservation->instance, failed);
  }
  return changed;
}

bool BeginFailure(BudgetDocument& document,
                  const InstanceId& instance,
                  WallTime now) {
  if (IsReserved(document, instance) ||
      document.failures.count(instance) != 0) {
    return false;
  }
  Advance(document, EffectiveTime(document, now));
  document.failures.emplace(instance, document.latest);
  return true;
}

bool EndFailure(BudgetDocument& document,
                const InstanceId& instance,
                WallTime now) {
  const auto it = document.failures.find(instance);
  if (it == document.failures.end()) {
    return false;
  }
  Advance(document, EffectiveTime(document, now));
  Charge(document, it->second, document.latest, &DayCharge::unplanned);
  document.failures.erase(it);
  return true;
}

BudgetStatus StatusOfDay(const BudgetDocument& document,
                         int64_t day,
                         WallTime now) {
  const WallTime effective = EffectiveTime(document, now);
  BudgetStatus status;
  status.max_down = document.grant.max_down;
  status.down = static_cast<int>(DownInstances(document).size());
  status.granted = document.grant.per_day;
  const auto charge = document.charges.find(day);
  if (charge != document.charges.end()) {
    status.planned = charge->second.planned;
    status.unplanned = charge->second.unplanned;
  }
  for (const auto& [instance, since] : document.failures) {
    status.unplanned += PartOfDay(since, effective, day);
  }
  for (const auto& [operation, reservation] : document.reservations) {
    status.reserved += PartOfDay(reservation.begin, reservation.end, day);
  }
  status.remaining =
      status.granted - status.planned - status.unplanned - status.reserved;
  return status;
}

BudgetStatus StatusNow(const BudgetDocument& document, WallTime now) {
  const WallTime effective = EffectiveTime(document, now);
  return StatusOfDay(document, DayOf(effective), effective);
}

}  // namespace figflow
