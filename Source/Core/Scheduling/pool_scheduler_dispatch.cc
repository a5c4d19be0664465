// Placement of waiting tasks.
#include <algorithm>
#include <utility>

#include "Common/log.h"
#include "Scheduling/dispatch_order.h"
#include "Scheduling/placement.h"
#include "Scheduling/pool_scheduler.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

// A full pool is recognised after this many stages in a row found no room; the
// next end or step looks again.
constexpr int kMaxMisfits = 32;
// A stage that waits is explained again after the first time, and the pool
// explains one stage per gap: at a peak hundreds wait for the same reason.
constexpr std::chrono::milliseconds kExplainInterval{2'000};
constexpr std::chrono::milliseconds kExplainGap{250};

struct ReadyStage {
  DispatchRank rank;
  std::shared_ptr<Job> job;
  int occurrence = 0;
  int stage = 0;
};

// A gang starts as a whole, so none of its members may still be somewhere.
bool GangIsFree(const Stage& stage) {
  return std::all_of(
      stage.tasks.begin(), stage.tasks.end(),
      [](const Task& task) { return task.phase == TaskPhase::kWaiting; });
}

}  // namespace

void PoolScheduler::Dispatch(MonoTime now) {
  std::vector<WorkerState*> workers;
  std::vector<WorkerOption> options;
  for (auto& [key, worker] : workers_) {
    const bool usable = worker->listed && worker->addressable &&
                        worker->fenced && worker->misses == 0 &&
                        !worker->report.draining && !worker->evacuating;
    if (!usable) {
      continue;
    }
    if (worker->health.Excluded(now)) {
      Wake(worker->health.excluded_until());
      dispatch_wanted_ = true;
      continue;
    }
    WorkerOption option;
    option.report = &worker->report;
    option.room = worker->Room();
    option.doubtful = worker->health.Doubtful(now);
    option.perpetual_tasks = static_cast<int>(
        std::count_if(worker->tasks.begin(), worker->tasks.end(),
                      [](const TaskRef& ref) { return ref.Spec().perpetual; }));
    options.push_back(option);
    workers.push_back(worker.get());
  }
  if (options.empty()) {
    return;
  }

  std::vector<ReadyStage> ready;
  for (const auto& [id, job] : open_jobs_) {
    const QueueConfig* queue = plan_->QueueNamed(job->spec.queue);
    for (const auto& [number, occurrence] : job->occurrences) {
      std::optional<DispatchRank> rank;
      for (size_t i = 0; i < occurrence.stages.size(); ++i) {
        if (!IsReady(*job, occurrence, i)) {
          continue;
        }
        if (!rank) {
          rank = RankOf(*job, occurrence, queue, durations_[job->spec.queue], now);
        }
        ready.push_back({*rank, job, number, static_cast<int>(i)});
      }
    }
  }
  std::stable_sort(
      ready.begin(), ready.end(),
      [](const ReadyStage& a, const ReadyStage& b) { return a.rank < b.rank; });

  int misfits = 0;
  std::vector<int> stage_tasks(options.size());
  for (const ReadyStage& item : ready) {
    const std::shared_ptr<Job>& job = item.job;
    Stage& stage = job->occurrences.at(item.occurrence).stages[item.stage];
    const StageSpec& spec = job->spec.stages[item.stage];
    if (spec.gang && !GangIsFree(stage)) {
      continue;
    }
    for (size_t i = 0; i < workers.size(); ++i) {
      const auto count = stage.on_worker.find(workers[i]);
      stage_tasks[i] = count == stage.on_worker.end() ? 0 : count->second;
    }
    // Chosen first, so that a gang that does not fit as a whole leaves no
    // trace.
    std::vector<std::pair<int, int>> chosen;
    const std::vector<WorkerOption> before = options;
    for (int k = 0; k < spec.count; ++k) {
      const Task& task = stage.tasks[k];
      if (task.phase != TaskPhase::kWaiting) {
        continue;
      }
      const int worker =
          ChooseWorker({&spec, &task.failed_on}, options, stage_tasks);
      if (worker < 0) {
        break;
      }
      options[worker].room -= CountedSize(spec);
      options[worker].perpetual_tasks += spec.perpetual ? 1 : 0;
      ++stage_tasks[worker];
      chosen.emplace_back(k, worker);
    }
    const bool complete = static_cast<int>(chosen.size()) == stage.waiting;
    if (!complete && now - stage.explained_at >= kExplainInterval &&
        now - explained_at_ >= kExplainGap) {
      stage.explained_at = now;
      explained_at_ = now;
      const PlacementObstacles why =
          Explain({&spec, nullptr}, options, stage_tasks);
      LogEvent(LogLevel::kInfo, LogCategory::kJobs, "tasks_wait",
               {{"job", job->spec.id},
                {"stage", absl::StrCat(item.stage)},
                {"pool", options_.pool},
                {"waiting",
                 absl::StrCat(stage.waiting -
                              static_cast<int>(chosen.size()))},
                {"urgency", std::string(UrgencyName(item.rank.urgency))},
                {"workers", absl::StrCat(workers_.size())},
                {"usable", absl::StrCat(options.size())},
                {"no_processor", absl::StrCat(why.no_processor)},
                {"no_memory", absl::StrCat(why.no_memory)},
                {"limit_per_worker", absl::StrCat(why.limit_per_worker)},
                {"no_label", absl::StrCat(why.no_label)}});
    }
    if (!complete && ++misfits > kMaxMisfits) {
      chosen.clear();
    }
    if (spec.gang && !complete) {
      options = before;
      continue;
    }
    uint32_t gang_run = 0;
    for (const Task& task : stage.tasks) {
      gang_run = std::max(gang_run, task.run + 1);
    }
    for (const auto& [index, worker] : chosen) {
      const TaskRef ref{job, item.occurrence, item.stage, index};
      Task& task = ref.Get();
      task.run = spec.gang ? gang_run : task.run + 1;
      task.phase = TaskPhase::kPlanned;
      task.since = now;
      --stage.waiting;
      AttachTask(ref, *workers[worker]);
    }
    if (!chosen.empty()) {
      MarkChanged(job);
      for (const auto& [index, worker] : chosen) {
        stage.tasks[index].planned_version = job->version;
      }
    }
    if (misfits > kMaxMisfits) {
      return;
    }
  }
}

}  // namespace figflow
