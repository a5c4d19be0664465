#include "Scheduling/record_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace figflow {
namespace {

RecordWrite MakeRecord(const Job& job) {
  RecordWrite write;
  write.job = job.spec.id;
  if (job.durable_version == 0) {
    write.kind = RecordWrite::Kind::kAccepted;
    write.value = FormatAcceptedJob(job);
  } else {
    write.value = FormatProgress(job);
  }
  return write;
}

}  // namespace

void RecordQueue::Add(const std::shared_ptr<Job>& job) {
  if (!job->queued_for_write && !job->record_held_until) {
    job->queued_for_write = true;
    changed_.push_back(job);
  }
}

std::vector<RecordWrite> RecordQueue::Take(size_t max_records,
                                           size_t max_bytes) {
  max_records = std::min(max_records, limit_);
  std::vector<RecordWrite> writes;
  size_t bytes = 0;
  while (writes.size() < max_records && !changed_.empty()) {
    RecordWrite write = MakeRecord(*changed_.front());
    if (!writes.empty() && bytes + write.value.size() > max_bytes) {
      return writes;
    }
    bytes += write.value.size();
    std::shared_ptr<Job> job = std::move(changed_.front());
    changed_.pop_front();
    // A job that changes again during its write waits for the next one.
    job->queued_for_write = false;
    job->writing_version = job->version;
    job->write_sent = true;
    job->record_bytes = write.value.size();
    writes.push_back(std::move(write));
    jobs_in_write_.push_back(std::move(job));
  }
  while (!removals_.empty() &&
         (writes.empty() || writes.size() + 1 < max_records)) {
    for (const auto kind :
         {RecordWrite::Kind::kAccepted, RecordWrite::Kind::kProgress}) {
      writes.push_back({kind, removals_.front(), "", true});
    }
    removals_in_write_.push_back(std::move(removals_.front()));
    removals_.pop_front();
  }
  return writes;
}

std::vector<std::shared_ptr<Job>> RecordQueue::TakeWritten() {
  limit_ = std::min(limit_ * 2, kNoLimit);
  removals_in_write_.clear();
  for (const std::shared_ptr<Job>& job : jobs_in_write_) {
    job->durable_version = std::exchange(job->writing_version, 0);
  }
  return std::exchange(jobs_in_write_, {});
}

RecordQueue::Refused RecordQueue::TakeRefused() {
  const std::vector<std::shared_ptr<Job>> jobs =
      std::exchange(jobs_in_write_, {});
  const std::vector<std::string> removals =
      std::exchange(removals_in_write_, {});
  for (const std::shared_ptr<Job>& job : jobs) {
    job->writing_version = 0;
  }
  const size_t records = jobs.size() + removals.size();
  if (records == 1) {
    return jobs.empty() ? Refused{nullptr, removals.front()}
                        : Refused{jobs.front(), ""};
  }
  limit_ = std::max<size_t>(records / 2, 1);
  removals_.insert(removals_.begin(), removals.begin(), removals.end());
  for (auto job = jobs.rbegin(); job != jobs.rend(); ++job) {
    if (!(*job)->queued_for_write) {
      (*job)->queued_for_write = true;
      changed_.push_front(*job);
    }
  }
  return {};
}

void RecordQueue::HoldBack(const std::shared_ptr<Job>& job, MonoTime until) {
  Remove(job);
  job->record_held_until = until;
  held_back_.push_back(job);
}

MonoTime RecordQueue::ReleaseDue(MonoTime now, bool* released) {
  MonoTime next = MonoTime::max();
  std::vector<std::shared_ptr<Job>> still_held;
  for (const std::shared_ptr<Job>& job : held_back_) {
    if (now < *job->record_held_until) {
      next = std::min(next, *job->record_held_until);
      still_held.push_back(job);
      continue;
    }
    job->record_held_until.reset();
    Add(job);
    *released = true;
  }
  held_back_ = std::move(still_held);
  return next;
}

std::vector<std::shared_ptr<Job>> RecordQueue::TakeNeverSent() {
  const auto never_sent = [](const std::shared_ptr<Job>& job) {
    return job->durable_version == 0 && !job->write_sent;
  };
  std::vector<std::shared_ptr<Job>> jobs;
  std::copy_if(changed_.begin(), changed_.end(), std::back_inserter(jobs),
               never_sent);
  changed_.erase(std::remove_if(changed_.begin(), changed_.end(), never_sent),
                 changed_.end());
  return jobs;
}

void RecordQueue::Remove(const std::shared_ptr<Job>& job) {
  if (job->queued_for_write) {
    job->queued_for_write = false;
    changed_.erase(std::remove(changed_.begin(), changed_.end(), job),
                   changed_.end());
  }
}

}  // namespace figflow
