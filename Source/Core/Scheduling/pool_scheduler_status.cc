// Applies the responses of workers to holds.
#include <algorithm>
#include <utility>

#include "Common/log.h"
#include "Scheduling/pool_scheduler.h"
#include "Scheduling/scheduler_metrics.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

// Number of holds in a row without a response after which speculative tasks are
// copied.
constexpr int kMissedHoldsBeforeCopies = 2;
// Delay before the next hold to a worker that missed two responses.
constexpr std::chrono::milliseconds kHoldRetryDelay{200};

}  // namespace

void PoolScheduler::LogResultWithoutEffect(const WorkerState& worker,
                                           const EndedRun& ended,
                                           const std::optional<TaskRef>& ref) {
  stats_->ends_without_effect.Add();
  LogEvent(LogLevel::kInfo, LogCategory::kJobs, "end_without_effect",
           {{"task", FormatTaskName(ended.name)},
            {"run", absl::StrCat(ended.run)},
            {"how", std::string(RunResultName(ended.end))},
            {"worker", worker.report.key.id},
            {"pool", options_.pool},
            {"fence", absl::StrCat(options_.fence)},
            {"known_run", absl::StrCat(ref ? ref->Get().run : 0)},
            {"phase", ref ? std::string(TaskPhaseName(ref->Get().phase))
                          : "unknown-task"}});
}

void PoolScheduler::AdvanceAcknowledged(WorkerState& worker) {
  while (!worker.notes.empty()) {
    const PendingAcknowledgement& acknowledgement = worker.notes.front();
    if (acknowledgement.job != nullptr &&
        acknowledgement.job->durable_version < acknowledgement.version) {
      return;
    }
    worker.acknowledged = acknowledgement.number;
    worker.notes.pop_front();
  }
}

void PoolScheduler::ApplyEndedRun(WorkerState& worker,
                                  const EndedRun& ended,
                                  MonoTime now) {
  RemoveStop(worker, ended.name, ended.run);
  const std::optional<TaskRef> ref = FindTask(ended.name);
  bool applied = false;
  if (ref) {
    const Task& task = ref->Get();
    if (task.worker == &worker && task.run == ended.run &&
        task.phase != TaskPhase::kDone) {
      ApplyCurrentRunResult(worker, *ref, ended, now);
      applied = true;
    } else {
      applied = ApplyEarlierRunResult(worker, *ref, ended, now);
    }
  }
  if (!applied) {
    LogResultWithoutEffect(worker, ended, ref);
  }
  PendingAcknowledgement acknowledgement;
  acknowledgement.number = ended.number;
  if (ref) {
    acknowledgement.job = ref->job;
    acknowledgement.version = ref->job->version;
  }
  worker.notes.push_back(std::move(acknowledgement));
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
                  ReservedResources(member.Spec()), now);
    }
    CompleteTask(member, now);
  }
}

bool PoolScheduler::ApplyEarlierRunResult(WorkerState& worker,
                                          const TaskRef& ref,
                                          const EndedRun& ended,
                                          MonoTime now) {
  Task& task = ref.Get();
  const auto lost =
      std::find(task.lost_runs.begin(), task.lost_runs.end(), ended.run);
  const bool was_lost = lost != task.lost_runs.end();
  if (was_lost) {
    task.lost_runs.erase(lost);
    MarkChanged(ref.job);
  }
  if (task.phase == TaskPhase::kDone || !ref.job->live() ||
      ref.Spec().perpetual) {
    return was_lost;
  }
  if (ended.end == RunResult::kDone) {
    LogEvent(LogLevel::kInfo, LogCategory::kJobs, "done_by_earlier_run",
             {{"task", FormatTaskName(ended.name)},
              {"run", absl::StrCat(ended.run)},
              {"worker", worker.report.key.id},
              {"known_run", absl::StrCat(task.run)},
              {"phase", std::string(TaskPhaseName(task.phase))}});
    CompleteByEarlierRun(ref, now);
    return true;
  }
  // A failure of a run that is not a lost one was counted by an earlier owner.
  if (ended.end == RunResult::kFailed && was_lost) {
    AttributeFailure(ref, worker, now);
    if (CountFailure(ref, ended.run, worker)) {
      Finish(ref.job, JobStatus::kFailed, now);
    }
  }
  return was_lost;
}

