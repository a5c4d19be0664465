// Reserves a worker for the first stage with large tasks that lacks capacity.
#include "Scheduling/pool_scheduler_reservation.h"

#include <algorithm>
#include <utility>

#include "Common/log.h"
#include "Scheduling/dispatch_order.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

// Interval of the checks of a reservation if nothing else happens.
constexpr std::chrono::milliseconds kReservationCheckInterval{100};

// Returns whether only capacity can keep a stage's tasks from a worker. A gang
// needs several places at once, and a policy may refuse the worker.
bool MayReserve(const TaskRef& stage, const QueueConfig* queue) {
  const StageSpec& spec = stage.Spec();
  const bool has_policy =
      (queue != nullptr && queue->policy) || stage.GetStage().advice.required();
  return !spec.perpetual && !has_policy &&
         (!spec.gang || stage.GetStage().tasks.size() == 1);
}

bool MayRunOn(const TaskRef& stage, const WorkerState& worker) {
  const StageSpec& spec = stage.Spec();
  if (!spec.required_label.empty() &&
      !worker.report.HasLabel(spec.required_label)) {
    return false;
  }
  const auto count = stage.GetStage().on_worker.find(&worker);
  return spec.max_per_worker == 0 ||
         count == stage.GetStage().on_worker.end() ||
         count->second < spec.max_per_worker;
}

}  // namespace

ReservableWorker PoolScheduler::ReservationScan::Describe(
    const WorkerState& worker) const {
  ReservableWorker described;
  described.key = worker.report.key;
  described.capacity = worker.report.capacity;
  described.room = worker.FreeCapacity();
  described.evacuate_later = now < worker.evacuate_later_until;
  for (const TaskRef& ref : worker.tasks) {
    const Task& task = ref.Get();
    if (ref.Spec().perpetual) {
      continue;
    }
    const MonoTime since = task.phase == TaskPhase::kRunning ? task.since : now;
    described.ends.push_back(
        {worker.HasStop(ref.Name(), task.run)
             ? now
             : ExpectEnd(since, pool.PredictedDuration(*ref.job, ref.Spec()),
                         now),
         ReservedResources(ref.Spec())});
  }
  for (const auto& [key, stop] : worker.stops) {
    described.ends.push_back({now, stop.size});
  }
  return described;
}

void PoolScheduler::ReservationScan::EndReservation(const char* cause) {
  const CapacityReservation::Reservation& held = *pool.reservation_.current();
  LogEvent(LogLevel::kInfo, LogCategory::kJobs, "reservation_over",
           {{"job", held.stage.job},
            {"stage", absl::StrCat(held.stage.stage)},
            {"pool", pool.options_.pool},
            {"worker", held.worker.id},
            {"cause", cause}});
  pool.reservation_.Release();
  pool.dispatch_needed_ = true;
}

void PoolScheduler::ReservationScan::CheckReservation() {
  if (!pool.reservation_.current()) {
    return;
  }
  const CapacityReservation::Reservation held = *pool.reservation_.current();
  const std::optional<TaskRef> stage = pool.FindTask(held.stage);
  if (!stage || !stage->job->live() ||
      !IsStageReady(*stage->job, stage->job->occurrences.at(stage->occurrence),
                    stage->stage)) {
    EndReservation("none-waits");
    return;
  }
  const auto worker = std::find_if(
      workers.begin(), workers.end(), [&](const WorkerState* candidate) {
        return candidate->report.key == held.worker;
      });
  if (worker == workers.end()) {
    EndReservation("worker-lost");
    return;
  }
  const QueueConfig* queue =
      pool.plan_->FindQueueByName(stage->job->spec.queue);
  if (!MayReserve(*stage, queue) || !MayRunOn(*stage, **worker)) {
    EndReservation("not-allowed-on-worker");
    return;
  }
  const Urgency urgency =
      ComputeDispatchRank(*stage->job,
                          stage->job->occurrences.at(stage->occurrence), queue,
                          pool.durations_[stage->job->spec.queue], now)
          .urgency;
  const char* cause = pool.reservation_.Update(
      ReservedResources(stage->Spec()), urgency, stage->GetStage().waiting,
      Describe(**worker), now);
  if (cause != nullptr) {
    EndReservation(cause);
    return;
  }
  pool.Wake(now + kReservationCheckInterval);
  pool.dispatch_needed_ = true;
}

