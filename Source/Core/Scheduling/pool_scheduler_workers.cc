// Workers, what they answer and what that says about runs.
#include <algorithm>
#include <utility>

#include "Common/log.h"
#include "Scheduling/pool_scheduler.h"
#include "Scheduling/scheduler_metrics.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

// A slower clock makes a lease of 6 s last longer.
constexpr double kSlowestWorkerClock = 0.98;
// An order without an answer is sent again after this time; an answer takes a
// few milliseconds.
constexpr std::chrono::milliseconds kOrderRetry{150};
// A worker that did not answer a hold is asked again after this time.
constexpr std::chrono::milliseconds kHoldRetry{200};

}  // namespace

WorkerState* PoolScheduler::FindWorker(const WorkerKey& key) {
  const auto known = workers_.find(key);
  return known == workers_.end() ? nullptr : known->second.get();
}

WorkerState& PoolScheduler::AddWorker(const WorkerKey& key, MonoTime now) {
  std::unique_ptr<WorkerState>& worker = workers_[key];
  worker = std::make_unique<WorkerState>();
  worker->report.key = key;
  worker->last_answer = now;
  worker->next_hold = now;
  const auto lease = std::chrono::duration_cast<MonoTime::duration>(
      options_.bounds.longest_lease / kSlowestWorkerClock);
  worker->inherited_until = activated_ + options_.earlier_owner_grace + lease;
  return *worker;
}

void PoolScheduler::OnWorkerListed(const WorkerReport& report, MonoTime now) {
  for (auto it = workers_.begin(); it != workers_.end();) {
    WorkerState& other = *(it++)->second;
    const WorkerKey key = other.report.key;
    // A new life under the same id, or on the same instance, proves that the
    // earlier one has ended.
    const bool same_instance =
        !report.instance.empty() && other.report.instance == report.instance;
    if (key != report.key && (key.id == report.key.id || same_instance) &&
        key.incarnation <= report.key.incarnation) {
      EndWorker(other, "replaced", now);
      workers_.erase(key);
    }
  }
  WorkerState* worker = FindWorker(report.key);
  if (worker == nullptr) {
    worker = &AddWorker(report.key, now);
  }
  if (report.draining && !worker->report.draining) {
    LogEvent(LogLevel::kInfo, LogCategory::kJobs, "worker_draining",
             {{"worker", report.key.id},
              {"pool", options_.pool},
              {"tasks", absl::StrCat(worker->tasks.size())}});
  }
  worker->report = report;
  worker->listed = true;
  worker->addressable = true;
  dispatch_wanted_ = true;
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
    listed += worker->listed ? 1 : 0;
    reached += worker->listed && worker->fenced ? 1 : 0;
  }
  return {listed, reached};
}

void PoolScheduler::OnAnswered(WorkerState& worker,
                               std::chrono::milliseconds clock,
                               MonoTime now) {
  worker.last_answer = now;
  dispatch_wanted_ = dispatch_wanted_ || worker.misses > 0;
  worker.misses = 0;
  worker.next_hold = MonoTime::min();
  if (clock.count() > 0) {
    worker.clock.Observe(clock, now);
  }
}

void PoolScheduler::OnUnanswered(WorkerState& worker, MonoTime now) {
  if (worker.misses++ == 0) {
    LogEvent(LogLevel::kWarning, LogCategory::kJobs, "worker_unanswered",
             {{"worker", worker.report.key.id},
              {"pool", options_.pool},
              {"tasks", absl::StrCat(worker.tasks.size())}});
  }
  worker.next_hold = now + kHoldRetry;
  ReleaseSpeculative(worker, now);
}

void PoolScheduler::EndWorker(WorkerState& worker,
                              const char* cause,
                              MonoTime now) {
  if (!worker.tasks.empty()) {
    stats_->workers_lost.Add();
    stats_->runs_lost.Add(worker.tasks.size());
    LogEvent(LogLevel::kWarning, LogCategory::kJobs, "worker_lost",
             {{"worker", worker.report.key.id},
              {"pool", options_.pool},
              {"cause", cause},
              {"tasks", absl::StrCat(worker.tasks.size())}});
  }
  const std::set<TaskRef> tasks = worker.tasks;
  for (const TaskRef& ref : tasks) {
    ReturnTask(ref, now);
  }
  worker.stops.clear();
  worker.notes.clear();
  worker.used = Resources();
}

void PoolScheduler::OnWorkerEnded(const std::string& id, MonoTime now) {
  for (auto& [key, worker] : workers_) {
    if (key.id == id && (worker->listed || !worker->tasks.empty())) {
      EndWorker(*worker, "instance-reassigned", now);
      worker->listed = false;
      worker->addressable = false;
    }
  }
}

