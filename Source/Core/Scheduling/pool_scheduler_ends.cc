// Ends workers that certainly have no runs any more, and keeps new tasks from
// those that are reported as ended.
#include <algorithm>
#include <iterator>
#include <set>
#include <vector>

#include "Common/log.h"
#include "Scheduling/pool_scheduler.h"
#include "Scheduling/scheduler_metrics.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

// How long a reported end is remembered after its last report; longer than the
// registry lists a worker that has ended.
constexpr std::chrono::seconds kReportedEndRetention{5};

}  // namespace

void PoolScheduler::ReturnLostTasks(WorkerState& worker,
                                    const std::set<TaskRef>& tasks,
                                    const char* cause,
                                    MonoTime now) {
  if (!tasks.empty()) {
    stats_->workers_lost.Add();
    stats_->runs_lost.Add(tasks.size());
    const auto silence = WholeMilliseconds(now - worker.last_response_at);
    LogEvent(LogLevel::kWarning, LogCategory::kJobs, "worker_lost",
             {{"worker", worker.report.key.id},
              {"incarnation", absl::StrCat(worker.report.key.incarnation)},
              {"instance", worker.report.instance},
              {"pool", options_.pool},
              {"fence", absl::StrCat(options_.fence)},
              {"cause", cause},
              {"silent_ms", absl::StrCat(silence.count())},
              {"missed", absl::StrCat(worker.missed_responses)},
              {"tasks", absl::StrCat(tasks.size())}});
  }
  for (const TaskRef& ref : tasks) {
    ReturnLostTask(ref, now);
  }
}

void PoolScheduler::EndWorker(WorkerState& worker,
                              const char* cause,
                              MonoTime now) {
  ReturnLostTasks(worker, std::set<TaskRef>(worker.tasks), cause, now);
  for (const auto& [key, stop] : worker.stops) {
    usage_.Remove(stop.customer, stop.size);
  }
  worker.stops.clear();
  worker.used = Resources();
}

void PoolScheduler::EndExpiredRuns(WorkerState& worker, MonoTime now) {
  const MonoTime all_expired_at = worker.AllOrdersExpiredAt();
  if (now >= all_expired_at) {
    EndWorker(worker, "lease-ran-out", now);
    return;
  }
  Wake(all_expired_at);
  std::set<TaskRef> expired;
  std::copy_if(worker.tasks.begin(), worker.tasks.end(),
               std::inserter(expired, expired.end()), [](const TaskRef& ref) {
                 return WorkerState::EndsWithThisIncarnation(ref.Get());
               });
  ReturnLostTasks(worker, expired, "lease-ran-out", now);
}

void PoolScheduler::ReplaceWorker(WorkerState& earlier,
                                  WorkerState& next,
                                  MonoTime now) {
  std::vector<TaskRef> open_orders;
  if (earlier.report.key.id == next.report.key.id) {
    std::copy_if(earlier.tasks.begin(), earlier.tasks.end(),
                 std::back_inserter(open_orders), [](const TaskRef& ref) {
                   const Task& task = ref.Get();
                   // A response to a start order names no incarnation.
                   const bool accepted_by_either =
                       task.phase == TaskPhase::kRunning &&
                       !task.listed_by_worker;
                   return task.order_in_flight || task.order_outcome_unknown ||
                          task.inherited || accepted_by_either;
                 });
  }
  EndWorker(earlier, "replaced", now);
  next.inherited_leases_until = std::max(next.inherited_leases_until,
                                         earlier.next_incarnation_leases_until);
  for (const TaskRef& ref : open_orders) {
    BlockPlacement(ref, next, now);
  }
}

void PoolScheduler::BlockPlacement(const TaskRef& ref,
                                   WorkerState& worker,
                                   MonoTime now) {
  Task& task = ref.Get();
  if (!ref.job->live() || task.phase != TaskPhase::kWaiting) {
    return;
  }
  LogEvent(LogLevel::kInfo, LogCategory::kJobs, "task_held_back",
           {{"task", FormatTaskName(ref.Name())},
            {"run", absl::StrCat(task.run)},
            {"worker", worker.report.key.id},
            {"cause", "open-order-to-an-earlier-life"}});
  task.phase = TaskPhase::kStarting;
  task.since = now;
  --ref.GetStage().waiting;
  AttachTask(ref, worker);
  task.order_outdated = true;
  RequestStop(worker, ref.Name(), task.run, Resources(), now);
}

void PoolScheduler::RecordOpenOrder(const StartOrder& order, MonoTime now) {
  const WorkerKey& target = order.target.worker;
  open_orders_.Add(target.id, order.task, order.run, now);
  for (auto& [key, worker] : workers_) {
    if (key.id == target.id && key.incarnation > target.incarnation) {
      RequestStop(*worker, order.task, order.run, Resources(), now);
    }
  }
}

void PoolScheduler::StopOpenOrders(WorkerState& worker, MonoTime now) {
  for (const OpenOrders::Order& order :
       open_orders_.OrdersTo(worker.report.key.id, now)) {
    RequestStop(worker, order.task, order.run, Resources(), now);
  }
}

void PoolScheduler::OnWorkerSuperseded(const WorkerKey& superseded,
                                       MonoTime now) {
  for (auto& [key, worker] : workers_) {
    if (key.id == superseded.id && key.incarnation <= superseded.incarnation) {
      EndWorker(*worker, "superseded", now);
      worker->listed = false;
      worker->addressable = false;
    }
  }
}

void PoolScheduler::OnWorkerReportedEnded(const WorkerKey& key, MonoTime now) {
  for (auto it = reported_ends_.begin(); it != reported_ends_.end();) {
    it = now - it->second.last_reported_at > kReportedEndRetention
             ? reported_ends_.erase(it)
             : std::next(it);
  }
  ReportedEnd& end =
      reported_ends_.emplace(key, ReportedEnd{now, now}).first->second;
  end.last_reported_at = now;
  WorkerState* worker = FindWorker(key);
  if (worker == nullptr || worker->reported_ended || end.refuted) {
    return;
  }
  worker->reported_ended = true;
  LogEvent(LogLevel::kInfo, LogCategory::kJobs, "worker_reported_ended",
           {{"worker", key.id},
            {"incarnation", absl::StrCat(key.incarnation)},
            {"instance", worker->report.instance},
            {"pool", options_.pool},
            {"tasks", absl::StrCat(worker->tasks.size())}});
}

bool PoolScheduler::IsReportedEnded(const WorkerKey& key, MonoTime now) const {
  const auto end = reported_ends_.find(key);
  return end != reported_ends_.end() && !end->second.refuted &&
         now - end->second.last_reported_at <= kReportedEndRetention;
}

void PoolScheduler::RefuteReportedEnd(WorkerState& worker, MonoTime sent_at) {
  const auto end = reported_ends_.find(worker.report.key);
  if (!worker.reported_ended || end == reported_ends_.end() ||
      sent_at <= end->second.first_reported_at) {
    return;
  }
  end->second.refuted = true;
  worker.reported_ended = false;
  dispatch_needed_ = true;
  LogEvent(LogLevel::kWarning, LogCategory::kJobs, "reported_end_refuted",
           {{"worker", worker.report.key.id},
            {"incarnation", absl::StrCat(worker.report.key.incarnation)},
            {"instance", worker.report.instance},
            {"pool", options_.pool},
            {"tasks", absl::StrCat(worker.tasks.size())}});
}

}  // namespace figflow
