// Issues due holds, starts and stops, and ends workers whose lease has run out.
#include <algorithm>
#include <utility>

#include "Common/log.h"
#include "Scheduling/pool_scheduler.h"
#include "Scheduling/scheduler_metrics.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

// Fraction of the maximum lease that a hold requests. Long enough to outlast
// the take-over from a lost owner (2 s of ownership lease and the first
// contact), short enough that the work of a lost worker soon runs elsewhere.
constexpr double kLeaseFraction = 2.0 / 3.0;
// Lease of the first order to an idle worker: if the worker is lost, its task
// can start elsewhere after this time. The hold that follows the start extends
// it.
constexpr std::chrono::milliseconds kFirstLease{1'500};
// Maximum wait of a hold's response. It bounds the time to detect an
// unresponsive worker, and the staleness of its tasks' state.
constexpr std::chrono::milliseconds kMaxHoldWait{700};
// Time allowed for a response in addition to the wait. A worker responds within
// a few milliseconds, or as soon as a run ends.
constexpr std::chrono::milliseconds kHoldResponseTime{400};
// Minimum interval between two holds: several ended runs then share one
// response.
constexpr std::chrono::milliseconds kMinHoldInterval{20};
// Minimum interval between two holds while results that were read are not
// durable yet: the worker would list the ended runs again at once.
constexpr std::chrono::milliseconds kUnwrittenHoldInterval{250};
// Maximum delay of a hold that acknowledges ended runs, for the responses to
// start orders, which take a few milliseconds.
constexpr std::chrono::milliseconds kMaxHoldDelay{100};
// Within this time a start order that is not late is carried out.
constexpr std::chrono::milliseconds kOrderResponseTime{400};
// Orders to one worker beyond its few connections only wait, and each holds a
// request in memory.
constexpr int kMaxStartsInFlight = 128;
// Maximum interval between two steps.
constexpr std::chrono::milliseconds kMaxStepInterval{250};

std::chrono::milliseconds LeaseOf(const ExecutionBounds& bounds) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      bounds.max_lease * kLeaseFraction);
}

}  // namespace

void PoolScheduler::SetOrdersAllowed(bool starts_allowed,
                                     bool renewals_allowed) {
  starts_allowed_ = starts_allowed;
  renewals_allowed_ = renewals_allowed;
}

void PoolScheduler::Wake(MonoTime at) {
  next_wake_ = std::min(next_wake_, at);
}

OrderTarget PoolScheduler::MakeOrderTarget(const WorkerState& worker,
                                           MonoTime now) const {
  return {worker.report.key, worker.report.address, options_.fence, now};
}

void PoolScheduler::OnLeaseGranted(WorkerState& worker,
                                   std::chrono::milliseconds answer_time,
                                   MonoTime now) const {
  const auto longest = std::chrono::duration_cast<MonoTime::duration>(
      max_inherited_lease_ / kMinWorkerClockRate);
  worker.next_incarnation_leases_until = std::max(
      worker.next_incarnation_leases_until, now + answer_time + longest);
}

bool PoolScheduler::MayAcknowledge(const WorkerState& worker) {
  return worker.missed_responses == 0 && worker.starts_in_flight == 0;
}

MonoTime PoolScheduler::Step(MonoTime now, WallTime wall) {
  next_wake_ = now + kMaxStepInterval;
  Wake(records_.ReleaseDue(now, &dispatch_needed_));
  OpenDueOccurrences(now, wall);
  RemoveFinishedJobs(now);
  CheckWorkers(now);
  for (auto& [key, worker] : workers_) {
    Evacuate(*worker, now);
  }
  if (dispatch_needed_) {
    dispatch_needed_ = false;
    Dispatch(now);
  }
  for (auto& [key, worker] : workers_) {
    if (!worker->addressable || deposed_) {
      continue;
    }
    IssueStarts(*worker, now);
    IssueStops(*worker, now);
    IssueHold(*worker, now);
  }
  return next_wake_;
}

void PoolScheduler::CheckWorkers(MonoTime now) {
  for (auto it = workers_.begin(); it != workers_.end();) {
    WorkerState& worker = *it->second;
    if (worker.reported_ended && !IsReportedEnded(it->first, now)) {
      worker.reported_ended = false;
      dispatch_needed_ = true;
    }
    const bool reached = worker.IsReached();
    const bool busy = !worker.tasks.empty() || !worker.stops.empty();
    if (!reached && busy) {
      // Until it is certain that the worker is unresponsive, it may still
      // report the results of the runs.
      if (now < worker.AllLeasesExpiredAt()) {
        Wake(worker.AllLeasesExpiredAt());
      } else if (!worker.addressable || worker.silence.IsUnresponsive(now)) {
        EndExpiredRuns(worker, now);
      }
    }
    if (!worker.listed && worker.tasks.empty() && worker.stops.empty() &&
        now >= worker.AllLeasesExpiredAt()) {
      it = workers_.erase(it);
    } else {
      ++it;
    }
  }
}

std::optional<std::chrono::milliseconds> PoolScheduler::RenewedDeadline(
    WorkerState& worker,
    MonoTime now) {
  // A worker with a missing response gets no further lease, even if only
  // responses are lost: its tasks must soon be free to run elsewhere.
  if (!renewals_allowed_ || !worker.fenced || worker.missed_responses > 0 ||
      worker.tasks.empty()) {
    return std::nullopt;
  }
  const std::chrono::milliseconds deadline =
      worker.clock.DeadlineIn(LeaseOf(options_.bounds), now);
  worker.latest_deadline = std::max(worker.latest_deadline, deadline);
  return worker.latest_deadline;
}

