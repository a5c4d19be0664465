#include "Scheduling/fleet_plan.h"

#include <algorithm>

#include "absl/strings/match.h"

namespace figflow {

const QueueConfig* FleetPlan::FindQueue(absl::string_view host,
                                        absl::string_view path) const {
  const QueueConfig* best = nullptr;
  for (const QueueConfig& queue : queues) {
    if (absl::EqualsIgnoreCase(queue.host, host) &&
        absl::StartsWith(path, queue.path_prefix) &&
        (best == nullptr ||
         queue.path_prefix.size() > best->path_prefix.size())) {
      best = &queue;
    }
  }
  return best;
}

const QueueConfig* FleetPlan::FindQueueByName(absl::string_view name) const {
  const auto it = std::find_if(
      queues.begin(), queues.end(),
      [&](const QueueConfig& queue) { return queue.name == name; });
  return it == queues.end() ? nullptr : &*it;
}

const PoolConfig* FleetPlan::FindPoolByName(absl::string_view name) const {
  const auto it =
      std::find_if(pools.begin(), pools.end(),
                   [&](const PoolConfig& pool) { return pool.name == name; });
  return it == pools.end() ? nullptr : &*it;
}

const CustomerConfig* FleetPlan::FindCustomer(absl::string_view name) const {
  const auto it = std::find_if(
      customers.begin(), customers.end(),
      [&](const CustomerConfig& customer) { return customer.name == name; });
  return it == customers.end() ? nullptr : &*it;
}

bool FleetPlan::HasActivePool(absl::string_view name) const {
  const PoolConfig* pool = FindPoolByName(name);
  return pool != nullptr && !pool->spare;
}

}  // namespace figflow
