#ifndef SCHEDULING_POOL_REPORT_H_
#define SCHEDULING_POOL_REPORT_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "Common/error.h"
#include "absl/strings/string_view.h"

namespace figflow {

// What the keeper of the instances asks of a pool's owner, by worker id.
struct WorkerOrders {
  // Get no new tasks and are emptied; no others.
  std::set<std::string> evacuate;
  // Have ended together with all that ran on them: their instance was moved or
  // is being maintained. The registry may list them for some seconds more.
  std::set<std::string> ended;
  // Are to be emptied later: what lasts goes elsewhere if it can.
  std::set<std::string> later;
};

// One worker of a pool, as its owner sees it.
struct WorkerLoad {
  std::string worker;
  // The instance that it runs on.
  std::string instance;
  // Tasks and stops that are not over yet, and ends that are not durable. The
  // instance can be taken away without loss when there are none.
  int tasks = 0;
  int perpetual_tasks = 0;
  int64_t used_millicores = 0;
  int64_t capacity_millicores = 0;
  // It gets no new tasks because of an evacuation.
  bool evacuating = false;
  // It answers, and does not leave by itself.
  bool usable = false;
};

// What the owner of a pool tells the keeper of the instances.
struct PoolReport {
  std::string pool;
  // Processors that the tasks ask for which could run now if there was room.
  int64_t waiting_millicores = 0;
  // The same tasks times their predicted durations: millicores times
  // milliseconds.
  int64_t backlog_millicore_ms = 0;
  // Processor time that arrives as new work in each second, lately.
  int64_t offered_millicores = 0;
  // Asked for by perpetual tasks.
  int64_t perpetual_millicores = 0;
  // Perpetual tasks and members of gangs that found no room. They wait for one
  // more worker rather than for the end of other work.
  int unplaced_tasks = 0;
  // Workers that the perpetual tasks need at least, because of limits for each
  // worker.
  int spread_workers = 0;
  std::vector<WorkerLoad> workers;
};

std::string FormatPoolReport(const PoolReport& report);
// Error kInvalid.
Result<PoolReport> ParsePoolReport(absl::string_view bytes);

}  // namespace figflow

#endif  // SCHEDULING_POOL_REPORT_H_
