#include "Daemon/target_traffic.h"

namespace figflow {

TargetTraffic::TargetTraffic(Dispatcher& dispatcher, HttpClient& client)
    : dispatcher_(dispatcher), client_(client) {}

void TargetTraffic::Install(const RoutingTable& table, MonoTime now) {
  dispatcher_.UpdateTable(table, now);

  absl::MutexLock lock(&mutex_);
  // Addresses without a share get the limit 0. Several instances may have had
  // the same address one after the other.
  absl::flat_hash_map<std::string, int> wanted;
  for (const auto& [address, limit] : limits_) {
    wanted[address] = 0;
  }
  for (const PoolTable& pool : table.pools) {
    for (const TargetShare& target : pool.targets) {
      addresses_[target.id] = target.address;
      wanted[target.address] = target.connections;
    }
  }
  for (const auto& [address, limit] : wanted) {
    auto [known, added] = limits_.try_emplace(address, limit);
    if (added || known->second != limit) {
      known->second = limit;
      client_.SetConnectionLimit(address, limit);
    }
  }
}

int TargetTraffic::InFlight(const PoolId& pool,
                            const InstanceId& instance) const {
  return dispatcher_.InFlight(pool, instance);
}

int TargetTraffic::Connections(const InstanceId& instance) const {
  absl::MutexLock lock(&mutex_);
  auto it = addresses_.find(instance);
  return it == addresses_.end() ? 0 : client_.OpenConnections(it->second);
}

}  // namespace figflow
