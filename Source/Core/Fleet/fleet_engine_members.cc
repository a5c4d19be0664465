// The engine's view of the daemons of the fleet.
#include <chrono>
#include <set>
#include <utility>
#include <vector>

#include "Common/log.h"
#include "Fleet/fleet_engine.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

// Daemons that start or reconnect to the store together with this one write
// their records within this time of its own record.
constexpr std::chrono::milliseconds kMembersSettleTime{300};

}  // namespace

void FleetEngine::OnMemberItem(const StoreItem& item) {
  const std::string entry = LastKeySegment(item.key);
  const MonoTime now = clock_.Now();
  const bool own = entry == options_.entry;
  MemberRecord record;
  if (!item.removed) {
    Result<MemberRecord> parsed = ParseMemberRecord(item.value);
    if (!parsed || parsed->entry != entry) {
      LogEvent(LogLevel::kError, LogCategory::kPeer, "member_unreadable",
               {{"key", item.key}});
      return;
    }
    record = std::move(*parsed);
  }
  bool joined = false;
  {
    absl::MutexLock lock(&mutex_);
    if (item.removed) {
      members_.OnRecordRemoved(entry, now);
    } else {
      joined = members_.OnRecordUpdated(record);
    }
    if (own && !item.removed && item.lease != member_lease_) {
      first_lease_ = member_lease_ == 0;
      member_lease_ = item.lease;
      members_settle_at_ = now + kMembersSettleTime;
    }
  }
  if (own) {
    registration_->OnRecordObserved(item.removed ? 0 : item.lease);
  }
  if (joined) {
    LogEvent(LogLevel::kInfo, LogCategory::kPeer, "member_joined",
             {{"member", entry},
              {"peer", record.address},
              {"millicores", absl::StrCat(record.millicores)}});
  }
  WakeAt(now);
}

void FleetEngine::RemoveLostMembers(MonoTime now) {
  std::vector<MemberRecord> lost;
  {
    absl::MutexLock lock(&mutex_);
    lost = members_.RemoveExpired(now);
  }
  for (const MemberRecord& record : lost) {
    LogEvent(LogLevel::kInfo, LogCategory::kPeer, "member_gone",
             {{"member", record.entry}, {"peer", record.address}});
  }
}

std::vector<PeerAddress> FleetEngine::Peers() const {
  absl::MutexLock lock(&mutex_);
  std::vector<PeerAddress> peers;
  for (const auto& [entry, member] : members_.members()) {
    if (entry != options_.entry) {
      peers.push_back({entry, member.record.address});
    }
  }
  return peers;
}

int FleetEngine::PeerCount() const {
  const auto& members = members_.members();
  return static_cast<int>(members.size() - members.count(options_.entry));
}

ClaimView FleetEngine::MakeClaimView(std::set<std::string> vacant,
                                     MonoTime now) const {
  ClaimView view;
  view.vacant = std::move(vacant);
  view.yielding = overload_detector_.InBackoff(now);
  // After an outage of the store, members without a record are about to
  // reconnect. At the start of a process, no members are known.
  const bool settled = now >= members_settle_at_;
  view.members_settled_at = members_settle_at_;
  view.starting = first_lease_;
  for (const auto& [entry, member] : members_.members()) {
    if (member.removed_at == MonoTime::max() || !settled) {
      view.members[entry] = member.record.millicores;
    }
  }
  for (const auto& [scope, owner] : known_owners_) {
    view.owners[scope] = owner.record.entry;
  }
  for (const std::string& scope : pending_claims_) {
    view.owners[scope] = options_.entry;
  }
  return view;
}

}  // namespace figflow