void PoolScheduler::OnStartAnswer(const StartOrder& order,
                                  const Result<OrderAnswer>& answer,
                                  MonoTime now) {
  WorkerState* worker = FindWorker(order.target.worker);
  if (worker == nullptr) {
    return;
  }
  if (answer) {
    OnAnswered(*worker, answer->clock, now);
  } else {
    OnUnanswered(*worker, now);
  }
  const std::optional<TaskRef> ref = FindTask(order.task);
  const bool current = ref && ref->Get().worker == worker &&
                       ref->Get().run == order.run &&
                       ref->Get().phase != TaskPhase::kDone;
  if (!current) {
    // The run is not wanted any more; a hold will show it if it is there.
    return;
  }
  Task& task = ref->Get();
  task.order_in_flight = false;
  if (!answer) {
    task.order_unanswered = true;
    task.next_order = now + kOrderRetry;
    return;
  }
  if (answer->answer != StartAnswer::kStarted) {
    stats_->Rejected(answer->answer).Add();
    LogEvent(LogLevel::kInfo, LogCategory::kJobs, "start_rejected",
             {{"task", TaskText(order.task)},
              {"run", absl::StrCat(order.run)},
              {"worker", worker->report.key.id},
              {"reason", std::string(StartAnswerName(answer->answer))}});
  }
  switch (answer->answer) {
    case StartAnswer::kStarted:
      if (task.phase == TaskPhase::kStarting) {
        task.phase = TaskPhase::kRunning;
        task.since = now;
        if (!ref->job->started) {
          ref->job->started = true;
          stats_->time_to_start.Record(now - ref->job->arrived);
        }
      }
      return;
    case StartAnswer::kFenced:
      deposed_ = true;
      return;
    case StartAnswer::kOutdated:
      task.order_outdated = true;
      task.since = now;
      return;
    case StartAnswer::kLate:
      // The next order carries a deadline from the answer's clock reading.
      task.next_order = now;
      return;
    case StartAnswer::kReplaced:
      EndWorker(*worker, "replaced", now);
      worker->addressable = false;
      return;
    case StartAnswer::kUnhealthy:
      worker->health.OnRefused(now);
      break;
    case StartAnswer::kNoTicket:
      ref->GetStage().advice.OnTicketRefused(worker->report.key);
      break;
    case StartAnswer::kNoRoom:
      break;
    case StartAnswer::kRefused:
      FailTask(*ref, *worker, now);
      return;
  }
  if (task.order_unanswered) {
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
  const auto [entry, added] = worker.stops.emplace(
      std::make_pair(TaskText(name), run), std::move(stop));
  if (added) {
    worker.used += size;
  }
}

void PoolScheduler::EndStop(WorkerState& worker,
                            const TaskName& name,
                            uint32_t run) {
  const auto stop = worker.stops.find({TaskText(name), run});
  if (stop != worker.stops.end()) {
    worker.used -= stop->second.size;
    worker.stops.erase(stop);
    dispatch_wanted_ = true;
  }
}

void PoolScheduler::OnStopAnswer(const StopOrder& order,
                                 const Result<OrderAnswer>& answer,
                                 MonoTime now) {
  WorkerState* worker = FindWorker(order.target.worker);
  if (worker == nullptr) {
    return;
  }
  const auto stop = worker->stops.find({TaskText(order.task), order.run});
  if (stop != worker->stops.end()) {
    stop->second.in_flight = false;
    stop->second.next_try = now + kOrderRetry;
  }
  if (!answer) {
    OnUnanswered(*worker, now);
    return;
  }
  OnAnswered(*worker, answer->clock, now);
  switch (answer->answer) {
    case StartAnswer::kFenced:
      deposed_ = true;
      return;
    case StartAnswer::kReplaced:
      EndWorker(*worker, "replaced", now);
      worker->addressable = false;
      return;
    default:
      break;
  }
  const bool accepted = answer->answer == StartAnswer::kStarted ||
                        answer->answer == StartAnswer::kOutdated;
  if (accepted && stop != worker->stops.end() && !stop->second.accepted) {
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
          RequestStop(*worker, ref.Name(), task.run, CountedSize(ref.Spec()),
                      now);
        }
        task.phase = TaskPhase::kWaiting;
      }
    }
  }
}

