#include "Peer/membership.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

// One packed beat: 4 bytes of hash and 2 bytes of beat, big-endian.
constexpr size_t kPackedBytes = 6;

uint32_t HashOf(const EntryId& entry, uint64_t incarnation) {
  const std::string text = absl::StrCat(entry.value(), "/", incarnation);
  return XXH32(text.data(), text.size(), 0);
}

// Order of wrapping counters: true if `a` was reached after `b`.
bool IsLater(uint16_t a, uint16_t b) {
  return static_cast<int16_t>(static_cast<uint16_t>(a - b)) > 0;
}

void Append(std::string* out, uint32_t value, size_t bytes) {
  for (size_t i = bytes; i > 0; --i) {
    out->push_back(static_cast<char>((value >> (8 * (i - 1))) & 0xFFU));
  }
}

uint32_t Read(absl::string_view in) {
  uint32_t value = 0;
  for (const char c : in) {
    value = (value << 8U) | static_cast<unsigned char>(c);
  }
  return value;
}

PeerHint HintOf(const PeerDigest& digest) {
  return PeerHint{digest.entry, digest.incarnation, digest.data_centre,
                  digest.address};
}

// Replaces the counts named in `part` and keeps the others.
void MergeSlots(const std::vector<std::pair<PoolId, int>>& part,
                std::vector<std::pair<PoolId, int>>* slots) {
  for (const auto& [pool, free] : part) {
    const auto it = std::find_if(
        slots->begin(), slots->end(),
        [&pool = pool](const auto& known) { return known.first == pool; });
    if (it == slots->end()) {
      slots->emplace_back(pool, free);
    } else {
      it->second = free;
    }
  }
}

}  // namespace

Membership::Membership(EntryId self, uint64_t incarnation, Settings settings)
    : self_(std::move(self)), incarnation_(incarnation), settings_(settings) {}

Membership::Member* Membership::Admit(const PeerHint& peer,
                                      MonoTime now,
                                      HeardResult* result) {
  if (peer.entry == self_) {
    superseded_ = superseded_ || peer.incarnation > incarnation_;
    *result = peer.incarnation == incarnation_ ? HeardResult::kSelf
                                               : HeardResult::kStale;
    return nullptr;
  }
  uint64_t& highest = incarnations_[peer.entry];
  if (peer.incarnation < highest) {
    *result = HeardResult::kStale;
    return nullptr;
  }
  const auto [it, inserted] = members_.try_emplace(peer.entry);
  Member& member = it->second;
  *result = inserted                     ? HeardResult::kNew
            : peer.incarnation > highest ? HeardResult::kReplaced
                                         : HeardResult::kKnown;
  highest = peer.incarnation;
  if (*result == HeardResult::kKnown) {
    return &member;
  }
  member = Member();
  member.digest.entry = peer.entry;
  member.digest.incarnation = peer.incarnation;
  member.digest.data_centre = peer.data_centre;
  member.digest.address = peer.address;
  member.known_since = now;
  member.hash = HashOf(peer.entry, peer.incarnation);
  return &member;
}

HeardResult Membership::OnHello(const PeerHint& peer, MonoTime now) {
  HeardResult result = HeardResult::kStale;
  Member* member = Admit(peer, now, &result);
  if (member != nullptr) {
    member->digest.data_centre = peer.data_centre;
    member->digest.address = peer.address;
    member->heard = true;
    member->heard_at = now;
  }
  return result;
}

HeardResult Membership::OnDigest(const DigestMessage& message, MonoTime now) {
  const HeardResult result = OnHello(HintOf(message.digest), now);
  const auto it = members_.find(message.digest.entry);
  if (it == members_.end() || result == HeardResult::kStale ||
      result == HeardResult::kSelf) {
    return result;
  }
  Member& member = it->second;
  std::vector<std::pair<PoolId, int>> slots;
  if (message.partial) {
    slots = std::move(member.digest.free_slots);
    MergeSlots(message.digest.free_slots, &slots);
  } else {
    slots = message.digest.free_slots;
  }
  member.digest = message.digest;
  member.digest.free_slots = std::move(slots);
  member.beat = static_cast<uint16_t>(message.beat);
  member.has_beat = true;
  return result;
}

