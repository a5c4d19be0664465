#ifndef ADAPTER_CALLER_CALL_H_
#define ADAPTER_CALLER_CALL_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "Scheduling/job.h"
#include "Scheduling/job_spec.h"
#include "absl/strings/string_view.h"

namespace figflow {

// What a caller asks for.
enum class CallKind {
  kSubmit,
  kQuery,
  kCancel,
  kCountPending,
  // Sent by a daemon that submits the job to another pool unless this pool has
  // accepted it. If not, this pool does not accept it by an earlier plan.
  kLookUp,
};

absl::string_view CallKindName(CallKind kind);

struct CallerCall {
  CallKind kind = CallKind::kQuery;
  std::string queue;
  // The queue's pool; once the call is routed, the scope that holds the job.
  std::string pool;
  std::string job;
  // Customer whose key the call carries; empty on an open queue.
  std::string customer;
  // For kSubmit.
  JobSpec spec;
  // Version of the plan by which the call was routed to the pool; 0 if unknown.
  uint64_t plan_version = 0;
  // Identifies the queue's route; empty if unknown.
  std::string route;
  // Number of pools that the daemon which routed the call knows to have served
  // the route.
  size_t route_pools = 0;
  // How long the caller waits for the answer.
  std::chrono::milliseconds patience{0};
};

// How a call ended.
enum class CallOutcome {
  kAccepted,
  // Not taken, and never will be.
  kRefused,
  // It is not known whether the job was taken or the call took effect.
  kUnknown,
  // The call could not be carried out and had no effect; it may be repeated.
  kUnavailable,
  kState,
  kCancelled,
  kNoSuchJob,
  kPendingCount,
  kNoSuchQueue,
  kMalformed,
  // The call carries no key of a customer, and had no effect.
  kUnauthorized,
};

absl::string_view CallOutcomeName(CallOutcome outcome);

struct CallerReply {
  CallOutcome outcome = CallOutcome::kUnavailable;
  JobStatus status = JobStatus::kLive;
  bool started = false;
  int64_t pending = 0;
  // For kRefused and kUnavailable: when to come back.
  std::chrono::milliseconds retry_after{0};
  std::string reason;
  // Claim of the pool's owner that answered; 0 if none did.
  uint64_t fence = 0;
};

}  // namespace figflow

#endif  // ADAPTER_CALLER_CALL_H_
