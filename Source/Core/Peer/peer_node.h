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
  // Start time of the daemon in milliseconds since the epoch.
  uint64_t incarnation = 0;
  DataCentreId data_centre;
  // Address that peers dial; if empty, the address of the listener.
  std::string advertised_address;
  // Initial peers as "ip:port". Each is dialled again, with backoff, while no
  // link to it is open.
  std::vector<std::string> seeds;
  PeerTransportSettings transport;
  MembershipSettings membership;
  std::chrono::milliseconds gossip_interval{1'000};
  // Bounds the relays in flight to one peer and those served on one link.
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

// Exchanges gossip, configuration deltas and relays with peers over WebSocket
// links.
class PeerNode : public PeerService {
 public:
  // `handler`, `clock` and `metrics` must outlive the node. The handler may
  // call its relay callbacks after the node is destroyed; they have no effect
  // then.
  PeerNode(PeerNodeSettings settings,
           PeerHandler* handler,
           const Clock* clock,
           MetricsRegistry* metrics);
  // Stops without a grace period.
  ~PeerNode() override;

  Result<void> Start();
  // Announces that this daemon stops, rejects new relays as not run, waits for
  // at most `grace` until the relays in both directions have completed, and
  // closes all links. Must not be called from a callback.
  void Stop(std::chrono::milliseconds grace);

  // Returns the "ip:port" of the listener; valid after Start.
  const std::string& address() const;

  uint64_t Relay(const EntryId& to,
                 RelayRequest request,
                 RelayCallback done) override;
  // A relay that was sent still completes with its response or at its deadline,
  // because only the peer's response states whether the request was run.
  void CancelRelay(uint64_t relay_id) override;
  void PushConfig(const ConfigDelta& delta) override;
  std::map<EntryId, PeerView> Peers() const override;

  // Returns the traffic by peer; that of links before their hello has an empty
  // key.
  std::map<EntryId, PeerTraffic> Traffic() const;
  // Returns true once a newer incarnation of this entry was observed; this
  // process must then exit.
  bool superseded() const;

 private:
  // Shared with relay callbacks that the handler holds.
  std::shared_ptr<PeerCore> core_;
};

}  // namespace figflow

#endif  // PEER_PEER_NODE_H_
