// Handles failed runs: counts them against tasks, and against workers unless
// the job fails wherever it runs.
#include <algorithm>
#include <iterator>

#include "Common/log.h"
#include "Scheduling/pool_scheduler.h"
#include "Scheduling/scheduler_metrics.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

// A stage that fails on this many workers, and is done on none, fails because
// of its job: few workers of a pool fail at a time.
constexpr int kWorkersToBlameJob = 3;
// Fewer in a pool that has no more workers. One worker shows nothing.
constexpr int kMinWorkersToBlameJob = 2;
// Failures of a stage that are longer ago are independent of each other.
constexpr std::chrono::seconds kFailureMemory{10};

}  // namespace

void PoolScheduler::AttributeFailure(const TaskRef& ref,
                                     WorkerState& worker,
                                     MonoTime now) {
  Stage& stage = ref.GetStage();
  stage.failed_on[worker.report.key.id] = now;
  for (auto it = stage.failed_on.begin(); it != stage.failed_on.end();) {
    it = now - it->second > kFailureMemory ? stage.failed_on.erase(it)
                                           : std::next(it);
  }
  const auto usable =
      std::count_if(workers_.begin(), workers_.end(), [](const auto& entry) {
        const WorkerState& other = *entry.second;
        return other.IsInUse() && other.addressable && other.fenced;
      });
  const int needed = std::clamp(static_cast<int>(usable), kMinWorkersToBlameJob,
                                kWorkersToBlameJob);
  const std::string& job = ref.job->spec.id;
  if (static_cast<int>(stage.failed_on.size()) < needed) {
    worker.health.OnRunFailed(job, now);
    return;
  }
  LogEvent(LogLevel::kInfo, LogCategory::kJobs, "failures_blamed_on_job",
           {{"job", job},
            {"stage", absl::StrCat(ref.stage)},
            {"pool", options_.pool},
            {"workers", absl::StrCat(stage.failed_on.size())},
            {"usable", absl::StrCat(usable)}});
  for (auto& [key, other] : workers_) {
    other->health.DiscountFailures(job);
  }
  dispatch_needed_ = true;
}

bool PoolScheduler::CountFailure(const TaskRef& ref,
                                 uint32_t run,
                                 WorkerState& worker) {
  Task& task = ref.Get();
  ++task.failures;
  task.failed_on.push_back(worker.report.key.id);
  stats_->runs_failed.Add();
  const bool last = !ref.Spec().perpetual &&
                    task.failures >= MaxAttempts(*ref.job) && ref.job->live();
  LogEvent(LogLevel::kInfo, LogCategory::kJobs, "run_failed",
           {{"task", FormatTaskName(ref.Name())},
            {"run", absl::StrCat(run)},
            {"worker", worker.report.key.id},
            {"failures", absl::StrCat(task.failures)},
            {"job_fails", last ? "yes" : "no"}});
  return last;
}

void PoolScheduler::FailTask(const TaskRef& ref,
                             WorkerState& worker,
                             MonoTime now) {
  const bool last = CountFailure(ref, ref.Get().run, worker);
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
  // The other members end by themselves, but a member whose order is still in
  // flight would wait for them in vain.
  Stage& stage = ref.GetStage();
  for (size_t i = 0; i < stage.tasks.size(); ++i) {
    Task& task = stage.tasks[i];
    const TaskRef member{ref.job, ref.occurrence, ref.stage,
                         static_cast<int>(i)};
    WorkerState* worker = task.worker;
    if (worker == nullptr || task.phase == TaskPhase::kDone) {
      continue;
    }
    if (member.index == ref.index || task.phase == TaskPhase::kPlanned) {
      ReturnTask(member, now);
    } else {
      RequestStop(*worker, member.Name(), task.run, Resources(), now);
    }
  }
}

}  // namespace figflow
