#ifndef SCHEDULING_WORKER_H_
#define SCHEDULING_WORKER_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "Scheduling/job_spec.h"

namespace figflow {

// Identifies one incarnation of a worker. A worker that restarts under its old
// id has lost all its runs and state.
struct WorkerKey {
  std::string id;
  // Start of this incarnation in milliseconds since the Unix epoch, on the
  // worker's own clock; 0 if the worker does not report it.
  int64_t incarnation = 0;
};

bool operator==(const WorkerKey& a, const WorkerKey& b);
bool operator!=(const WorkerKey& a, const WorkerKey& b);
bool operator<(const WorkerKey& a, const WorkerKey& b);

// A worker's report of itself in the registry.
struct WorkerReport {
  WorkerKey key;
  std::string pool;
  // "ip:port"
  std::string address;
  std::string data_centre;
  // Instance that the worker runs on; empty if unknown.
  std::string instance;
  Resources capacity;
  // Hardware kind, rack and other labels.
  std::vector<std::string> labels;
  // Label that names the rack; empty if there is none.
  std::string rack;
  bool draining = false;
  // Minimum time left before a draining worker ends.
  std::chrono::milliseconds remaining{0};
  // The worker's steady clock when it wrote the report.
  std::chrono::milliseconds clock{0};
  // The maximum number of concurrent connections is a property of the pool.

  bool HasLabel(const std::string& label) const;
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

// Result of a run.
enum class RunResult {
  kDone,
  // The run failed because of the task or the worker.
  kFailed,
  // A stop order ended the run.
  kStopped,
  // The worker's lease ran out.
  kLeaseExpired,
  // Another member of its gang ended.
  kGangMemberEnded,
  // The other members of its gang did not start in time.
  kGangIncomplete,
};

absl::string_view RunResultName(RunResult result);

struct RunningTask {
  TaskName name;
  uint32_t run = 0;
  std::string checkpoint;
  // Progress; for a perpetual task 100 once it is at work.
  int percent = 0;
  // Tail latency in milliseconds for a serving task, processor use in
  // millicores for others, over the last 500 ms; -1 if not reported.
  int64_t load = -1;
};

struct EndedRun {
  // Sequence number of the ended run, counted in one incarnation of the worker.
  uint64_t number = 0;
  TaskName name;
  uint32_t run = 0;
  RunResult end = RunResult::kFailed;
  std::string checkpoint;
};

// A worker's response to a hold: all running tasks, and the ended runs that
// have not been acknowledged.
struct WorkerStatus {
  std::chrono::milliseconds clock{0};
  // 0 if the response does not contain it.
  int64_t incarnation = 0;
  std::vector<RunningTask> running;
  std::vector<EndedRun> ended;
  // The worker may have ended runs that `ended` leaves out. Those are listed
  // once the listed ones are acknowledged.
  bool more_ended = false;
};

// Outcome of an order to a worker.
enum class OrderOutcome {
  // The worker has accepted the order; after a start order the run exists.
  kStarted,
  // The worker has seen a higher fence: another owner controls it.
  kFenced,
  // This or a later run was stopped or has ended on the worker.
  kOutdated,
  // The order's lease deadline has passed on the worker's clock.
  kLate,
  kInsufficientCapacity,
  // The ticket that the queue's policy requires is missing or no longer valid.
  kNoTicket,
  // The worker rejects the order itself as unacceptable.
  kRefused,
  // The worker is unhealthy and did nothing.
  kUnhealthy,
  // Another incarnation responds at the address: the addressed one has ended.
  kReplaced,
};

absl::string_view OrderOutcomeName(OrderOutcome answer);

}  // namespace figflow

#endif  // SCHEDULING_WORKER_H_
