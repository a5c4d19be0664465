#include "Daemon/peer_bridge.h"

#include <utility>

namespace figflow {

PeerBridge::PeerBridge(Identity identity,
                       const Clock& clock,
                       Dispatcher& dispatcher,
                       ConfigStore& config)
    : identity_(std::move(identity)),
      clock_(clock),
      dispatcher_(dispatcher),
      config_(config) {}

PeerDigest PeerBridge::LocalDigest() {
  PeerDigest digest;
  digest.entry = identity_.entry;
  digest.incarnation = identity_.incarnation;
  digest.data_centre = identity_.data_centre;
  digest.address = identity_.address;
  digest.config_revision = config_.InForce()->revision;
  digest.stopping = stopping_;
  digest.free_slots = dispatcher_.FreeSlots();
  for (const LeavingTarget& mark :
       dispatcher_.RecentLeavingTargets(clock_.Now())) {
    digest.leaving.emplace_back(mark.target, mark.boot);
  }
  return digest;
}

void PeerBridge::OnDigest(const PeerDigest& digest) {
  for (const auto& [target, boot] : digest.leaving) {
    dispatcher_.MarkLeaving(LeavingTarget{target, boot}, clock_.Now());
  }
}

void PeerBridge::OnRelay(const EntryId& from,
                         RelayRequest request,
                         std::function<void(RelayResponse)> done) {
  RequestService* requests = requests_;
  if (requests == nullptr) {
    RelayResponse refused;
    refused.status = 503;
    refused.not_run = true;
    done(std::move(refused));
    return;
  }
  requests->HandleRelay(from, std::move(request), std::move(done));
}

void PeerBridge::OnRelayCancelled(const EntryId& from, uint64_t relay_id) {
  if (RequestService* requests = requests_; requests != nullptr) {
    requests->HandleRelayCancelled(from, relay_id);
  }
}

void PeerBridge::OnConfigDelta(const EntryId& /*from*/,
                               const ConfigDelta& delta) {
  // A gap needs no action here: the next digest shows the peer's revision and
  // the missing range is pulled.
  config_.OnDelta(delta);
}

ConfigDelta PeerBridge::OnConfigPull(uint64_t revision) {
  return config_.Pull(revision);
}

}  // namespace figflow
