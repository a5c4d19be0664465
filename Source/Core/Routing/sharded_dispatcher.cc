#include "Routing/sharded_dispatcher.h"

#include <algorithm>
#include <iterator>
#include <string>

#include "absl/container/flat_hash_set.h"

namespace figflow {

ShardedDispatcher::ShardedDispatcher(RoutingOptions options,
                                     MetricsRegistry& registry)
    : options_(std::move(options)), metrics_(registry) {}

std::shared_ptr<ShardedDispatcher::Shard> ShardedDispatcher::Find(
    const PoolId& pool) const {
  std::shared_lock<std::shared_mutex> lock(shards_mutex_);
  const auto it = shards_.find(pool);
  return it == shards_.end() ? nullptr : it->second;
}

std::shared_ptr<ShardedDispatcher::Shard> ShardedDispatcher::FindOrAdd(
    const PoolId& pool) {
  std::unique_lock<std::shared_mutex> lock(shards_mutex_);
  std::shared_ptr<Shard>& shard = shards_[pool];
  if (shard == nullptr) {
    shard = std::make_shared<Shard>(pool, options_, metrics_);
    if (stopping_) {
      Outcomes none;
      std::lock_guard<std::mutex> shard_lock(shard->mutex);
      shard->state.Stop(none);
    }
  }
  return shard;
}

ShardedDispatcher::Shards ShardedDispatcher::AllShards() const {
  Shards shards;
  {
    std::shared_lock<std::shared_mutex> lock(shards_mutex_);
    shards.assign(shards_.begin(), shards_.end());
  }
  std::sort(shards.begin(), shards.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  return shards;
}

// A callback may finish its permit synchronously, which grants the next one.
// Callbacks that become due while another one runs are invoked after it: nested
// invocations would overflow the stack if many callers with queued requests
// have disconnected.
void ShardedDispatcher::Deliver(Outcomes outcomes) {
  thread_local Outcomes* delivering = nullptr;
  if (delivering != nullptr) {
    std::move(outcomes.begin(), outcomes.end(),
              std::back_inserter(*delivering));
    return;
  }
  delivering = &outcomes;
  // A callback may append to the vector and thereby reallocate it.
  for (size_t i = 0; i < outcomes.size(); ++i) {
    Outcome outcome = std::move(outcomes[i]);
    outcome.done(std::move(outcome.result));
  }
  delivering = nullptr;
}

void ShardedDispatcher::UpdateTable(const RoutingTable& table, MonoTime now) {
  Outcomes outcomes;
  {
    std::lock_guard<std::mutex> update_lock(update_mutex_);
    absl::flat_hash_set<PoolId> listed;
    for (const PoolTable& pool : table.pools) {
      listed.insert(pool.pool);
      // The shard is published before it reads the leaving targets. A
      // concurrent MarkLeaving therefore either finds the shard or is seen by
      // this read.
      const std::shared_ptr<Shard> shard = FindOrAdd(pool.pool);
      std::lock_guard<std::mutex> lock(shard->mutex);
      std::lock_guard<std::mutex> marks_lock(leaving_targets_mutex_);
      shard->state.Update(pool, leaving_targets_, now, outcomes);
    }
    Shards gone = AllShards();
    gone.erase(std::remove_if(gone.begin(), gone.end(),
                              [&listed](const auto& entry) {
                                return listed.count(entry.first) != 0;
                              }),
               gone.end());
    for (const auto& [pool, shard] : gone) {
      std::lock_guard<std::mutex> lock(shard->mutex);
      shard->state.Remove(now, outcomes);
    }
    RemoveIdleShards(gone);
  }
  Deliver(std::move(outcomes));
}

void ShardedDispatcher::RemoveIdleShards(const Shards& gone) {
  std::unique_lock<std::shared_mutex> lock(shards_mutex_);
  for (const auto& [pool, shard] : gone) {
    std::lock_guard<std::mutex> shard_lock(shard->mutex);
    if (shard->state.removed_and_idle()) {
      shards_.erase(pool);
    }
  }
}

void ShardedDispatcher::Submit(const WorkItem& item,
                               MonoTime now,
                               PermitCallback done) {
  const std::shared_ptr<Shard> shard = Find(item.pool);
  if (shard == nullptr) {
    const Refusal refusal = [this] {
      std::shared_lock<std::shared_mutex> lock(shards_mutex_);
      return stopping_ ? Refusal::kStopping : Refusal::kUnknownPool;
    }();
    metrics_.refusals[static_cast<size_t>(refusal)]->Add();
    done(tl::make_unexpected(refusal));
    return;
  }
  Outcomes outcomes;
  {
    std::lock_guard<std::mutex> lock(shard->mutex);
    shard->state.Submit(item, now, std::move(done), outcomes);
  }
  Deliver(std::move(outcomes));
}

bool ShardedDispatcher::Cancel(const PoolId& pool, uint64_t item) {
  const std::shared_ptr<Shard> shard = Find(pool);
  if (shard == nullptr) {
    return false;
  }
  Outcomes outcomes;
  bool cancelled = false;
  {
    std::lock_guard<std::mutex> lock(shard->mutex);
    cancelled = shard->state.Cancel(item, outcomes);
  }
  Deliver(std::move(outcomes));
  return cancelled;
}

void ShardedDispatcher::Finish(const Permit& permit,
                               const AttemptReport& report,
                               MonoTime now) {
  const std::shared_ptr<Shard> shard = Find(permit.pool);
  if (shard == nullptr) {
    metrics_.unknown_finishes->Add();
    return;
  }
  Outcomes outcomes;
  {
    std::lock_guard<std::mutex> lock(shard->mutex);
    shard->state.Finish(permit, report, now, outcomes);
  }
  if (report.leaving) {
    MarkLeaving(LeavingTarget{permit.target, permit.boot}, now);
  }
  Deliver(std::move(outcomes));
}

bool ShardedDispatcher::TakeRetryToken(const PoolId& pool, MonoTime now) {
  const std::shared_ptr<Shard> shard = Find(pool);
  if (shard == nullptr) {
    return false;
  }
  std::lock_guard<std::mutex> lock(shard->mutex);
  return shard->state.TakeRetryToken(now);
}

void ShardedDispatcher::MarkLeaving(const LeavingTarget& mark, MonoTime now) {
  {
    std::lock_guard<std::mutex> lock(leaving_targets_mutex_);
    if (!leaving_targets_.Add(mark, now)) {
      return;
    }
  }
  Outcomes outcomes;
  for (const auto& [pool, shard] : AllShards()) {
    std::lock_guard<std::mutex> lock(shard->mutex);
    shard->state.MarkLeaving(mark, now, outcomes);
  }
  Deliver(std::move(outcomes));
}

std::vector<LeavingTarget> ShardedDispatcher::RecentLeavingTargets(
    MonoTime now) const {
  std::lock_guard<std::mutex> lock(leaving_targets_mutex_);
  return leaving_targets_.Recent(now);
}

int ShardedDispatcher::InFlight(const PoolId& pool,
                                const InstanceId& target) const {
  const std::shared_ptr<Shard> shard = Find(pool);
  if (shard == nullptr) {
    return 0;
  }
  std::lock_guard<std::mutex> lock(shard->mutex);
  return shard->state.InFlight(target);
}

std::vector<std::pair<PoolId, int>> ShardedDispatcher::FreeSlots() const {
  std::vector<std::pair<PoolId, int>> free;
  for (const auto& [pool, shard] : AllShards()) {
    std::lock_guard<std::mutex> lock(shard->mutex);
    free.emplace_back(pool, shard->state.FreeSlots());
  }
  return free;
}

void ShardedDispatcher::Tick(MonoTime now) {
  Outcomes outcomes;
  for (const auto& [pool, shard] : AllShards()) {
    std::lock_guard<std::mutex> lock(shard->mutex);
    shard->state.Tick(now, outcomes);
  }
  {
    std::lock_guard<std::mutex> lock(leaving_targets_mutex_);
    leaving_targets_.Prune(now);
  }
  Deliver(std::move(outcomes));
}

void ShardedDispatcher::Stop(MonoTime /*now*/) {
  {
    std::unique_lock<std::shared_mutex> lock(shards_mutex_);
    stopping_ = true;
  }
  Outcomes outcomes;
  for (const auto& [pool, shard] : AllShards()) {
    std::lock_guard<std::mutex> lock(shard->mutex);
    shard->state.Stop(outcomes);
  }
  Deliver(std::move(outcomes));
}

nlohmann::json ShardedDispatcher::Dump() const {
  nlohmann::json dump = nlohmann::json::object();
  for (const auto& [pool, shard] : AllShards()) {
    std::lock_guard<std::mutex> lock(shard->mutex);
    dump[pool.value()] = shard->state.Dump();
  }
  return dump;
}

}  // namespace figflow
