#include "Routing/leaving_target_set.h"

namespace figflow {
namespace {

// Ten gossip rounds with three peers each reach 100 daemons with a wide margin.
constexpr std::chrono::seconds kRecent{10};
// Far longer than the delay of the platform's list of instances.
constexpr std::chrono::hours kKept{24};

}  // namespace

bool LeavingTargetSet::Add(const LeavingTarget& mark, MonoTime now) {
  const auto [it, added] =
      records_.try_emplace(mark.target, Mark{mark.boot, now});
  if (added) {
    return true;
  }
  if (mark.boot <= it->second.boot) {
    return false;
  }
  it->second = Mark{mark.boot, now};
  return true;
}

bool LeavingTargetSet::IsLeaving(const InstanceId& instance,
                                 uint64_t boot) const {
  const auto it = records_.find(instance);
  return it != records_.end() && it->second.boot >= boot;
}

std::vector<LeavingTarget> LeavingTargetSet::Recent(MonoTime now) const {
  std::vector<LeavingTarget> recent;
  for (const auto& [instance, mark] : records_) {
    if (now - mark.since <= kRecent) {
      recent.push_back(LeavingTarget{instance, mark.boot});
    }
  }
  return recent;
}

void LeavingTargetSet::Prune(MonoTime now) {
  for (auto it = records_.begin(); it != records_.end();) {
    if (now - it->second.since > kKept) {
      records_.erase(it++);
    } else {
      ++it;
    }
  }
}

}  // namespace figflow
