#ifndef PEER_PEER_MESSAGE_H_
#define PEER_PEER_MESSAGE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "Common/error.h"
#include "Peer/peer_service.h"
#include "absl/strings/string_view.h"

namespace figflow {

inline constexpr uint64_t kPeerProtocolVersion = 1;
// Largest message, envelope included. Above the store's largest value, so that
// a configuration snapshot fits.
inline constexpr size_t kMaxPeerMessageBytes = size_t{1} << 20U;

// Where a peer can be reached, learnt at second hand.
struct PeerEndpoint {
  EntryId entry;
  uint64_t incarnation = 0;
  DataCentreId data_centre;
  std::string address;
};

// First message in both directions of each connection.
struct HelloMessage {
  PeerEndpoint self;
  std::vector<PeerEndpoint> peers;
};

struct DigestMessage {
  PeerDigest digest;
  // Grows with each gossip round of the sender.
  uint64_t heartbeat = 0;
  // digest.free_slots holds only some of the sender's pools.
  bool partial = false;
  // Beats of other peers, as packed by Membership.
  std::string heartbeats;
  std::vector<PeerEndpoint> peers;
};

struct ConfigPullMessage {
  uint64_t revision = 0;
};

struct ConfigDeltaMessage {
  ConfigDelta delta;
};

// Marks sent at once when targets are seen leaving.
struct LeavingMessage {
  std::vector<std::pair<InstanceId, uint64_t>> leaving;
};

struct RelayRequestMessage {
  uint64_t id = 0;
  RelayRequest request;
};

struct RelayResponseMessage {
  uint64_t id = 0;
  // Incarnation of the answering daemon.
  uint64_t incarnation = 0;
  RelayResponse response;
  // Not empty: the request was run, but its answer cannot be delivered.
  std::string delivery_error;
};

struct RelayCancelMessage {
  uint64_t id = 0;
};

using PeerMessage = std::variant<HelloMessage,
                                 DigestMessage,
                                 ConfigPullMessage,
                                 ConfigDeltaMessage,
                                 LeavingMessage,
                                 RelayRequestMessage,
                                 RelayResponseMessage,
                                 RelayCancelMessage>;

// CBOR map {v, t, id, ...}. kInvalid when the message is too large.
Result<std::string> FormatPeerMessage(const PeerMessage& message);

// kInvalid: malformed or a field is missing, mistyped or out of range;
// kNotFound: the version or the type is unknown.
Result<PeerMessage> ParsePeerMessage(absl::string_view bytes);

}  // namespace figflow

#endif  // PEER_PEER_MESSAGE_H_
