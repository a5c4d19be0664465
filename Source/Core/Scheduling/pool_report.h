#ifndef SCHEDULING_POOL_REPORT_H_
#define SCHEDULING_POOL_REPORT_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "Common/error.h"
#include "Scheduling/customer_load.h"
#include "Scheduling/worker.h"
#include "absl/strings/string_view.h"

namespace figflow {

// Orders of the instance controller to a pool's owner.
struct WorkerOrders {
  // Workers to evacuate, which get no new tasks. All other workers are not
  // evacuated.
  std::set<std::string> evacuate;
  // Workers whose instance has left the pool or was maintained since. The
  // registry may list them for some seconds more.
  std::set<WorkerKey> ended;
  // Workers to evacuate later: perpetual tasks go elsewhere if possible.
  std::set<std::string> later;
  // Workers that get no new tasks and whose instance leaves the pool once their
  // present tasks have ended. No task is stopped for it.
  std::set<std::string> lend;
  // What customers with a cap may occupy.
  CustomerGrantOrders customers = {};
};

// Load of one worker of a pool, as its owner sees it.
struct WorkerLoad {
  std::string worker;
  // Instance that the worker runs on.
  std::string instance;
  // Number of tasks and stops that are not over yet, and of ended runs whose
  // results are not durable. At 0 the instance can be removed without loss.
  int tasks = 0;
  int perpetual_tasks = 0;
  int64_t used_millicores = 0;
  int64_t capacity_millicores = 0;
  // The worker gets no new tasks because of an evacuation.
  bool evacuating = false;
  // The worker responds and is not draining.
  bool usable = false;
  // Incarnation of the worker; 0 if its owner is of an earlier version.
  int64_t incarnation = 0;

  WorkerKey Key() const { return {worker, incarnation}; }
};

// Report of a pool's owner to the instance controller.
struct PoolReport {
  std::string pool;
  // Processors requested by tasks that could run now if there were free
  // capacity.
  int64_t waiting_millicores = 0;
  // Sum of request times predicted duration over the same tasks without
  // perpetual ones, in millicores times milliseconds.
  int64_t backlog_millicore_ms = 0;
  // The part of it whose jobs cannot meet their objective any more.
  int64_t late_backlog_millicore_ms = 0;
  // Recent processor time of new work per second.
  int64_t offered_millicores = 0;
  // Processors requested by assigned perpetual tasks.
  int64_t perpetual_millicores = 0;
  // Number of waiting perpetual tasks and gang members. They need one more
  // worker rather than the end of other work.
  int unplaced_tasks = 0;
  // Minimum number of workers that the perpetual tasks need because of limits
  // per worker.
  int min_perpetual_workers = 0;
  // Number of whole workers that waiting tasks need in addition: no worker in
  // use could hold them even if all tasks there that end by themselves had
  // ended. Does not count perpetual tasks.
  int further_workers = 0;
  std::vector<WorkerLoad> workers;
  // What customers with a cap occupy.
  CustomerLoadReport customers = {};
};

std::string FormatPoolReport(const PoolReport& report);
// Error kInvalid.
Result<PoolReport> ParsePoolReport(absl::string_view bytes);

}  // namespace figflow

#endif  // SCHEDULING_POOL_REPORT_H_
