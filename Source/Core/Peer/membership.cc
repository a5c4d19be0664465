#include "Peer/membership.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

// Size of one packed heartbeat: 4 bytes of hash and 2 bytes of counter, both
// big-endian.
constexpr size_t kPackedHeartbeatBytes = 6;

uint32_t HashOf(const EntryId& entry, uint64_t incarnation) {
  const std::string text = absl::StrCat(entry.value(), "/", incarnation);
  return XXH32(text.data(), text.size(), 0);
}

// Compares counters that wrap around: returns true if `a` comes after `b`.
bool IsLater(uint16_t a, uint16_t b) {
  return static_cast<int16_t>(static_cast<uint16_t>(a - b)) > 0;
}

void AppendBigEndian(std::string* out, uint32_t value, size_t bytes) {
  for (size_t i = bytes; i > 0; --i) {
    out->push_back(static_cast<char>((value >> (8 * (i - 1))) & 0xFFU));
  }
}

uint32_t ReadBigEndian(absl::string_view in) {
  uint32_t value = 0;
  for (const char c : in) {
    value = (value << 8U) | static_cast<unsigned char>(c);
  }
  return value;
}

PeerEndpoint EndpointOf(const PeerDigest& digest) {
  return PeerEndpoint{digest.entry, digest.incarnation, digest.data_centre,
                      digest.address};
}

