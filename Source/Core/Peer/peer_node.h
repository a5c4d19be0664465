#ifndef PEER_PEER_NODE_H_
#define PEER_PEER_NODE_H_

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Common/clock.h"
#include "Common/metrics.h"
#include "Peer/membership.h"
#include "Peer/peer_service.h"
#include "Peer/peer_transport.h"

namespace figflow {

class PeerCore;

struct PeerNodeSettings {
  EntryId entry;
  // Milliseconds since the epoch at the start of the daemon.
  uint64_t incarnation = 0;
  DataCentreId data_centre;
  // Address given to peers; empty: the address of the listener.
  std::string advertised_address;
  // "ip:port" of peers to begin with. They are dialled again for as long as no
  // link to them is open.
  std::vector<std::string> seeds;
  PeerTransportSettings transport;
  MembershipSettings membership;
  std::chrono::milliseconds gossip_interval{1'000};
  size_t max_relays_per_peer = 512;
};

// Bytes on the wire, frame headers included, and their rate over the last
// gossip interval in bytes per second.
struct PeerTraffic {
  uint64_t control_sent = 0;
  uint64_t control_received = 0;
  uint64_t relay_sent = 0;
  uint64_t relay_received = 0;
  double sent_rate = 0;
  double received_rate = 0;
};

class PeerNode : public PeerService {
 public:
  // `handler`, `clock` and `metrics` must outlive the node. The handler's
  // relay callbacks may be called after the node is gone and then do nothing.
  PeerNode(PeerNodeSettings settings,
           PeerHandler* handler,
           const Clock* clock,
           MetricsRegistry* metrics);
  // Stops without grace.
  ~PeerNode() override;

  Result<void> Start();
  // Announces stopping, refuses new relays as not run, lets served and own
  // relays end for at most `grace`, and closes all links. Not to be called
  // from a callback.
  void Stop(std::chrono::milliseconds grace);

  // "ip:port" of the listener; known after Start.
  const std::string& address() const;

  uint64_t Relay(const EntryId& to,
                 RelayRequest request,
                 RelayCallback done) override;
  // A sent relay still ends by its answer or time bound: the peer tells
  // whether the request was run.
  void CancelRelay(uint64_t relay_id) override;
  void PushConfig(const ConfigDelta& delta) override;
  std::map<EntryId, PeerView> Peers() const override;

  std::map<EntryId, PeerTraffic> Traffic() const;
  // A newer incarnation of this entry was seen: this process must end.
  bool superseded() const;

 private:
  // Shared with callbacks of the handler.
  std::shared_ptr<PeerCore> core_;
};

}  // namespace figflow

#endif  // PEER_PEER_NODE_H_
