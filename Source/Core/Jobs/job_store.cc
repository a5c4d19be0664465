#include "Jobs/job_store.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

constexpr char kPrefix[] = "job/";
// Each lost race means that another party made progress; a job changes only a
// few times in its life.
constexpr int kCancelAttempts = 10;

std::string KeyOf(const ProjectId& project, const JobId& id) {
  return absl::StrCat(kPrefix, project.value(), "/", id.value());
}

bool SameWrite(absl::string_view stored, absl::string_view written) {
  const Result<JobRecord> a = ParseJob(stored);
  const Result<JobRecord> b = ParseJob(written);
  return a && b && a->write_id == b->write_id;
}

}  // namespace

uint64_t FencingToken(const StoredJob& job) {
  return job.record.state == JobState::kPlaced ? job.revision
                                               : job.record.fencing_token;
}

JobStore::JobStore(KeyValueStore& store,
                   std::string writer,
                   std::chrono::milliseconds timeout)
    : store_(store), writer_(std::move(writer)), timeout_(timeout) {}

Result<StoredJob> JobStore::Write(JobRecord record,
                                  uint64_t expected_revision) {
  record.write_id = absl::StrCat(writer_, "/", next_write_++);
  const Result<uint64_t> revision = CompareAndSwapSettled(
      store_, KeyOf(record.project, record.id), expected_revision,
      FormatJob(record), timeout_, SameWrite);
  if (!revision) {
    return tl::make_unexpected(revision.error());
  }
  return StoredJob{std::move(record), *revision};
}

Result<StoredJob> JobStore::Submit(JobRecord record) {
  if (record.id.empty() || record.project.empty() || record.pool.empty() ||
      record.id.value().find('/') != std::string::npos ||
      record.project.value().find('/') != std::string::npos) {
    return Fail(ErrorCode::kInvalid, "jobs.submit", "",
                "id, project and pool must be set, without '/'");
  }
  record.state = JobState::kPending;
  return Write(std::move(record), 0);
}

Result<StoredJob> JobStore::Read(const ProjectId& project, const JobId& id) {
  Result<std::optional<VersionedValue>> stored =
      store_.Get(KeyOf(project, id), timeout_);
  if (!stored) {
    return tl::make_unexpected(stored.error());
  }
  if (!*stored) {
    return Fail(ErrorCode::kNotFound, "jobs.read", "", "no such job");
  }
  Result<JobRecord> record = ParseJob((*stored)->value);
  if (!record) {
    return tl::make_unexpected(record.error());
  }
  return StoredJob{std::move(*record), (*stored)->revision};
}

Result<std::vector<StoredJob>> JobStore::List(int* unreadable) {
  const Result<std::vector<KeyValue>> found = store_.List(kPrefix, timeout_);
  if (!found) {
    return tl::make_unexpected(found.error());
  }
  std::vector<StoredJob> jobs;
  jobs.reserve(found->size());
  for (const KeyValue& entry : *found) {
    Result<JobRecord> record = ParseJob(entry.versioned.value);
    if (record) {
      jobs.push_back(StoredJob{std::move(*record), entry.versioned.revision});
    } else if (unreadable != nullptr) {
      ++*unreadable;
    }
  }
  return jobs;
}

Result<StoredJob> JobStore::Replace(const StoredJob& old, JobRecord record) {
  if (!MayChange(old.record.state, record.state)) {
    return Fail(ErrorCode::kInvalid, "jobs.replace", "",
                absl::StrCat("a job cannot change from ",
                             JobStateName(old.record.state), " to ",
                             JobStateName(record.state)));
  }
  // From kPlaced on, the record itself carries the token.
  record.fencing_token = FencingToken(old);
  return Write(std::move(record), old.revision);
}

Result<StoredJob> JobStore::Cancel(const ProjectId& project, const JobId& id) {
  for (int attempt = 0; attempt < kCancelAttempts; ++attempt) {
    Result<StoredJob> job = Read(project, id);
    if (!job || IsFinal(job->record.state) ||
        (job->record.state == JobState::kStopping &&
         job->record.after_stop == JobState::kCancelled)) {
      return job;
    }
    JobRecord record = job->record;
    record.reason = "cancelled by its owner";
    if (WaitsForWorker(record.state)) {
      record.state = JobState::kCancelled;
    } else {
      record.state = JobState::kStopping;
      record.after_stop = JobState::kCancelled;
    }
    Result<StoredJob> written = Replace(*job, std::move(record));
    if (written || written.error().code != ErrorCode::kConflict) {
      return written;
    }
  }
  return Fail(ErrorCode::kConflict, "jobs.cancel", "",
              "the record kept changing; it was not cancelled");
}

}  // namespace figflow