bool PoolScheduler::NeedsHold(const WorkerState& worker) const {
  const bool idle =
      worker.tasks.empty() && worker.stops.empty() && worker.notes.empty();
  if (worker.reported_ended && idle) {
    return false;
  }
  // Holds to an unresponsive worker are repeated until it responds or its tasks
  // are given up: it gets no tasks before.
  const bool wanted = worker.listed || !worker.tasks.empty();
  const bool unresponsive = wanted && worker.missed_responses > 0;
  if (!worker.fenced || unresponsive || !worker.stops.empty() ||
      !worker.notes.empty() ||
      worker.acknowledged > worker.delivered_acknowledgement) {
    return true;
  }
  return std::any_of(
      worker.tasks.begin(), worker.tasks.end(), [](const TaskRef& ref) {
        const Task& task = ref.Get();
        return task.phase == TaskPhase::kRunning || task.order_outdated ||
               task.order_outcome_unknown || task.inherited;
      });
}

void PoolScheduler::IssueHold(WorkerState& worker, MonoTime now) {
  if (worker.hold_in_flight || !NeedsHold(worker)) {
    return;
  }
  const auto interval =
      worker.notes.empty() ? kMinHoldInterval : kUnwrittenHoldInterval;
  const MonoTime due =
      std::max(worker.next_hold, worker.hold_sent_at + interval);
  if (now < due) {
    Wake(due);
    return;
  }
  const bool acknowledges =
      worker.acknowledged > worker.delivered_acknowledgement;
  if (acknowledges && worker.starts_in_flight > 0 &&
      now < due + kMaxHoldDelay) {
    Wake(due + kMaxHoldDelay);
    return;
  }
  HoldOrder order;
  order.target = MakeOrderTarget(worker, now);
  order.deadline = RenewedDeadline(worker, now);
  // A next incarnation counts its ended runs anew, and would forget those up to
  // this number.
  order.acknowledged =
      acknowledges && MayAcknowledge(worker) ? worker.acknowledged : 0;
  const bool wait = worker.fenced && !worker.tasks.empty() &&
                    worker.stops.empty() && worker.missed_responses == 0;
  // The next renewal must reach the worker well within its lease.
  const auto max_wait = std::min(kMaxHoldWait, LeaseOf(options_.bounds) / 3);
  order.wait = wait ? max_wait : std::chrono::milliseconds(0);
  order.answer_time = order.wait + kHoldResponseTime;
  if (order.deadline) {
    OnLeaseGranted(worker, order.answer_time, now);
  }
  worker.hold_in_flight = true;
  worker.hold_sent_at = now;
  stats_->holds.Add();
  output_.holds.push_back(std::move(order));
}

void PoolScheduler::IssueStops(WorkerState& worker, MonoTime now) {
  for (auto& [key, stop] : worker.stops) {
    if (stop.in_flight || stop.accepted) {
      continue;
    }
    if (now < stop.next_try) {
      Wake(stop.next_try);
      continue;
    }
    stop.in_flight = true;
    stats_->stops.Add();
    output_.stops.push_back(
        {MakeOrderTarget(worker, now), stop.task, stop.run});
  }
}

void PoolScheduler::IssueStarts(WorkerState& worker, MonoTime now) {
  // A copy of an order would grant a next incarnation another lease, so a hold
  // has to show first that this one still responds.
  if (!starts_allowed_ || !worker.fenced || worker.reported_ended ||
      worker.missed_responses > 0) {
    return;
  }
  for (const TaskRef& ref : worker.tasks) {
    if (worker.starts_in_flight >= kMaxStartsInFlight) {
      return;
    }
    Task& task = ref.Get();
    if (task.phase != TaskPhase::kStarting || task.order_in_flight ||
        task.order_outdated || task.inherited || !ref.job->live()) {
      continue;
    }
    if (now < task.next_order) {
      Wake(task.next_order);
      continue;
    }
    const std::chrono::milliseconds lease =
        std::min(kFirstLease, LeaseOf(options_.bounds));
    task.order_deadline =
        std::max(worker.latest_deadline, worker.clock.DeadlineIn(lease, now));
    worker.latest_deadline =
        std::max(worker.latest_deadline, task.order_deadline);
    OnLeaseGranted(worker, kOrderResponseTime, now);
    StartOrder order;
    order.target = MakeOrderTarget(worker, now);
    order.task = ref.Name();
    order.run = task.run;
    order.job = ref.job;
    order.deadline = task.order_deadline;
    order.checkpoint = task.checkpoint;
    order.ticket = ref.GetStage().advice.TicketFor(worker.report.key, now);
    task.order_in_flight = true;
    ++worker.starts_in_flight;
    stats_->starts.Add();
    if (task.order_outcome_unknown) {
      stats_->start_retries.Add();
    }
    output_.starts.push_back(std::move(order));
  }
}

void PoolScheduler::Abandon() {
  // The next owner reports the waiting tasks.
  for (auto& [queue, tasks] : waiting_by_queue_) {
    tasks = 0;
  }
  stats_->SetWaitingTasks(options_.pool, waiting_by_queue_);
  for (const auto& [id, job] : jobs_) {
    for (const uint64_t token : job->submit_tokens) {
      output_.submit_responses.push_back(
          {token,
           job->write_sent ? SubmitOutcome::kUnknown : SubmitOutcome::kRefused,
           std::chrono::milliseconds(0), "owner-changed"});
    }
    job->submit_tokens.clear();
    for (const uint64_t token : job->cancel_tokens) {
      output_.cancel_responses.push_back({token, CancelOutcome::kUnknown});
    }
    job->cancel_tokens.clear();
  }
}

SchedulerOutput PoolScheduler::TakeOutput() {
  return std::exchange(output_, SchedulerOutput());
}

}  // namespace figflow
