#ifndef INSTANCES_INSTANCE_CONTROLLER_H_
#define INSTANCES_INSTANCE_CONTROLLER_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Adapter/platform_adapter.h"
#include "Common/clock.h"
#include "Common/json.h"
#include "Common/metrics.h"
#include "Instances/customer_grants.h"
#include "Instances/move_planner.h"
#include "Instances/wave_planner.h"
#include "Ownership/pool_layout.h"
#include "Ownership/record_writer.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace figflow {

struct InstanceControllerOptions {
  // Name of this daemon in the orders.
  std::string holder;
  std::string nonce;
  // Revision of the owner's key, which is the fence of the orders.
  uint64_t fence = 0;
  // Time for which orders of an earlier controller may still arrive.
  std::chrono::milliseconds holder_interval{3'000};
  std::chrono::milliseconds move_duration{1'500};
  std::chrono::milliseconds maintenance_duration{2'000};
};

// Moves instances between pools and maintains them in waves. Exists only on the
// daemon that owns the instances' scope.
//
// The record of a wave holds which instances may be down. It is durable before
// the order is sent, so a successor never exceeds the wave's limit.
// Thread-safe.
class InstanceController
    : public std::enable_shared_from_this<InstanceController> {
 public:
  // Sends orders to the owner of a scope and receives its report.
  using SyncPool =
      std::function<void(const std::string& scope,
                         const WorkerOrders& orders,
                         std::function<void(Result<PoolReport>)> done)>;

  InstanceController(PlatformAdapter& platform,
                     const Clock& clock,
                     MetricsRegistry& metrics,
                     InstanceControllerOptions options,
                     SyncPool sync_pool,
                     std::function<void()> wake);

  // Starts reading the records of earlier controllers.
  void Start();
  // After Stop returns, no further order is sent.
  void Stop();
  // Waits for the orders in flight, records for the successor which instances
  // have recent orders, then calls `done`.
  void HandOver(std::function<void()> done);

  void SetPlan(std::shared_ptr<const FleetPlan> plan);
  // To be called before Start. The layout must not change afterwards.
  void SetLayout(const PoolLayout& layout);
  // Adds a requested wave. `seen_at` is when this daemon first received the
  // wave.
  void OnWaveRequested(const MaintenanceWave& wave, MonoTime seen_at);
  void SetLeaseValidUntil(MonoTime until);

  // Returns one row for each wave that is not completed, with its progress and
  // the time left until its deadline.
  nlohmann::json DumpWaves(MonoTime now) const;

  // Returns one row for each customer with a cap.
  nlohmann::json DumpCustomers() const;

  bool deposed() const;
  uint64_t fence() const { return options_.fence; }
  MonoTime Step(MonoTime now);

 private:
  // A worker that the owner of `scope` reports. The key is empty if there is
  // none.
  struct ReportedWorker {
    WorkerKey key;
    std::string scope;
    MonoTime known_at;
  };

  struct Wave {
    MaintenanceWave requested;
    WaveState state;
    WallTime due;
    // The worker on each instance when its maintenance was planned.
    std::map<std::string, ReportedWorker> worker_before;
    // When the response to the order for each instance arrived.
    std::map<std::string, MonoTime> responded_at;
    bool loaded = false;
    bool loading = false;
    bool completed = false;
    // True if the state has changed since the record was last written.
    bool changed = false;
    // After a refusal by the store, the record is not written before.
    MonoTime write_at = MonoTime::min();
    std::set<std::string> evacuating;
    // Instances whose maintenance is planned, but not yet durable.
    std::vector<std::string> to_order;
    // Instances with an order in flight, and the earliest time of the next
    // order.
    std::set<std::string> in_flight;
    std::map<std::string, MonoTime> retry_at;
  };

  void ReadHandOverRecord(uint64_t sequence_revision);
  void InitializeWriter(uint64_t sequence_revision,
                        const std::optional<StoreItem>& handover);
  void LoadWave(uint64_t number);
  // Sends orders to the pools and queries their reports. Returns whether this
  // was due.
  bool SyncPools(MonoTime now);
  void OnPoolReport(const std::string& scope, Result<PoolReport> report);
  void RefreshInstances(MonoTime now);
  void OnInstancesListed(MonoTime sent_at,
                         const Result<std::vector<Instance>>& list);
  // Returns the workers to evacuate for a move or for maintenance.
  std::set<std::string> WorkersToEvacuate() const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Returns the workers on these instances according to the latest reports.
  std::set<std::string> WorkersOn(const std::set<std::string>& instances) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Returns whether an open wave has not begun the maintenance of the instance.
  bool AwaitsMaintenance(const std::string& instance) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Returns the orders that concern the scope, and those whose scope is not
  // known.
  WorkerOrders OrdersFor(const std::string& scope,
                         const std::set<std::string>& to_evacuate,
                         const std::set<std::string>& to_lend) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // instance_controller_customers.cc
  void SetCustomerScopes() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Adds the grants for customers with a cap to orders that are sent now.
  void AddCustomerGrants(std::map<std::string, WorkerOrders>* orders,
                         MonoTime now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void ResetCustomerMetrics() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void SetCustomerMetrics(MonoTime now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Records the workers that have certainly ended, by a list of the instances
  // that was requested at `sent_at`. A response to an order proves no end: an
  // order that was carried out before succeeds, too.
  void RecordEndedWorkers(MonoTime sent_at)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void RecordEndedWorker(const ReportedWorker& worker, const Instance& instance)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Returns the latest incarnation that any report lists on the instance.
  ReportedWorker WorkerOn(const std::string& instance) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Returns whether the latest report of the scope is recent enough to act on.
  bool IsFresh(const std::string& scope, MonoTime now) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Returns the recent reports without workers that have ended.
  std::map<std::string, PoolReport> FreshReports(MonoTime now) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Returns the instances that the last list shows in another pool than the
  // report of their worker.
  std::set<std::string> InstancesInOtherPools(
      const std::map<std::string, PoolReport>& reports) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Returns the instances that may run tasks: those that a recent report shows
  // in use, and those of pools without one.
  std::set<std::string> InstancesInUse(MonoTime now) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void PlanWaves(MonoTime now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void PlanMoves(MonoTime now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Returns the input of the planner for one partition of all pools.
  MoveInput InputOfPartition(const MoveInput& all, int partition) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void LogPools(const MoveInput& input, MonoTime now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  bool OrdersAllowed(MonoTime now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Returns whether a recent order of an earlier controller may still affect
  // the instance.
  bool HasRecentEarlierOrder(const std::string& instance, MonoTime now) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void TryHandOver();
  void SendMoves(MonoTime now);
  void OnMoveResponse(const InstanceMove& move,
                      const Result<InstanceAnswer>& response);
  bool HasOpenWave() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void WriteRecords(MonoTime now);
  // Queues the records of a refused write again.
  void OnRecordsRefused(const std::vector<uint64_t>& waves, MonoTime now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void OnRecordsWritten(const std::vector<uint64_t>& waves,
                        RecordWriter::Outcome outcome);
  void SendMaintenanceOrders(MonoTime now);
  void OnMaintenanceResponse(uint64_t number,
                             const std::string& instance,
                             const Result<InstanceAnswer>& response);

  PlatformAdapter& platform_;
  const Clock& clock_;
  MetricsRegistry& metrics_;
  const InstanceControllerOptions options_;
  const SyncPool sync_pool_;
  const std::function<void()> wake_;
  const MonoTime created_at_;
  mutable absl::Mutex mutex_;

  // Instances ordered by this controller, with the time of the last order.
  std::map<std::string, MonoTime> ordered_at_ ABSL_GUARDED_BY(mutex_);
  // Instances ordered by earlier controllers, with the time until which this
  // one leaves them alone.
  std::map<std::string, MonoTime> blocked_until_ ABSL_GUARDED_BY(mutex_);
  // True if the last controller did not hand over, so that any instance may
  // have a recent order.
  bool after_crash_ ABSL_GUARDED_BY(mutex_) = true;
  // True if the hand-over record marks this controller as active.
  bool active_written_ ABSL_GUARDED_BY(mutex_) = false;
  int orders_in_flight_ ABSL_GUARDED_BY(mutex_) = 0;
  std::function<void()> on_handed_over_ ABSL_GUARDED_BY(mutex_);
  bool handing_over_ ABSL_GUARDED_BY(mutex_) = false;

  bool stopped_ ABSL_GUARDED_BY(mutex_) = false;
  bool deposed_ ABSL_GUARDED_BY(mutex_) = false;
  bool started_ ABSL_GUARDED_BY(mutex_) = false;
  bool reading_ ABSL_GUARDED_BY(mutex_) = false;
  bool writing_ ABSL_GUARDED_BY(mutex_) = false;
  // Waves are written one by one after a refusal, until a write succeeds.
  bool single_writes_ ABSL_GUARDED_BY(mutex_) = false;
  MonoTime lease_valid_until_ ABSL_GUARDED_BY(mutex_) = MonoTime::min();
  MonoTime next_sync_at_ ABSL_GUARDED_BY(mutex_) = MonoTime::min();
  std::shared_ptr<const FleetPlan> plan_ ABSL_GUARDED_BY(mutex_);
  std::shared_ptr<RecordWriter> writer_ ABSL_GUARDED_BY(mutex_);
  std::map<uint64_t, Wave> waves_ ABSL_GUARDED_BY(mutex_);
  PoolLayout layout_ ABSL_GUARDED_BY(mutex_);
  // By scope.
  std::map<std::string, PoolReport> reports_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, MonoTime> report_times_ ABSL_GUARDED_BY(mutex_);
  // When each worker of the present reports was first reported, by scope.
  std::map<std::string, std::map<WorkerKey, MonoTime>> reported_since_
      ABSL_GUARDED_BY(mutex_);
  std::set<std::string> syncing_ ABSL_GUARDED_BY(mutex_);
  // When the orders whose response is awaited were prepared.
  std::map<std::string, MonoTime> sync_prepared_at_ ABSL_GUARDED_BY(mutex_);
  CustomerGrants customer_grants_ ABSL_GUARDED_BY(mutex_);
  MonoTime next_customer_metrics_at_ ABSL_GUARDED_BY(mutex_) = MonoTime::min();
  // Customers whose metrics have a label of their own.
  std::set<std::string> labelled_customers_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, Instance> instances_ ABSL_GUARDED_BY(mutex_);
  MonoTime next_list_at_ ABSL_GUARDED_BY(mutex_) = MonoTime::min();
  bool listing_ ABSL_GUARDED_BY(mutex_) = false;

  MonoTime next_pool_log_at_ ABSL_GUARDED_BY(mutex_) = MonoTime::min();
  // One planner for each partition, whose pools and spare instances are an
  // independent fleet.
  std::vector<MovePlanner> move_planners_ ABSL_GUARDED_BY(mutex_) =
      std::vector<MovePlanner>(1);
  std::set<std::string> evacuating_for_moves_ ABSL_GUARDED_BY(mutex_);
  std::set<std::string> lending_ ABSL_GUARDED_BY(mutex_);
  std::vector<InstanceMove> moves_to_send_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, PendingMove> pending_moves_ ABSL_GUARDED_BY(mutex_);
  struct EndedWorker {
    // When a list last showed that it has ended.
    MonoTime since;
    std::string scope;
  };
  // Workers that have certainly ended.
  std::map<WorkerKey, EndedWorker> ended_workers_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace figflow

#endif  // INSTANCES_INSTANCE_CONTROLLER_H_
