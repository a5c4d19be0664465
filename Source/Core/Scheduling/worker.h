#ifndef SCHEDULING_WORKER_H_
#define SCHEDULING_WORKER_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "Scheduling/job_spec.h"

namespace figflow {

// One life of a worker: a worker that restarts under its old id has lost all
// that it ran and knew.
struct WorkerKey {
  std::string id;
  // Start of this life in milliseconds since the Unix epoch, by the worker's
  // own account; 0 if it does not tell.
  int64_t incarnation = 0;
};

bool operator==(const WorkerKey& a, const WorkerKey& b);
bool operator!=(const WorkerKey& a, const WorkerKey& b);
bool operator<(const WorkerKey& a, const WorkerKey& b);

// What a worker reports of itself in the registry.
struct WorkerReport {
  WorkerKey key;
  std::string pool;
  // "ip:port"
  std::string address;
  std::string data_centre;
  // The instance that it runs on; empty if unknown.
  std::string instance;
  Resources capacity;
  // Hardware kind, rack and other labels.
  std::vector<std::string> labels;
  // Label that names the rack; empty if there is none.
  std::string rack;
  bool draining = false;
  // Least time left before a draining worker ends.
  std::chrono::milliseconds remaining{0};
  // The worker's steady clock when it wrote the report.
  std::chrono::milliseconds clock{0};
  // Concurrent connections that the worker accepts are a property of the pool.
};

// Name of one task: job, occurrence of a scheduled job, stage and index, all
// counted from 0.
struct TaskName {
  std::string job;
  int occurrence = 0;
  int stage = 0;
  int index = 0;
};

bool operator==(const TaskName& a, const TaskName& b);

// How a run ended.
enum class RunResult {
  kDone,
  // By its own fault or the worker's.
  kFailed,
  // By a stop order.
  kStopped,
  // The worker's lease ran out.
  kLapsed,
  // Another member of its gang ended.
  kBroken,
  // The other members of its gang did not come in time.
  kAlone,
};

absl::string_view RunResultName(RunResult end);

struct RunningTask {
  TaskName name;
  uint32_t run = 0;
  std::string checkpoint;
  // Progress; for a perpetual task 100 once it is at work.
  int percent = 0;
  // Of a serving task the tail latency in milliseconds, of others the
  // processor use in millicores, over the last half second; -1 if not told.
  int64_t load = -1;
};

struct EndedRun {
  // Grows by one with each end in one life of the worker.
  uint64_t number = 0;
  TaskName name;
  uint32_t run = 0;
  RunResult end = RunResult::kFailed;
  std::string checkpoint;
};

// A worker's answer to a hold: all that runs, and the ends that have not been
// acknowledged.
struct WorkerStatus {
  std::chrono::milliseconds clock{0};
  // 0 if the answer does not tell.
  int64_t incarnation = 0;
  std::vector<RunningTask> running;
  std::vector<EndedRun> ended;
};

// How a worker answered a start order.
enum class StartAnswer {
  // The run is there.
  kStarted,
  // A higher fence was seen: another owner commands this worker.
  kFenced,
  // This or a later run was stopped or has ended there.
  kOutdated,
  // The order's lease deadline has passed on the worker's clock.
  kLate,
  kNoRoom,
  // The ticket that the queue's policy needs is missing or not valid any more.
  kNoTicket,
  // The worker does not accept the order as such.
  kRefused,
  // The worker is unhealthy and did nothing.
  kUnhealthy,
  // Another life answers at the address: the addressed one has ended.
  kReplaced,
};

absl::string_view StartAnswerName(StartAnswer answer);

}  // namespace figflow

#endif  // SCHEDULING_WORKER_H_
