#ifndef SCHEDULING_ORDERS_H_
#define SCHEDULING_ORDERS_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Common/clock.h"
#include "Common/error.h"
#include "Scheduling/worker.h"

namespace figflow {

struct Job;

// Addressee and fence of an order.
struct OrderTarget {
  WorkerKey worker;
  // "ip:port"
  std::string address;
  // Fence of the sender. A worker that has seen a higher fence ignores the
  // order.
  uint64_t fence = 0;
  MonoTime issued_at;
};

struct StartOrder {
  OrderTarget target;
  TaskName task;
  uint32_t run = 0;
  // Job of the task, for its payload.
  std::shared_ptr<const Job> job;
  // Lease deadline on the worker's clock.
  std::chrono::milliseconds deadline{0};
  std::string checkpoint;
  std::string ticket;
};

struct StopOrder {
  OrderTarget target;
  TaskName task;
  uint32_t run = 0;
};

// Renews the lease of all runs on a worker, acknowledges ended runs and
// requests the worker's status.
struct HoldOrder {
  OrderTarget target;
  // New lease deadline on the worker's clock; none leaves the lease unchanged.
  std::optional<std::chrono::milliseconds> deadline;
  uint64_t acknowledged = 0;
  // How long the worker may delay the response until a run ends.
  std::chrono::milliseconds wait{0};
  // Maximum time from sending the order to the complete response, including
  // `wait`.
  std::chrono::milliseconds answer_time{0};
};

// Sets the percentage of its processor time that a task may use.
struct PaceOrder {
  OrderTarget target;
  TaskName task;
  uint32_t run = 0;
  int percent = 100;
};

// Queries which of these workers may run a stage of a queue with a placement
// policy.
struct PolicyQuery {
  // Stage to place; the task index is not used.
  TaskName stage;
  std::set<WorkerKey> workers;
};

struct OrderResponse {
  OrderOutcome answer = OrderOutcome::kStarted;
  // The worker's clock; 0 if the response does not contain it.
  std::chrono::milliseconds clock{0};
};

// Response to a hold. kFenced, kReplaced and kUnhealthy come without a status.
struct HoldResponse {
  OrderOutcome answer = OrderOutcome::kStarted;
  WorkerStatus status;
};

// Records of one job in the store.
struct JobRecords {
  std::string accepted;
  // Later than the progress in `accepted`; empty if there is none.
  std::string progress;
};

// A record of a job to write or to remove.
struct RecordWrite {
  enum class Kind { kAccepted, kProgress };
  Kind kind = Kind::kProgress;
  std::string job;
  std::string value;
  bool remove = false;
};

// Outcome of a submission.
enum class SubmitOutcome {
  // The job is durable and will run.
  kAccepted,
  // The job was not accepted and will never run.
  kRefused,
  // It is unknown here whether the job is durable.
  kUnknown,
  // The id is that of another customer's job.
  kNoSuchJob,
};

struct SubmitResponse {
  uint64_t token = 0;
  SubmitOutcome outcome = SubmitOutcome::kUnknown;
  // For refusals: delay before a retry, and the reason as a stable lower-case
  // word.
  std::chrono::milliseconds retry_after{0};
  std::string reason;
};

enum class CancelOutcome { kCancelled, kNotFound, kUnknown };

struct CancelResponse {
  uint64_t token = 0;
  CancelOutcome outcome = CancelOutcome::kUnknown;
};

// Orders, queries and responses issued by a scheduler. Filled under its lock,
// carried out without it.
struct SchedulerOutput {
  std::vector<StartOrder> starts;
  std::vector<StopOrder> stops;
  std::vector<HoldOrder> holds;
  std::vector<PaceOrder> paces;
  std::vector<PolicyQuery> questions;
  std::vector<SubmitResponse> submit_responses;
  std::vector<CancelResponse> cancel_responses;
};

}  // namespace figflow

#endif  // SCHEDULING_ORDERS_H_
