#ifndef JOBS_JOB_RECORD_H_
#define JOBS_JOB_RECORD_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "Common/json.h"

#include "Common/error.h"
#include "Common/strong_id.h"
#include "Platform/fleet_service.h"
#include "absl/strings/string_view.h"

namespace figflow {

enum class JobState {
  kPending,
  // A worker is chosen and durable; the task may not have started.
  kPlaced,
  kRunning,
  // Has no worker; continues from the checkpoint when placed again.
  kCheckpointed,
  // Being stopped; ends as `after_stop`.
  kStopping,
  kFinished,
  kFailed,
  kCancelled,
  kRefused,
};

absl::string_view JobStateName(JobState state);

inline bool IsFinal(JobState state) {
  return state >= JobState::kFinished;
}
inline bool WaitsForWorker(JobState state) {
  return state == JobState::kPending || state == JobState::kCheckpointed;
}
// Whether a record may change from one state to the other.
bool MayChange(JobState from, JobState to);

// How far preemption of a running job has gone.
enum class Preemption { kNone, kThrottled, kCheckpointing };

struct JobFailure {
  InstanceId worker;
  std::string reason;
};

struct JobRecord {
  JobId id;
  ProjectId project;
  TeamId team;
  PoolId pool;
  bool urgent = false;
  std::string command;
  TaskSize declared;
  TaskSize measured;
  JobState state = JobState::kPending;
  // Why the job was refused, failed or cancelled.
  std::string reason;
  // Where the job runs, or last ran.
  InstanceId worker;
  // Revision of the write that placed the job; not set while it is kPlaced.
  uint64_t fencing_token = 0;
  Preemption preemption = Preemption::kNone;
  // Since the Unix epoch.
  std::chrono::milliseconds preempted_at{0};
  JobState after_stop = JobState::kPending;
  std::vector<JobFailure> failures;
  std::chrono::milliseconds submitted_at{0};
  // Unique for each write; tells whose write a read-back shows.
  std::string write_id;
};

// The larger of declared and measured size, in each dimension.
TaskSize EffectiveSize(const JobRecord& record);

std::string FormatJob(const JobRecord& record);
// kInvalid names the member that is missing or wrong.
Result<JobRecord> ParseJob(absl::string_view text);

}  // namespace figflow

#endif  // JOBS_JOB_RECORD_H_
