// Tracks workers and handles their responses to orders.
#include <algorithm>
#include <utility>

#include "Common/log.h"
#include "Scheduling/pool_scheduler.h"
#include "Scheduling/scheduler_metrics.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

// Delay before an order without a response is sent again; a response takes a
// few milliseconds.
constexpr std::chrono::milliseconds kOrderRetryDelay{150};

}  // namespace

void PoolScheduler::SetBounds(const ExecutionBounds& bounds) {
  options_.bounds = bounds;
  max_inherited_lease_ = std::max(max_inherited_lease_, bounds.max_lease);
  dispatch_needed_ = true;
}

WorkerState* PoolScheduler::FindWorker(const WorkerKey& key) {
  const auto known = workers_.find(key);
  return known == workers_.end() ? nullptr : known->second.get();
}

WorkerState& PoolScheduler::AddWorker(const WorkerKey& key, MonoTime now) {
  std::unique_ptr<WorkerState>& worker = workers_[key];
  worker = std::make_unique<WorkerState>();
  worker->report.key = key;
  worker->last_response_at = now;
  worker->next_hold = now;
  StopOpenOrders(*worker, now);
  const auto handed_over = options_.handed_over_leases.find(key);
  if (handed_over != options_.handed_over_leases.end()) {
    worker->inherited_leases_until = activated_at_ + handed_over->second;
    return *worker;
  }
  const auto lease = std::chrono::duration_cast<MonoTime::duration>(
      max_inherited_lease_ / kMinWorkerClockRate);
  worker->inherited_leases_until =
      activated_at_ + options_.earlier_owner_grace + lease;
  return *worker;
}

WorkerState& PoolScheduler::FindOrAddIncarnation(const WorkerState& worker,
                                                 int64_t incarnation,
                                                 MonoTime now) {
  const WorkerKey key{worker.report.key.id, incarnation};
  WorkerState* next = FindWorker(key);
  if (next == nullptr) {
    next = &AddWorker(key, now);
    next->report.instance = worker.report.instance;
    next->report.address = worker.report.address;
    next->addressable = true;
  }
  return *next;
}

bool PoolScheduler::HasLaterIncarnation(const WorkerReport& report) const {
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto& entry) {
    return entry.first.id == report.key.id &&
           entry.first.incarnation > report.key.incarnation;
  });
}

void PoolScheduler::OnWorkerListed(const WorkerReport& report, MonoTime now) {
  if (HasLaterIncarnation(report)) {
    return;
  }
  WorkerState* worker = FindWorker(report.key);
  if (worker == nullptr) {
    worker = &AddWorker(report.key, now);
  }
  for (auto it = workers_.begin(); it != workers_.end();) {
    WorkerState& other = *(it++)->second;
    const WorkerKey key = other.report.key;
    // A later incarnation under the same id, or on the same instance, proves
    // that the earlier one has ended. Two of the same start prove nothing.
    const bool same_instance =
        !report.instance.empty() && other.report.instance == report.instance;
    if (key != report.key && (key.id == report.key.id || same_instance) &&
        key.incarnation < report.key.incarnation) {
      ReplaceWorker(other, *worker, now);
      workers_.erase(key);
    }
  }
  if (report.draining && !worker->report.draining) {
    LogEvent(LogLevel::kInfo, LogCategory::kJobs, "worker_draining",
             {{"worker", report.key.id},
              {"pool", options_.pool},
              {"tasks", absl::StrCat(worker->tasks.size())}});
  }
  worker->report = report;
  worker->listed = true;
  worker->reported_ended = IsReportedEnded(report.key, now);
  worker->addressable = true;
  dispatch_needed_ = true;
  if (report.clock.count() > 0) {
    worker->clock.Observe(report.clock, now);
  }
}

void PoolScheduler::OnWorkerUnlisted(const std::string& id, MonoTime now) {
  for (auto& [key, worker] : workers_) {
    if (key.id == id && worker->listed) {
      worker->listed = false;
      LogEvent(LogLevel::kInfo, LogCategory::kJobs, "worker_unlisted",
               {{"worker", id},
                {"pool", options_.pool},
                {"tasks", absl::StrCat(worker->tasks.size())}});
    }
  }
  Wake(now);
}

std::pair<int, int> PoolScheduler::Reached() const {
  int listed = 0;
  int reached = 0;
  for (const auto& [key, worker] : workers_) {
    listed += worker->IsInUse() ? 1 : 0;
    reached += worker->IsInUse() && worker->fenced ? 1 : 0;
  }
  return {listed, reached};
}

