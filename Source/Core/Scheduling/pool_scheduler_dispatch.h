#ifndef SCHEDULING_POOL_SCHEDULER_DISPATCH_H_
#define SCHEDULING_POOL_SCHEDULER_DISPATCH_H_

#include <memory>
#include <vector>

#include "Scheduling/dispatch_order.h"
#include "Scheduling/placement.h"
#include "Scheduling/pool_scheduler.h"

namespace figflow {

// Workers that can take tasks now, and their free capacity while stages are
// planned.
struct PoolScheduler::CandidateWorkers {
  std::vector<WorkerState*> workers;
  std::vector<WorkerOption> options;
  // Number of tasks of the present stage that may start by the cap of its
  // customer.
  int max_tasks = 0;
  // Number of its tasks that may begin by the size of their job's record.
  int max_new_tasks = 0;

  void Add(WorkerState& worker, MonoTime now);
  // Returns whether half of the processors or of the memory is in use.
  bool IsHalfUsed() const;
};

struct PoolScheduler::ReadyStage {
  DispatchRank rank;
  std::shared_ptr<Job> job;
  int occurrence = 0;
  int stage = 0;
  const QueueConfig* queue = nullptr;

  Stage& GetStage() const {
    return job->occurrences.at(occurrence).stages[stage];
  }
  const StageSpec& Spec() const { return job->spec.stages[stage]; }
  // Requested by the waiting tasks together.
  Resources Demand() const;
};

}  // namespace figflow

#endif  // SCHEDULING_POOL_SCHEDULER_DISPATCH_H_