void PoolScheduler::FailTask(const TaskRef& ref,
                             WorkerState& worker,
                             MonoTime now) {
  Task& task = ref.Get();
  ++task.failures;
  task.failed_on.push_back(worker.report.key.id);
  stats_->runs_failed.Add();
  const bool last = !ref.Spec().perpetual &&
                    task.failures >= MaxAttempts(*ref.job) && ref.job->live();
  LogEvent(LogLevel::kInfo, LogCategory::kJobs, "run_failed",
           {{"task", TaskText(ref.Name())},
            {"run", absl::StrCat(task.run)},
            {"worker", worker.report.key.id},
            {"failures", absl::StrCat(task.failures)},
            {"job_fails", last ? "yes" : "no"}});
  if (ref.Spec().gang) {
    BreakGang(ref, now);
  } else {
    ReturnTask(ref, now);
  }
  if (last) {
    Finish(ref.job, JobStatus::kFailed, now);
  }
}

void PoolScheduler::BreakGang(const TaskRef& ref, MonoTime now) {
  // The other members end by themselves, but a member whose order is still
  // under way would wait for them in vain.
  Stage& stage = ref.GetStage();
  for (size_t i = 0; i < stage.tasks.size(); ++i) {
    Task& task = stage.tasks[i];
    const TaskRef member{ref.job, ref.occurrence, ref.stage,
                         static_cast<int>(i)};
    WorkerState* worker = task.worker;
    if (worker == nullptr || task.phase == TaskPhase::kDone) {
      continue;
    }
    if (member.index == ref.index) {
      ReturnTask(member, now);
    } else if (task.phase == TaskPhase::kPlanned) {
      ReturnTask(member, now);
    } else {
      RequestStop(*worker, member.Name(), task.run, Resources(), now);
    }
  }
}

void PoolScheduler::AdvanceNotes(WorkerState& worker) {
  while (!worker.notes.empty()) {
    const EndNote& note = worker.notes.front();
    if (note.job != nullptr && note.job->durable_version < note.version) {
      return;
    }
    worker.acknowledged = note.number;
    worker.notes.pop_front();
  }
}

void PoolScheduler::ApplyEnd(WorkerState& worker,
                             const EndedRun& end,
                             MonoTime now) {
  EndStop(worker, end.name, end.run);
  EndNote note;
  note.number = end.number;
  const std::optional<TaskRef> ref = FindTask(end.name);
  const bool current = ref && ref->Get().worker == &worker &&
                       ref->Get().run == end.run &&
                       ref->Get().phase != TaskPhase::kDone;
  // The worker was given up before it could tell that its run was done, and no
  // other run has begun.
  const bool done_after_all = ref && end.end == RunEnd::kDone &&
                              ref->Get().phase == TaskPhase::kWaiting &&
                              ref->Get().run == end.run && !ref->Spec().gang &&
                              !ref->Spec().perpetual;
  // The first copy to finish counts.
  const bool copy_done = ref && !current && end.end == RunEnd::kDone &&
                         ref->Spec().speculative && !ref->Spec().gang &&
                         ref->Get().phase != TaskPhase::kDone;
  if (done_after_all || copy_done) {
    const Task& task = ref->Get();
    if (task.worker != nullptr && task.phase != TaskPhase::kPlanned) {
      RequestStop(*task.worker, end.name, task.run, Resources(), now);
    }
    CompleteTask(*ref, now);
    note.job = ref->job;
    note.version = ref->job->version;
  }
  if (current) {
    Task& task = ref->Get();
    if (!end.checkpoint.empty()) {
      task.checkpoint = end.checkpoint;
    }
    switch (end.end) {
      case RunEnd::kDone: {
        stats_->runs_done.Add();
        worker.health.OnDone(now);
        if (ref->Spec().perpetual) {
          ReturnTask(*ref, now);
          break;
        }
        if (task.phase == TaskPhase::kRunning && task.checkpoint.empty()) {
          durations_[ref->job->spec.queue].Learn(
              ref->Spec().estimate,
              std::chrono::duration_cast<std::chrono::milliseconds>(
                  now - task.since));
        }
        if (!ref->Spec().gang) {
          CompleteTask(*ref, now);
          break;
        }
        // One member's end stands for the whole gang.
        const int members = ref->Spec().count;
        for (int i = 0; i < members; ++i) {
          CompleteTask({ref->job, ref->occurrence, ref->stage, i}, now);
        }
        break;
      }
      case RunEnd::kFailed:
        worker.health.OnFailed(now);
        FailTask(*ref, worker, now);
        break;
      case RunEnd::kStopped:
        ReturnTask(*ref, now);
        break;
      case RunEnd::kLapsed:
      case RunEnd::kBroken:
      case RunEnd::kAlone:
        stats_->runs_lapsed.Add();
        LogEvent(LogLevel::kWarning, LogCategory::kJobs, "run_broken_off",
                 {{"task", TaskText(end.name)},
                  {"run", absl::StrCat(end.run)},
                  {"worker", worker.report.key.id},
                  {"how", std::string(RunEndName(end.end))}});
        ReturnTask(*ref, now);
        break;
    }
    note.job = ref->job;
    note.version = ref->job->version;
  }
  worker.notes.push_back(std::move(note));
}

