#ifndef PEER_PEER_SERVICE_H_
#define PEER_PEER_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "Common/clock.h"
#include "Common/error.h"
#include "Common/strong_id.h"

namespace figflow {

// Summary of a daemon's state, sent in each gossip round.
struct PeerDigest {
  EntryId entry;
  // Start time of the daemon in milliseconds since the epoch; increases with
  // each start.
  uint64_t incarnation = 0;
  DataCentreId data_centre;
  // "ip:port" of the peer listener.
  std::string address;
  uint64_t config_revision = 0;
  bool stopping = false;
  // Number of free slots by pool.
  std::vector<std::pair<PoolId, int>> free_slots;
  // Instance id and boot number of targets detected as leaving.
  std::vector<std::pair<InstanceId, uint64_t>> leaving;
};

// What this daemon holds about a peer.
struct PeerView {
  PeerDigest digest;
  // When the peer's last message or new heartbeat arrived; the default value if
  // the peer was only advertised by other peers.
  MonoTime last_seen_at;
  // True if the peer was not seen for `suspect_after`; no relays are sent to
  // it.
  bool suspect = false;
};

// A caller's request that is relayed to another entry.
struct RelayRequest {
  ProjectId project;
  std::string method;
  // HTTP request target: path and query.
  std::string target;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  // Time to the deadline at the moment of sending.
  std::chrono::milliseconds remaining{0};
  // Number of relays so far; a relayed request is not relayed again.
  int hops = 0;
  // Set by PeerService on receipt and passed to OnRelayCancelled. Unique for
  // one incarnation of the sending daemon.
  uint64_t relay_id = 0;
};

struct RelayResponse {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  // True if no byte of the request was sent to any target.
  bool not_run = false;
};

// Receives the response or an error. kUnavailable: the relay request was not
// sent. kUnknownOutcome: the link failed or the deadline passed when the
// request may have been sent.
using RelayCallback = std::function<void(Result<RelayResponse>)>;

// A range of configuration deltas, encoded by FleetConfig.
struct ConfigDelta {
  uint64_t from_revision = 0;
  uint64_t to_revision = 0;
  std::string payload;
};

// Receives the messages of peers; implemented by the daemon. Called from the
// peer threads; implementations must not block.
class PeerHandler {
 public:
  virtual ~PeerHandler() = default;
  virtual PeerDigest LocalDigest() = 0;
  virtual void OnDigest(const PeerDigest& digest) = 0;
  // Runs a peer's request. Calls `done` exactly once, from any thread.
  virtual void OnRelay(const EntryId& from,
                       RelayRequest request,
                       std::function<void(RelayResponse)> done) = 0;
  virtual void OnRelayCancelled(const EntryId& from, uint64_t relay_id) = 0;
  virtual void OnConfigDelta(const EntryId& from, const ConfigDelta& delta) = 0;
  // Returns the deltas after `revision`, or the whole configuration with
  // from_revision 0.
  virtual ConfigDelta OnConfigPull(uint64_t revision) = 0;
};

// Sends messages between daemons. Thread-safe; no method blocks.
class PeerService {
 public:
  virtual ~PeerService() = default;

  // Sends a request to a peer and calls `done` exactly once. Returns an id for
  // CancelRelay.
  virtual uint64_t Relay(const EntryId& to,
                         RelayRequest request,
                         RelayCallback done) = 0;
  virtual void CancelRelay(uint64_t relay_id) = 0;

  // Sends a new delta to a few peers immediately; gossip reaches the others.
  virtual void PushConfig(const ConfigDelta& delta) = 0;

  // Returns the known peers by entry id, without this daemon.
  virtual std::map<EntryId, PeerView> Peers() const = 0;
};

}  // namespace figflow

#endif  // PEER_PEER_SERVICE_H_
