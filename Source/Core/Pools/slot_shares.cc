#include "Pools/slot_shares.h"

#include <xxhash.h>

#include <algorithm>

namespace figflow {

int ShareOf(const std::vector<EntryMember>& members,
            const EntryId& entry,
            uint64_t incarnation,
            const InstanceId& target,
            int total) {
  const auto it = std::find_if(
      members.begin(), members.end(), [&](const EntryMember& member) {
        return member.id == entry && member.incarnation == incarnation;
      });
  if (it == members.end()) {
    return 0;
  }
  const auto count = static_cast<uint64_t>(members.size());
  const auto index = static_cast<uint64_t>(it - members.begin());
  // XXH64 has a fixed definition, while std::hash may differ between daemons.
  const uint64_t first =
      XXH64(target.value().data(), target.value().size(), 0) % count;
  const uint64_t position = (index + count - first) % count;
  const auto slots = static_cast<uint64_t>(std::max(total, 0));
  return static_cast<int>(slots / count + (position < slots % count ? 1 : 0));
}

int UsableShare(const EntryMembership& membership,
                const EntryId& entry,
                uint64_t incarnation,
                bool settled,
                const InstanceId& target,
                int total) {
  for (const EntryMember& member : membership.current) {
    if (member.id == entry && member.incarnation == incarnation &&
        member.state != MemberState::kActive) {
      return 0;
    }
  }
  const int current =
      ShareOf(membership.current, entry, incarnation, target, total);
  if (settled) {
    return current;
  }
  return std::min(
      current, ShareOf(membership.previous, entry, incarnation, target, total));
}

}  // namespace figflow