void PoolScheduler::ApplyRunning(WorkerState& worker,
                                 const WorkerStatus& status,
                                 MonoTime sent_at,
                                 MonoTime now) {
  std::set<TaskRef> seen;
  std::set<std::pair<std::string, uint32_t>> present;
  for (const RunningTask& running : status.running) {
    const std::optional<TaskRef> ref = FindTask(running.name);
    const bool wanted =
        ref && ref->job->live() && ref->Get().worker == &worker &&
        ref->Get().run == running.run && ref->Get().phase != TaskPhase::kDone;
    present.insert({TaskText(running.name), running.run});
    if (!wanted) {
      const Resources size = ref ? CountedSize(ref->Spec()) : Resources();
      RequestStop(worker, running.name, running.run, size, now);
      continue;
    }
    Task& task = ref->Get();
    seen.insert(*ref);
    if (task.phase != TaskPhase::kRunning) {
      task.phase = TaskPhase::kRunning;
      task.since = now;
      task.inherited = false;
      ref->job->started = true;
    }
    task.percent = running.percent;
    if (!running.checkpoint.empty()) {
      task.checkpoint = running.checkpoint;
    }
  }
  const std::set<TaskRef> tasks = worker.tasks;
  for (const TaskRef& ref : tasks) {
    Task& task = ref.Get();
    if (seen.count(ref) > 0 || task.phase == TaskPhase::kPlanned) {
      continue;
    }
    // A run confirmed before this hold was sent, and not listed in its answer,
    // is gone. A run that only an earlier owner ordered cannot begin any more:
    // the worker knows the new fence.
    const bool gone =
        task.inherited ||
        (task.since < sent_at &&
         (task.phase == TaskPhase::kRunning || task.order_outdated));
    if (gone && !worker.HasStop(ref.Name(), task.run)) {
      stats_->runs_lost.Add();
      ReturnTask(ref, now);
    }
  }
  for (auto it = worker.stops.begin(); it != worker.stops.end();) {
    const StopRequest& stop = (it++)->second;
    if (!stop.accepted || sent_at < stop.accepted_at ||
        present.count({TaskText(stop.task), stop.run}) > 0) {
      continue;
    }
    const TaskName name = stop.task;
    const uint32_t run = stop.run;
    EndStop(worker, name, run);
    const std::optional<TaskRef> ref = FindTask(name);
    if (ref && ref->Get().worker == &worker && ref->Get().run == run) {
      ReturnTask(*ref, now);
    }
  }
}

void PoolScheduler::ApplyStatus(WorkerState& worker,
                                const WorkerStatus& status,
                                MonoTime sent_at,
                                MonoTime now) {
  OnAnswered(worker, status.clock, now);
  if (!worker.fenced) {
    worker.fenced = true;
    dispatch_wanted_ = true;
    // An earlier owner's lease may be as long as the worker grants.
    worker.latest_deadline = std::max(
        worker.latest_deadline, status.clock + options_.bounds.longest_lease);
  }
  for (const EndedRun& end : status.ended) {
    if (end.number > worker.read_ends) {
      worker.read_ends = end.number;
      ApplyEnd(worker, end, now);
    }
  }
  ApplyRunning(worker, status, sent_at, now);
  AdjustPace(worker, status, now);
  AdvanceNotes(worker);
}

void PoolScheduler::OnHoldAnswer(const HoldOrder& order,
                                 const Result<HoldAnswer>& answer,
                                 MonoTime sent_at,
                                 MonoTime now) {
  WorkerState* worker = FindWorker(order.target.worker);
  if (worker == nullptr) {
    return;
  }
  worker->hold_in_flight = false;
  if (!answer) {
    OnUnanswered(*worker, now);
    return;
  }
  const int64_t known = worker->report.key.incarnation;
  const int64_t shown = answer->status.incarnation;
  const bool replaced = answer->answer == StartAnswer::kReplaced ||
                        (known != 0 && shown != 0 && known != shown);
  if (replaced) {
    EndWorker(*worker, "replaced", now);
    worker->addressable = false;
    return;
  }
  switch (answer->answer) {
    case StartAnswer::kStarted:
      worker->acknowledged_there =
          std::max(worker->acknowledged_there, order.acknowledged);
      ApplyStatus(*worker, answer->status, sent_at, now);
      return;
    case StartAnswer::kFenced:
      deposed_ = true;
      return;
    default:
      // The worker answers but tells nothing about its runs.
      OnUnanswered(*worker, now);
      return;
  }
}

}  // namespace figflow