int PoolScheduler::ReservationScan::FindWorkerKeptFrom(const TaskRef& stage,
                                                       Urgency urgency) const {
  if (!pool.reservation_.current() ||
      pool.reservation_.MayUse(
          stage.Name(), urgency,
          now + pool.PredictedDuration(*stage.job, stage.Spec()))) {
    return -1;
  }
  const auto worker = std::find_if(
      workers.begin(), workers.end(), [&](const WorkerState* candidate) {
        return candidate->report.key == pool.reservation_.current()->worker;
      });
  return worker == workers.end() ? -1
                                 : static_cast<int>(worker - workers.begin());
}

void PoolScheduler::ReservationScan::OnStagePlanned(const TaskRef& stage,
                                                    Urgency urgency,
                                                    bool placed,
                                                    bool lacks_capacity) {
  std::optional<MonoTime>& lacks_since = stage.GetStage().lacks_capacity_since;
  if (!lacks_capacity) {
    lacks_since.reset();
  } else if (placed || !lacks_since) {
    lacks_since = now;
  }
  if (pool.reservation_.IsFor(stage.Name())) {
    const WorkerState* worker =
        pool.FindWorker(pool.reservation_.current()->worker);
    const bool fits =
        worker != nullptr &&
        ReservedResources(stage.Spec()).FitsIn(worker->FreeCapacity());
    if (placed) {
      EndReservation("started");
    } else if (!lacks_capacity || fits) {
      // The next reservation, if any, comes after the waiting time.
      lacks_since.reset();
      EndReservation("waits-for-other-reasons");
    }
    return;
  }
  if (lacks_capacity && !pool.reservation_.current() && tries > 0 &&
      MayReserve(stage, pool.plan_->FindQueueByName(stage.job->spec.queue))) {
    --tries;
    if (ReserveFor(stage, urgency)) {
      tries = 0;
    }
  }
}

bool PoolScheduler::ReservationScan::ReserveFor(const TaskRef& stage,
                                                Urgency urgency) {
  const Resources size = ReservedResources(stage.Spec());
  const MonoTime since = *stage.GetStage().lacks_capacity_since;
  bool may_hold = false;
  std::vector<ReservableWorker> candidates;
  for (const WorkerState* worker : workers) {
    if (!MayRunOn(stage, *worker) || !size.FitsIn(worker->report.capacity)) {
      continue;
    }
    may_hold = true;
    // The state of the workers' tasks is needed only for the choice.
    if (IsLargeTask(size, worker->report.capacity) &&
        CapacityReservation::HasWaitedEnough(since, now)) {
      candidates.push_back(Describe(*worker));
    }
  }
  if (candidates.empty()) {
    return may_hold;
  }
  if (!pool.reservation_.Reserve(stage.Name(), size, urgency,
                                 stage.GetStage().waiting, candidates, now)) {
    return false;
  }
  const CapacityReservation::Reservation& held = *pool.reservation_.current();
  LogEvent(LogLevel::kInfo, LogCategory::kJobs, "worker_reserved",
           {{"job", stage.job->spec.id},
            {"stage", absl::StrCat(stage.stage)},
            {"pool", pool.options_.pool},
            {"worker", held.worker.id},
            {"reason", "first-stage-without-capacity"},
            {"urgency", std::string(UrgencyName(urgency))},
            {"waited_ms", absl::StrCat(WholeMilliseconds(now - since).count())},
            {"fits_in_ms",
             absl::StrCat(WholeMilliseconds(held.fits_at - now).count())}});
  pool.Wake(now + kReservationCheckInterval);
  pool.dispatch_needed_ = true;
  return true;
}

}  // namespace figflow
