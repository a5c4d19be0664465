#include "Routing/slot_allocator.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace figflow {
namespace {

// Long shares are percentages. Without a tolerance, rounding errors would lose
// a slot, as in 0.29 * 100 = 28.999999.
constexpr double kRounding = 1e-9;

}  // namespace

int TargetState::Limit() const {
  return listed ? std::max(0, std::min(share.slots, share.connections)) : 0;
}

int TargetState::TotalInFlight() const {
  return in_flight[0] + in_flight[1];
}

void SlotAllocator::Update(const PoolTable& table,
                           const LeavingTargetSet& marks) {
  long_share_ = std::clamp(table.long_share, 0.0, 1.0);
  for (auto& [id, target] : targets_) {
    target.listed = false;
  }
  for (const TargetShare& share : table.targets) {
    TargetState& target = targets_[share.id];
    target.listed = true;
    const RackId old_rack = target.share.rack;
    const int load = target.TotalInFlight();
    if (load > 0 && old_rack != share.rack) {
      rack_load_[old_rack] -= load;
      rack_load_[share.rack] += load;
    }
    target.health.SetBoot(share.boot);
    // A table with a lower boot number is stale. Its address may be that of the
    // earlier boot, so only its limits are applied.
    if (share.boot >= target.health.boot()) {
      target.share = share;
    } else {
      target.share.slots = share.slots;
      target.share.connections = share.connections;
    }
    if (marks.IsLeaving(share.id, target.health.boot())) {
      target.health.MarkLeaving(target.health.boot());
    }
  }
  for (auto it = targets_.begin(); it != targets_.end();) {
    it = it->second.listed || it->second.TotalInFlight() > 0
             ? std::next(it)
             : targets_.erase(it);
  }
}

void SlotAllocator::MarkLeaving(const LeavingTarget& mark) {
  const auto it = targets_.find(mark.target);
  if (it != targets_.end()) {
    it->second.health.MarkLeaving(mark.boot);
  }
}

int SlotAllocator::UsableSlots(MonoTime now) const {
  int slots = 0;
  for (const auto& [id, target] : targets_) {
    slots += target.health.CanGrant(now) ? target.Limit() : 0;
  }
  return slots;
}

int SlotAllocator::UnreservedSlots(MonoTime now) const {
  int slots = 0;
  for (const auto& [id, target] : targets_) {
    slots += target.health.CanGrant(now) ? std::max(0, target.Limit() - 1) : 0;
  }
  return slots;
}

int SlotAllocator::LongCapacity(MonoTime now) const {
  const int slots = UsableSlots(now);
  if (slots == 0 || long_share_ == 0) {
    return 0;
  }
  const int share =
      static_cast<int>(std::floor(long_share_ * slots + kRounding));
  return std::max(1, std::min(share, UnreservedSlots(now)));
}

bool SlotAllocator::HasSlot(const TargetState& target,
                            SizeClass size_class,
                            bool single_slots) const {
  if (target.TotalInFlight() >= target.Limit()) {
    return false;
  }
  return size_class == SizeClass::kShort || single_slots ||
         target.in_flight[Index(SizeClass::kLong)] < target.Limit() - 1;
}

const TargetState* SlotAllocator::ChooseTarget(SizeClass size_class,
                                               MonoTime now) const {
  bool single_slots = false;
  if (size_class == SizeClass::kLong) {
    if (InFlight(SizeClass::kLong) >= LongCapacity(now)) {
      return nullptr;
    }
    single_slots = UnreservedSlots(now) == 0;
  }
  const TargetState* best = nullptr;
  std::tuple<double, int> best_load;
  for (const auto& [id, target] : targets_) {
    if (!target.health.CanGrant(now) ||
        !HasSlot(target, size_class, single_slots)) {
      continue;
    }
    const auto rack = rack_load_.find(target.share.rack);
    const std::tuple<double, int> load(
        static_cast<double>(target.TotalInFlight()) / target.Limit(),
        rack == rack_load_.end() ? 0 : rack->second);
    if (best == nullptr || load < best_load) {
      best = &target;
      best_load = load;
    }
  }
  return best;
}

bool SlotAllocator::OnGrant(const InstanceId& target, SizeClass size_class) {
  TargetState& state = targets_.at(target);
  ++state.in_flight[Index(size_class)];
  ++in_flight_[Index(size_class)];
  ++rack_load_[state.share.rack];
  return state.health.OnGrant();
}

void SlotAllocator::OnFinish(const Permit& permit,
                             SizeClass size_class,
                             bool probe,
                             const AttemptReport& report,
                             MonoTime now) {
  TargetState& state = targets_.at(permit.target);
  --state.in_flight[Index(size_class)];
  --in_flight_[Index(size_class)];
  const auto rack = rack_load_.find(state.share.rack);
  if (--rack->second == 0) {
    rack_load_.erase(rack);
  }
  state.health.OnFinish(permit.boot, probe, report.end, now);
  if (report.leaving) {
    state.health.MarkLeaving(permit.boot);
  }
  EraseIfUnlistedAndIdle(permit.target);
}

void SlotAllocator::EraseIfUnlistedAndIdle(const InstanceId& target) {
  const auto it = targets_.find(target);
  if (!it->second.listed && it->second.TotalInFlight() == 0) {
    targets_.erase(it);
  }
}

void SlotAllocator::PromoteToLong(const InstanceId& target) {
  TargetState& state = targets_.at(target);
  --state.in_flight[Index(SizeClass::kShort)];
  ++state.in_flight[Index(SizeClass::kLong)];
  --in_flight_[Index(SizeClass::kShort)];
  ++in_flight_[Index(SizeClass::kLong)];
}

bool SlotAllocator::AcceptsQueuedWork(SizeClass size_class,
                                      MonoTime now) const {
  if (size_class == SizeClass::kLong && long_share_ == 0) {
    return false;
  }
  return std::any_of(targets_.begin(), targets_.end(), [now](const auto& t) {
    return t.second.Limit() > 0 && t.second.health.AcceptsQueuedWork(now);
  });
}

int SlotAllocator::FreeSlots(MonoTime now) const {
  int free = 0;
  for (const auto& [id, target] : targets_) {
    if (target.health.CanGrant(now)) {
      free += std::max(0, target.Limit() - target.TotalInFlight());
    }
  }
  return free;
}

int SlotAllocator::InFlightAt(const InstanceId& target) const {
  const auto it = targets_.find(target);
  return it == targets_.end() ? 0 : it->second.TotalInFlight();
}

nlohmann::json SlotAllocator::Dump() const {
  nlohmann::json dump = nlohmann::json::object();
  for (const auto& [id, target] : targets_) {
    dump[id.value()] = {
        {"address", target.share.address},
        {"rack", target.share.rack.value()},
        {"boot", target.health.boot()},
        {"listed", target.listed},
        {"slots", target.share.slots},
        {"connections", target.share.connections},
        {"short_in_flight", target.in_flight[Index(SizeClass::kShort)]},
        {"long_in_flight", target.in_flight[Index(SizeClass::kLong)]},
        {"state", std::string(target.health.StateName())}};
  }
  return dump;
}

}  // namespace figflow
