#include "Fleet/route_history.h"

#include <algorithm>
#include <utility>

#include "Common/cbor.h"
#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

using nlohmann::json;

constexpr char kHistoryStep[] = "fleet.routes";
// Limit of routes that the plan no longer has. Bounds the size of the key.
constexpr size_t kMaxRemovedRoutes = 1'000;

uint64_t LatestVersion(const std::map<std::string, uint64_t>& pools) {
  uint64_t latest = 0;
  for (const auto& [pool, version] : pools) {
    latest = std::max(latest, version);
  }
  return latest;
}

}  // namespace

std::string RouteHistory::RouteOf(const QueueConfig& queue) {
  return absl::StrCat(absl::AsciiStrToLower(queue.host), queue.path_prefix);
}

size_t RouteHistory::CountPools(const std::string& route) const {
  const auto known = routes_.find(route);
  return known == routes_.end() ? 0 : known->second.size();
}

void RouteHistory::Add(const FleetPlan& plan) {
  for (const QueueConfig& queue : plan.queues) {
    uint64_t& version = routes_[RouteOf(queue)][queue.pool];
    version = std::max(version, plan.version);
  }
  DropOldestRoutes(plan.version);
}

void RouteHistory::DropOldestRoutes(uint64_t current_version) {
  std::vector<std::pair<uint64_t, std::string>> removed;
  for (const auto& [route, pools] : routes_) {
    const uint64_t latest = LatestVersion(pools);
    if (latest < current_version) {
      removed.emplace_back(latest, route);
    }
  }
  std::sort(removed.begin(), removed.end());
  for (size_t i = 0; i + kMaxRemovedRoutes < removed.size(); ++i) {
    routes_.erase(removed[i].second);
  }
}

bool RouteHistory::Covers(const FleetPlan& plan) const {
  return std::all_of(plan.queues.begin(), plan.queues.end(),
                     [&](const QueueConfig& queue) {
                       const auto route = routes_.find(RouteOf(queue));
                       return route != routes_.end() &&
                              (IsLatestPool(queue) ||
                               LatestVersion(route->second) > plan.version);
                     });
}

bool RouteHistory::IsLatestPool(const QueueConfig& queue) const {
  const auto route = routes_.find(RouteOf(queue));
  if (route == routes_.end()) {
    return false;
  }
  const auto pool = route->second.find(queue.pool);
  return pool != route->second.end() &&
         pool->second == LatestVersion(route->second);
}

std::vector<std::string> RouteHistory::FormerPools(
    const QueueConfig& queue) const {
  const auto route = routes_.find(RouteOf(queue));
  if (route == routes_.end()) {
    return {};
  }
  std::vector<std::pair<uint64_t, std::string>> former;
  for (const auto& [pool, version] : route->second) {
    if (pool != queue.pool) {
      former.emplace_back(version, pool);
    }
  }
  std::sort(former.rbegin(), former.rend());
  std::vector<std::string> pools;
  pools.reserve(former.size());
  for (auto& [version, pool] : former) {
    pools.push_back(std::move(pool));
  }
  return pools;
}

std::string FormatRouteHistory(const RouteHistory& history) {
  return FormatCbor(json(history.routes_));
}

Result<RouteHistory> ParseRouteHistory(absl::string_view bytes) {
  return ParseCbor<RouteHistory>(bytes, kHistoryStep, [](const json& routes) {
    RouteHistory history;
    for (const auto& [route, pools] : routes.items()) {
      for (const auto& [pool, version] : pools.items()) {
        history.routes_[route][pool] = version.get<uint64_t>();
      }
    }
    return history;
  });
}

}  // namespace figflow
