// Counts the memory of jobs, and refuses what does not fit.
#include <algorithm>

#include "Common/log.h"
#include "Scheduling/pool_scheduler.h"
#include "Scheduling/record_size.h"
#include "Scheduling/scheduler_metrics.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

// Retry delay for callers whose job was refused for lack of memory: finished
// jobs make room within seconds.
constexpr std::chrono::milliseconds kMemoryRetryDelay{2'000};
constexpr std::chrono::seconds kRefusalLogInterval{1};

}  // namespace

void PoolScheduler::RefuseForSize(const JobSpec& spec,
                                  const char* reason,
                                  uint64_t token,
                                  MonoTime now) {
  output_.submit_responses.push_back(
      {token, SubmitOutcome::kRefused, kMemoryRetryDelay, reason});
  stats_->refused.Add();
  if (now - refusal_logged_at_ < kRefusalLogInterval) {
    return;
  }
  refusal_logged_at_ = now;
  LogEvent(
      LogLevel::kWarning, LogCategory::kJobs, "job_refused",
      {{"job", spec.id},
       {"pool", options_.pool},
       {"cause", reason},
       {"tasks", absl::StrCat(spec.task_count())},
       {"pool_bytes", absl::StrCat(work_memory_->used())},
       {"process_bytes", absl::StrCat(options_.process_memory == nullptr
                                          ? work_memory_->used()
                                          : options_.process_memory->used())}});
}

void PoolScheduler::CountMemory(Job& job) {
  const size_t of_job = EstimateJobMemory(job.spec, job.spec_bytes.size());
  const size_t occurrences =
      job.live() ? std::max<size_t>(job.occurrences.size(), 1) : 0;
  job.memory.Set(of_job + job.checkpoint_bytes +
                 occurrences * EstimateOccurrenceMemory(job.spec));
}

void PoolScheduler::SaveCheckpoint(const TaskRef& ref,
                                   const std::string& checkpoint) {
  Task& task = ref.Get();
  if (checkpoint.empty() || checkpoint == task.checkpoint) {
    return;
  }
  const size_t limit =
      std::min(options_.bounds.max_record_bytes, ref.job->record_limit);
  const bool fits = checkpoint.size() <= kShortCheckpoint ||
                    checkpoint.size() <= task.checkpoint.size() ||
                    (checkpoint.size() <= LongestCheckpoint(*ref.job, limit) &&
                     work_memory_->HasRoom(checkpoint.size()));
  if (!fits) {
    LogEvent(LogLevel::kWarning, LogCategory::kJobs, "checkpoint_not_kept",
             {{"task", FormatTaskName(ref.Name())},
              {"pool", options_.pool},
              {"bytes", absl::StrCat(checkpoint.size())}});
    return;
  }
  const size_t counted = ref.job->checkpoint_bytes;
  ref.job->SetCheckpoint(task, checkpoint);
  if (ref.job->checkpoint_bytes != counted) {
    CountMemory(*ref.job);
  }
}

}  // namespace figflow
