// Writes the records of jobs and applies the effects of durable ones.
#include <algorithm>
#include <utility>

#include "Common/log.h"
#include "Scheduling/pool_scheduler.h"
#include "Scheduling/scheduler_metrics.h"
#include "absl/strings/str_cat.h"

namespace figflow {

std::vector<RecordWrite> PoolScheduler::TakeWrites(size_t limit) {
  std::vector<RecordWrite> writes;
  // A job that changes again during its write waits for the next write.
  while (writes.size() < limit && !changed_jobs_.empty()) {
    std::shared_ptr<Job> job = std::move(changed_jobs_.front());
    changed_jobs_.pop_front();
    job->queued_for_write = false;
    job->writing_version = job->version;
    job->write_sent = true;
    RecordWrite write;
    write.job = job->spec.id;
    if (job->durable_version == 0) {
      write.kind = RecordWrite::Kind::kAccepted;
      write.value = FormatAcceptedJob(*job);
    } else {
      write.value = FormatProgress(*job);
    }
    writes.push_back(std::move(write));
    jobs_in_write_.push_back(std::move(job));
  }
  while (writes.size() + 1 < limit && !removals_.empty()) {
    for (const auto kind :
         {RecordWrite::Kind::kAccepted, RecordWrite::Kind::kProgress}) {
      writes.push_back({kind, removals_.front(), "", true});
    }
    removals_.pop_front();
  }
  return writes;
}

bool PoolScheduler::HasWrites() const {
  return !changed_jobs_.empty() || !removals_.empty();
}

void PoolScheduler::OnWritten(MonoTime now) {
  std::vector<std::shared_ptr<Job>> written = std::move(jobs_in_write_);
  jobs_in_write_.clear();
  for (const std::shared_ptr<Job>& job : written) {
    job->durable_version = std::exchange(job->writing_version, 0);
    OnJobDurable(job, now);
  }
  for (auto& [key, worker] : workers_) {
    AdvanceAcknowledged(*worker);
  }
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
  std::deque<std::shared_ptr<Job>> kept;
  for (const std::shared_ptr<Job>& job : changed_jobs_) {
    if (job->durable_version > 0 || job->write_sent) {
      kept.push_back(job);
      continue;
    }
    for (const uint64_t token : job->submit_tokens) {
      output_.submit_responses.push_back(
          {token, SubmitOutcome::kRefused, retry_after, "store-silent"});
      stats_->refused.Add();
    }
    for (const uint64_t token : job->cancel_tokens) {
      output_.cancel_responses.push_back({token, CancelOutcome::kNotFound});
    }
    // No order was sent for planned tasks.
    job->status = JobStatus::kCancelled;
    StopJobTasks(job, now);
    open_jobs_.erase(job->spec.id);
    finished_jobs_.erase(
        std::remove(finished_jobs_.begin(), finished_jobs_.end(), job),
        finished_jobs_.end());
    jobs_.erase(job->spec.id);
  }
  changed_jobs_ = std::move(kept);
}

}  // namespace figflow
