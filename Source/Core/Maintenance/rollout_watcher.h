#ifndef MAINTENANCE_ROLLOUT_WATCHER_H_
#define MAINTENANCE_ROLLOUT_WATCHER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <set>

#include "Common/error.h"
#include "Common/strong_id.h"
#include "Platform/key_value_store.h"

namespace figflow {

// Finds the projects that need a MaintenanceController, with one pending watch
// for all of them instead of calls per project. Not thread-safe.
class RolloutWatcher {
 public:
  explicit RolloutWatcher(KeyValueStore& store) : store_(store) {}

  // Waits at most `wait` for a change of any wave document.
  Result<void> Poll(std::chrono::milliseconds wait);

  // Projects whose roll-out is not over, or left failed instances that may
  // still come back.
  const std::set<ProjectId>& active() const { return active_; }

  // Wave documents that cannot be parsed, with the reason.
  const std::map<ProjectId, Error>& unreadable() const { return unreadable_; }

 private:
  KeyValueStore& store_;
  uint64_t revision_ = 0;
  std::set<ProjectId> active_;
  std::map<ProjectId, Error> unreadable_;
};

}  // namespace figflow

#endif  // MAINTENANCE_ROLLOUT_WATCHER_H_
