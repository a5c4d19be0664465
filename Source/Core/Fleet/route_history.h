#ifndef FLEET_ROUTE_HISTORY_H_
#define FLEET_ROUTE_HISTORY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Common/error.h"
#include "Scheduling/fleet_plan.h"
#include "absl/strings/string_view.h"

namespace figflow {

// Records which pools have served each route.
//
// A job stays in the pool that accepted it. Operators may remove a route and
// add it again for another pool, or change its pool; calls for its earlier jobs
// must then reach the earlier pool. The plan in force does not name that pool,
// and a daemon that started later has seen no other plan.
//
// The daemons keep the history under one key of the store. A job is accepted
// only after the store holds its pool as the latest one of its route, so every
// later history contains the pool of every accepted job.
class RouteHistory {
 public:
  // Returns what identifies the queue's route: its host and path, by which
  // callers name it.
  static std::string RouteOf(const QueueConfig& queue);

  // Adds the routes of a plan. Drops the routes that were removed from the
  // plan longest ago if there are too many.
  void Add(const FleetPlan& plan);
  // Returns whether all routes of the plan are recorded with their pools, or
  // with a later pool.
  bool Covers(const FleetPlan& plan) const;
  // Returns whether the queue's pool is the latest one that is recorded for its
  // route. A history that was read before an earlier pool served the route
  // again lacks the pools in between.
  bool IsLatestPool(const QueueConfig& queue) const;
  // Returns the other pools that have served the queue's route, the latest one
  // first.
  std::vector<std::string> FormerPools(const QueueConfig& queue) const;

  // Returns the number of pools that have served the route.
  size_t CountPools(const std::string& route) const;

  bool operator==(const RouteHistory& other) const {
    return routes_ == other.routes_;
  }

 private:
  friend std::string FormatRouteHistory(const RouteHistory& history);
  friend Result<RouteHistory> ParseRouteHistory(absl::string_view bytes);

  void DropOldestRoutes(uint64_t current_version);

  // Latest recorded plan version in which a pool served a route, by route and
  // pool.
  std::map<std::string, std::map<std::string, uint64_t>> routes_;
};

// Scope of the key of the history, which is under the prefix of the owners. No
// pool has this name.
inline constexpr char kRoutesScope[] = "@routes";

std::string FormatRouteHistory(const RouteHistory& history);
// Fails with kInvalid on malformed input.
Result<RouteHistory> ParseRouteHistory(absl::string_view bytes);

}  // namespace figflow

#endif  // FLEET_ROUTE_HISTORY_H_
