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
  std::chrono::milliseconds suspect_after{5'000};
  // Long enough that a daemon which is cut off for minutes is still known when
  // it returns.
  std::chrono::milliseconds remove_after{15 * 60'000};
  // Peers that one gossip round talks to.
  size_t fanout = 3;
  // Beats carried in one message, 6 bytes each. With 100 daemons, 72 take 3.5
  // KB/s, and one view of a live peer in 100,000 is suspect for a second; 99
  // would avoid that but take 4.5 KB/s.
  size_t max_heartbeats = 72;
};

enum class PeerUpdateResult {
  kNew,
  kKnown,
  // A newer incarnation of a known entry.
  kReplaced,
  // An older incarnation than the known one; ignored.
  kStale,
  // This daemon's own entry and incarnation.
  kSelf,
};

// Which peers exist and which of them are alive. Holds no clock, thread or
// lock: the caller passes the time and serializes calls.
class Membership {
 public:
  using Settings = MembershipSettings;
  using Random = std::mt19937_64;

  Membership(EntryId self, uint64_t incarnation, Settings settings);

  // A message of the peer itself arrived.
  PeerUpdateResult OnHello(const PeerEndpoint& peer, MonoTime now);
  PeerUpdateResult OnDigest(const DigestMessage& message, MonoTime now);
  // A peer named by another one. It becomes known but stays suspect until
  // heard of.
  PeerUpdateResult OnPeerAdvertised(const PeerEndpoint& peer, MonoTime now);
  // Beats of peers at second hand. A beat counts only if it is higher than the
  // known one, so that old messages of a resumed daemon revive nobody.
  void OnHeartbeats(absl::string_view heartbeats, MonoTime now);

  // Forgets peers not heard of for long and returns them.
  std::vector<PeerEndpoint> RemoveExpired(MonoTime now);

  // Live peers for this round, chosen at random.
  std::vector<EntryId> SelectGossipPeers(MonoTime now, Random& random) const;
  // One suspect peer, to find out whether it is back; empty if there is none.
  EntryId SuspectToProbe(MonoTime now, Random& random) const;
  // The most recently raised beats of live peers.
  std::string PackHeartbeats(MonoTime now, Random& random) const;
  // Up to `count` random live peers.
  std::vector<PeerEndpoint> SampleLivePeers(size_t count,
                                            MonoTime now,
                                            Random& random) const;

  std::map<EntryId, PeerView> Views(MonoTime now) const;
  // Null when unknown.
  const PeerDigest* Find(const EntryId& entry) const;
  bool IsSuspect(const EntryId& entry, MonoTime now) const;
  // Another process with this entry id and a higher incarnation was seen.
  bool superseded() const { return superseded_; }
  void MarkSuperseded() { superseded_ = true; }

 private:
  struct PeerState {
    PeerDigest digest;
    MonoTime added_at;
    MonoTime last_seen_at;
    bool seen = false;
    uint16_t heartbeat = 0;
    bool has_heartbeat = false;
    uint32_t hash = 0;
  };

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
  // Highest incarnation seen of each entry; kept when a peer is forgotten.
  std::map<EntryId, uint64_t> incarnations_;
  bool superseded_ = false;
};

}  // namespace figflow

#endif  // PEER_MEMBERSHIP_H_
