#ifndef PEER_MEMBERSHIP_H_
#define PEER_MEMBERSHIP_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "Common/clock.h"
#include "Common/strong_id.h"
#include "Peer/peer_message.h"
#include "Peer/peer_service.h"
#include "absl/strings/string_view.h"

namespace figflow {

struct MembershipSettings {
  // Time without a message or a new heartbeat after which a peer is suspect.
  std::chrono::milliseconds suspect_after{5'000};
  // Long enough for a daemon that was disconnected for several minutes to be
  // still listed when it reconnects.
  std::chrono::milliseconds remove_after{15 * 60'000};
  // Number of live peers that receive a digest in one gossip round.
  size_t fanout = 3;
  // Maximum number of heartbeats in one digest, 6 bytes each. With 100 daemons,
  // 72 heartbeats use 3.5 KB/s, and one in 100,000 views of a live peer is
  // suspect for a second; 99 heartbeats avoid that but use 4.5 KB/s.
  size_t max_heartbeats = 72;
};

// How an update about a peer compares with what is known of that peer.
enum class PeerUpdateResult {
  kNew,
  kKnown,
  // A newer incarnation of a known entry, which replaces the older one.
  kReplaced,
  // An incarnation older than the known one; the update is ignored.
  kStale,
  // This daemon's own entry and incarnation.
  kSelf,
};

// Tracks which peers exist and which of them are alive, by gossip. Holds no
// clock, thread or lock: the caller passes the current time and serializes
// calls.
class Membership {
 public:
  using Settings = MembershipSettings;
  using Random = std::mt19937_64;

  Membership(EntryId self, uint64_t incarnation, Settings settings);

  // Records a message that the peer itself sent.
  PeerUpdateResult OnHello(const PeerEndpoint& peer, MonoTime now);
  PeerUpdateResult OnDigest(const DigestMessage& message, MonoTime now);
  // Adds a peer that another peer advertised. It stays suspect until a message
  // or a heartbeat of its own is received.
  PeerUpdateResult OnPeerAdvertised(const PeerEndpoint& peer, MonoTime now);
  // Applies heartbeats that another peer forwards. A heartbeat is applied only
  // if it is higher than the known one, so that outdated messages of a resumed
  // daemon do not mark a dead peer as alive.
  void OnHeartbeats(absl::string_view heartbeats, MonoTime now);

  // Removes and returns the peers not seen for longer than `remove_after`.
  std::vector<PeerEndpoint> RemoveExpired(MonoTime now);

  // Returns up to `fanout` random live peers for this gossip round.
  std::vector<EntryId> SelectGossipPeers(MonoTime now, Random& random) const;
  // Returns one random suspect peer, to detect whether it is available again;
  // empty if there is none.
  EntryId SuspectToProbe(MonoTime now, Random& random) const;
  // Encodes the most recently updated heartbeats of live peers.
  std::string PackHeartbeats(MonoTime now, Random& random) const;
  // Returns up to `count` random live peers.
  std::vector<PeerEndpoint> SampleLivePeers(size_t count,
                                            MonoTime now,
                                            Random& random) const;

  std::map<EntryId, PeerView> Views(MonoTime now) const;
  // Returns the peer's latest digest, or null if the peer is unknown.
  const PeerDigest* Find(const EntryId& entry) const;
  // Returns true also for an unknown peer.
  bool IsSuspect(const EntryId& entry, MonoTime now) const;
  // Returns true once another process with this entry id and a higher
  // incarnation was observed.
  bool superseded() const { return superseded_; }
  void MarkSuperseded() { superseded_ = true; }

 private:
  struct PeerState {
    PeerDigest digest;
    MonoTime added_at;
    MonoTime last_seen_at;
    // False for a peer that is only advertised by other peers.
    bool seen = false;
    uint16_t heartbeat = 0;
    bool has_heartbeat = false;
    // Identifies the entry and its incarnation in packed heartbeats.
    uint32_t hash = 0;
  };

  // Adds the peer or replaces its older incarnation. Returns null if the update
  // is stale or about this entry.
  PeerState* AddOrUpdate(const PeerEndpoint& peer,
                         MonoTime now,
                         PeerUpdateResult* result);
  bool IsLive(const PeerState& member, MonoTime now) const;
  std::vector<const PeerState*> ShuffledPeers(bool live,
                                              MonoTime now,
                                              Random& random) const;

  const EntryId self_;
  const uint64_t incarnation_;
  const Settings settings_;
  std::map<EntryId, PeerState> peers_;
  // Highest incarnation observed of each entry; kept when a peer is removed, so
  // that an older process cannot rejoin.
  std::map<EntryId, uint64_t> incarnations_;
  bool superseded_ = false;
};

}  // namespace figflow

#endif  // PEER_MEMBERSHIP_H_
