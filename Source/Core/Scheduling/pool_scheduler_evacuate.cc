// Evacuates workers: before their instance is maintained or moved, and while
// they drain.
#include <algorithm>
#include <optional>
#include <utility>

#include "Common/log.h"
#include "Scheduling/dispatch_order.h"
#include "Scheduling/pool_scheduler.h"
#include "Scheduling/scheduler_metrics.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

// Time in which tasks of an evacuated worker may end by themselves; most tasks
// take less.
constexpr std::chrono::milliseconds kEvacuationGrace{1'200};
// An evacuation ends if it is not requested for this time: its controller is
// lost or has changed its decision.
constexpr std::chrono::milliseconds kEvacuationTimeout{2'000};
constexpr int kAtWorkPercent = 100;

// Returns whether a task is not known to be at work. Tasks on a worker that
// does not respond may be lost already.
bool IsUnavailable(const WorkerState* worker,
                   const Task& task,
                   const TaskRef& ref) {
  if (task.phase != TaskPhase::kRunning || task.percent < kAtWorkPercent ||
      worker == nullptr || worker->missed_responses > 0) {
    return true;
  }
  return worker->HasStop(ref.Name(), task.run);
}

// Returns the minimum number of workers that the tasks of a perpetual stage
// need.
int MinWorkersOf(const StageSpec& spec) {
  if (!spec.perpetual || spec.max_per_worker == 0) {
    return 0;
  }
  return (spec.count + spec.max_per_worker - 1) / spec.max_per_worker;
}

}  // namespace

void PoolScheduler::SetEvacuating(const std::set<std::string>& workers,
                                  const std::set<std::string>& lent,
                                  MonoTime now) {
  for (auto& [key, worker] : workers_) {
    const bool evacuated = workers.count(key.id) > 0;
    const bool wanted = evacuated || lent.count(key.id) > 0;
    if (worker->lent && evacuated) {
      // The tasks that were left to end get their time from now on.
      worker->evacuating_since = now;
    }
    worker->lent = wanted && !evacuated;
    if (wanted) {
      worker->evacuation_requested_at = now;
    }
    if (wanted == worker->evacuating) {
      continue;
    }
    worker->evacuating = wanted;
    worker->evacuating_since = now;
    dispatch_needed_ = true;
    LogEvent(LogLevel::kInfo, LogCategory::kJobs,
             wanted ? "evacuation_begun" : "evacuation_over",
             {{"worker", key.id},
              {"instance", worker->report.instance},
              {"pool", options_.pool},
              {"tasks", absl::StrCat(worker->tasks.size())}});
  }
}

void PoolScheduler::SetEvacuatingLater(const std::set<std::string>& workers,
                                       MonoTime now) {
  for (auto& [key, worker] : workers_) {
    worker->evacuate_later_until =
        workers.count(key.id) > 0 ? now + kEvacuationTimeout : MonoTime::min();
  }
}

bool PoolScheduler::MayStopPerpetual(const TaskRef& ref, MonoTime now) {
  const StageSpec& spec = ref.Spec();
  // A stage without a limit is also moved one task at a time.
  const int allowed = spec.max_unavailable < 0 ? 1 : spec.max_unavailable;
  int unavailable = 0;
  const Stage& stage = ref.GetStage();
  for (int i = 0; i < static_cast<int>(stage.tasks.size()); ++i) {
    const TaskRef other{ref.job, ref.occurrence, ref.stage, i};
    if (i != ref.index &&
        IsUnavailable(stage.tasks[i].worker, stage.tasks[i], other)) {
      ++unavailable;
    }
  }
  // A task that is stopped while its customer is above its grant would not
  // start again elsewhere.
  const std::string& customer = ref.job->spec.customer;
  const bool may_restart =
      limits_.IsWithinGrant(customer, usage_.Of(customer), now);
  return unavailable < allowed && may_restart && HasAlternativeWorker(ref, now);
}

void PoolScheduler::Evacuate(WorkerState& worker, MonoTime now) {
  if (worker.evacuating &&
      now - worker.evacuation_requested_at > kEvacuationTimeout) {
    worker.evacuating = false;
    dispatch_needed_ = true;
  }
  const bool leaves = worker.evacuating || worker.report.draining;
  if (!leaves && !worker.reported_ended) {
    return;
  }
  const std::set<TaskRef> tasks = worker.tasks;
  for (const TaskRef& ref : tasks) {
    Task& task = ref.Get();
    const bool ordered = task.phase != TaskPhase::kPlanned &&
                         (task.phase != TaskPhase::kStarting ||
                          task.order_deadline.count() > 0 || task.inherited ||
                          task.order_outdated);
    if (!ordered && !ref.Spec().gang) {
      LogEvent(LogLevel::kInfo, LogCategory::kJobs, "assignment_withdrawn",
               {{"task", FormatTaskName(ref.Name())},
                {"run", absl::StrCat(task.run)},
                {"worker", worker.report.key.id},
                {"cause", worker.evacuating       ? "evacuation"
                          : worker.reported_ended ? "reported-ended"
                                                  : "draining"}});
      ReturnTask(ref, now);
      continue;
    }
    if (!leaves) {
      continue;
    }
    if (task.phase != TaskPhase::kRunning ||
        worker.HasStop(ref.Name(), task.run)) {
      continue;
    }
    if (ref.Spec().perpetual) {
      if (MayStopPerpetual(ref, now)) {
        RequestStop(worker, ref.Name(), task.run, Resources(), now);
      } else {
        Wake(now + kEvacuationGrace / 4);
      }
      continue;
    }
    if (worker.report.draining || worker.lent) {
      continue;
    }
    const MonoTime stop_at = worker.evacuating_since + kEvacuationGrace;
    if (now >= stop_at) {
      RequestStop(worker, ref.Name(), task.run, Resources(), now);
    } else {
      Wake(stop_at);
    }
  }
}

PoolReport PoolScheduler::Report(MonoTime now) {
  PoolReport report;
  report.pool = options_.pool;
  AddOfferedLoad(0, now);
  // The decay window of the offered load is one second long.
  report.offered_millicores =
      static_cast<int64_t>(offered_millicore_ms_ / 1000);
  for (const auto& [key, worker] : workers_) {
    if (!worker->IsInUse()) {
      continue;
    }
    WorkerLoad load;
    load.worker = key.id;
    load.incarnation = key.incarnation;
    load.instance = worker->report.instance;
    // The worker holds the only copy of a result until its record is durable.
    load.tasks = static_cast<int>(worker->tasks.size() + worker->stops.size() +
                                  worker->notes.size());
    load.perpetual_tasks = worker->CountPerpetualTasks();
    for (const TaskRef& ref : worker->tasks) {
      report.perpetual_millicores +=
          ref.Spec().perpetual ? ReservedResources(ref.Spec()).cpu_millicores
                               : 0;
    }
    load.used_millicores = worker->used.cpu_millicores;
    load.capacity_millicores = worker->report.capacity.cpu_millicores;
    load.evacuating = worker->evacuating;
    load.usable = worker->IsReached() && !worker->report.draining;
    report.workers.push_back(std::move(load));
  }
  for (auto& [queue, tasks] : waiting_by_queue_) {
    tasks = 0;
  }
  limits_.BeginReport();
  for (const auto& [id, job] : open_jobs_) {
    for (const auto& [number, occurrence] : job->occurrences) {
      std::optional<bool> late;
      for (size_t i = 0; i < occurrence.stages.size(); ++i) {
        const StageSpec& spec = job->spec.stages[i];
        report.min_perpetual_workers =
            std::max(report.min_perpetual_workers, MinWorkersOf(spec));
        if (IsStageReady(*job, occurrence, i)) {
          const int all_waiting = occurrence.stages[i].waiting;
          waiting_by_queue_[job->spec.queue] += all_waiting;
          // Tasks above their customer's cap would not use more capacity.
          const int waiting =
              CountReportedWithinCap(*job, spec, all_waiting, now);
          const int64_t requested =
              waiting * ReservedResources(spec).cpu_millicores;
          report.waiting_millicores += requested;
          if (spec.perpetual || spec.gang) {
            report.unplaced_tasks += waiting;
          }
          if (spec.perpetual) {
            continue;
          }
          if (!late) {
            late = ComputeDispatchRank(*job, occurrence,
                                       plan_->FindQueueByName(job->spec.queue),
                                       durations_[job->spec.queue], now)
                       .urgency >= Urgency::kLastChance;
          }
          const int64_t work =
              requested * PredictedDuration(*job, spec).count();
          report.backlog_millicore_ms += work;
          report.late_backlog_millicore_ms += *late ? work : 0;
        }
      }
    }
  }
  report.further_workers = CountFurtherWorkersForLargeTasks(now);
  stats_->SetWaitingTasks(options_.pool, waiting_by_queue_);
  report.customers = ReportCustomers(now);
  return report;
}

}  // namespace figflow
