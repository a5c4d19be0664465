#ifndef FLEET_POOL_RUNNER_H_
#define FLEET_POOL_RUNNER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Adapter/platform_adapter.h"
#include "Common/clock.h"
#include "Common/metrics.h"
#include "Ownership/record_writer.h"
#include "Scheduling/pool_scheduler.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace figflow {

// Runs one pool that this daemon owns: reads its records, runs its scheduler,
// executes the scheduler's output and reports the responses to it.
//
// Thread-safe. The scheduler is called under the runner's lock; orders and
// responses are sent without it.
class PoolRunner : public std::enable_shared_from_this<PoolRunner> {
 public:
  struct Dependencies {
    PlatformAdapter& platform;
    const Clock& clock;
    MetricsRegistry& metrics;
    // Requests a Tick at this time. Called from any thread.
    std::function<void(MonoTime)> wake_at;
    // Receives the history of the routes, read after the claim.
    std::function<void(const StoreItem&)> on_routes;
    // Counts what the accepted jobs of all pools of this process take.
    std::shared_ptr<WorkMemory> work_memory;
  };
  struct Claim {
    std::string pool;
    std::string nonce;
    // Revision of the owner's key, which is the fence of all orders.
    uint64_t revision = 0;
  };
  enum class State { kLoading, kActive, kReleasing, kEnded };

  using SubmitCallback = std::function<void(const SubmitResponse&)>;
  using CancelCallback = std::function<void(CancelOutcome)>;

  PoolRunner(Dependencies parts, Claim claim, ExecutionBounds bounds);

  // Starts reading the pool's records.
  void Start();

  void SetPlan(std::shared_ptr<const FleetPlan> plan);
  void SetBounds(const ExecutionBounds& bounds);
  void OnWorkerListed(const WorkerReport& report);
  void OnWorkerUnlisted(const std::string& worker);

  // These return false, without calling `done`, unless the pool is active.
  // `plan_version` is the plan by which the job was routed to this pool.
  bool Submit(JobSpec spec,
              std::string spec_bytes,
              uint64_t plan_version,
              SubmitCallback done);
  // A job that `call` may not access counts as unknown.
  bool Cancel(const std::string& job,
              const JobParty& call,
              CancelCallback done);
  // Errors: kUnavailable unless the pool is active, kNotFound if there is no
  // such job.
  Result<JobView> Query(const std::string& job);
  // Same as Query for a daemon that submits the job to another pool if this one
  // has not accepted it. Error kUnavailable also while that is uncertain.
  Result<JobView> LookUp(const std::string& job, uint64_t plan_version);
  Result<int64_t> CountPending(const std::string& queue);

  // Applies the orders of the instance controller and returns a report. Error:
  // kUnavailable unless the pool is active.
  Result<PoolReport> ApplyOrders(const WorkerOrders& orders);
  // Handles a registry entry of a later worker on the instance of this one.
  void OnWorkerSuperseded(const WorkerKey& worker);

  // Performs all actions that are due. Returns when to call it again.
  MonoTime Tick(MonoTime now);
  // Sets the time until which the lease is certain to be valid.
  void SetLeaseValidUntil(MonoTime until);

  // Accepts no more work and finishes the write in progress, then calls `done`
  // with the claim still active.
  void Release(std::function<void()> done);
  // Stops the runner because another daemon owns the pool or the claim has
  // ended.
  void Stop(const char* cause);

  // Returns whether calls are served now.
  bool AcceptsCalls() const;
  State state() const;
  bool deposed() const;
  const Claim& claim() const { return claim_; }
  std::pair<int, int> CountReachedWorkers() const;
  std::map<std::string, int> WaitingByQueue() const;
  // Returns the memory that the accepted jobs count for, in bytes.
  size_t WorkMemoryInUse() const;
  // Returns the number of jobs whose changes the store refuses.
  size_t RefusedRecords() const;
  // Loads of customers with a cap; empty unless the pool is active.
  std::vector<CustomerLoad> CustomerLoads() const;
  MonoTime active_since() const;

 private:
  // Records of the pool in the store, while they are being read.
  struct Recovery {
    // Reads that have not completed: the jobs, the leases and the routes.
    std::atomic<int> pending_reads{3};
    uint64_t sequence_revision = 0;
    std::map<std::string, JobRecords> records;
    std::string after;
    // True if the last owner has handed over leases, readable or not.
    bool has_lease_record = false;
    RemainingLeases leases;
  };
  struct PendingActions;

  void ReadSequence(const std::shared_ptr<Recovery>& recovery);
  void ReadLeases(const std::shared_ptr<Recovery>& recovery);
  // Reads the history of the routes. This owner does not know which jobs were
  // looked up at the earlier one; with a later history than theirs, it detects
  // daemons that would submit them here.
  void ReadRoutes(const std::shared_ptr<Recovery>& recovery);
  void OnReadCompleted(const std::shared_ptr<Recovery>& recovery);
  void ReadRecords(const std::shared_ptr<Recovery>& recovery, bool progress);
  void RetryRead(std::function<void()> read);
  void Activate(Recovery& recovery);

  // Runs `change` and then a step on the scheduler, and executes the resulting
  // actions. Returns false, without running it, if there is no scheduler or the
  // runner has stopped.
  template <typename Change>
  bool RunOnScheduler(Change change);
  bool AcceptsCallsLocked() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void CollectActions(PendingActions* work)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Matches responses with the calls that wait for them.
  void TakeResponses(SchedulerOutput* output, PendingActions* work)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void ExecuteActions(PendingActions work);
  // Adds the write that is due, if any.
  void CollectWrites(MonoTime now, PendingActions* work)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Writes the leases to hand over, then ends the release.
  void CollectRelease(MonoTime now, PendingActions* work)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void AddJobRecords(std::vector<RecordWrite> records,
                     PendingActions* work) const;
  void BeginWrite(MonoTime now, PendingActions* work)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void OnWritten(RecordWriter::Outcome outcome);

  const Dependencies deps_;
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
  // Earliest start of the next write.
  MonoTime next_write_at_ ABSL_GUARDED_BY(mutex_);
  bool deposed_ ABSL_GUARDED_BY(mutex_) = false;
  MonoTime next_step_ ABSL_GUARDED_BY(mutex_) = MonoTime::max();
  MonoTime last_step_at_ ABSL_GUARDED_BY(mutex_);
  MonoTime lease_valid_until_ ABSL_GUARDED_BY(mutex_) = MonoTime::min();
  MonoTime active_since_ ABSL_GUARDED_BY(mutex_) = MonoTime::max();
  std::function<void()> on_released_ ABSL_GUARDED_BY(mutex_);
  // A handed-over lease record is in the store, and this owner has not removed
  // it yet. Until then it grants no leases.
  bool clears_leases_ ABSL_GUARDED_BY(mutex_) = false;
  bool leases_handed_over_ ABSL_GUARDED_BY(mutex_) = false;
  std::vector<std::function<void()>> retries_ ABSL_GUARDED_BY(mutex_);
  MonoTime retry_at_ ABSL_GUARDED_BY(mutex_) = MonoTime::max();
  // Received before the scheduler exists.
  std::shared_ptr<const FleetPlan> plan_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, WorkerReport> reports_ ABSL_GUARDED_BY(mutex_);

  uint64_t next_token_ ABSL_GUARDED_BY(mutex_) = 1;
  std::map<uint64_t, SubmitCallback> pending_submits_ ABSL_GUARDED_BY(mutex_);
  std::map<uint64_t, CancelCallback> pending_cancels_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace figflow

#endif  // FLEET_POOL_RUNNER_H_