RemainingLeases PoolScheduler::LeasesOfUnreachedWorkers(MonoTime now) const {
  RemainingLeases leases;
  for (const auto& [key, worker] : workers_) {
    if (worker->IsReached() || worker->tasks.empty()) {
      continue;
    }
    const auto remaining =
        std::max(worker->AllOrdersExpiredAt() - now, MonoTime::duration(0));
    leases[key] = std::chrono::ceil<std::chrono::milliseconds>(remaining);
  }
  return leases;
}

void PoolScheduler::OnResponseReceived(WorkerState& worker,
                                       std::chrono::milliseconds clock,
                                       MonoTime now) {
  if (worker.missed_responses > 0) {
    dispatch_needed_ = true;
    const auto silence = WholeMilliseconds(now - worker.last_response_at);
    LogEvent(LogLevel::kInfo, LogCategory::kJobs, "worker_regained",
             {{"worker", worker.report.key.id},
              {"pool", options_.pool},
              {"missed", absl::StrCat(worker.missed_responses)},
              {"silent_ms", absl::StrCat(silence.count())},
              {"tasks", absl::StrCat(worker.tasks.size())}});
  }
  worker.last_response_at = now;
  worker.missed_responses = 0;
  worker.missed_holds = 0;
  worker.silence.OnAnswer();
  worker.next_hold = MonoTime::min();
  if (clock.count() > 0) {
    worker.clock.Observe(clock, now);
  }
}

void PoolScheduler::OnResponseMissed(WorkerState& worker, MonoTime now) {
  if (worker.missed_responses++ == 0) {
    LogEvent(LogLevel::kWarning, LogCategory::kJobs, "worker_unanswered",
             {{"worker", worker.report.key.id},
              {"pool", options_.pool},
              {"tasks", absl::StrCat(worker.tasks.size())}});
    // A single response may just be lost, which the next hold shows.
    worker.next_hold = now;
  }
}

bool PoolScheduler::OnOrderResponse(WorkerState& worker,
                                    const OrderTarget& target,
                                    const Result<OrderResponse>& answer,
                                    MonoTime now) {
  if (!answer) {
    OnResponseMissed(worker, now);
    return false;
  }
  deposed_ = deposed_ || answer->answer == OrderOutcome::kFenced;
  if (answer->answer == OrderOutcome::kReplaced) {
    EndWorker(worker, "replaced", now);
    worker.addressable = false;
    return true;
  }
  if (worker.clock.IsBehind(answer->clock, target.issued_at)) {
    LogEvent(LogLevel::kWarning, LogCategory::kJobs, "worker_clock_went_back",
             {{"worker", worker.report.key.id},
              {"incarnation", absl::StrCat(worker.report.key.incarnation)},
              {"pool", options_.pool},
              {"clock_ms", absl::StrCat(answer->clock.count())},
              {"tasks", absl::StrCat(worker.tasks.size())}});
    OnResponseMissed(worker, now);
    return false;
  }
  OnResponseReceived(worker, answer->clock, now);
  return true;
}

void PoolScheduler::OnStartResponse(const StartOrder& order,
                                    const Result<OrderResponse>& answer,
                                    MonoTime now) {
  WorkerState* worker = FindWorker(order.target.worker);
  const bool responded =
      worker == nullptr ? answer.has_value()
                        : OnOrderResponse(*worker, order.target, answer, now);
  const bool was_sent =
      answer || answer.error().code != ErrorCode::kUnavailable;
  if (!responded && was_sent) {
    RecordOpenOrder(order, now);
  }
  if (worker == nullptr) {
    return;
  }
  worker->starts_in_flight = std::max(worker->starts_in_flight - 1, 0);
  const std::optional<TaskRef> ref = FindTask(order.task);
  const bool current = ref && ref->Get().worker == worker &&
                       ref->Get().run == order.run &&
                       ref->Get().phase != TaskPhase::kDone;
  if (!current) {
    // The run is no longer needed; if it exists, a hold will show it.
    return;
  }
  Task& task = ref->Get();
  task.order_in_flight = false;
  if (!responded) {
    task.order_outcome_unknown = task.order_outcome_unknown || was_sent;
    if (!task.order_outcome_unknown) {
      // No copy was sent.
      task.order_deadline = std::chrono::milliseconds(0);
    }
    task.next_order = now + kOrderRetryDelay;
    return;
  }
  if (answer->answer != OrderOutcome::kStarted) {
    stats_->StartRejections(answer->answer).Add();
    LogEvent(LogLevel::kInfo, LogCategory::kJobs, "start_rejected",
             {{"task", FormatTaskName(order.task)},
              {"run", absl::StrCat(order.run)},
              {"worker", worker->report.key.id},
              {"reason", std::string(OrderOutcomeName(answer->answer))}});
  }
  switch (answer->answer) {
    case OrderOutcome::kStarted:
      task.confirmed = true;
      if (task.phase == TaskPhase::kStarting) {
        task.phase = TaskPhase::kRunning;
        task.since = now;
        if (!ref->job->started) {
          ref->job->started = true;
          stats_->time_to_start.Record(now - ref->job->arrived);
        }
      }
      return;
    case OrderOutcome::kFenced:
    case OrderOutcome::kReplaced:
      return;
    case OrderOutcome::kOutdated:
      task.order_outdated = true;
      task.since = now;
      return;
    case OrderOutcome::kLate:
      // The next order carries a deadline computed from the clock reading of
      // this response.
      task.next_order = now;
      return;
    case OrderOutcome::kUnhealthy:
      worker->health.OnRefused(now);
      break;
    case OrderOutcome::kNoTicket:
      ref->GetStage().advice.OnTicketRefused(worker->report.key);
      break;
    case OrderOutcome::kInsufficientCapacity:
      break;
    case OrderOutcome::kRefused:
      FailTask(*ref, *worker, now);
      return;
  }
  if (task.order_outcome_unknown) {
    // An earlier copy of the order may still take effect.
    RequestStop(*worker, order.task, order.run, Resources(), now);
    task.order_outdated = true;
    return;
  }
  if (ref->Spec().gang) {
    BreakGang(*ref, now);
    return;
  }
  ReturnTask(*ref, now);
}

