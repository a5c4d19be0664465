#ifndef SCHEDULING_FURTHER_WORKERS_H_
#define SCHEDULING_FURTHER_WORKERS_H_

#include <vector>

#include "Scheduling/job_spec.h"

namespace figflow {

// Waiting tasks of one stage that need a whole worker.
struct LargeTasks {
  Resources size;
  int count = 0;
  // Maximum number on one worker; 0 for no limit.
  int max_per_worker = 0;
  // For each worker of the pool, the number of tasks of the stage that it has.
  // Empty if the stage has no limit.
  std::vector<int> on_worker;
};

// Returns the most frequent capacity, the largest of several; zero if there is
// none.
Resources UsualCapacity(const std::vector<Resources>& capacities);

// Returns how many empty workers of the usual capacity are needed for the tasks
// that do not fit the free capacity of the present workers, at most 8. Tasks
// that do not fit an empty worker either need none.
//
// On a pool with a perpetual task on each worker the sum of the free capacity
// is large, but no worker can ever hold a task of nearly its whole size. Tasks
// are counted by first fit in decreasing size.
int CountFurtherWorkers(std::vector<LargeTasks> tasks,
                        const std::vector<Resources>& free_capacity,
                        const Resources& usual_capacity);

}  // namespace figflow

#endif  // SCHEDULING_FURTHER_WORKERS_H_
