#ifndef POOLS_POOLS_TEST_SUPPORT_H_
#define POOLS_POOLS_TEST_SUPPORT_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Platform/fleet_service.h"
#include "Pools/pools_controller.h"
#include "Support/fake_key_value_store.h"
#include "absl/strings/str_cat.h"

namespace figflow::test {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

inline constexpr std::chrono::milliseconds kBound{1'000};

inline ListedInstance Worker(int number, uint64_t boot = 1, int slots = 8) {
  ListedInstance listed;
  listed.id = InstanceId(absl::StrCat("w", number));
  listed.data_centre = DataCentreId("a");
  listed.rack = RackId(absl::StrCat("r", number / 2));
  listed.address = "127.0.0.1:1";
  listed.boot = boot;
  listed.slots = slots;
  listed.connections = slots * 4;
  return listed;
}

inline PoolSettings Wanted(const std::string& pool,
                           int wanted,
                           int moves = 100) {
  return {PoolId(pool), ProjectId(pool + "-project"), wanted, moves, 0.5};
}

// Traffic with settable numbers of requests in flight by pool and instance.
// Each request uses one connection.
class FakeTraffic : public LocalTraffic {
 public:
  void Install(const RoutingTable& table, MonoTime) override { table_ = table; }
  int InFlight(const PoolId& pool, const InstanceId& id) const override {
    const auto it = in_flight_.find({pool, id});
    return it == in_flight_.end() ? 0 : it->second;
  }
  int Connections(const InstanceId& id) const override {
    int total = 0;
    for (const auto& [key, count] : in_flight_) {
      total += key.second == id ? count : 0;
    }
    return total;
  }
  int SlotsAt(const InstanceId& id) const {
    int slots = 0;
    for (const PoolTable& pool : table_.pools) {
      for (const TargetShare& target : pool.targets) {
        slots += target.id == id ? target.slots : 0;
      }
    }
    return slots;
  }

  RoutingTable table_;
  std::map<std::pair<PoolId, InstanceId>, int> in_flight_;
};

// One daemon of data centre "a" with its own view of the store.
struct Daemon {
  Daemon(KeyValueStore& kv, const std::string& id, uint64_t incarnation)
      : store(kv, DataCentreId("a"), absl::StrCat(id, "/", incarnation), 50ms),
        controller(store, traffic, {EntryId(id), incarnation, kBound, 0ms}) {}

  PoolsStatus Step(const PoolsInput& input) {
    (void)store.Watch(0ms);
    status = controller.Step(input);
    return status;
  }

  DataCentreStore store;
  FakeTraffic traffic;
  PoolsController controller;
  PoolsStatus status;
};

}  // namespace figflow::test

#endif  // POOLS_POOLS_TEST_SUPPORT_H_
