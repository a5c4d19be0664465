#ifndef SCHEDULING_PLACEMENT_H_
#define SCHEDULING_PLACEMENT_H_

#include <string>
#include <vector>

#include "Scheduling/job_spec.h"
#include "Scheduling/worker.h"

namespace figflow {

// A worker that may take tasks now.
struct WorkerOption {
  const WorkerReport* report = nullptr;
  Resources room;
  // Something failed here lately.
  bool doubtful = false;
  // Perpetual tasks here.
  int perpetual_tasks = 0;
  // It is to be emptied later.
  bool leaving_later = false;
};

struct PlacementRequest {
  const StageSpec* stage = nullptr;
  // Workers on which this task failed before; may be null.
  const std::vector<std::string>* failed_on = nullptr;
  // By place in the options: a placement policy allows the worker. Null allows
  // all.
  const std::vector<bool>* allowed = nullptr;
};

// Picks the worker for one task, or -1 if none has room. `stage_tasks[i]` is
// the number of tasks of the stage that worker i already has.
//
// Load pattern: at the peak of a queue its pool is full, and tasks of very
// different sizes compete. The fullest worker that fits is taken, so that room
// for large tasks is left in one piece, and idle workers stay idle and can be
// lent to other pools. Perpetual tasks go to workers that have some already:
// those are the ones that cannot be lent; and they avoid workers that are to be
// emptied, where they would have to move a second time.
int ChooseWorker(const PlacementRequest& request,
                 const std::vector<WorkerOption>& options,
                 const std::vector<int>& stage_tasks);

// Why the workers do not take a task, as counts of workers.
struct PlacementObstacles {
  int no_processor = 0;
  int no_memory = 0;
  int limit_per_worker = 0;
  int no_label = 0;
  int no_ticket = 0;
};

PlacementObstacles Explain(const PlacementRequest& request,
                           const std::vector<WorkerOption>& options,
                           const std::vector<int>& stage_tasks);

}  // namespace figflow

#endif  // SCHEDULING_PLACEMENT_H_
