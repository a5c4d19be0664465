#include "Fleet/peer_health.h"

#include <chrono>

namespace figflow {
namespace {

// How long a response counts as proof that a peer is reachable. The outcome of
// calls sent within this time is unknown if a network partition begins after
// the response; a shorter time costs more pings.
constexpr std::chrono::milliseconds kResponseValidity{1'000};
// Time until an unresponsive daemon is tried again. Network partitions last
// some seconds.
constexpr std::chrono::milliseconds kUnresponsiveTime{400};
// Maximum delay until a store that is available again is noticed. Longer than
// the timeout of a ping.
constexpr std::chrono::milliseconds kPingRoundInterval{400};

}  // namespace

bool PeerHealth::OnResponse(const std::string& address, MonoTime now) {
  absl::MutexLock lock(&mutex_);
  Peer& peer = peers_[address];
  const bool was_unresponsive = peer.failed_at > peer.responded_at;
  peer.responded_at = now;
  return was_unresponsive;
}

bool PeerHealth::OnRequestFailed(const std::string& address, MonoTime now) {
  absl::MutexLock lock(&mutex_);
  Peer& peer = peers_[address];
  const bool was_unresponsive = peer.failed_at > peer.responded_at;
  peer.failed_at = now;
  return !was_unresponsive;
}

void PeerHealth::OnStoreStateReported(const std::string& address,
                                      bool store_reachable,
                                      MonoTime now) {
  absl::MutexLock lock(&mutex_);
  peers_[address].store_reachable_at = store_reachable ? now : MonoTime::min();
}

PeerHealth::State PeerHealth::StateOf(const std::string& address,
                                      MonoTime now) const {
  absl::MutexLock lock(&mutex_);
  const auto known = peers_.find(address);
  if (known == peers_.end()) {
    return State::kUnknown;
  }
  const Peer& peer = known->second;
  if (peer.failed_at > peer.responded_at) {
    return now < peer.failed_at + kUnresponsiveTime ? State::kUnresponsive
                                                    : State::kUnknown;
  }
  return now < peer.responded_at + kResponseValidity ? State::kResponsive
                                                     : State::kUnknown;
}

std::optional<MonoTime::duration> PeerHealth::TimeSinceResponse(
    const std::string& address,
    MonoTime now) const {
  absl::MutexLock lock(&mutex_);
  const auto known = peers_.find(address);
  if (known == peers_.end() || known->second.responded_at == MonoTime::min()) {
    return std::nullopt;
  }
  return now - known->second.responded_at;
}

bool PeerHealth::HasStoreAccess(const std::string& address,
                                MonoTime now) const {
  absl::MutexLock lock(&mutex_);
  const auto known = peers_.find(address);
  return known != peers_.end() &&
         now < known->second.store_reachable_at + kResponseValidity;
}

bool PeerHealth::StartPingRound(int peers, MonoTime now) {
  absl::MutexLock lock(&mutex_);
  if (now < next_ping_round_ || pending_pings_ > 0) {
    return false;
  }
  next_ping_round_ = now + kPingRoundInterval;
  pending_pings_ = peers;
  return true;
}

void PeerHealth::OnPingFinished() {
  absl::MutexLock lock(&mutex_);
  --pending_pings_;
}

bool PeerHealth::PingRoundActive() const {
  absl::MutexLock lock(&mutex_);
  return pending_pings_ > 0;
}

}  // namespace figflow
