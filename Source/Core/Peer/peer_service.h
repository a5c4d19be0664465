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

// Summary of one daemon's state, sent in each gossip round.
struct PeerDigest {
  EntryId entry;
  // Grows with each start of the daemon (milliseconds since the epoch).
  uint64_t incarnation = 0;
  DataCentreId data_centre;
  // "ip:port" of the peer listener.
  std::string address;
  uint64_t config_revision = 0;
  bool stopping = false;
  // Free slots by pool.
  std::vector<std::pair<PoolId, int>> free_slots;
  // Instance id and boot number of targets seen leaving.
  std::vector<std::pair<InstanceId, uint64_t>> leaving;
};

struct PeerView {
  PeerDigest digest;
  MonoTime last_seen_at;
  // Not heard of for the suspicion time; gets no relays.
  bool suspect = false;
};

// A caller's request passed on to another entry instance.
struct RelayRequest {
  ProjectId project;
  std::string method;
  std::string target;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  // Time left to the deadline when sent.
  std::chrono::milliseconds remaining{0};
  // Relays so far; a relayed request is not relayed again.
  int hops = 0;
  // Set by PeerService on receipt: the id that OnRelayCancelled names, unique
  // for one sending daemon and incarnation.
  uint64_t relay_id = 0;
};

struct RelayResponse {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  // True if no byte of the request went to any target.
  bool not_run = false;
};

// kUnavailable: the relay request certainly did not leave this process.
// kUnknownOutcome: the link failed or the time ran out after it may have left.
using RelayCallback = std::function<void(Result<RelayResponse>)>;

// A range of configuration deltas, encoded by FleetConfig.
struct ConfigDelta {
  uint64_t from_revision = 0;
  uint64_t to_revision = 0;
  std::string payload;
};

// Implemented by the daemon; called from the peer threads, must not block.
class PeerHandler {
 public:
  virtual ~PeerHandler() = default;
  virtual PeerDigest LocalDigest() = 0;
  virtual void OnDigest(const PeerDigest& digest) = 0;
  // Calls `done` exactly once, from any thread.
  virtual void OnRelay(const EntryId& from,
                       RelayRequest request,
                       std::function<void(RelayResponse)> done) = 0;
  virtual void OnRelayCancelled(const EntryId& from, uint64_t relay_id) = 0;
  virtual void OnConfigDelta(const EntryId& from, const ConfigDelta& delta) = 0;
  // Deltas after `revision`, or the whole configuration with from_revision 0.
  virtual ConfigDelta OnConfigPull(uint64_t revision) = 0;
};

// Messages between daemons. Thread-safe; no call blocks.
class PeerService {
 public:
  virtual ~PeerService() = default;

  // Returns an id for CancelRelay. Calls `done` exactly once.
  virtual uint64_t Relay(const EntryId& to,
                         RelayRequest request,
                         RelayCallback done) = 0;
  virtual void CancelRelay(uint64_t relay_id) = 0;

  // Sends a new delta to a few peers at once.
  virtual void PushConfig(const ConfigDelta& delta) = 0;

  // Known peers by id, without this daemon.
  virtual std::map<EntryId, PeerView> Peers() const = 0;
};

}  // namespace figflow

#endif  // PEER_PEER_SERVICE_H_
