#ifndef SCHEDULING_JOB_H_
#define SCHEDULING_JOB_H_

#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Common/clock.h"
#include "Common/error.h"
#include "Scheduling/job_access.h"
#include "Scheduling/job_spec.h"
#include "Scheduling/placement_tickets.h"
#include "Scheduling/work_memory.h"
#include "Scheduling/worker.h"
#include "absl/strings/string_view.h"

namespace figflow {

struct WorkerState;

// Longest checkpoint that is kept in any case.
inline constexpr size_t kShortCheckpoint = 64;

enum class JobStatus {
  kLive,
  kCompleted,
  // A task has failed as often as its queue allows.
  kFailed,
  kCancelled,
};

absl::string_view JobStatusName(JobStatus status);

enum class TaskPhase : uint8_t {
  // Not assigned.
  kWaiting,
  // Assigned, but the assignment is not durable yet and no order was sent.
  kPlanned,
  // An order may have been sent; the worker has not confirmed the run.
  kStarting,
  kRunning,
  kDone,
};

absl::string_view TaskPhaseName(TaskPhase phase);

struct Task {
  TaskPhase phase = TaskPhase::kWaiting;
  // Number of the latest run; 0 before the first.
  uint32_t run = 0;
  uint16_t failures = 0;
  int percent = 0;
  // Worker of the latest run while the run may exist; null otherwise.
  WorkerState* worker = nullptr;
  // Job version that holds the assignment.
  uint64_t planned_version = 0;
  // When the phase began.
  MonoTime since;
  // State of the start order of this run.
  bool order_in_flight = false;
  // A start order got no response, so a copy of it may still take effect.
  bool order_outcome_unknown = false;
  // A hold of the worker has listed this run.
  bool listed_by_worker = false;
  // A response shows that this incarnation of the worker has the run.
  bool confirmed = false;
  // The worker refuses to start this run; a hold has to show whether it ran.
  bool order_outdated = false;
  MonoTime next_order;
  std::chrono::milliseconds order_deadline{0};
  // The assignment was read from the store: only an earlier owner may have sent
  // an order for it.
  bool inherited = false;
  std::string checkpoint;
  // Percentage of its processor time that a filler may use; -1 if the value set
  // by an earlier owner is unknown.
  int pace = 100;
  // Ids of the workers on which the task failed; the next attempt prefers
  // others.
  std::vector<std::string> failed_on;
  // Latest runs that may have been ordered and were given up without a known
  // result. A worker that is reached again may still list them.
  std::vector<uint32_t> lost_runs;
};

struct Stage {
  std::vector<Task> tasks;
  int done = 0;
  int waiting = 0;
  // Workers on which tasks failed since the last one was done, with the time of
  // the last failure.
  std::map<std::string, MonoTime> failed_on;
  // Tickets of the queue's placement policy; unused if it has none.
  PlacementTickets advice;
  // A report found that no worker in use could ever hold a waiting task; set
  // until none waits, so that the workers that come for it are kept.
  bool needs_further_worker = false;
  // Since when tasks have lacked capacity and none has been placed.
  std::optional<MonoTime> lacks_capacity_since;
  // When the reasons why tasks of the stage wait were last logged.
  MonoTime wait_logged_at;
  // Number of assigned tasks of the stage by worker, for the limit per worker.
  std::map<const WorkerState*, int> on_worker;

  bool finished() const { return done == static_cast<int>(tasks.size()); }
};

// One execution of all stages: the only one, or one of a scheduled job.
struct Occurrence {
  int number = 0;
  MonoTime due;
  std::vector<Stage> stages;

  bool finished() const;
};

// A job and the state that its owner holds of it.
struct Job {
  JobSpec spec;
  // FormatJobSpec(spec), the form in the store; empty once the store holds it.
  std::string spec_bytes;
  // Time of the first submission.
  WallTime submitted;
  MonoTime arrived;
  JobStatus status = JobStatus::kLive;
  // Opened occurrences. Occurrences below `next_occurrence` that are missing
  // here have finished.
  std::map<int, Occurrence> occurrences;
  int next_occurrence = 0;
  bool started = false;

