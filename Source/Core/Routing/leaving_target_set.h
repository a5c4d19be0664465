#ifndef ROUTING_LEAVING_TARGET_SET_H_
#define ROUTING_LEAVING_TARGET_SET_H_

#include <cstdint>
#include <vector>

#include "Common/clock.h"
#include "Common/strong_id.h"
#include "Routing/dispatcher.h"
#include "absl/container/flat_hash_map.h"

namespace figflow {

// Targets that are leaving, with their boot numbers. A target counts as leaving
// until it has a higher boot number, so a stale list of instances cannot make
// it available again. Not thread-safe.
class LeavingTargetSet {
 public:
  // Records that the target is leaving. Returns false if this boot or a later
  // one is already recorded.
  bool Add(const LeavingTarget& mark, MonoTime now);
  // Returns whether the instance is recorded as leaving with this boot number
  // or a higher one.
  bool IsLeaving(const InstanceId& instance, uint64_t boot) const;
  // Returns the targets first recorded in the last 10 s. Those received from
  // peers are included, so that all daemons receive them within a few gossip
  // rounds.
  std::vector<LeavingTarget> Recent(MonoTime now) const;
  // Removes records that are older than a day.
  void Prune(MonoTime now);
  size_t size() const { return records_.size(); }

 private:
  struct Mark {
    uint64_t boot = 0;
    MonoTime since;
  };

  absl::flat_hash_map<InstanceId, Mark> records_;
};

}  // namespace figflow

#endif  // ROUTING_LEAVING_TARGET_SET_H_