HeardResult Membership::OnHint(const PeerHint& hint, MonoTime now) {
  HeardResult result = HeardResult::kStale;
  Admit(hint, now, &result);
  return result;
}

void Membership::OnBeats(absl::string_view beats, MonoTime now) {
  std::map<uint32_t, uint16_t> by_hash;
  for (size_t at = 0; at + kPackedBytes <= beats.size(); at += kPackedBytes) {
    by_hash[Read(beats.substr(at, 4))] =
        static_cast<uint16_t>(Read(beats.substr(at + 4, 2)));
  }
  for (auto& [entry, member] : members_) {
    const auto it = by_hash.find(member.hash);
    if (it == by_hash.end() ||
        (member.has_beat && !IsLater(it->second, member.beat))) {
      continue;
    }
    member.beat = it->second;
    member.has_beat = true;
    member.heard = true;
    member.heard_at = now;
  }
}

std::vector<PeerHint> Membership::Forget(MonoTime now) {
  std::vector<PeerHint> forgotten;
  for (auto it = members_.begin(); it != members_.end();) {
    const Member& member = it->second;
    const MonoTime last = member.heard ? member.heard_at : member.known_since;
    if (now - last > settings_.forget_after) {
      forgotten.push_back(HintOf(member.digest));
      it = members_.erase(it);
    } else {
      ++it;
    }
  }
  return forgotten;
}

bool Membership::IsLive(const Member& member, MonoTime now) const {
  return member.heard && now - member.heard_at <= settings_.suspect_after;
}

std::vector<const Membership::Member*>
Membership::Shuffled(bool live, MonoTime now, Random& random) const {
  std::vector<const Member*> chosen;
  for (const auto& [entry, member] : members_) {
    if (IsLive(member, now) == live) {
      chosen.push_back(&member);
    }
  }
  std::shuffle(chosen.begin(), chosen.end(), random);
  return chosen;
}

std::vector<EntryId> Membership::GossipTargets(MonoTime now,
                                               Random& random) const {
  std::vector<EntryId> targets;
  for (const Member* member : Shuffled(true, now, random)) {
    if (targets.size() == settings_.fanout) {
      break;
    }
    targets.push_back(member->digest.entry);
  }
  return targets;
}

EntryId Membership::SuspectToProbe(MonoTime now, Random& random) const {
  const std::vector<const Member*> suspects = Shuffled(false, now, random);
  return suspects.empty() ? EntryId() : suspects.front()->digest.entry;
}

std::string Membership::PackBeats(MonoTime now, Random& random) const {
  // Shuffled first, so that peers heard of at the same time take turns.
  std::vector<const Member*> members = Shuffled(true, now, random);
  std::stable_sort(members.begin(), members.end(),
                   [](const Member* a, const Member* b) {
                     return a->heard_at > b->heard_at;
                   });
  std::string packed;
  for (const Member* member : members) {
    if (packed.size() >= settings_.max_beats * kPackedBytes) {
      break;
    }
    if (member->has_beat) {
      Append(&packed, member->hash, 4);
      Append(&packed, member->beat, 2);
    }
  }
  return packed;
}

std::vector<PeerHint> Membership::Hints(size_t count,
                                        MonoTime now,
                                        Random& random) const {
  std::vector<PeerHint> hints;
  for (const Member* member : Shuffled(true, now, random)) {
    if (hints.size() == count) {
      break;
    }
    hints.push_back(HintOf(member->digest));
  }
  return hints;
}

std::map<EntryId, PeerView> Membership::Views(MonoTime now) const {
  std::map<EntryId, PeerView> views;
  for (const auto& [entry, member] : members_) {
    views[entry] =
        PeerView{member.digest, member.heard_at, !IsLive(member, now)};
  }
  return views;
}

const PeerDigest* Membership::Find(const EntryId& entry) const {
  const auto it = members_.find(entry);
  return it == members_.end() ? nullptr : &it->second.digest;
}

bool Membership::IsSuspect(const EntryId& entry, MonoTime now) const {
  const auto it = members_.find(entry);
  return it == members_.end() || !IsLive(it->second, now);
}

}  // namespace figflow
