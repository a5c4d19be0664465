#ifndef DAEMON_PEER_BRIDGE_H_
#define DAEMON_PEER_BRIDGE_H_

#include <atomic>
#include <functional>
#include <string>

#include "Common/clock.h"
#include "FleetConfig/config_store.h"
#include "Peer/peer_service.h"
#include "Requests/request_service.h"
#include "Routing/dispatcher.h"

namespace figflow {

// Connects the inner protocol with the rest of the daemon.
class PeerBridge : public PeerHandler {
 public:
  struct Identity {
    EntryId entry;
    uint64_t incarnation = 0;
    DataCentreId data_centre;
    // "ip:port" of the peer listener.
    std::string address;
  };

  // All references must outlive this object.
  PeerBridge(Identity identity,
             const Clock& clock,
             Dispatcher& dispatcher,
             ConfigStore& config);

  // Relays are refused as not run until the service is set.
  void SetRequests(RequestService* requests) { requests_ = requests; }
  void SetStopping() { stopping_ = true; }

  PeerDigest LocalDigest() override;
  void OnDigest(const PeerDigest& digest) override;
  void OnRelay(const EntryId& from,
               RelayRequest request,
               std::function<void(RelayResponse)> done) override;
  void OnRelayCancelled(const EntryId& from, uint64_t relay_id) override;
  void OnConfigDelta(const EntryId& from, const ConfigDelta& delta) override;
  ConfigDelta OnConfigPull(uint64_t revision) override;

 private:
  const Identity identity_;
  const Clock& clock_;
  Dispatcher& dispatcher_;
  ConfigStore& config_;
  std::atomic<RequestService*> requests_{nullptr};
  std::atomic<bool> stopping_{false};
};

}  // namespace figflow

#endif  // DAEMON_PEER_BRIDGE_H_