void PoolScheduler::ApplyCurrentRunResult(WorkerState& worker,
                                          const TaskRef& ref,
                                          const EndedRun& ended,
                                          MonoTime now) {
  Task& task = ref.Get();
  SaveCheckpoint(ref, ended.checkpoint);
  switch (ended.end) {
    case RunResult::kDone:
      stats_->runs_done.Add();
      worker.health.OnRunDone(now);
      if (ref.Spec().perpetual) {
        ReturnTask(ref, now);
        return;
      }
      if (task.phase == TaskPhase::kRunning && task.checkpoint.empty()) {
        durations_[ref.job->spec.queue].RecordDuration(
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
      AttributeFailure(ref, worker, now);
      FailTask(ref, worker, now);
      return;
    case RunResult::kStopped:
      ReturnTask(ref, now);
      return;
    case RunResult::kLeaseExpired:
    case RunResult::kGangMemberEnded:
    case RunResult::kGangIncomplete:
      stats_->runs_lapsed.Add();
      LogEvent(LogLevel::kWarning, LogCategory::kJobs, "run_broken_off",
               {{"task", FormatTaskName(ended.name)},
                {"run", absl::StrCat(ended.run)},
                {"worker", worker.report.key.id},
                {"how", std::string(RunResultName(ended.end))}});
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
    present.insert({FormatTaskName(running.name), running.run});
    if (!wanted) {
      RequestStop(worker, running.name, running.run, SizeOfTask(running.name),
                  now);
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
    task.listed_by_worker = true;
    task.confirmed = true;
    task.percent = running.percent;
    SaveCheckpoint(*ref, running.checkpoint);
  }
  if (status.more_ended) {
    // A run that is in neither list may have an end that is not listed yet.
    return;
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
    const bool has_ended =
        task.inherited ||
        (task.since < sent_at &&
         (task.phase == TaskPhase::kRunning || task.order_outdated));
    if (has_ended && !worker.HasStop(ref.Name(), task.run)) {
      stats_->runs_lost.Add();
      ReturnTask(ref, now);
    }
  }
  for (auto it = worker.stops.begin(); it != worker.stops.end();) {
    const StopRequest& stop = (it++)->second;
    if (!stop.accepted || sent_at < stop.accepted_at ||
        present.count({FormatTaskName(stop.task), stop.run}) > 0) {
      continue;
    }
    const TaskName name = stop.task;
    const uint32_t run = stop.run;
    RemoveStop(worker, name, run);
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
  OnResponseReceived(worker, status.clock, now);
  RefuteReportedEnd(worker, sent_at);
  if (!worker.fenced) {
    worker.fenced = true;
    dispatch_needed_ = true;
    // An earlier owner's lease may be as long as the maximum that the worker
    // grants.
    worker.latest_deadline =
        std::max(worker.latest_deadline, status.clock + max_inherited_lease_);
  }
  for (const EndedRun& ended : status.ended) {
    if (ended.number > worker.last_read_ended_run) {
      worker.last_read_ended_run = ended.number;
      ApplyEndedRun(worker, ended, now);
    }
  }
  ApplyRunning(worker, status, sent_at, now);
  AdjustFillerPace(worker, status, now);
  AdvanceAcknowledged(worker);
}

void PoolScheduler::OnHoldMissed(WorkerState& worker,
                                 const HoldOrder& order,
                                 MonoTime sent_at,
                                 MonoTime now) {
  worker.silence.OnHoldFailed(sent_at, now - sent_at - order.answer_time,
                              worker.AllLeasesExpiredAt());
  OnResponseMissed(worker, now);
  // Only a failed hold delays the next one: orders that fail at once are
  // repeated within the delay and would postpone it forever.
  if (worker.missed_responses > 1) {
    worker.next_hold = now + kHoldRetryDelay;
  }
  // Responses to starts and stops may be lost one by one while the worker still
  // reports its runs.
  if (++worker.missed_holds >= kMissedHoldsBeforeCopies) {
    ReleaseSpeculativeTasks(worker, now);
  }
}

void PoolScheduler::OnHoldResponse(const HoldOrder& order,
                                   const Result<HoldResponse>& answer,
                                   MonoTime sent_at,
                                   MonoTime now) {
  WorkerState* worker = FindWorker(order.target.worker);
  if (worker == nullptr) {
    return;
  }
  worker->hold_in_flight = false;
  if (!answer) {
    OnHoldMissed(*worker, order, sent_at, now);
    return;
  }
  if (answer->answer == OrderOutcome::kReplaced) {
    EndWorker(*worker, "replaced", now);
    worker->addressable = false;
    return;
  }
  const int64_t known = worker->report.key.incarnation;
  const int64_t reported = answer->status.incarnation;
  if (known != 0 && reported != 0 && known != reported) {
    ReplaceWorker(*worker, FindOrAddIncarnation(*worker, reported, now), now);
    worker->listed = false;
    worker->addressable = false;
    return;
  }
  switch (answer->answer) {
    case OrderOutcome::kStarted:
      worker->delivered_acknowledgement =
          std::max(worker->delivered_acknowledgement, order.acknowledged);
      ApplyStatus(*worker, answer->status, sent_at, now);
      return;
    case OrderOutcome::kFenced:
      deposed_ = true;
      return;
    default:
      // The worker responds but reports nothing about its runs.
      OnHoldMissed(*worker, order, sent_at, now);
      return;
  }
}

}  // namespace figflow
