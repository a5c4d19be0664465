#include "Peer/peer_core.h"

#include <algorithm>
#include <utility>

#include "Common/log.h"
#include "absl/strings/str_cat.h"
#include "absl/time/time.h"

namespace figflow {
namespace {

constexpr uint16_t kMinApplicationCloseCode = 4000;
// Several digests with the same newer revision arrive within one gossip round;
// they cause one pull.
constexpr std::chrono::milliseconds kMinPullInterval{500};
// Number of peers that a new delta is pushed to immediately; gossip reaches the
// others.
constexpr size_t kConfigPushFanout = 3;
// Exceeds the timeout of the close handshake, which is 1 s.
constexpr std::chrono::milliseconds kCloseTimeout{1'500};

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
      served_relays_(settings_.max_relays_per_peer),
      random_(std::random_device{}()),
      membership_(settings_.entry, settings_.incarnation, settings_.membership),
      links_(settings_.entry),
      transport_(settings_.transport, this) {}

Result<void> PeerCore::Start() {
  Result<void> started = transport_.Start();
  if (started) {
    transport_.PostDelayedTask(std::chrono::nanoseconds(0),
                               [this] { RunGossipRound(); });
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
    SendDigest(EstablishedLinks(), LocalDigest());
    served_relays_.WaitUntilEmpty(deadline, clock_->Now());
    relays_.WaitUntilEmpty(deadline, clock_->Now());
  }
  {
    absl::MutexLock lock(&mutex_);
    for (const auto& [link, info] : links_.links()) {
      transport_.Close(link, LinkCloseCode::kGoingAway, "stopping");
    }
    const auto no_links = [this] {
      mutex_.AssertHeld();
      return links_.links().empty();
    };
    mutex_.AwaitWithTimeout(absl::Condition(&no_links),
                            absl::FromChrono(kCloseTimeout));
  }
  transport_.Stop();
  // After the transport has stopped, no request can be sent any more.
  relays_.FailAll("this daemon has stopped");
}

PeerEndpoint PeerCore::LocalEndpoint() const {
  return PeerEndpoint{
      settings_.entry, settings_.incarnation, settings_.data_centre,
      settings_.advertised_address.empty() ? transport_.address()
                                           : settings_.advertised_address};
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

void PeerCore::RejectLink(LinkId link,
                          Counter& counter,
                          LinkCloseCode code,
                          const std::string& reason) {
  counter.Add();
  transport_.Close(link, code, reason);
}

void PeerCore::OnLinkOpened(LinkId link, const std::string& address) {
  HelloMessage hello;
  hello.self = LocalEndpoint();
  {
    absl::MutexLock lock(&mutex_);
    const MonoTime now = clock_->Now();
    links_.AddLink(link, address, now);
    hello.peers = membership_.SampleLivePeers(
        settings_.membership.max_heartbeats, now, random_);
  }
  Send(link, hello);
}

void PeerCore::OnLinkMessage(LinkId link,
                             std::string payload,
                             size_t wire_bytes) {
  Result<PeerMessage> message = ParsePeerMessage(payload);
  if (!message) {
    const bool malformed = message.error().code == ErrorCode::kInvalid;
    RejectLink(
        link, malformed ? counters_.malformed : counters_.unknown_version,
        malformed ? LinkCloseCode::kMalformed : LinkCloseCode::kUnknownVersion,
        message.error().message);
    return;
  }
  const bool is_relay = std::holds_alternative<RelayRequestMessage>(*message) ||
                        std::holds_alternative<RelayResponseMessage>(*message);
  (is_relay ? counters_.relay_received : counters_.control_received)
      .Add(wire_bytes);
  const auto* hello = std::get_if<HelloMessage>(&*message);
  EntryId from;
  bool hello_received = false;
  {
    absl::MutexLock lock(&mutex_);
    LinkInfo* info = links_.Find(link);
    if (info == nullptr) {
      return;
    }
    info->received_at = clock_->Now();
    hello_received = info->hello_received;
    from = hello_received ? info->peer
                          : (hello != nullptr ? hello->self.entry : EntryId());
    PeerTraffic& traffic = traffic_[from];
    (is_relay ? traffic.relay_received : traffic.control_received) +=
        wire_bytes;
  }
  if (hello_received == (hello != nullptr)) {
    RejectLink(link, counters_.unexpected, LinkCloseCode::kUnexpected,
               hello_received ? "second hello" : "message before hello");
    return;
  }
  std::visit([&](const auto& typed) { HandleMessage(link, from, typed); },
             *message);
}

void PeerCore::OnLinkSent(LinkId link, bool is_relay, size_t wire_bytes) {
  (is_relay ? counters_.relay_sent : counters_.control_sent).Add(wire_bytes);
  absl::MutexLock lock(&mutex_);
  const LinkInfo* info = links_.Find(link);
  if (info != nullptr) {
    PeerTraffic& traffic = traffic_[info->peer];
    (is_relay ? traffic.relay_sent : traffic.control_sent) += wire_bytes;
  }
}

void PeerCore::OnLinkControlFrame(LinkId link) {
  absl::MutexLock lock(&mutex_);
  LinkInfo* info = links_.Find(link);
  if (info != nullptr) {
    info->received_at = clock_->Now();
  }
}

void PeerCore::OnLinkClosed(LinkId link, const LinkCloseInfo& closed) {
  if (closed.local_code == static_cast<uint16_t>(LinkCloseCode::kTooBig)) {
    counters_.oversized.Add();
  }
  LinkInfo info;
  {
    absl::MutexLock lock(&mutex_);
    info = links_.RemoveLink(link);
    // A peer that rejects this daemon would reject it again immediately, so the
    // backoff is not reset.
    const bool established =
        info.hello_received && closed.remote_code < kMinApplicationCloseCode;
    if (!info.dialled_address.empty()) {
      dial_schedule_.OnLinkEnded(info.dialled_address, established,
                                 clock_->Now(), random_);
    }
    if (closed.remote_code ==
        static_cast<uint16_t>(LinkCloseCode::kStaleIncarnation)) {
      membership_.MarkSuperseded();
    }
  }
  relays_.FailLink(link, absl::StrCat("the link closed: ", closed.reason));
  for (const uint64_t id : served_relays_.RemoveLink(link)) {
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
  dial_schedule_.OnLinkEnded(address, false, clock_->Now(), random_);
}

void PeerCore::OnCredentialRefused() {
  counters_.credential_refused.Add();
}

void PeerCore::HandleMessage(LinkId link,
                             const EntryId& /*from*/,
                             const HelloMessage& message) {
  PeerUpdateResult update_result = PeerUpdateResult::kKnown;
  std::vector<LinkId> stale_links;
  {
    absl::MutexLock lock(&mutex_);
    const MonoTime now = clock_->Now();
    update_result = membership_.OnHello(message.self, now);
    LinkInfo* info = links_.Find(link);
    if (info == nullptr) {
      return;
    }
    if (update_result == PeerUpdateResult::kSelf &&
        !info->dialled_address.empty()) {
      dial_schedule_.ExcludeAddress(info->dialled_address);
    }
    if (update_result != PeerUpdateResult::kSelf &&
        update_result != PeerUpdateResult::kStale) {
      stale_links = links_.OnHello(link, message.self, now);
      if (!info->dialled_address.empty()) {
        dialled_peers_[info->dialled_address] = message.self.entry;
      }
      for (const PeerEndpoint& peer : message.peers) {
        membership_.OnPeerAdvertised(peer, now);
      }
    }
  }
  if (update_result == PeerUpdateResult::kSelf) {
    transport_.Close(link, LinkCloseCode::kSelf, "own address");
    return;
  }
  if (update_result == PeerUpdateResult::kStale) {
    RejectLink(link, counters_.stale_incarnation,
               LinkCloseCode::kStaleIncarnation,
               "a newer incarnation of this entry is known");
    return;
  }
  for (const LinkId stale_link : stale_links) {
    RejectLink(stale_link, counters_.stale_incarnation,
               LinkCloseCode::kStaleIncarnation,
               "a newer incarnation of this entry has connected");
  }
  if (update_result != PeerUpdateResult::kKnown) {
    LogEvent(LogLevel::kInfo, LogCategory::kPeer, "peer_joined",
             {{"peer", message.self.entry.value()},
              {"incarnation", absl::StrCat(message.self.incarnation)},
              {"address", message.self.address}});
  }
  SendDigest({link}, LocalDigest());
}

void PeerCore::HandleMessage(LinkId link,
                             const EntryId& from,
                             const DigestMessage& message) {
  if (message.digest.entry != from) {
    RejectLink(link, counters_.unexpected, LinkCloseCode::kUnexpected,
               "digest of another entry");
    return;
  }
  PeerUpdateResult update_result = PeerUpdateResult::kKnown;
  PeerDigest merged;
  {
    absl::MutexLock lock(&mutex_);
    const MonoTime now = clock_->Now();
    update_result = membership_.OnDigest(message, now);
    membership_.OnHeartbeats(message.heartbeats, now);
    for (const PeerEndpoint& peer : message.peers) {
      membership_.OnPeerAdvertised(peer, now);
    }
    const PeerDigest* known = membership_.Find(from);
    merged = known == nullptr ? message.digest : *known;
  }
  if (update_result == PeerUpdateResult::kStale) {
    RejectLink(link, counters_.stale_incarnation,
               LinkCloseCode::kStaleIncarnation,
               "a newer incarnation of this entry is known");
    return;
  }
  handler_->OnDigest(merged);
  PullConfigIfNewer(link, merged.config_revision);
}

void PeerCore::PullConfigIfNewer(LinkId link, uint64_t revision) {
  const uint64_t local_revision = handler_->LocalDigest().config_revision;
  if (revision <= local_revision) {
    return;
  }
  {
    absl::MutexLock lock(&mutex_);
    const MonoTime now = clock_->Now();
    if (revision <= last_pulled_revision_ &&
        now - last_pulled_at_ < kMinPullInterval) {
      return;
    }
    last_pulled_revision_ = revision;
    last_pulled_at_ = now;
  }
  Send(link, ConfigPullMessage{local_revision});
}

void PeerCore::HandleMessage(LinkId link,
                             const EntryId& /*from*/,
                             const ConfigPullMessage& message) {
  Send(link, ConfigDeltaMessage{handler_->OnConfigPull(message.revision)});
}

void PeerCore::HandleMessage(LinkId /*link*/,
                             const EntryId& from,
                             const ConfigDeltaMessage& message) {
  handler_->OnConfigDelta(from, message.delta);
}

void PeerCore::HandleMessage(LinkId /*link*/,
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
  std::vector<LinkId> links = EstablishedLinks();
  {
    absl::MutexLock lock(&mutex_);
    std::shuffle(links.begin(), links.end(), random_);
  }
  links.resize(std::min(links.size(), kConfigPushFanout));
  SendToAll(links, ConfigDeltaMessage{delta});
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
