#ifndef SCHEDULING_JOB_H_
#define SCHEDULING_JOB_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Common/clock.h"
#include "Common/error.h"
#include "Scheduling/job_spec.h"
#include "Scheduling/stage_advice.h"
#include "Scheduling/worker.h"
#include "absl/strings/string_view.h"

namespace figflow {

struct WorkerState;

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
  // Assigned, and the assignment is not durable yet: no order was sent.
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
  // The worker of the latest run, while the run may exist.
  WorkerState* worker = nullptr;
  // Job version that holds the assignment.
  uint64_t planned_version = 0;
  // When the phase began.
  MonoTime since;
  // State of the start order of this run.
  bool order_in_flight = false;
  // An order got no answer, so a copy of it may still take effect.
  bool order_unanswered = false;
  // The worker will not start this run; a hold has to show whether it ran.
  bool order_outdated = false;
  MonoTime next_order;
  std::chrono::milliseconds order_deadline{0};
  // The assignment was read from the store: only an earlier owner may have sent
  // an order for it.
  bool inherited = false;
  std::string checkpoint;
  // Share of its processor time that a filler may use; -1 if it is not known
  // what an earlier owner has set.
  int pace = 100;
  // Workers on which the task failed: the next attempt goes elsewhere.
  std::vector<std::string> failed_on;
  // Latest runs that may have been ordered and were given up without knowing
  // their end. A worker that is reached again may still list it.
  std::vector<uint32_t> lost_runs;
};

struct Stage {
  std::vector<Task> tasks;
  int done = 0;
  int waiting = 0;
  // For queues with a placement policy.
  StageAdvice advice;
  // When it was last logged why tasks of the stage wait.
  MonoTime explained_at;
  // Tasks of the stage by worker, for the limit per worker.
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

// One job with all that its owner knows of it.
struct Job {
  JobSpec spec;
  // FormatJobSpec(spec), the form in the store.
  std::string spec_bytes;
  // When the submitter first asked for it.
  WallTime submitted;
  MonoTime arrived;
  JobStatus status = JobStatus::kLive;
  // Occurrences in progress. Those below `next_occurrence` that are not here
  // have finished.
  std::map<int, Occurrence> occurrences;
  int next_occurrence = 0;
  bool started = false;

  // Changes whenever the durable part of the job does.
  uint64_t version = 1;
  // Version that the store holds; 0 before the job is durable.
  uint64_t durable_version = 0;
  // Version in the write that is under way; 0 if there is none.
  uint64_t writing_version = 0;
  // A write of the job was sent, so a refusal would not be certain any more.
  bool write_sent = false;
  bool queued_for_write = false;
  // Status that the store holds: what callers may be told.
  JobStatus durable_status = JobStatus::kLive;
  MonoTime finished_at;

  // Requests to answer once the job is durable.
  std::vector<uint64_t> submit_tokens;
  // Requests to answer once the cancellation is durable.
  std::vector<uint64_t> cancel_tokens;

  bool live() const { return status == JobStatus::kLive; }
  bool perpetual() const { return perpetual_; }
  void SetSpec(JobSpec value);

  // Creates the state of occurrence `number`, due at `due`.
  Occurrence& OpenOccurrence(int number, MonoTime due);
  // All tasks that the job asks for have ended as done.
  bool AllDone() const;

 private:
  bool perpetual_ = false;
};

// The stage has waiting tasks, and all stages that it depends on are done.
bool IsReady(const Job& job, const Occurrence& occurrence, size_t stage);

// A task of a job in memory.
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

// The store's record of an assignment, before its worker is looked up.
struct RecordedAssignment {
  TaskName task;
  WorkerKey worker;
};

// CBOR of a job's progress: status, tasks that are done, run numbers, failures,
// assignments, checkpoints and lost runs. Together with the spec it is all that
// a successor needs.
std::string FormatProgress(const Job& job);

// Puts a record into `job`, whose spec is set. Returns the assignments, whose
// tasks are set to kStarting without a worker. Error kInvalid.
Result<std::vector<RecordedAssignment>> ApplyProgress(absl::string_view bytes,
                                                      Job& job);

// What callers are told of a job.
struct JobView {
  JobStatus status = JobStatus::kLive;
  bool started = false;
};

// The view of a job whose progress record is `bytes`. Error kInvalid.
Result<JobView> ReadJobView(absl::string_view bytes);

// CBOR of a job as accepted: spec, time of submission and first progress.
std::string FormatAcceptedJob(const Job& job);

struct AcceptedJob {
  std::shared_ptr<Job> job;
  std::string progress;
};
// Error kInvalid.
Result<AcceptedJob> ParseAcceptedJob(absl::string_view bytes);

}  // namespace figflow

#endif  // SCHEDULING_JOB_H_
