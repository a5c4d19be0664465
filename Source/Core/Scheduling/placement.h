#ifndef SCHEDULING_PLACEMENT_H_
#define SCHEDULING_PLACEMENT_H_

#include <string>
#include <vector>

#include "Scheduling/job_spec.h"
#include "Scheduling/worker.h"

namespace figflow {

// What became of the waiting tasks of a stage.
enum class StagePlacement {
  // All tasks have a worker.
  kPlaced,
  // A worker lacks free capacity for a task that it may run.
  kWaitsForCapacity,
  // No worker may run the tasks that wait.
  kWaits,
};

// A worker that can take tasks now.
struct WorkerOption {
  const WorkerReport* report = nullptr;
  Resources room;
  // A run failed on the worker recently.
  bool recently_failed = false;
  // Number of perpetual tasks on the worker.
  int perpetual_tasks = 0;
  // The worker is to be evacuated later.
  bool evacuate_later = false;
};

struct PlacementRequest {
  const StageSpec* stage = nullptr;
  // Ids of the workers on which this task failed before; may be null.
  const std::vector<std::string>* failed_on = nullptr;
  // For each option, whether the placement policy allows the worker. Null
  // allows all.
  const std::vector<bool>* allowed = nullptr;
};

// Returns the index of the worker for one task, or -1 if none has enough free
// capacity. `stage_tasks[i]` is the number of tasks of the stage that worker i
// already has.
//
// At the peak of a queue its pool is full, and tasks of very different sizes
// compete. The fullest worker that fits is chosen, so that contiguous capacity
// remains for large tasks, and idle workers stay idle and can be lent to other
// pools. Perpetual tasks go to workers that already have some, because those
// cannot be lent. They avoid workers that are to be evacuated, where they would
// have to move a second time.
int ChooseWorker(const PlacementRequest& request,
                 const std::vector<WorkerOption>& options,
                 const std::vector<int>& stage_tasks);

// Numbers of workers that cannot take a task, by reason.
struct PlacementObstacles {
  int no_processor = 0;
  int no_memory = 0;
  int limit_per_worker = 0;
  int no_label = 0;
  int no_ticket = 0;
};

PlacementObstacles CountObstacles(const PlacementRequest& request,
                                  const std::vector<WorkerOption>& options,
                                  const std::vector<int>& stage_tasks);

}  // namespace figflow

#endif  // SCHEDULING_PLACEMENT_H_