  // Incremented whenever the durable state of the job changes.
  uint64_t version = 1;
  // Version that the store holds; 0 before the job is durable.
  uint64_t durable_version = 0;
  // Version in the write in progress; 0 if there is none.
  uint64_t writing_version = 0;
  // A write of the job was sent, so it is no longer certain that a refused job
  // never runs.
  bool write_sent = false;
  bool queued_for_write = false;
  // The store has refused the last record: the next one waits until then.
  std::optional<MonoTime> record_held_until;
  // Bytes of the record in the write in progress.
  size_t record_bytes = 0;
  // Largest record that may be written, lower than the store's limit for some
  // time after a refusal.
  size_t record_limit = std::numeric_limits<size_t>::max();
  MonoTime record_limited_until;
  // Bytes of the long checkpoints of all tasks.
  size_t checkpoint_bytes = 0;
  // Status that the store holds, which is the one reported to callers.
  JobStatus durable_status = JobStatus::kLive;
  MonoTime finished_at;

  // What the job takes of the pool's memory.
  MemoryCharge memory;

  // Tokens of submissions that get a response once the job is durable.
  std::vector<uint64_t> submit_tokens;
  // Tokens of cancellations that get a response once the cancellation is
  // durable.
  std::vector<uint64_t> cancel_tokens;

  bool live() const { return status == JobStatus::kLive; }
  bool perpetual() const { return perpetual_; }
  JobParty owner() const { return {spec.customer, spec.queue}; }
  void SetSpec(JobSpec value);

  // Creates the state of occurrence `number`, due at `due`.
  Occurrence& OpenOccurrence(int number, MonoTime due);
  // Replaces the checkpoint of a task.
  void SetCheckpoint(Task& task, std::string value);
  // Drops the state of finished occurrences of a scheduled job.
  void CloseFinishedOccurrences();
  // Returns whether all tasks that the job requests are done.
  bool AllDone() const;

 private:
  bool perpetual_ = false;
};

// Returns whether the stage has waiting tasks and all stages that it depends on
// are done.
bool IsStageReady(const Job& job, const Occurrence& occurrence, size_t stage);

// Reference to a task of a job in memory.
struct TaskRef {
  std::shared_ptr<Job> job;
  int occurrence = 0;
  int stage = 0;
  int index = 0;

  Stage& GetStage() const;
  Task& Get() const;
  const StageSpec& Spec() const { return job->spec.stages[stage]; }
  TaskName Name() const { return {job->spec.id, occurrence, stage, index}; }
};

bool operator<(const TaskRef& a, const TaskRef& b);

// A stored assignment whose worker has not been looked up yet.
struct RecordedAssignment {
  TaskName task;
  WorkerKey worker;
};

// Returns the CBOR of a job's progress: status, done tasks, run numbers,
// failures, assignments, checkpoints and lost runs. Together with the spec it
// is all that the next owner needs.
std::string FormatProgress(const Job& job);

// Applies a progress record to `job`, whose spec is set. Returns the
// assignments, whose tasks are set to kStarting without a worker. Occurrences
// that have finished, and the last ones if no task of them has begun, are left
// closed. Error kInvalid.
Result<std::vector<RecordedAssignment>> ApplyProgress(absl::string_view bytes,
                                                      Job& job);

// A look-up by a daemon that may have submitted the job to another pool.
struct SubmittedElsewhere {
  // Latest plan by which the job was looked up.
  uint64_t plan_version = 0;
  MonoTime looked_up_at;
};

// State of a job as reported to callers.
struct JobView {
  JobStatus status = JobStatus::kLive;
  bool started = false;
  // Whose job it is.
  JobParty owner = {};
};

// Returns the view of a job whose progress record is `bytes`. Error kInvalid.
Result<JobView> ReadJobView(absl::string_view bytes);

// Returns the CBOR of a job as accepted: spec, time of submission and first
// progress.
std::string FormatAcceptedJob(const Job& job);

struct AcceptedJob {
  std::shared_ptr<Job> job;
  std::string progress;
};
// Error kInvalid.
Result<AcceptedJob> ParseAcceptedJob(absl::string_view bytes);

}  // namespace figflow

#endif  // SCHEDULING_JOB_H_
