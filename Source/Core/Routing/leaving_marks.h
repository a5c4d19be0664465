#ifndef ROUTING_LEAVING_MARKS_H_
#define ROUTING_LEAVING_MARKS_H_

#include <cstdint>
#include <vector>

#include "Common/clock.h"
#include "Common/strong_id.h"
#include "Routing/dispatcher.h"
#include "absl/container/flat_hash_map.h"

namespace figflow {

// Leaving marks of all instances. A mark stays until a higher boot number is
// seen; a stale list therefore cannot clear it. Not thread-safe.
class LeavingMarks {
 public:
  // Returns false if the mark is known already or belongs to an earlier boot.
  bool Add(const LeavingMark& mark, MonoTime now);
  bool IsLeaving(const InstanceId& instance, uint64_t boot) const;
  // Marks first seen here in the last 10 s. Those learned from peers are
  // included, which spreads a mark to all daemons in a few gossip rounds.
  std::vector<LeavingMark> Recent(MonoTime now) const;
  // Forgets marks that are older than a day.
  void Prune(MonoTime now);
  size_t size() const { return marks_.size(); }

 private:
  struct Mark {
    uint64_t boot = 0;
    MonoTime since;
  };

  absl::flat_hash_map<InstanceId, Mark> marks_;
};

}  // namespace figflow

#endif  // ROUTING_LEAVING_MARKS_H_
