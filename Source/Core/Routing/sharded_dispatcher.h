#ifndef ROUTING_SHARDED_DISPATCHER_H_
#define ROUTING_SHARDED_DISPATCHER_H_

#include <memory>
#include <mutex>
#include <shared_mutex>
#include <utility>
#include <vector>

#include "Common/json.h"

#include "Common/metrics.h"
#include "Routing/dispatcher.h"
#include "Routing/leaving_target_set.h"
#include "Routing/pool_shard.h"
#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"

namespace figflow {

// Dispatcher with one shard per pool, each protected by its own lock. Tick must
// be called about every 50 ms: it refuses expired requests, detects requests
// that run long and starts probes.
//
// Uses std::mutex because ThreadSanitizer cannot track absl::Mutex, which
// Debian builds without annotations.
class ShardedDispatcher : public Dispatcher {
 public:
  // `registry` must outlive the dispatcher.
  ShardedDispatcher(RoutingOptions options, MetricsRegistry& registry);

  void UpdateTable(const RoutingTable& table, MonoTime now) override;
  void Submit(const WorkItem& item, MonoTime now, PermitCallback done) override;
  bool Cancel(const PoolId& pool, uint64_t item) override;
  void Finish(const Permit& permit,
              const AttemptReport& report,
              MonoTime now) override;
  bool TakeRetryToken(const PoolId& pool, MonoTime now) override;
  void MarkLeaving(const LeavingTarget& mark, MonoTime now) override;
  std::vector<LeavingTarget> RecentLeavingTargets(MonoTime now) const override;
  int InFlight(const PoolId& pool, const InstanceId& target) const override;
  std::vector<std::pair<PoolId, int>> FreeSlots() const override;
  void Tick(MonoTime now) override;
  void Stop(MonoTime now) override;

  // Returns the state by pool: targets, queues, classified operations and
  // refusals by reason.
  nlohmann::json Dump() const;

 private:
  struct Shard {
    Shard(PoolId pool, const RoutingOptions& options, RoutingMetrics metrics)
        : state(std::move(pool), options, metrics) {}
    mutable std::mutex mutex;
    PoolShard state ABSL_GUARDED_BY(mutex);
  };
  using Shards = std::vector<std::pair<PoolId, std::shared_ptr<Shard>>>;

  std::shared_ptr<Shard> Find(const PoolId& pool) const;
  std::shared_ptr<Shard> FindOrAdd(const PoolId& pool);
  // Returns all shards, sorted by pool id.
  Shards AllShards() const;
  void RemoveIdleShards(const Shards& gone);
  // Invokes the callbacks; must be called without locks held.
  static void Deliver(Outcomes outcomes);

  const RoutingOptions options_;
  const RoutingMetrics metrics_;

  // Serialises UpdateTable, so that concurrent updates do not mix two tables.
  std::mutex update_mutex_;
  mutable std::shared_mutex shards_mutex_ ABSL_ACQUIRED_AFTER(update_mutex_);
  absl::flat_hash_map<PoolId, std::shared_ptr<Shard>> shards_
      ABSL_GUARDED_BY(shards_mutex_);
  bool stopping_ ABSL_GUARDED_BY(shards_mutex_) = false;

  // Acquired after a shard's lock, never before it.
  mutable std::mutex leaving_targets_mutex_;
  LeavingTargetSet leaving_targets_ ABSL_GUARDED_BY(leaving_targets_mutex_);
};

}  // namespace figflow

#endif  // ROUTING_SHARDED_DISPATCHER_H_
