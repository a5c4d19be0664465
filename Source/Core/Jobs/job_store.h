#ifndef JOBS_JOB_STORE_H_
#define JOBS_JOB_STORE_H_

#include <atomic>
#include <chrono>
#include <string>
#include <vector>

#include "Common/error.h"
#include "Common/strong_id.h"
#include "Jobs/job_record.h"
#include "Platform/key_value_store.h"

namespace figflow {

struct StoredJob {
  JobRecord record;
  uint64_t revision = 0;
};

// The token of the job's current placement: the revision of the write that
// placed it.
uint64_t FencingToken(const StoredJob& job);

// Job records under "job/<project>/<id>", changed by compare-and-swap only.
// Thread-safe; blocks for the store.
class JobStore {
 public:
  // `writer` is unique to the process. `store` must outlive this.
  JobStore(KeyValueStore& store,
           std::string writer,
           std::chrono::milliseconds timeout);

  // Returns after the record is durable. kConflict: the id exists.
  // kUnknownOutcome: it may be durable; submit again under the same id.
  Result<StoredJob> Submit(JobRecord record);
  // kNotFound if absent.
  Result<StoredJob> Read(const ProjectId& project, const JobId& id);
  // Skips records that cannot be parsed and counts them in `unreadable`.
  Result<std::vector<StoredJob>> List(int* unreadable = nullptr);
  // Replaces `old`. kConflict: another party changed the record first; read it
  // to learn the winner's state. kInvalid: the change of state is not allowed.
  Result<StoredJob> Replace(const StoredJob& old, JobRecord record);
  // Cancels the job, or has it stopped if it has a worker. Returns the record
  // as it is afterwards: kFinished if the job finished first.
  Result<StoredJob> Cancel(const ProjectId& project, const JobId& id);

 private:
  Result<StoredJob> Write(JobRecord record, uint64_t expected_revision);

  KeyValueStore& store_;
  const std::string writer_;
  const std::chrono::milliseconds timeout_;
  std::atomic<uint64_t> next_write_{1};
};

}  // namespace figflow

#endif  // JOBS_JOB_STORE_H_
