#ifndef ROUTING_SLOT_ACCOUNTS_H_
#define ROUTING_SLOT_ACCOUNTS_H_

#include <array>
#include <map>
#include <optional>

#include "Common/json.h"

#include "Common/clock.h"
#include "Common/strong_id.h"
#include "Routing/dispatcher.h"
#include "Routing/leaving_marks.h"
#include "Routing/size_class.h"
#include "Routing/target_health.h"
#include "absl/container/flat_hash_map.h"

namespace figflow {

struct TargetState {
  TargetShare share;
  TargetHealth health;
  std::array<int, kSizeClasses> in_flight{};
  bool listed = false;

  // Each request in flight needs a slot and a connection.
  int Limit() const;
  int Total() const;
};

// Targets of one pool, what is in flight at each, and the choice of the target
// for the next request. Not thread-safe.
//
// Long work holds at most `long_share` of the slots of the usable targets, and
// leaves one slot of each target to short work. If that leaves no slot at all
// to long work although `long_share` is above 0, it may hold one slot: it could
// never run otherwise.
class SlotAccounts {
 public:
  // Targets that vanish get no more work, but are kept until nothing is in
  // flight at them.
  void Update(const PoolTable& table, const LeavingMarks& marks);
  void MarkLeaving(const LeavingMark& mark);

  // Target for a request of the class, or null if no slot is free to it. The
  // least loaded target is chosen, among equals the one whose rack has the
  // fewest requests in flight.
  const TargetState* Choose(SizeClass size_class, MonoTime now) const;

  // Returns whether the request is a probe of a target on probation.
  bool OnGrant(const InstanceId& target, SizeClass size_class);
  // `report` and `boot` feed the target's health.
  void OnFinish(const Permit& permit,
                SizeClass size_class,
                bool probe,
                const AttemptReport& report,
                MonoTime now);
  // Counts a request in flight as long from now on.
  void Promote(const InstanceId& target);

  // Is it worth queueing work of this class?
  bool TakesWork(SizeClass size_class, MonoTime now) const;
  // Slots of the usable targets.
  int UsableSlots(MonoTime now) const;
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
  // Slots that long work can hold while one per target is left to short work.
  int LeavableSlots(MonoTime now) const;
  void DropIfVanished(const InstanceId& target);

  double long_share_ = 0;
  std::map<InstanceId, TargetState> targets_;
  std::array<int, kSizeClasses> in_flight_{};
  // Requests in flight by rack.
  absl::flat_hash_map<RackId, int> rack_load_;
};

}  // namespace figflow

#endif  // ROUTING_SLOT_ACCOUNTS_H_
