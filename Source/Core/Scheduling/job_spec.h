#ifndef SCHEDULING_JOB_SPEC_H_
#define SCHEDULING_JOB_SPEC_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "Common/clock.h"
#include "Common/error.h"
#include "absl/strings/string_view.h"

namespace figflow {

// Largest FormatJobSpec that is accepted, in bytes. It leaves the rest of the
// job's record to its first progress.
inline constexpr size_t kMaxSpecBytes = size_t{512} << 10;

// Resources that a task requests or a worker offers.
struct Resources {
  int64_t cpu_millicores = 0;
  int64_t memory_mb = 0;
  int64_t accelerators = 0;

  bool FitsIn(const Resources& free_capacity) const {
    return cpu_millicores <= free_capacity.cpu_millicores &&
           memory_mb <= free_capacity.memory_mb &&
           accelerators <= free_capacity.accelerators;
  }
  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
};

bool operator==(const Resources& a, const Resources& b);

// Returns the largest fraction that `amount` is of any resource in `capacity`.
// Resources of which the capacity is 0 do not count.
double DominantShare(const Resources& amount, const Resources& capacity);
Resources operator*(const Resources& each, int64_t count);

// A set of identical tasks of a job.
struct StageSpec {
  int count = 0;
  Resources per_task;
  // The submitter's estimate of a task's duration; 0 if unknown.
  std::chrono::milliseconds estimate{0};
  // Indices, counted from 0, of the stages that must be done before this one
  // starts.
  std::vector<int> after;
  // The tasks run together or not at all, under one run number.
  bool gang = false;
  // A gang is slower on more than one rack.
  bool same_rack = false;
  // A stopped task leaves a checkpoint that its next run resumes from.
  bool saves_progress = false;
  // Copies of a task may run at the same time.
  bool speculative = false;
  // The tasks run until the job is cancelled, and are restarted whatever their
  // result.
  bool perpetual = false;
  // The tasks use only processor time that other tasks leave idle, so their
  // processor request is not counted against a worker's capacity.
  bool filler = false;
  // Label that a worker must have; empty for none.
  std::string required_label;
  // Rack that holds the stage's data; empty for none.
  std::string preferred_rack;
  // Image of the tasks. Tasks of one image behave alike.
  std::string image;
  // Maximum number of tasks of the stage on one worker; 0 for no limit.
  int max_per_worker = 0;
  // Limit on the tail latency of a serving task; 0 for none.
  std::chrono::milliseconds latency_target{0};
  // Maximum number of tasks that figflow may make unavailable at the same time;
  // negative if the stage sets no limit.
  int max_unavailable = -1;
};

// A job as submitted.
struct JobSpec {
  // Unique in the fleet, chosen by the submitter.
  std::string id;
  std::string queue;
  // Opaque data that is passed to the workers.
  std::string payload;
  std::vector<StageSpec> stages;
  // Number of times that a scheduled job runs all its stages; 0 for a job that
  // runs once and immediately.
  int occurrences = 0;
  WallTime first_due;
  std::chrono::milliseconds interval{0};
  // Maximum attempts of the queue when the job was submitted, used if the plan
  // lacks the queue; 0 if unknown.
  int max_attempts = 0;
  // Customer whose key the submission carried; empty if it carried none.
  std::string customer;

  bool scheduled() const { return occurrences > 0; }
  bool perpetual() const;
  // Returns the number of tasks of one occurrence.
  int64_t task_count() const;
};

// Validates a spec. Error kInvalid: a stage refers to a later one or has no
// task, or a number is negative or too large.
Result<void> CheckJobSpec(const JobSpec& spec);

// Returns the CBOR of a spec: the form in the store and between daemons.
std::string FormatJobSpec(const JobSpec& spec);
// Error kInvalid.
Result<JobSpec> ParseJobSpec(absl::string_view bytes);

}  // namespace figflow

#endif  // SCHEDULING_JOB_SPEC_H_
