// Counts the further workers that large tasks need.
#include <algorithm>
#include <vector>

#include "Scheduling/further_workers.h"
#include "Scheduling/pool_scheduler.h"

namespace figflow {
namespace {

// A worker that has not responded for less than this time still counts. New
// workers need it for their first response, and after a take-over all do.
constexpr std::chrono::milliseconds kUnreachedWorkerCounts{1'000};

// Returns the capacity that is free once all tasks that end by themselves have
// ended.
Resources CapacityBesidePerpetualTasks(const WorkerState& worker) {
  Resources capacity = worker.report.capacity;
  for (const TaskRef& ref : worker.tasks) {
    if (ref.Spec().perpetual) {
      capacity -= ReservedResources(ref.Spec());
    }
  }
  return capacity;
}

}  // namespace

int PoolScheduler::CountFurtherWorkersForLargeTasks(MonoTime now) {
  std::vector<const WorkerState*> workers;
  std::vector<Resources> capacities;
  // Largest first, so that the first one holds nearly every task.
  std::vector<Resources> reachable;
  std::vector<Resources> free_capacity;
  for (const auto& [key, worker] : workers_) {
    const bool counts = worker->IsInUse() && !worker->report.draining &&
                        !worker->evacuating &&
                        (worker->IsReached() || now - worker->last_response_at <
                                                    kUnreachedWorkerCounts);
    if (counts) {
      workers.push_back(worker.get());
      capacities.push_back(worker->report.capacity);
      reachable.push_back(CapacityBesidePerpetualTasks(*worker));
      free_capacity.push_back(worker->FreeCapacity());
    }
  }
  std::sort(reachable.begin(), reachable.end(),
            [](const Resources& a, const Resources& b) {
              return a.cpu_millicores > b.cpu_millicores;
            });
  std::vector<LargeTasks> large;
  for (const auto& [id, job] : open_jobs_) {
    for (auto& [number, occurrence] : job->occurrences) {
      for (size_t i = 0; i < occurrence.stages.size(); ++i) {
        const StageSpec& spec = job->spec.stages[i];
        Stage& stage = occurrence.stages[i];
        if (!IsStageReady(*job, occurrence, i) || spec.perpetual) {
          stage.needs_further_worker = false;
          continue;
        }
        const Resources size = ReservedResources(spec);
        if (!stage.needs_further_worker) {
          stage.needs_further_worker = std::none_of(
              reachable.begin(), reachable.end(),
              [&](const Resources& room) { return size.FitsIn(room); });
        }
        if (!stage.needs_further_worker) {
          continue;
        }
        // Whether a further worker has the label is known only if all have it.
        const bool labels_known =
            spec.required_label.empty() ||
            std::all_of(workers.begin(), workers.end(),
                        [&](const WorkerState* worker) {
                          return worker->report.HasLabel(spec.required_label);
                        });
        if (!labels_known) {
          continue;
        }
        // Tasks beyond their customer's cap could not use a further worker.
        LargeTasks tasks{size,
                         CountWithinCap(*job, spec, stage.waiting, now),
                         spec.max_per_worker,
                         {}};
        for (const WorkerState* worker : workers) {
          const auto count = stage.on_worker.find(worker);
          tasks.on_worker.push_back(
              count == stage.on_worker.end() ? 0 : count->second);
        }
        large.push_back(std::move(tasks));
      }
    }
  }
  return large.empty() ? 0
                       : CountFurtherWorkers(std::move(large), free_capacity,
                                             UsualCapacity(capacities));
}

}  // namespace figflow
