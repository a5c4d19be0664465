#include "Ownership/member_list.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace figflow {
namespace {

// Longer than a daemon needs to acquire a new lease after a store outage.
constexpr std::chrono::seconds kRemovalGracePeriod{5};

}  // namespace

bool MemberList::OnRecordUpdated(const MemberRecord& record) {
  const auto [member, joined] = members_.try_emplace(record.entry);
  member->second = {record, MonoTime::max()};
  return joined;
}

void MemberList::OnRecordRemoved(const std::string& entry, MonoTime now) {
  const auto member = members_.find(entry);
  if (member != members_.end()) {
    member->second.removed_at = std::min(member->second.removed_at, now);
  }
}

std::vector<MemberRecord> MemberList::RemoveExpired(MonoTime now) {
  std::vector<MemberRecord> expired;
  for (auto it = members_.begin(); it != members_.end();) {
    if (it->second.removed_at == MonoTime::max() ||
        now < it->second.removed_at + kRemovalGracePeriod) {
      ++it;
      continue;
    }
    expired.push_back(std::move(it->second.record));
    it = members_.erase(it);
  }
  return expired;
}

}  // namespace figflow
