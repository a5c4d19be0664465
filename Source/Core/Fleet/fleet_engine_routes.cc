// Record of the pools that have served each route, which the daemons keep in
// the store.
#include <algorithm>
#include <chrono>

#include <xxhash.h>

#include "Common/log.h"
#include "Fleet/fleet_engine.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

constexpr std::chrono::milliseconds kRoutesWriteTimeout{600};
constexpr std::chrono::milliseconds kRoutesReadTimeout{600};
// A write that is not visible by then is repeated.
constexpr std::chrono::milliseconds kRoutesRetryDelay{700};
// Interval of the reads after a new plan until one has a response.
constexpr std::chrono::milliseconds kRoutesReadInterval{150};
// All daemons receive a plan at once. The first ones record its routes; the
// others see the record before their own time to write.
constexpr std::chrono::milliseconds kRoutesWriteSpread{150};

}  // namespace

std::optional<std::vector<std::string>> FleetEngine::FormerPools(
    uint64_t plan_version,
    const QueueConfig& queue) const {
  absl::MutexLock lock(&mutex_);
  if (routes_read_version_ < plan_version || !routes_.IsLatestPool(queue)) {
    return std::nullopt;
  }
  return routes_.FormerPools(queue);
}

size_t FleetEngine::CountRoutePools(const std::string& route) const {
  absl::MutexLock lock(&mutex_);
  return routes_.CountPools(route);
}

void FleetEngine::CheckRoutesRecorded(MonoTime now) {
  const bool recorded = plan_ == nullptr || routes_.Covers(*plan_);
  if (recorded) {
    record_routes_at_ = MonoTime::max();
  } else if (record_routes_at_ == MonoTime::max()) {
    const uint64_t hash =
        XXH64(options_.entry.data(), options_.entry.size(), 0);
    record_routes_at_ = now + std::chrono::milliseconds(static_cast<int64_t>(
                                  hash % kRoutesWriteSpread.count()));
  }
}

void FleetEngine::SetRoutes(const RouteHistory& routes, uint64_t revision) {
  absl::MutexLock lock(&mutex_);
  if (revision <= routes_revision_) {
    return;
  }
  routes_ = routes;
  routes_revision_ = revision;
  CheckRoutesRecorded(clock_.Now());
}

void FleetEngine::OnRoutesItem(const StoreItem& item) {
  if (item.removed) {
    return;
  }
  const Result<RouteHistory> routes = ParseRouteHistory(item.value);
  if (!routes) {
    LogEvent(LogLevel::kError, LogCategory::kPools, "routes_unreadable",
             {{"error", ToString(routes.error())}});
  }
  // An unreadable record is replaced: without one, no call is served.
  SetRoutes(routes.value_or(RouteHistory()), item.revision);
  WakeAt(clock_.Now());
}

MonoTime FleetEngine::StepRoutes(MonoTime now) {
  std::optional<uint64_t> read_for;
  MonoTime next = MonoTime::max();
  {
    absl::MutexLock lock(&mutex_);
    if (plan_ != nullptr && routes_read_version_ < plan_->version) {
      if (now >= read_routes_at_) {
        read_routes_at_ = now + kRoutesReadInterval;
        read_for = plan_->version;
      }
      next = read_routes_at_;
    }
  }
  if (read_for) {
    ReadRoutes(*read_for);
  }
  return std::min(next, RecordRoutes(now));
}

MonoTime FleetEngine::RecordRoutes(MonoTime now) {
  Transaction transaction;
  RouteHistory routes;
  uint64_t plan_version = 0;
  {
    absl::MutexLock lock(&mutex_);
    if (record_routes_at_ == MonoTime::max() || !owners_->synced()) {
      return MonoTime::max();
    }
    if (now < record_routes_at_) {
      return record_routes_at_;
    }
    record_routes_at_ = now + kRoutesRetryDelay;
    routes = routes_;
    routes.Add(*plan_);
    plan_version = plan_->version;
    transaction.expected = {{OwnerKey(kRoutesScope), routes_revision_}};
  }
  transaction.writes = {
      {OwnerKey(kRoutesScope), FormatRouteHistory(routes), 0}};
  platform_.store().Commit(
      transaction, kRoutesWriteTimeout,
      [this, routes, plan_version](const Result<TransactionResult>& result) {
        if (!result) {
          return;
        }
        if (!result->committed) {
          ReadRoutes(plan_version);
          return;
        }
        SetRoutes(routes, result->revision);
        LogEvent(LogLevel::kInfo, LogCategory::kConfig, "routes_recorded",
                 {{"revision", absl::StrCat(result->revision)}});
      });
  return now + kRoutesRetryDelay;
}

void FleetEngine::ReadRoutes(uint64_t plan_version) {
  platform_.store().Get(
      OwnerKey(kRoutesScope), kRoutesReadTimeout,
      [this, plan_version](const Result<std::optional<StoreItem>>& item) {
        if (!item) {
          return;
        }
        if (*item) {
          OnRoutesItem(**item);
        }
        absl::MutexLock lock(&mutex_);
        routes_read_version_ = std::max(routes_read_version_, plan_version);
      });
}

}  // namespace figflow
