// Durable writes of a pool: records of jobs, and the leases that an owner hands
// over.
#include <algorithm>
#include <utility>

#include "Fleet/pool_runner.h"
#include "Fleet/pool_runner_actions.h"
#include "Ownership/owner_record.h"

namespace figflow {
namespace {

// The store counts as unresponsive when a write has had no response for this
// long. A slow store responds within 300 ms, and the repeated request makes up
// for a single lost response.
constexpr std::chrono::milliseconds kStoreResponseTimeout{650};
// Retry delay for callers whose job was refused for that reason. Outages of the
// store last some seconds; callers that retry one by one discover its end.
constexpr std::chrono::milliseconds kStoreOutageRetryDelay{1'000};
// Minimum time between the starts of two writes of a pool. Each request to the
// store has a cost; waiting this long delays a job by about one hundredth.
constexpr std::chrono::milliseconds kMinWriteInterval{25};

}  // namespace

void PoolRunner::CollectWrites(MonoTime now, PendingActions* work) {
  if (state_ == State::kReleasing) {
    CollectRelease(now, work);
    return;
  }
  const bool due = scheduler_->HasWrites() || clears_leases_;
  if (!write_in_flight_ && due) {
    // One write carries all changes of a busy pool within the interval.
    if (now < next_write_at_) {
      next_step_ = std::min(next_step_, next_write_at_);
    } else {
      AddJobRecords(scheduler_->TakeWrites(RecordWriter::kMaxRecords), work);
      if (clears_leases_) {
        work->removals.push_back(LeaseRecordKey(claim_.pool));
      }
      BeginWrite(now, work);
    }
  }
  if (!write_in_flight_) {
    return;
  }
  const MonoTime unresponsive_at = write_started_at_ + kStoreResponseTimeout;
  if (now < unresponsive_at) {
    next_step_ = std::min(next_step_, unresponsive_at);
    return;
  }
  scheduler_->RefuseUnwrittenJobs(kStoreOutageRetryDelay, now);
  SchedulerOutput refusals = scheduler_->TakeOutput();
  TakeResponses(&refusals, work);
}

void PoolRunner::CollectRelease(MonoTime now, PendingActions* work) {
  if (write_in_flight_) {
    return;
  }
  // No lease is granted any more.
  if (!leases_handed_over_) {
    leases_handed_over_ = true;
    const RemainingLeases leases = scheduler_->LeasesOfUnreachedWorkers(now);
    if (!leases.empty()) {
      work->writes.push_back(
          {LeaseRecordKey(claim_.pool), FormatRemainingLeases(leases), 0});
      BeginWrite(now, work);
      return;
    }
  }
  work->released = std::move(on_released_);
  on_released_ = nullptr;
}

void PoolRunner::AddJobRecords(std::vector<RecordWrite> records,
                               PendingActions* work) const {
  for (RecordWrite& record : records) {
    std::string key = record.kind == RecordWrite::Kind::kAccepted
                          ? AcceptedJobKey(claim_.pool, record.job)
                          : JobProgressKey(claim_.pool, record.job);
    if (record.remove) {
      work->removals.push_back(std::move(key));
    } else {
      work->writes.push_back({std::move(key), std::move(record.value), 0});
    }
  }
}

void PoolRunner::BeginWrite(MonoTime now, PendingActions* work) {
  write_started_at_ = now;
  next_write_at_ = now + kMinWriteInterval;
  write_in_flight_ = true;
  work->writer = writer_;
}

}  // namespace figflow
