#ifndef FLEET_POOL_RUNNER_H_
#define FLEET_POOL_RUNNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "Adapter/platform_adapter.h"
#include "Common/clock.h"
#include "Common/metrics.h"
#include "Ownership/record_writer.h"
#include "Scheduling/pool_scheduler.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace figflow {

// One pool that this daemon owns: reads its records, then runs its scheduler,
// carries out the scheduler's output and feeds the answers back.
//
// Thread-safe. The scheduler is called under the runner's lock; orders and
// replies leave without it.
class PoolRunner : public std::enable_shared_from_this<PoolRunner> {
 public:
  struct Dependencies {
    PlatformAdapter& platform;
    const Clock& clock;
    MetricsRegistry& metrics;
    // Asks for a Tick at this time, from any thread.
    std::function<void(MonoTime)> wake_at;
  };
  struct Claim {
    std::string pool;
    std::string nonce;
    // Revision of the owner's key, the fence of all orders.
    uint64_t revision = 0;
  };
  enum class State { kLoading, kActive, kReleasing, kEnded };

  using SubmitCallback = std::function<void(const SubmitReply&)>;
  using CancelCallback = std::function<void(CancelOutcome)>;

  PoolRunner(Dependencies parts, Claim claim, ExecutionBounds bounds);

  // Starts reading the pool's records.
  void Start();

  void SetPlan(std::shared_ptr<const FleetPlan> plan);
  void SetBounds(const ExecutionBounds& bounds);
  void OnWorkerListed(const WorkerReport& report);
  void OnWorkerUnlisted(const std::string& worker);

  // False, without a call of `done`, unless the pool is active.
  bool Submit(JobSpec spec, std::string spec_bytes, SubmitCallback done);
  bool Cancel(const std::string& job, CancelCallback done);
  // kUnavailable unless the pool is active; kNotFound: no such job.
  Result<JobView> Query(const std::string& job);
  Result<int64_t> CountPending(const std::string& queue);

  // Carries out what the instances' keeper asks, and reports. kUnavailable
  // unless the pool is active.
  Result<PoolReport> ApplyOrders(const WorkerOrders& orders);
  // A later worker runs on the instance of this one.
  void OnWorkerEnded(const std::string& worker);

  // Does what is due. Returns when to call again.
  MonoTime Tick(MonoTime now);
  // Until when the ownership is certain.
  void SetLeaseValidUntil(MonoTime until);

  // Takes nothing new and ends when the write under way has ended; `done` is
  // called with the claim still in force.
  void Release(std::function<void()> done);
  // Another daemon owns the pool, or the claim has ended.
  void Stop(const char* cause);

  // Calls are answered now.
  bool AcceptsCalls() const;
  State state() const;
  bool deposed() const;
  const Claim& claim() const { return claim_; }
  std::pair<int, int> CountReachedWorkers() const;
  std::map<std::string, int> WaitingByQueue() const;
  MonoTime active_since() const;

 private:
  // What the store holds of the pool, while it is being read.
  struct Recovery {
    uint64_t sequence_revision = 0;
    std::map<std::string, JobRecords> records;
    std::string after;
  };
  struct PendingActions;

  void ReadSequence();
  void ReadRecords(const std::shared_ptr<Recovery>& recovery, bool progress);
  void RetryRead(std::function<void()> read);
  void Activate(const Recovery& recovery);

  // Runs `change` on the scheduler, then a step of it, and carries out what
  // comes of it. Returns false, without running it, if there is no scheduler.
  template <typename Change>
  bool RunOnScheduler(Change change);
  bool AcceptsCallsLocked() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void CollectActions(PendingActions* work)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Matches replies with the calls that wait for them.
  void TakeResponses(SchedulerOutput* output, PendingActions* work)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void ExecuteActions(PendingActions work);
  void OnWritten(RecordWriter::Outcome outcome);

  const Dependencies dependencies_;
  const Claim claim_;
  Counter& steps_;

  mutable absl::Mutex mutex_;
  ExecutionBounds bounds_ ABSL_GUARDED_BY(mutex_);
  State state_ ABSL_GUARDED_BY(mutex_) = State::kLoading;
  std::unique_ptr<PoolScheduler> scheduler_ ABSL_GUARDED_BY(mutex_);
  std::shared_ptr<RecordWriter> writer_ ABSL_GUARDED_BY(mutex_);
  bool write_in_flight_ ABSL_GUARDED_BY(mutex_) = false;
  // Start of the last write.
  MonoTime write_started_at_ ABSL_GUARDED_BY(mutex_);
  bool deposed_ ABSL_GUARDED_BY(mutex_) = false;
  MonoTime next_step_ ABSL_GUARDED_BY(mutex_) = MonoTime::max();
  MonoTime last_step_at_ ABSL_GUARDED_BY(mutex_);
  MonoTime lease_valid_until_ ABSL_GUARDED_BY(mutex_) = MonoTime::min();
  MonoTime active_since_ ABSL_GUARDED_BY(mutex_) = MonoTime::max();
  std::function<void()> on_released_ ABSL_GUARDED_BY(mutex_);
  std::function<void()> retry_ ABSL_GUARDED_BY(mutex_);
  MonoTime retry_at_ ABSL_GUARDED_BY(mutex_) = MonoTime::max();
  // Known before the scheduler exists.
  std::shared_ptr<const FleetPlan> plan_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, WorkerReport> reports_ ABSL_GUARDED_BY(mutex_);

  uint64_t next_token_ ABSL_GUARDED_BY(mutex_) = 1;
  std::map<uint64_t, SubmitCallback> pending_submits_ ABSL_GUARDED_BY(mutex_);
  std::map<uint64_t, CancelCallback> pending_cancels_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace figflow

#endif  // FLEET_POOL_RUNNER_H_
