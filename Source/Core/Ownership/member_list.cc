#include "Ownership/member_list.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace figflow {
namespace {

// Longer than a daemon needs for a new lease after an outage of the store.
constexpr std::chrono::seconds kKept{5};

}  // namespace

bool MemberList::OnRecord(const MemberRecord& record) {
  const auto [member, joined] = members_.try_emplace(record.entry);
  member->second = {record, MonoTime::max()};
  return joined;
}

void MemberList::OnRemoved(const std::string& entry, MonoTime now) {
  const auto member = members_.find(entry);
  if (member != members_.end()) {
    member->second.gone_at = std::min(member->second.gone_at, now);
  }
}

std::vector<MemberRecord> MemberList::Forget(MonoTime now) {
  std::vector<MemberRecord> forgotten;
  for (auto it = members_.begin(); it != members_.end();) {
    if (it->second.gone_at == MonoTime::max() ||
        now < it->second.gone_at + kKept) {
      ++it;
      continue;
    }
    forgotten.push_back(std::move(it->second.record));
    it = members_.erase(it);
  }
  return forgotten;
}

}  // namespace figflow
