// The daemons of the fleet, as the engine knows them.
#include <chrono>
#include <set>
#include <utility>
#include <vector>

#include "Common/log.h"
#include "Fleet/fleet_engine.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

// Within this time of a daemon's own record, the others that started or got
// back to the store with it have written theirs.
constexpr std::chrono::milliseconds kMembersSettle{300};

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
      members_settle_ = now + kMembersSettle;
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

void FleetEngine::ForgetMembers(MonoTime now) {
  std::vector<MemberRecord> forgotten;
  {
    absl::MutexLock lock(&mutex_);
    forgotten = members_.RemoveExpired(now);
  }
  for (const MemberRecord& record : forgotten) {
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

ClaimView FleetEngine::ViewForClaims(std::set<std::string> vacant,
                                     MonoTime now) const {
  ClaimView view;
  view.vacant = std::move(vacant);
  view.yielding = overload_.Resting(now);
  // After an outage of the store, members without a record are about to come
  // back. At the start of a process nothing is known of them.
  const bool settled = now >= members_settle_;
  view.members_settled_at = members_settle_;
  view.starting = first_lease_;
  for (const auto& [entry, member] : members_.members()) {
    if (member.removed_at == MonoTime::max() || !settled) {
      view.members[entry] = member.record.millicores;
    }
  }
  for (const auto& [scope, owner] : known_owners_) {
    view.owners[scope] = owner.record.entry;
  }
  for (const std::string& scope : claiming_) {
    view.owners[scope] = options_.entry;
  }
  return view;
}

}  // namespace figflow
