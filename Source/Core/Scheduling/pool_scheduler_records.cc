// Writes the records of jobs and applies the effects of durable ones.
#include <algorithm>
#include <utility>

#include "Common/log.h"
#include "Scheduling/pool_scheduler.h"
#include "Scheduling/scheduler_metrics.h"
#include "absl/strings/str_cat.h"

namespace figflow {

namespace {

// Delay before the next record of a job whose last one the store has refused.
constexpr std::chrono::seconds kRefusedRecordDelay{2};
// A refusal may have another cause than the size of the record, so it lowers
// the job's limit not below this, and for this time only.
constexpr size_t kLeastRecordLimit = size_t{64} << 10;
constexpr std::chrono::seconds kRecordLimitTime{30};
// Retry delay for callers whose job the store refuses: its record will be the
// same, unless the store's limits are changed.
constexpr std::chrono::milliseconds kRefusedJobRetryDelay{10'000};

}  // namespace

std::vector<RecordWrite> PoolScheduler::TakeWrites(size_t limit) {
  return records_.Take(limit, options_.bounds.max_record_bytes);
}

void PoolScheduler::OnWritten(MonoTime now) {
  for (const std::shared_ptr<Job>& job : records_.TakeWritten()) {
    OnJobDurable(job, now);
  }
  for (auto& [key, worker] : workers_) {
    AdvanceAcknowledged(*worker);
  }
}

void PoolScheduler::OnWriteRefused(MonoTime now) {
  const RecordQueue::Refused refused = records_.TakeRefused();
  const auto report = [&](const std::string& job, const char* kind,
                          size_t bytes) {
    stats_->records_refused.Add();
    LogEvent(LogLevel::kError, LogCategory::kJobs, "record_refused",
             {{"job", job},
              {"pool", options_.pool},
              {"kind", kind},
              {"bytes", absl::StrCat(bytes)}});
  };
  if (!refused.removal.empty()) {
    // The next owner tries to remove the records again.
    report(refused.removal, "removal", 0);
  }
  const std::shared_ptr<Job>& job = refused.job;
  if (job == nullptr) {
    return;
  }
  const bool stored = job->durable_version > 0;
  report(job->spec.id, stored ? "progress" : "accepted", job->record_bytes);
  if (stored) {
    HoldBackRecord(job, now);
    return;
  }
  records_.Remove(job);
  RefuseUnwrittenJob(job, kRefusedJobRetryDelay, "record-refused", now);
}

void PoolScheduler::HoldBackRecord(const std::shared_ptr<Job>& job,
                                   MonoTime now) {
  // No order was sent for planned tasks, so their runs never existed.
  for (auto& [number, occurrence] : job->occurrences) {
    for (size_t i = 0; i < occurrence.stages.size(); ++i) {
      std::vector<Task>& tasks = occurrence.stages[i].tasks;
      for (size_t k = 0; k < tasks.size(); ++k) {
        if (tasks[k].phase == TaskPhase::kPlanned) {
          ReturnTask({job, number, static_cast<int>(i), static_cast<int>(k)},
                     now);
          --tasks[k].run;
        }
      }
    }
  }
  job->record_limit = std::max(job->record_bytes / 4 * 3, kLeastRecordLimit);
  job->record_limited_until = now + kRecordLimitTime;
  records_.HoldBack(job, now + kRefusedRecordDelay);
}

void PoolScheduler::OnJobDurable(const std::shared_ptr<Job>& job,
                                 MonoTime now) {
  for (const uint64_t token : job->submit_tokens) {
    output_.submit_responses.push_back(
        {token, SubmitOutcome::kAccepted, std::chrono::milliseconds(0), ""});
    stats_->accepted.Add();
    stats_->time_to_accept.Record(now - job->arrived);
  }
  job->submit_tokens.clear();
  if (!job->spec_bytes.empty()) {
    job->spec_bytes = std::string();
    CountMemory(*job);
  }
  if (job->durable_version < job->version && !job->live()) {
    // The final status of the job is in a later write.
    return;
  }
  if (!job->live()) {
    if (job->durable_status == JobStatus::kLive) {
      job->durable_status = job->status;
      Counter& ended = job->status == JobStatus::kCompleted ? stats_->completed
                       : job->status == JobStatus::kFailed  ? stats_->failed
                                                            : stats_->cancelled;
      ended.Add();
      LogEvent(LogLevel::kInfo, LogCategory::kJobs, "job_ended",
               {{"job", job->spec.id},
                {"queue", job->spec.queue},
                {"pool", options_.pool},
                {"fence", absl::StrCat(options_.fence)},
                {"status", std::string(JobStatusName(job->status))},
                {"since_arrival_ms",
                 absl::StrCat(WholeMilliseconds(now - job->arrived).count())}});
      if (job->status == JobStatus::kCompleted) {
        stats_->time_to_complete.Record(now - job->arrived);
      }
      StopJobTasks(job, now);
      // Only the status is still needed, and the sizes of runs that stop.
      job->occurrences.clear();
      job->checkpoint_bytes = 0;
      CountMemory(*job);
    }
    for (const uint64_t token : job->cancel_tokens) {
      output_.cancel_responses.push_back({token, CancelOutcome::kCancelled});
    }
    job->cancel_tokens.clear();
    return;
  }
  for (auto& [number, occurrence] : job->occurrences) {
    for (size_t i = 0; i < occurrence.stages.size(); ++i) {
      for (Task& task : occurrence.stages[i].tasks) {
        if (task.phase == TaskPhase::kPlanned &&
            task.planned_version <= job->durable_version) {
          task.phase = TaskPhase::kStarting;
          task.since = now;
          task.next_order = now;
        }
      }
    }
  }
}

void PoolScheduler::RefuseUnwrittenJobs(std::chrono::milliseconds retry_after,
                                        MonoTime now) {
  for (const std::shared_ptr<Job>& job : records_.TakeNeverSent()) {
    RefuseUnwrittenJob(job, retry_after, "store-silent", now);
  }
}

void PoolScheduler::RefuseUnwrittenJob(const std::shared_ptr<Job>& job,
                                       std::chrono::milliseconds retry_after,
                                       const char* reason,
                                       MonoTime now) {
  for (const uint64_t token : job->submit_tokens) {
    output_.submit_responses.push_back(
        {token, SubmitOutcome::kRefused, retry_after, reason});
    stats_->refused.Add();
  }
  job->submit_tokens.clear();
  for (const uint64_t token : job->cancel_tokens) {
    output_.cancel_responses.push_back({token, CancelOutcome::kNotFound});
  }
  job->cancel_tokens.clear();
  // No order was sent for planned tasks.
  job->status = JobStatus::kCancelled;
  StopJobTasks(job, now);
  open_jobs_.erase(job->spec.id);
  finished_jobs_.erase(
      std::remove(finished_jobs_.begin(), finished_jobs_.end(), job),
      finished_jobs_.end());
  jobs_.erase(job->spec.id);
}

}  // namespace figflow