void PoolScheduler::RequestStop(WorkerState& worker,
                                const TaskName& name,
                                uint32_t run,
                                const Resources& size,
                                MonoTime now) {
  StopRequest stop;
  stop.task = name;
  stop.run = run;
  stop.next_try = now;
  stop.size = size;
  const auto job = jobs_.find(name.job);
  stop.customer = job == jobs_.end() ? "" : job->second->spec.customer;
  const auto [entry, added] = worker.stops.emplace(
      std::make_pair(FormatTaskName(name), run), std::move(stop));
  if (added) {
    worker.used += size;
    usage_.Add(entry->second.customer, size);
    return;
  }
  // The stop was requested while the task still occupied the capacity.
  if (entry->second.size == Resources()) {
    entry->second.size = size;
    worker.used += size;
    usage_.Add(entry->second.customer, size);
  }
}

void PoolScheduler::RemoveStop(WorkerState& worker,
                               const TaskName& name,
                               uint32_t run) {
  const auto stop = worker.stops.find({FormatTaskName(name), run});
  if (stop != worker.stops.end()) {
    worker.used -= stop->second.size;
    usage_.Remove(stop->second.customer, stop->second.size);
    worker.stops.erase(stop);
    dispatch_needed_ = true;
  }
}

void PoolScheduler::OnStopResponse(const StopOrder& order,
                                   const Result<OrderResponse>& answer,
                                   MonoTime now) {
  WorkerState* worker = FindWorker(order.target.worker);
  if (worker == nullptr) {
    return;
  }
  const bool responded = OnOrderResponse(*worker, order.target, answer, now);
  const auto stop = worker->stops.find({FormatTaskName(order.task), order.run});
  if (stop == worker->stops.end()) {
    return;
  }
  stop->second.in_flight = false;
  stop->second.next_try = now + kOrderRetryDelay;
  const bool accepted =
      responded && (answer->answer == OrderOutcome::kStarted ||
                    answer->answer == OrderOutcome::kOutdated);
  if (accepted && !stop->second.accepted) {
    stop->second.accepted = true;
    stop->second.accepted_at = now;
  }
}

void PoolScheduler::StopJobTasks(const std::shared_ptr<Job>& job,
                                 MonoTime now) {
  for (auto& [number, occurrence] : job->occurrences) {
    for (size_t i = 0; i < occurrence.stages.size(); ++i) {
      Stage& stage = occurrence.stages[i];
      for (size_t k = 0; k < stage.tasks.size(); ++k) {
        Task& task = stage.tasks[k];
        WorkerState* worker = task.worker;
        if (worker == nullptr || task.phase == TaskPhase::kDone) {
          continue;
        }
        const TaskRef ref{job, number, static_cast<int>(i),
                          static_cast<int>(k)};
        const bool never_ordered = task.phase == TaskPhase::kPlanned;
        DetachTask(ref);
        if (!never_ordered) {
          RequestStop(*worker, ref.Name(), task.run,
                      ReservedResources(ref.Spec()), now);
        }
        task.phase = TaskPhase::kWaiting;
      }
    }
  }
}

}  // namespace figflow
