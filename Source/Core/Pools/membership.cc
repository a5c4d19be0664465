#include "Pools/membership.h"

#include <algorithm>
#include <set>

#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

bool Matches(const EntryMember& member,
             const EntryId& entry,
             uint64_t incarnation) {
  return member.id == entry && member.incarnation == incarnation;
}

void SortById(std::vector<EntryMember>& members) {
  std::sort(
      members.begin(), members.end(),
      [](const EntryMember& a, const EntryMember& b) { return a.id < b.id; });
}

}  // namespace

void RemovalTracker::Observe(const EntryMembership& membership, MonoTime now) {
  std::set<Key> removed;
  for (const auto* list : {&membership.previous, &membership.current}) {
    for (const EntryMember& member : *list) {
      if (RequestsMayOutliveRemoval(member)) {
        removed.emplace(member.id, member.incarnation);
      }
    }
  }
  for (auto it = seen_.begin(); it != seen_.end();) {
    it = removed.count(it->first) == 0 ? seen_.erase(it) : std::next(it);
  }
  for (const Key& key : removed) {
    seen_.emplace(key, now);
  }
}

bool RemovalTracker::RequestsEnded(const EntryMember& member,
                                   MonoTime now) const {
  const auto it = seen_.find(Key(member.id, member.incarnation));
  return it != seen_.end() && now - it->second >= request_bound_;
}

bool RequestsMayOutliveRemoval(const EntryMember& member) {
  return member.state != MemberState::kActive &&
         member.state != MemberState::kReleased;
}

bool HasConfirmedEpoch(const EntryMembership& membership,
                       const EntryMember& member,
                       const Confirmations& confirmations) {
  const auto it = confirmations.find(member.id);
  return it != confirmations.end() &&
         it->second.incarnation == member.incarnation &&
         it->second.epoch_id == membership.epoch_id;
}

bool IsSettled(const EntryMembership& membership,
               const Confirmations& confirmations,
               const RemovalTracker& waits,
               MonoTime now) {
  for (const EntryMember& member : membership.current) {
    if (member.state == MemberState::kReleased ||
        HasConfirmedEpoch(membership, member, confirmations)) {
      continue;
    }
    // A removed member may not have received this epoch and may still use its
    // previous share.
    if (!RequestsMayOutliveRemoval(member) ||
        !waits.RequestsEnded(member, now)) {
      return false;
    }
  }
  return std::all_of(membership.previous.begin(), membership.previous.end(),
                     [&](const EntryMember& member) {
                       return !RequestsMayOutliveRemoval(member) ||
                              waits.RequestsEnded(member, now);
                     });
}

Result<bool> RequestJoin(EntryMembership& membership,
                         const EntryId& entry,
                         uint64_t incarnation,
                         uint64_t boot) {
  for (const auto* list :
       {&membership.previous, &membership.current, &membership.joining}) {
    for (const EntryMember& member : *list) {
      if (member.id != entry) {
        continue;
      }
      if (member.incarnation > incarnation) {
        return Fail(ErrorCode::kConflict, "pools.join", entry.value(),
                    absl::StrCat("incarnation ", member.incarnation,
                                 " is newer than ", incarnation));
      }
      if (member.incarnation == incarnation &&
          member.state != MemberState::kActive) {
        return Fail(ErrorCode::kConflict, "pools.join", entry.value(),
                    "this incarnation was removed");
      }
    }
  }
  if (FindMember(membership, entry, incarnation) != nullptr) {
    return false;
  }
  for (EntryMember& member : membership.current) {
    if (member.id == entry && member.state == MemberState::kActive) {
      member.state = MemberState::kReplaced;
    }
  }
  auto& joining = membership.joining;
  // An older incarnation that is still joining never had a share, so it is
  // removed without a wait.
  joining.erase(
      std::remove_if(joining.begin(), joining.end(),
                     [&](const EntryMember& m) { return m.id == entry; }),
      joining.end());
  joining.push_back(
      EntryMember{entry, incarnation, boot, MemberState::kActive});
  SortById(joining);
  return true;
}

bool Remove(EntryMembership& membership,
            const EntryId& entry,
            uint64_t incarnation,
            MemberState state) {
  for (EntryMember& member : membership.current) {
    if (Matches(member, entry, incarnation) &&
        member.state == MemberState::kActive) {
      member.state = state;
      return true;
    }
  }
  auto& joining = membership.joining;
  const auto it = std::find_if(
      joining.begin(), joining.end(),
      [&](const EntryMember& m) { return Matches(m, entry, incarnation); });
  if (it == joining.end()) {
    return false;
  }
  joining.erase(it);
  return true;
}

bool AdvanceEpoch(EntryMembership& membership, const std::string& write_id) {
  const bool removed =
      std::any_of(membership.current.begin(), membership.current.end(),
                  [](const EntryMember& member) {
                    return member.state != MemberState::kActive;
                  });
  if (!removed && membership.joining.empty()) {
    return false;
  }
  std::vector<EntryMember> next = std::move(membership.joining);
  for (const EntryMember& member : membership.current) {
    if (member.state == MemberState::kActive) {
      next.push_back(member);
    }
  }
  SortById(next);
  membership.joining.clear();
  membership.previous = std::move(membership.current);
  membership.current = std::move(next);
  ++membership.epoch;
  membership.epoch_id = write_id;
  return true;
}

const EntryMember* FindMember(const EntryMembership& membership,
                              const EntryId& entry,
                              uint64_t incarnation) {
  for (const auto* list : {&membership.current, &membership.joining}) {
    for (const EntryMember& member : *list) {
      if (Matches(member, entry, incarnation)) {
        return &member;
      }
    }
  }
  return nullptr;
}

}  // namespace figflow
