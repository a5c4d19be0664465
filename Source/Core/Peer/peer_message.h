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
// Maximum encoded size of a message, envelope included. Exceeds the maximum
// value size of the store, so that a configuration snapshot fits.
inline constexpr size_t kMaxPeerMessageBytes = size_t{1} << 20U;

// Identity and address of a daemon.
struct PeerEndpoint {
  EntryId entry;
  uint64_t incarnation = 0;
  DataCentreId data_centre;
  std::string address;
};

// First message in each direction of a connection. `peers` lists live peers
// that the sender knows.
struct HelloMessage {
  PeerEndpoint self;
  std::vector<PeerEndpoint> peers;
};

// Periodic gossip message.
struct DigestMessage {
  PeerDigest digest;
  // Heartbeat counter, incremented in each gossip round of the sender.
  uint64_t heartbeat = 0;
  // True if digest.free_slots lists only some of the sender's pools.
  bool partial = false;
  // Heartbeats of other peers, as encoded by Membership::PackHeartbeats.
  std::string heartbeats;
  std::vector<PeerEndpoint> peers;
};

// Requests the configuration deltas after `revision`.
struct ConfigPullMessage {
  uint64_t revision = 0;
};

struct ConfigDeltaMessage {
  ConfigDelta delta;
};

// Sent as soon as targets are detected as leaving, without waiting for the next
// digest.
struct LeavingMessage {
  std::vector<std::pair<InstanceId, uint64_t>> leaving;
};

struct RelayRequestMessage {
  uint64_t id = 0;
  RelayRequest request;
};

struct RelayResponseMessage {
  uint64_t id = 0;
  // Incarnation of the responding daemon.
  uint64_t incarnation = 0;
  RelayResponse response;
  // Not empty if the request was run but its response cannot be delivered.
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

// Encodes a message as a CBOR map {v, t, id, ...}: version, type, relay id,
// fields. Returns kInvalid when the message is too large.
Result<std::string> FormatPeerMessage(const PeerMessage& message);

// Parses and validates a message. Returns kInvalid if it is malformed or a
// field is missing, of the wrong type or out of range, and kNotFound if the
// protocol version or the message type is unknown.
Result<PeerMessage> ParsePeerMessage(absl::string_view bytes);

}  // namespace figflow

#endif  // PEER_PEER_MESSAGE_H_
