#include "Routing/leaving_marks.h"

namespace figflow {
namespace {

// Ten gossip rounds with three peers each reach 100 daemons with a wide margin.
constexpr std::chrono::seconds kRecent{10};
// Far longer than the delay of the platform's list of instances.
constexpr std::chrono::hours kKept{24};

}  // namespace

bool LeavingMarks::Add(const LeavingMark& mark, MonoTime now) {
  const auto [it, added] =
      marks_.try_emplace(mark.target, Mark{mark.boot, now});
  if (added) {
    return true;
  }
  if (mark.boot <= it->second.boot) {
    return false;
  }
  it->second = Mark{mark.boot, now};
  return true;
}

bool LeavingMarks::IsLeaving(const InstanceId& instance, uint64_t boot) const {
  const auto it = marks_.find(instance);
  return it != marks_.end() && it->second.boot >= boot;
}

std::vector<LeavingMark> LeavingMarks::Recent(MonoTime now) const {
  std::vector<LeavingMark> recent;
  for (const auto& [instance, mark] : marks_) {
    if (now - mark.since <= kRecent) {
      recent.push_back(LeavingMark{instance, mark.boot});
    }
  }
  return recent;
}

void LeavingMarks::Prune(MonoTime now) {
  for (auto it = marks_.begin(); it != marks_.end();) {
    if (now - it->second.since > kKept) {
      marks_.erase(it++);
    } else {
      ++it;
    }
  }
}

}  // namespace figflow
