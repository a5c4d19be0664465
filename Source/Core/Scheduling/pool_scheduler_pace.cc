// Paces fillers beside serving tasks, and releases speculative tasks for
// copies.
#include <algorithm>

#include "Common/log.h"
#include "Scheduling/pool_scheduler.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

constexpr double kNoLoadReport = -1.0;

}  // namespace

void PoolScheduler::AdjustFillerPace(WorkerState& worker,
                                     const WorkerStatus& status,
                                     MonoTime now) {
  const bool has_fillers =
      std::any_of(worker.tasks.begin(), worker.tasks.end(),
                  [](const TaskRef& ref) { return ref.Spec().filler; });
  if (!has_fillers) {
    return;
  }
  double load_ratio = kNoLoadReport;
  for (const RunningTask& running : status.running) {
    const std::optional<TaskRef> ref = FindTask(running.name);
    if (ref && running.load >= 0 && ref->Spec().latency_target.count() > 0) {
      const auto target =
          static_cast<double>(ref->Spec().latency_target.count());
      load_ratio =
          std::max(load_ratio, static_cast<double>(running.load) / target);
    }
  }
  const std::optional<int> changed =
      worker.pace.OnLoadReported(load_ratio, now);
  if (changed) {
    LogEvent(LogLevel::kInfo, LogCategory::kJobs, "fillers_paced",
             {{"worker", worker.report.key.id},
              {"pool", options_.pool},
              {"percent", absl::StrCat(*changed)},
              {"load_of_target", absl::StrCat(load_ratio)}});
  }
  for (const TaskRef& ref : worker.tasks) {
    Task& task = ref.Get();
    if (!ref.Spec().filler || task.phase != TaskPhase::kRunning ||
        task.pace == worker.pace.percent()) {
      continue;
    }
    // Set to unknown again if the order gets no response.
    task.pace = worker.pace.percent();
    output_.paces.push_back(
        {MakeOrderTarget(worker, now), ref.Name(), task.run, task.pace});
  }
}

void PoolScheduler::OnPaceResponse(const PaceOrder& order,
                                   const Result<OrderResponse>& answer,
                                   MonoTime now) {
  WorkerState* worker = FindWorker(order.target.worker);
  const std::optional<TaskRef> ref = FindTask(order.task);
  if (worker == nullptr || !ref) {
    return;
  }
  Task& task = ref->Get();
  if (!OnOrderResponse(*worker, order.target, answer, now) &&
      task.run == order.run) {
    task.pace = -1;
  }
}

void PoolScheduler::ReleaseSpeculativeTasks(WorkerState& worker, MonoTime now) {
  const std::set<TaskRef> tasks = worker.tasks;
  for (const TaskRef& ref : tasks) {
    const Task& task = ref.Get();
    const bool may_copy = ref.Spec().speculative && !ref.Spec().gang &&
                          (task.phase == TaskPhase::kStarting ||
                           task.phase == TaskPhase::kRunning);
    if (may_copy) {
      const uint32_t run = task.run;
      ReturnLostTask(ref, now);
      // Until the run has certainly ended, it occupies capacity and counts
      // against its stage's limit per worker.
      RequestStop(worker, ref.Name(), run, ReservedResources(ref.Spec()), now);
    }
  }
}

}  // namespace figflow
