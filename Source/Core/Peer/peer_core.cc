#include "Peer/peer_core.h"

#include <algorithm>
#include <utility>

#include "Common/log.h"
#include "absl/strings/str_cat.h"
#include "absl/time/time.h"

namespace figflow {
namespace {

constexpr uint16_t kFirstRefusalCode = 4000;
// Several digests with the same higher revision arrive within one round.
constexpr std::chrono::milliseconds kPullPause{500};
// Peers that a new delta is pushed to at once; gossip reaches the others.
constexpr size_t kPushPeers = 3;
// Longer than the close handshake's time bound.
constexpr std::chrono::milliseconds kCloseWait{1'500};

}  // namespace

PeerCore::PeerCore(PeerNodeSettings settings,
                   PeerHandler* handler,
                   const Clock* clock,
                   MetricsRegistry* metrics)
    : settings_(std::move(settings)),
      handler_(handler),
      clock_(clock),
      counters_(metrics),
      relays_(settings_.incarnation, settings_.max_relays_per_peer),
      served_(settings_.max_relays_per_peer),
      random_(std::random_device{}()),
      membership_(settings_.entry, settings_.incarnation, settings_.membership),
      links_(settings_.entry),
      transport_(settings_.transport, this) {}

Result<void> PeerCore::Start() {
  Result<void> started = transport_.Start();
  if (started) {
    transport_.After(std::chrono::nanoseconds(0), [this] { Tick(); });
  }
  return started;
}

void PeerCore::Stop(std::chrono::milliseconds grace) {
  {
    absl::MutexLock lock(&mutex_);
    if (stopped_) {
      return;
    }
    stopped_ = true;
  }
  stopping_ = true;
  const MonoTime deadline = clock_->Now() + grace;
  transport_.StopAccepting();
  if (grace.count() > 0) {
    SendDigest(GreetedLinks(), LocalDigest());
    served_.AwaitNone(deadline, clock_->Now());
    relays_.AwaitNone(deadline, clock_->Now());
  }
  {
    absl::MutexLock lock(&mutex_);
    for (const auto& [link, info] : links_.links()) {
      transport_.Close(link, LinkCloseCode::kGoingAway, "stopping");
    }
    const auto none = [this] {
      mutex_.AssertHeld();
      return links_.links().empty();
    };
    mutex_.AwaitWithTimeout(absl::Condition(&none),
                            absl::FromChrono(kCloseWait));
  }
  transport_.Stop();
  // Only now can no request leave any more.
  relays_.FailAll("this daemon has stopped");
}

PeerHint PeerCore::Self() const {
  return PeerHint{
      settings_.entry, settings_.incarnation, settings_.data_centre,
      settings_.advertise.empty() ? transport_.address() : settings_.advertise};
}

void PeerCore::Send(LinkId link, const PeerMessage& message) {
  SendToAll({link}, message);
}

void PeerCore::SendToAll(const std::vector<LinkId>& links,
                         const PeerMessage& message) {
  if (links.empty()) {
    return;
  }
  const Result<std::string> payload = FormatPeerMessage(message);
  if (!payload) {
    counters_.oversized.Add();
    LogEvent(LogLevel::kError, LogCategory::kPeer, "message_too_large",
             {{"error", ToString(payload.error())}});
    return;
  }
  for (const LinkId link : links) {
    transport_.Send(link, OutgoingMessage{*payload, false, nullptr, nullptr});
  }
}

void PeerCore::Reject(LinkId link,
                      Counter& counter,
                      LinkCloseCode code,
                      const std::string& reason) {
  counter.Add();
  transport_.Close(link, code, reason);
}

void PeerCore::OnLinkOpen(LinkId link, const std::string& address) {
  HelloMessage hello;
  hello.self = Self();
  {
    absl::MutexLock lock(&mutex_);
    const MonoTime now = clock_->Now();
    links_.Open(link, address, now);
    hello.peers =
        membership_.Hints(settings_.membership.max_beats, now, random_);
  }
  Send(link, hello);
}

void PeerCore::OnLinkMessage(LinkId link,
                             std::string payload,
                             size_t wire_bytes) {
  Result<PeerMessage> message = ParsePeerMessage(payload);
  if (!message) {
    const bool malformed = message.error().code == ErrorCode::kInvalid;
    Reject(
        link, malformed ? counters_.malformed : counters_.unknown_version,
        malformed ? LinkCloseCode::kMalformed : LinkCloseCode::kUnknownVersion,
        message.error().message);
    return;
  }
  const bool relay = std::holds_alternative<RelayRequestMessage>(*message) ||
                     std::holds_alternative<RelayAnswerMessage>(*message);
  (relay ? counters_.relay_received : counters_.control_received)
      .Add(wire_bytes);
  const auto* hello = std::get_if<HelloMessage>(&*message);
  EntryId from;
  bool greeted = false;
  {
    absl::MutexLock lock(&mutex_);
    LinkInfo* info = links_.Find(link);
    if (info == nullptr) {
      return;
    }
    info->received_at = clock_->Now();
    greeted = info->greeted;
    from = greeted ? info->peer
                   : (hello != nullptr ? hello->self.entry : EntryId());
    PeerTraffic& traffic = traffic_[from];
    (relay ? traffic.relay_received : traffic.control_received) += wire_bytes;
  }
  if (greeted == (hello != nullptr)) {
    Reject(link, counters_.unexpected, LinkCloseCode::kUnexpected,
           greeted ? "second hello" : "message before hello");
    return;
  }
  std::visit([&](const auto& typed) { On(link, from, typed); }, *message);
}

void PeerCore::OnLinkSent(LinkId link, bool relay, size_t wire_bytes) {
  (relay ? counters_.relay_sent : counters_.control_sent).Add(wire_bytes);
  absl::MutexLock lock(&mutex_);
  const LinkInfo* info = links_.Find(link);
  if (info != nullptr) {
    PeerTraffic& traffic = traffic_[info->peer];
    (relay ? traffic.relay_sent : traffic.control_sent) += wire_bytes;
  }
}

void PeerCore::OnLinkAlive(LinkId link) {
  absl::MutexLock lock(&mutex_);
  LinkInfo* info = links_.Find(link);
  if (info != nullptr) {
    info->received_at = clock_->Now();
  }
}

void PeerCore::OnLinkClosed(LinkId link, const LinkClosed& closed) {
  if (closed.local_code == static_cast<uint16_t>(LinkCloseCode::kTooBig)) {
    counters_.oversized.Add();
  }
  LinkInfo info;
  {
    absl::MutexLock lock(&mutex_);
    info = links_.Close(link);
    // A peer that refuses this daemon refuses it again at once.
    const bool useful = info.greeted && closed.remote_code < kFirstRefusalCode;
    if (!info.dialled.empty()) {
      dials_.OnEnded(info.dialled, useful, clock_->Now(), random_);
    }
    if (closed.remote_code ==
        static_cast<uint16_t>(LinkCloseCode::kStaleIncarnation)) {
      membership_.MarkSuperseded();
    }
  }
  relays_.FailLink(link, absl::StrCat("the link closed: ", closed.reason));
  for (const uint64_t id : served_.DropLink(link)) {
    handler_->OnRelayCancelled(info.peer, id);
  }
}

void PeerCore::OnDialFailed(const std::string& address,
                            bool refused,
                            const std::string& reason) {
  counters_.dials_failed.Add();
  if (refused) {
    LogEvent(LogLevel::kError, LogCategory::kPeer, "credential_refused",
             {{"peer", address}, {"reason", reason}});
  }
  absl::MutexLock lock(&mutex_);
  dials_.OnEnded(address, false, clock_->Now(), random_);
}

void PeerCore::OnCredentialRefused() {
  counters_.credential_refused.Add();
}

void PeerCore::On(LinkId link,
                  const EntryId& /*from*/,
                  const HelloMessage& message) {
  HeardResult heard = HeardResult::kKnown;
  std::vector<LinkId> outdated;
  {
    absl::MutexLock lock(&mutex_);
    const MonoTime now = clock_->Now();
    heard = membership_.OnHello(message.self, now);
    LinkInfo* info = links_.Find(link);
    if (info == nullptr) {
      return;
    }
    if (heard == HeardResult::kSelf && !info->dialled.empty()) {
      dials_.Exclude(info->dialled);
    }
    if (heard != HeardResult::kSelf && heard != HeardResult::kStale) {
      outdated = links_.OnHello(link, message.self, now);
      if (!info->dialled.empty()) {
        dialled_peers_[info->dialled] = message.self.entry;
      }
      for (const PeerHint& hint : message.peers) {
        membership_.OnHint(hint, now);
      }
    }
  }
  if (heard == HeardResult::kSelf) {
    transport_.Close(link, LinkCloseCode::kSelf, "own address");
    return;
  }
  if (heard == HeardResult::kStale) {
    Reject(link, counters_.stale_incarnation, LinkCloseCode::kStaleIncarnation,
           "a newer incarnation of this entry is known");
    return;
  }
  for (const LinkId old : outdated) {
    Reject(old, counters_.stale_incarnation, LinkCloseCode::kStaleIncarnation,
           "a newer incarnation of this entry has connected");
  }
  if (heard != HeardResult::kKnown) {
    LogEvent(LogLevel::kInfo, LogCategory::kPeer, "peer_joined",
             {{"peer", message.self.entry.value()},
              {"incarnation", absl::StrCat(message.self.incarnation)},
              {"address", message.self.address}});
  }
  SendDigest({link}, LocalDigest());
}

void PeerCore::On(LinkId link,
                  const EntryId& from,
                  const DigestMessage& message) {
  if (message.digest.entry != from) {
    Reject(link, counters_.unexpected, LinkCloseCode::kUnexpected,
           "digest of another entry");
    return;
  }
  HeardResult heard = HeardResult::kKnown;
  PeerDigest merged;
  {
    absl::MutexLock lock(&mutex_);
    const MonoTime now = clock_->Now();
    heard = membership_.OnDigest(message, now);
    membership_.OnBeats(message.beats, now);
    for (const PeerHint& hint : message.peers) {
      membership_.OnHint(hint, now);
    }
    const PeerDigest* known = membership_.Find(from);
    merged = known == nullptr ? message.digest : *known;
  }
  if (heard == HeardResult::kStale) {
    Reject(link, counters_.stale_incarnation, LinkCloseCode::kStaleIncarnation,
           "a newer incarnation of this entry is known");
    return;
  }
  handler_->OnDigest(merged);
  MaybePull(link, merged.config_revision);
}

void PeerCore::MaybePull(LinkId link, uint64_t revision) {
  const uint64_t own = handler_->LocalDigest().config_revision;
  if (revision <= own) {
    return;
  }
  {
    absl::MutexLock lock(&mutex_);
    const MonoTime now = clock_->Now();
    if (revision <= pulled_revision_ && now - pulled_at_ < kPullPause) {
      return;
    }
    pulled_revision_ = revision;
    pulled_at_ = now;
  }
  Send(link, ConfigPullMessage{own});
}

void PeerCore::On(LinkId link,
                  const EntryId& /*from*/,
                  const ConfigPullMessage& message) {
  Send(link, ConfigDeltaMessage{handler_->OnConfigPull(message.revision)});
}

void PeerCore::On(LinkId /*link*/,
                  const EntryId& from,
                  const ConfigDeltaMessage& message) {
  handler_->OnConfigDelta(from, message.delta);
}

void PeerCore::On(LinkId /*link*/,
                  const EntryId& from,
                  const LeavingMessage& message) {
  PeerDigest digest;
  {
    absl::MutexLock lock(&mutex_);
    const PeerDigest* known = membership_.Find(from);
    if (known == nullptr) {
      return;
    }
    digest = *known;
  }
  digest.leaving = message.leaving;
  handler_->OnDigest(digest);
}

void PeerCore::PushConfig(const ConfigDelta& delta) {
  std::vector<LinkId> targets = GreetedLinks();
  {
    absl::MutexLock lock(&mutex_);
    std::shuffle(targets.begin(), targets.end(), random_);
  }
  targets.resize(std::min(targets.size(), kPushPeers));
  SendToAll(targets, ConfigDeltaMessage{delta});
}

std::map<EntryId, PeerView> PeerCore::Peers() const {
  absl::MutexLock lock(&mutex_);
  return membership_.Views(clock_->Now());
}

std::map<EntryId, PeerTraffic> PeerCore::Traffic() const {
  absl::MutexLock lock(&mutex_);
  return traffic_;
}

bool PeerCore::superseded() const {
  absl::MutexLock lock(&mutex_);
  return membership_.superseded();
}

}  // namespace figflow
