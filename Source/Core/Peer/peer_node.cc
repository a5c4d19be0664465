#include "Peer/peer_node.h"

#include <utility>

#include "Peer/peer_core.h"

namespace figflow {

PeerNode::PeerNode(PeerNodeSettings settings,
                   PeerHandler* handler,
                   const Clock* clock,
                   MetricsRegistry* metrics)
    : core_(std::make_shared<PeerCore>(std::move(settings),
                                       handler,
                                       clock,
                                       metrics)) {}

PeerNode::~PeerNode() {
  core_->Stop(std::chrono::milliseconds(0));
}

Result<void> PeerNode::Start() {
  return core_->Start();
}

void PeerNode::Stop(std::chrono::milliseconds grace) {
  core_->Stop(grace);
}

const std::string& PeerNode::address() const {
  return core_->address();
}

uint64_t PeerNode::Relay(const EntryId& to,
                         RelayRequest request,
                         RelayCallback done) {
  return core_->Relay(to, std::move(request), std::move(done));
}

void PeerNode::CancelRelay(uint64_t relay_id) {
  core_->CancelRelay(relay_id);
}

void PeerNode::PushConfig(const ConfigDelta& delta) {
  core_->PushConfig(delta);
}

std::map<EntryId, PeerView> PeerNode::Peers() const {
  return core_->Peers();
}

std::map<EntryId, PeerTraffic> PeerNode::Traffic() const {
  return core_->Traffic();
}

bool PeerNode::superseded() const {
  return core_->superseded();
}

}  // namespace figflow
