#include "Fleet/peer_health.h"

#include <chrono>

namespace figflow {
namespace {

// An answer proves the way there for this long: a cut that begins later puts
// the calls of this time in doubt, a shorter time costs more pings.
constexpr std::chrono::milliseconds kProof{1'000};
// Time until a silent daemon is asked again; cuts last some seconds.
constexpr std::chrono::milliseconds kSilentTime{400};
// A store that is back is noticed this late at most. Longer than a ping takes
// that is not answered.
constexpr std::chrono::milliseconds kSurveyInterval{400};

}  // namespace

bool PeerHealth::OnAnswer(const std::string& address, MonoTime now) {
  absl::MutexLock lock(&mutex_);
  Peer& peer = peers_[address];
  const bool was_silent = peer.silent_at > peer.answered_at;
  peer.answered_at = now;
  return was_silent;
}

bool PeerHealth::OnSilence(const std::string& address, MonoTime now) {
  absl::MutexLock lock(&mutex_);
  Peer& peer = peers_[address];
  const bool was_silent = peer.silent_at > peer.answered_at;
  peer.silent_at = now;
  return !was_silent;
}

void PeerHealth::OnStoreTold(const std::string& address,
                             bool store_answers,
                             MonoTime now) {
  absl::MutexLock lock(&mutex_);
  peers_[address].store_answered_at = store_answers ? now : MonoTime::min();
}

PeerHealth::State PeerHealth::StateOf(const std::string& address,
                                      MonoTime now) const {
  absl::MutexLock lock(&mutex_);
  const auto known = peers_.find(address);
  if (known == peers_.end()) {
    return State::kUnknown;
  }
  const Peer& peer = known->second;
  if (peer.silent_at > peer.answered_at) {
    return now < peer.silent_at + kSilentTime ? State::kSilent
                                              : State::kUnknown;
  }
  return now < peer.answered_at + kProof ? State::kAnswers : State::kUnknown;
}

std::optional<MonoTime::duration> PeerHealth::AnswerAge(
    const std::string& address,
    MonoTime now) const {
  absl::MutexLock lock(&mutex_);
  const auto known = peers_.find(address);
  if (known == peers_.end() || known->second.answered_at == MonoTime::min()) {
    return std::nullopt;
  }
  return now - known->second.answered_at;
}

bool PeerHealth::StoreAnswers(const std::string& address, MonoTime now) const {
  absl::MutexLock lock(&mutex_);
  const auto known = peers_.find(address);
  return known != peers_.end() &&
         now < known->second.store_answered_at + kProof;
}

bool PeerHealth::BeginSurvey(int peers, MonoTime now) {
  absl::MutexLock lock(&mutex_);
  if (now < next_survey_ || pings_left_ > 0) {
    return false;
  }
  next_survey_ = now + kSurveyInterval;
  pings_left_ = peers;
  return true;
}

void PeerHealth::OnSurveyPingEnded() {
  absl::MutexLock lock(&mutex_);
  --pings_left_;
}

bool PeerHealth::SurveyOpen() const {
  absl::MutexLock lock(&mutex_);
  return pings_left_ > 0;
}

}  // namespace figflow
