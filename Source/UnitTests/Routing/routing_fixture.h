#ifndef ROUTING_ROUTING_FIXTURE_H_
#define ROUTING_ROUTING_FIXTURE_H_

#include <map>
#include <string>
#include <vector>

#include "Routing/sharded_dispatcher.h"

namespace figflow::test {

inline const PoolId kPool("p");

inline MonoTime At(double seconds) {
  return MonoTime() + std::chrono::hours(1) +
         std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::duration<double>(seconds));
}

inline std::chrono::nanoseconds Ms(double milliseconds) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

// Returns a pool with `count` targets t0, t1, ..., two in each rack.
inline PoolTable MakePool(int count,
                          int slots,
                          double long_share = 0.5,
                          uint64_t boot = 1) {
  PoolTable table{kPool, ProjectId("project"), {}, long_share};
  for (int i = 0; i < count; ++i) {
    table.targets.push_back({InstanceId("t" + std::to_string(i)), "a",
                             RackId("r" + std::to_string(i / 2)), boot, slots,
                             64});
  }
  return table;
}

// A dispatcher that records the permits and refusals of submitted requests.
struct Harness {
  explicit Harness(RoutingOptions options = {})
      : dispatcher(std::move(options), registry) {}

  void Table(const PoolTable& pool, double at = 0) {
    dispatcher.UpdateTable(RoutingTable{{pool}}, At(at));
  }
  void Submit(uint64_t id,
              double at,
              double deadline = 1000,
              const std::string& operation = "GET /") {
    dispatcher.Submit(WorkItem{id, kPool, operation, At(deadline)}, At(at),
                      [this, id](tl::expected<Permit, Refusal> result) {
                        ++calls[id];
                        if (result) {
                          permits[id] = *result;
                        } else {
                          refusals[id] =
                              std::string(RefusalName(result.error()));
                        }
                      });
  }
  void Finish(uint64_t id,
              double at,
              AttemptOutcome end = AttemptOutcome::kAnswered,
              bool leaving = false,
              double service_ms = 1) {
    dispatcher.Finish(permits.at(id),
                      AttemptReport{end, Ms(service_ms), leaving}, At(at));
  }
  std::string TargetOf(uint64_t id) const {
    const auto it = permits.find(id);
    return it == permits.end() ? "" : it->second.target.value();
  }

  MetricsRegistry registry;
  ShardedDispatcher dispatcher;
  std::map<uint64_t, Permit> permits;
  std::map<uint64_t, std::string> refusals;
  std::map<uint64_t, int> calls;
};

}  // namespace figflow::test

#endif  // ROUTING_ROUTING_FIXTURE_H_
