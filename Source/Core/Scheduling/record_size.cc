#include "Scheduling/record_size.h"

#include <algorithm>
#include <limits>

#include "Scheduling/worker_state.h"

namespace figflow {
namespace {

// Status, numbers, names of the fields of an accepted job.
constexpr size_t kRecordBytes = 128;
constexpr size_t kOccurrenceBytes = 16;
constexpr size_t kStageBytes = 16;
// The index of a task that is done.
constexpr size_t kDoneTaskBytes = 3;
// Numbers of a task that has begun, and of the worker's incarnation.
constexpr size_t kTaskNumberBytes = 32;
constexpr size_t kWorkerIdBytes = 40;
// Names of the lost runs of a task, which may come to be.
constexpr size_t kLostRunsBytes = 56;
constexpr size_t kRunNumberBytes = 5;
// Of a task without a long checkpoint.
constexpr size_t kLongestTaskRow =
    kTaskNumberBytes + kWorkerIdBytes + kShortCheckpoint + kLostRunsBytes;

size_t ReservedForCheckpoint(const StageSpec& spec) {
  return spec.saves_progress ? kShortCheckpoint : 1;
}

size_t TaskRowSize(const StageSpec& spec, const Task& task) {
  const size_t worker =
      task.worker == nullptr ? 0 : task.worker->report.key.id.size();
  return kTaskNumberBytes + std::max(worker, kWorkerIdBytes) +
         std::max(task.checkpoint.size(), ReservedForCheckpoint(spec)) +
         std::max(task.lost_runs.size() * kRunNumberBytes, kLostRunsBytes);
}

size_t NewTaskRowSize(const StageSpec& spec) {
  return TaskRowSize(spec, Task());
}

size_t StageSize(const StageSpec& spec, const Stage& stage) {
  size_t bytes = kStageBytes;
  if (stage.finished()) {
    return bytes;
  }
  for (const Task& task : stage.tasks) {
    if (task.phase == TaskPhase::kDone) {
      bytes += kDoneTaskBytes;
    } else if (task.run > 0) {
      bytes += TaskRowSize(spec, task);
    }
  }
  return bytes;
}

}  // namespace

size_t EstimateRecordSize(const Job& job) {
  size_t bytes = kRecordBytes + job.spec_bytes.size() +
                 job.spec.customer.size() + job.spec.queue.size();
  for (const auto& [number, occurrence] : job.occurrences) {
    bytes += kOccurrenceBytes;
    for (size_t i = 0; i < occurrence.stages.size(); ++i) {
      bytes += StageSize(job.spec.stages[i], occurrence.stages[i]);
    }
  }
  return bytes;
}

bool MayFitRecord(const JobSpec& spec, size_t max_bytes) {
  size_t others = kRecordBytes + spec.customer.size() + spec.queue.size() +
                  kOccurrenceBytes + spec.stages.size() * kStageBytes;
  others += static_cast<size_t>(spec.task_count()) * kDoneTaskBytes;
  return std::all_of(
      spec.stages.begin(), spec.stages.end(), [&](const StageSpec& stage) {
        const size_t members =
            stage.gang ? static_cast<size_t>(stage.count) : 0;
        return members * NewTaskRowSize(stage) + others <= max_bytes;
      });
}

int CountTasksThatFitRecord(const Job& job,
                            const StageSpec& spec,
                            size_t max_bytes) {
  const size_t open_tasks =
      job.occurrences.size() * static_cast<size_t>(job.spec.task_count());
  // Spares a look at each task of most jobs.
  const bool all_fit =
      job.checkpoint_bytes == 0 &&
      kRecordBytes + job.spec_bytes.size() + job.spec.customer.size() +
              job.spec.queue.size() +
              job.occurrences.size() *
                  (kOccurrenceBytes + job.spec.stages.size() * kStageBytes) +
              open_tasks * kLongestTaskRow <=
          max_bytes;
  if (all_fit) {
    return std::numeric_limits<int>::max();
  }
  const size_t bytes = EstimateRecordSize(job);
  if (bytes >= max_bytes) {
    return 0;
  }
  return static_cast<int>(
      std::min<size_t>((max_bytes - bytes) / NewTaskRowSize(spec),
                       std::numeric_limits<int>::max()));
}

size_t LongestCheckpoint(const Job& job, size_t max_bytes) {
  const size_t tasks = std::max<size_t>(job.occurrences.size(), 1) *
                       static_cast<size_t>(job.spec.task_count());
  const size_t others = kTaskNumberBytes + kWorkerIdBytes + kLostRunsBytes;
  const size_t each = max_bytes / 2 / std::max<size_t>(tasks, 1);
  return std::max(kShortCheckpoint, each < others ? 0 : each - others);
}

}  // namespace figflow
