#include "Scheduling/capacity_reservation.h"

#include <algorithm>
#include <tuple>

namespace figflow {
namespace {

// Most tasks take 0.5 to 2 s. After this time a worker is still free before a
// job has waited for much more than the 3 s after which it counts as lost, and
// a task that finds a place by itself reserves nothing.
constexpr std::chrono::milliseconds kWaitBeforeReservation{1'000};
// If the worker is not free this long after the first expected time, its tasks
// take longer than predicted, and the worker is chosen anew.
constexpr std::chrono::milliseconds kMaxOverrun{2'000};

// Returns whether work of this urgency can meet its objective.
bool IsInTime(Urgency urgency) {
  return urgency == Urgency::kPerpetual || urgency == Urgency::kBegunInTime ||
         urgency == Urgency::kInTime;
}

}  // namespace

std::optional<MonoTime> PredictFit(const Resources& size,
                                   ReservableWorker worker,
                                   MonoTime now) {
  std::sort(
      worker.ends.begin(), worker.ends.end(),
      [](const ExpectedEnd& a, const ExpectedEnd& b) { return a.at < b.at; });
  Resources room = worker.room;
  MonoTime at = now;
  auto end = worker.ends.begin();
  while (!size.FitsIn(room)) {
    if (end == worker.ends.end()) {
      return std::nullopt;
    }
    room += end->size;
    at = std::max(at, end->at);
    ++end;
  }
  return at;
}

MonoTime ExpectEnd(MonoTime since,
                   std::chrono::milliseconds predicted,
                   MonoTime now) {
  const MonoTime end = since + predicted;
  return end >= now ? end : now + (now - end);
}

bool IsLargeTask(const Resources& size, const Resources& capacity) {
  return size.FitsIn(capacity) &&
         (2 * size.cpu_millicores > capacity.cpu_millicores ||
          2 * size.memory_mb > capacity.memory_mb);
}

bool CapacityReservation::IsFor(const TaskName& stage) const {
  return current_ &&
         std::tie(stage.job, stage.occurrence, stage.stage) ==
             std::tie(current_->stage.job, current_->stage.occurrence,
                      current_->stage.stage);
}

bool CapacityReservation::HasWaitedEnough(MonoTime since, MonoTime now) {
  return now - since >= kWaitBeforeReservation;
}

bool CapacityReservation::Reserve(const TaskName& stage,
                                  const Resources& size,
                                  Urgency urgency,
                                  int waiting,
                                  const std::vector<ReservableWorker>& workers,
                                  MonoTime now) {
  const ReservableWorker* best = nullptr;
  std::tuple<bool, MonoTime> best_rank;
  for (const ReservableWorker& worker : workers) {
    const std::optional<MonoTime> fits_at = PredictFit(size, worker, now);
    if (!fits_at) {
      continue;
    }
    const std::tuple<bool, MonoTime> rank{worker.evacuate_later, *fits_at};
    if (best == nullptr || rank < best_rank) {
      best = &worker;
      best_rank = rank;
    }
  }
  if (best == nullptr) {
    return false;
  }
  const MonoTime fits_at = std::get<MonoTime>(best_rank);
  current_ = {stage, best->key, urgency, waiting, fits_at, fits_at};
  return true;
}

const char* CapacityReservation::Update(const Resources& size,
                                        Urgency urgency,
                                        int waiting,
                                        const ReservableWorker& worker,
                                        MonoTime now) {
  if (waiting < current_->waiting) {
    return "started";
  }
  const std::optional<MonoTime> fits_at = PredictFit(size, worker, now);
  if (!fits_at) {
    return "worker-has-other-work";
  }
  if (now > current_->first_expected + kMaxOverrun) {
    return "tasks-take-longer";
  }
  current_->urgency = urgency;
  current_->waiting = waiting;
  current_->fits_at = *fits_at;
  return nullptr;
}

bool CapacityReservation::MayUse(const TaskName& stage,
                                 Urgency urgency,
                                 MonoTime ends) const {
  if (!current_ || IsFor(stage)) {
    return true;
  }
  // Perpetual tasks are few, and users need them all the time. Work that can
  // meet its objective does not wait for work that cannot.
  return urgency == Urgency::kPerpetual ||
         (IsInTime(urgency) && !IsInTime(current_->urgency)) ||
         ends <= current_->fits_at;
}

}  // namespace figflow
