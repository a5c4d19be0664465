#ifndef SCHEDULING_JOB_SPEC_H_
#define SCHEDULING_JOB_SPEC_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "Common/clock.h"
#include "Common/error.h"
#include "absl/strings/string_view.h"

namespace figflow {

// What one task asks for, or what a worker offers.
struct Resources {
  int64_t cpu_millicores = 0;
  int64_t memory_mb = 0;
  int64_t accelerators = 0;

  bool FitsIn(const Resources& room) const {
    return cpu_millicores <= room.cpu_millicores &&
           memory_mb <= room.memory_mb && accelerators <= room.accelerators;
  }
  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
};

bool operator==(const Resources& a, const Resources& b);

// Some tasks of a job that are alike.
struct StageSpec {
  int count = 0;
  Resources per_task;
  // The submitter's rough guess of a task's duration; 0 if unknown.
  std::chrono::milliseconds estimate{0};
  // Stages, counted from 0, that must be done before this one starts.
  std::vector<int> after;
  // The tasks run together or not at all, with one run number.
  bool gang = false;
  // A gang is slower on more than one rack.
  bool same_rack = false;
  // A stopped task leaves a checkpoint that its next run resumes from.
  bool saves_progress = false;
  // Copies of a task may run at the same time.
  bool speculative = false;
  // Runs until the job is cancelled; restarted however it ends.
  bool perpetual = false;
  // Uses only processor time that other tasks leave over, so its share is not
  // counted against a worker's capacity.
  bool filler = false;
  // Label that a worker must have; empty for none.
  std::string required_label;
  // Rack that holds the stage's data; empty for none.
  std::string preferred_rack;
  // Tasks of one image behave alike.
  std::string image;
  // Tasks of the stage on one worker; 0 for no limit.
  int max_per_worker = 0;
  // Bound on the tail latency of a serving task; 0 for none.
  std::chrono::milliseconds latency_target{0};
  // Tasks that figflow may make unavailable at the same time. Negative if the
  // stage names no such bound.
  int max_unavailable = -1;
};

// A job as submitted.
struct JobSpec {
  // Unique in the fleet, chosen by the submitter.
  std::string id;
  std::string queue;
  // Passed to the workers unread.
  std::string payload;
  std::vector<StageSpec> stages;
  // A scheduled job runs all its stages `occurrences` times; 0 for a job that
  // runs once, at once.
  int occurrences = 0;
  WallTime first_due;
  std::chrono::milliseconds interval{0};
  // Of its queue when it was submitted. It holds where the plan lacks the
  // queue. 0 if it is not known.
  int max_attempts = 0;

  bool scheduled() const { return occurrences > 0; }
  bool perpetual() const;
};

// Error kInvalid: a stage refers to a later one, has no task, or a size is
// negative or too large.
Result<void> CheckJobSpec(const JobSpec& spec);

// CBOR of a spec: the form in the store and between daemons.
std::string FormatJobSpec(const JobSpec& spec);
// Error kInvalid.
Result<JobSpec> ParseJobSpec(absl::string_view bytes);

}  // namespace figflow

#endif  // SCHEDULING_JOB_SPEC_H_
