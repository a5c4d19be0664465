#ifndef ROUTING_SLOT_ALLOCATOR_H_
#define ROUTING_SLOT_ALLOCATOR_H_

#include <array>
#include <map>
#include <optional>

#include "Common/json.h"

#include "Common/clock.h"
#include "Common/strong_id.h"
#include "Routing/dispatcher.h"
#include "Routing/leaving_target_set.h"
#include "Routing/size_class.h"
#include "Routing/target_health.h"
#include "absl/container/flat_hash_map.h"

namespace figflow {

// A target with its health and the requests in flight at it.
struct TargetState {
  TargetShare share;
  TargetHealth health;
  std::array<int, kSizeClasses> in_flight{};
  bool listed = false;

  // Returns the maximum number of requests in flight; zero if the target is not
  // listed. Each request needs a slot and a connection.
  int Limit() const;
  int TotalInFlight() const;
};

// Tracks the requests in flight at the targets of one pool and chooses the
// target of the next request. Not thread-safe.
//
// Long requests hold at most `long_share` of the slots of the usable targets,
// and one slot of each target is reserved for short requests. If this leaves no
// slot for long requests although `long_share` is above 0, they may hold one
// slot; otherwise, they could never run.
class SlotAllocator {
 public:
  // Applies the limits of a new table. Targets that are no longer listed
  // receive no new requests, but are kept until no request is in flight at
  // them.
  void Update(const PoolTable& table, const LeavingTargetSet& marks);
  void MarkLeaving(const LeavingTarget& mark);

  // Returns the target for a request of the class, or null if no slot is free
  // for it. Chooses the target with the lowest fraction of its limit in use,
  // and among equals the one whose rack has the fewest requests in flight.
  const TargetState* ChooseTarget(SizeClass size_class, MonoTime now) const;

  // Counts a request at the target. Returns whether it is a probe of a target
  // on probation.
  bool OnGrant(const InstanceId& target, SizeClass size_class);
  // Releases the slot and updates the target's health from `report`.
  void OnFinish(const Permit& permit,
                SizeClass size_class,
                bool probe,
                const AttemptReport& report,
                MonoTime now);
  // Counts a short request in flight at the target as long.
  void PromoteToLong(const InstanceId& target);

  // Returns whether a request of the class may be queued: long requests have a
  // share, and some target is available or expected to be available soon.
  bool AcceptsQueuedWork(SizeClass size_class, MonoTime now) const;
  // Returns the number of slots of the targets that can be granted requests.
  int UsableSlots(MonoTime now) const;
  // Returns the number of slots that long requests may hold.
  int LongCapacity(MonoTime now) const;
  int FreeSlots(MonoTime now) const;
  int InFlight(SizeClass size_class) const {
    return in_flight_[Index(size_class)];
  }
  int InFlightAt(const InstanceId& target) const;
  bool idle() const { return in_flight_[0] + in_flight_[1] == 0; }

  nlohmann::json Dump() const;

 private:
  bool HasSlot(const TargetState& target,
               SizeClass size_class,
               bool single_slots) const;
  // Returns the slots of the usable targets without the one that each reserves
  // for short requests.
  int UnreservedSlots(MonoTime now) const;
  void EraseIfUnlistedAndIdle(const InstanceId& target);

  double long_share_ = 0;
  std::map<InstanceId, TargetState> targets_;
  std::array<int, kSizeClasses> in_flight_{};
  // Requests in flight by rack.
  absl::flat_hash_map<RackId, int> rack_load_;
};

}  // namespace figflow

#endif  // ROUTING_SLOT_ALLOCATOR_H_