// Updates the pools listed in `partial_slots` and keeps the other ones.
void MergeSlots(const std::vector<std::pair<PoolId, int>>& partial_slots,
                std::vector<std::pair<PoolId, int>>* slots) {
  for (const auto& [pool, free] : partial_slots) {
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

Membership::PeerState* Membership::AddOrUpdate(const PeerEndpoint& peer,
                                               MonoTime now,
                                               PeerUpdateResult* result) {
  if (peer.entry == self_) {
    superseded_ = superseded_ || peer.incarnation > incarnation_;
    *result = peer.incarnation == incarnation_ ? PeerUpdateResult::kSelf
                                               : PeerUpdateResult::kStale;
    return nullptr;
  }
  uint64_t& highest = incarnations_[peer.entry];
  if (peer.incarnation < highest) {
    *result = PeerUpdateResult::kStale;
    return nullptr;
  }
  const auto [it, inserted] = peers_.try_emplace(peer.entry);
  PeerState& state = it->second;
  *result = inserted                     ? PeerUpdateResult::kNew
            : peer.incarnation > highest ? PeerUpdateResult::kReplaced
                                         : PeerUpdateResult::kKnown;
  highest = peer.incarnation;
  if (*result == PeerUpdateResult::kKnown) {
    return &state;
  }
  state = PeerState();
  state.digest.entry = peer.entry;
  state.digest.incarnation = peer.incarnation;
  state.digest.data_centre = peer.data_centre;
  state.digest.address = peer.address;
  state.added_at = now;
  state.hash = HashOf(peer.entry, peer.incarnation);
  return &state;
}

PeerUpdateResult Membership::OnHello(const PeerEndpoint& peer, MonoTime now) {
  PeerUpdateResult result = PeerUpdateResult::kStale;
  PeerState* state = AddOrUpdate(peer, now, &result);
  if (state != nullptr) {
    state->digest.data_centre = peer.data_centre;
    state->digest.address = peer.address;
    state->seen = true;
    state->last_seen_at = now;
  }
  return result;
}

PeerUpdateResult Membership::OnDigest(const DigestMessage& message,
                                      MonoTime now) {
  const PeerUpdateResult result = OnHello(EndpointOf(message.digest), now);
  const auto it = peers_.find(message.digest.entry);
  if (it == peers_.end() || result == PeerUpdateResult::kStale ||
      result == PeerUpdateResult::kSelf) {
    return result;
  }
  PeerState& state = it->second;
  std::vector<std::pair<PoolId, int>> slots;
  if (message.partial) {
    slots = std::move(state.digest.free_slots);
    MergeSlots(message.digest.free_slots, &slots);
  } else {
    slots = message.digest.free_slots;
  }
  state.digest = message.digest;
  state.digest.free_slots = std::move(slots);
  state.heartbeat = static_cast<uint16_t>(message.heartbeat);
  state.has_heartbeat = true;
  return result;
}

PeerUpdateResult Membership::OnPeerAdvertised(const PeerEndpoint& peer,
                                              MonoTime now) {
  PeerUpdateResult result = PeerUpdateResult::kStale;
  AddOrUpdate(peer, now, &result);
  return result;
}

void Membership::OnHeartbeats(absl::string_view heartbeats, MonoTime now) {
  std::map<uint32_t, uint16_t> heartbeats_by_hash;
  for (size_t offset = 0; offset + kPackedHeartbeatBytes <= heartbeats.size();
       offset += kPackedHeartbeatBytes) {
    heartbeats_by_hash[ReadBigEndian(heartbeats.substr(offset, 4))] =
        static_cast<uint16_t>(ReadBigEndian(heartbeats.substr(offset + 4, 2)));
  }
  for (auto& [entry, state] : peers_) {
    const auto it = heartbeats_by_hash.find(state.hash);
    if (it == heartbeats_by_hash.end() ||
        (state.has_heartbeat && !IsLater(it->second, state.heartbeat))) {
      continue;
    }
    state.heartbeat = it->second;
    state.has_heartbeat = true;
    state.seen = true;
    state.last_seen_at = now;
  }
}

std::vector<PeerEndpoint> Membership::RemoveExpired(MonoTime now) {
  std::vector<PeerEndpoint> forgotten;
  for (auto it = peers_.begin(); it != peers_.end();) {
    const PeerState& state = it->second;
    const MonoTime last_activity =
        state.seen ? state.last_seen_at : state.added_at;
    if (now - last_activity > settings_.remove_after) {
      forgotten.push_back(EndpointOf(state.digest));
      it = peers_.erase(it);
    } else {
      ++it;
    }
  }
  return forgotten;
}

bool Membership::IsLive(const PeerState& state, MonoTime now) const {
  return state.seen && now - state.last_seen_at <= settings_.suspect_after;
}

std::vector<const Membership::PeerState*>
Membership::ShuffledPeers(bool live, MonoTime now, Random& random) const {
  std::vector<const PeerState*> chosen;
  for (const auto& [entry, state] : peers_) {
    if (IsLive(state, now) == live) {
      chosen.push_back(&state);
    }
  }
  std::shuffle(chosen.begin(), chosen.end(), random);
  return chosen;
}

std::vector<EntryId> Membership::SelectGossipPeers(MonoTime now,
                                                   Random& random) const {
  std::vector<EntryId> gossip_peers;
  for (const PeerState* state : ShuffledPeers(true, now, random)) {
    if (gossip_peers.size() == settings_.fanout) {
      break;
    }
    gossip_peers.push_back(state->digest.entry);
  }
  return gossip_peers;
}

EntryId Membership::SuspectToProbe(MonoTime now, Random& random) const {
  const std::vector<const PeerState*> suspects =
      ShuffledPeers(false, now, random);
  return suspects.empty() ? EntryId() : suspects.front()->digest.entry;
}

std::string Membership::PackHeartbeats(MonoTime now, Random& random) const {
  // Shuffled before the stable sort, so that peers seen at the same time have
  // an equal chance to be sent.
  std::vector<const PeerState*> peers = ShuffledPeers(true, now, random);
  std::stable_sort(peers.begin(), peers.end(),
                   [](const PeerState* a, const PeerState* b) {
                     return a->last_seen_at > b->last_seen_at;
                   });
  std::string packed;
  for (const PeerState* state : peers) {
    if (packed.size() >= settings_.max_heartbeats * kPackedHeartbeatBytes) {
      break;
    }
    if (state->has_heartbeat) {
      AppendBigEndian(&packed, state->hash, 4);
      AppendBigEndian(&packed, state->heartbeat, 2);
    }
  }
  return packed;
}

std::vector<PeerEndpoint> Membership::SampleLivePeers(size_t count,
                                                      MonoTime now,
                                                      Random& random) const {
  std::vector<PeerEndpoint> endpoints;
  for (const PeerState* state : ShuffledPeers(true, now, random)) {
    if (endpoints.size() == count) {
      break;
    }
    endpoints.push_back(EndpointOf(state->digest));
  }
  return endpoints;
}

std::map<EntryId, PeerView> Membership::Views(MonoTime now) const {
  std::map<EntryId, PeerView> views;
  for (const auto& [entry, state] : peers_) {
    views[entry] =
        PeerView{state.digest, state.last_seen_at, !IsLive(state, now)};
  }
  return views;
}

const PeerDigest* Membership::Find(const EntryId& entry) const {
  const auto it = peers_.find(entry);
  return it == peers_.end() ? nullptr : &it->second.digest;
}

bool Membership::IsSuspect(const EntryId& entry, MonoTime now) const {
  const auto it = peers_.find(entry);
  return it == peers_.end() || !IsLive(it->second, now);
}

}  // namespace figflow
