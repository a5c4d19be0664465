// Applies the responses of workers to holds.
#include <algorithm>
#include <utility>

#include "Common/log.h"
#include "Scheduling/pool_scheduler.h"
#include "Scheduling/scheduler_metrics.h"
#include "absl/strings/str_cat.h"

namespace figflow {

void PoolScheduler::LogEndWithoutEffect(const WorkerState& worker,
                                        const EndedRun& end,
                                        const std::optional<TaskRef>& ref) {
  stats_->ends_without_effect.Add();
  LogEvent(LogLevel::kInfo, LogCategory::kJobs, "end_without_effect",
           {{"task", TaskText(end.name)},
            {"run", absl::StrCat(end.run)},
            {"how", std::string(RunResultName(end.end))},
            {"worker", worker.report.key.id},
            {"pool", options_.pool},
            {"fence", absl::StrCat(options_.fence)},
            {"known_run", absl::StrCat(ref ? ref->Get().run : 0)},
            {"phase", ref ? std::string(TaskPhaseName(ref->Get().phase))
                          : "unknown-task"}});
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
  const std::optional<TaskRef> ref = FindTask(end.name);
  bool applied = false;
  if (ref) {
    const Task& task = ref->Get();
    if (task.worker == &worker && task.run == end.run &&
        task.phase != TaskPhase::kDone) {
      ApplyCurrentEnd(worker, *ref, end, now);
      applied = true;
    } else {
      applied = ApplyEarlierEnd(worker, *ref, end, now);
    }
  }
  if (!applied) {
    LogEndWithoutEffect(worker, end, ref);
  }
  EndNote note;
  note.number = end.number;
  if (ref) {
    note.job = ref->job;
    note.version = ref->job->version;
  }
  worker.notes.push_back(std::move(note));
}

void PoolScheduler::CompleteByEarlierRun(const TaskRef& ref, MonoTime now) {
  std::vector<TaskRef> completed = {ref};
  // The result of one member counts for the whole gang.
  if (ref.Spec().gang) {
    completed.clear();
    for (int i = 0; i < ref.Spec().count; ++i) {
      completed.push_back({ref.job, ref.occurrence, ref.stage, i});
    }
  }
  for (const TaskRef& member : completed) {
    const Task& task = member.Get();
    if (task.worker != nullptr && task.phase != TaskPhase::kPlanned &&
        task.phase != TaskPhase::kDone) {
      RequestStop(*task.worker, member.Name(), task.run,
                  CountedSize(member.Spec()), now);
    }
    CompleteTask(member, now);
  }
}

bool PoolScheduler::ApplyEarlierEnd(WorkerState& worker,
                                    const TaskRef& ref,
                                    const EndedRun& end,
                                    MonoTime now) {
  Task& task = ref.Get();
  const auto lost =
      std::find(task.lost_runs.begin(), task.lost_runs.end(), end.run);
  const bool was_lost = lost != task.lost_runs.end();
  if (was_lost) {
    task.lost_runs.erase(lost);
    MarkChanged(ref.job);
  }
  if (task.phase == TaskPhase::kDone || !ref.job->live() ||
      ref.Spec().perpetual) {
    return was_lost;
  }
  if (end.end == RunResult::kDone) {
    LogEvent(LogLevel::kInfo, LogCategory::kJobs, "done_by_earlier_run",
             {{"task", TaskText(end.name)},
              {"run", absl::StrCat(end.run)},
              {"worker", worker.report.key.id},
              {"known_run", absl::StrCat(task.run)},
              {"phase", std::string(TaskPhaseName(task.phase))}});
    CompleteByEarlierRun(ref, now);
    return true;
  }
  // A failure of a run that is not a lost one was counted by an earlier owner.
  if (end.end == RunResult::kFailed && was_lost) {
    worker.health.OnFailed(now);
    if (CountFailure(ref, end.run, worker)) {
      Finish(ref.job, JobStatus::kFailed, now);
    }
  }
  return was_lost;
}

void PoolScheduler::ApplyCurrentEnd(WorkerState& worker,
                                    const TaskRef& ref,
                                    const EndedRun& end,
                                    MonoTime now) {
  Task& task = ref.Get();
  if (!end.checkpoint.empty()) {
    task.checkpoint = end.checkpoint;
  }
  switch (end.end) {
    case RunResult::kDone:
      stats_->runs_done.Add();
      worker.health.OnDone(now);
      if (ref.Spec().perpetual) {
        ReturnTask(ref, now);
        return;
      }
      if (task.phase == TaskPhase::kRunning && task.checkpoint.empty()) {
        durations_[ref.job->spec.queue].Learn(
            ref.Spec().estimate,
            std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                                  task.since));
      }
      if (!ref.Spec().gang) {
        CompleteTask(ref, now);
        return;
      }
      // The result of one member counts for the whole gang.
      for (int i = 0; i < ref.Spec().count; ++i) {
        CompleteTask({ref.job, ref.occurrence, ref.stage, i}, now);
      }
      return;
    case RunResult::kFailed:
      worker.health.OnFailed(now);
      FailTask(ref, worker, now);
      return;
    case RunResult::kStopped:
      ReturnTask(ref, now);
      return;
    case RunResult::kLapsed:
    case RunResult::kBroken:
    case RunResult::kAlone:
      stats_->runs_lapsed.Add();
      LogEvent(LogLevel::kWarning, LogCategory::kJobs, "run_broken_off",
               {{"task", TaskText(end.name)},
                {"run", absl::StrCat(end.run)},
                {"worker", worker.report.key.id},
                {"how", std::string(RunResultName(end.end))}});
      ReturnTask(ref, now);
      return;
  }
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
    // A run that was confirmed before this hold was sent, and is not listed in
    // its response, has ended. A run that only an earlier owner ordered cannot
    // start any more: the worker has seen the new fence.
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
    // An earlier owner's lease may be as long as the maximum that the worker
    // grants.
    worker.latest_deadline = std::max(worker.latest_deadline,
                                      status.clock + longest_inherited_lease_);
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
    worker->silence.OnHoldFailed(sent_at, now - sent_at - order.answer_time,
                                 worker->DeadAt());
    OnUnanswered(*worker, now);
    return;
  }
  if (answer->answer == StartAnswer::kReplaced) {
    EndWorker(*worker, "replaced", now);
    worker->addressable = false;
    return;
  }
  const int64_t known = worker->report.key.incarnation;
  const int64_t shown = answer->status.incarnation;
  if (known != 0 && shown != 0 && known != shown) {
    ReplaceWorker(*worker, NextLife(*worker, shown, now), now);
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
      // The worker responds but reports nothing about its runs.
      worker->silence.OnHoldFailed(sent_at, now - sent_at - order.answer_time,
                                   worker->DeadAt());
      OnUnanswered(*worker, now);
      return;
  }
}

}  // namespace figflow
