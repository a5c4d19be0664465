// The periodic part of PeerCore: gossip rounds and the care of links.
#include <algorithm>
#include <utility>

#include "Common/log.h"
#include "Peer/peer_core.h"

namespace figflow {
namespace {

// Pools and marks in one digest; more go into the following rounds.
constexpr size_t kMaxDigestPools = 24;
constexpr size_t kMaxDigestMarks = 24;
constexpr size_t kHintsPerDigest = 1;
constexpr std::chrono::seconds kHelloTimeout{5};
// A link without any traffic is probed, and closed when that has no effect: a
// cut network path closes no connection.
constexpr std::chrono::seconds kPingAfter{10};
constexpr std::chrono::seconds kSilentAfter{25};
// Messages that were under way when the link was retired have arrived by then.
constexpr std::chrono::seconds kRetiredFor{2};

}  // namespace

PeerDigest PeerCore::LocalDigest() {
  PeerDigest digest = handler_->LocalDigest();
  const PeerHint self = Self();
  digest.entry = self.entry;
  digest.incarnation = self.incarnation;
  digest.data_centre = self.data_centre;
  digest.address = self.address;
  digest.stopping = digest.stopping || stopping_;
  return digest;
}

DigestMessage PeerCore::MakeDigest(const PeerDigest& local) {
  DigestMessage message;
  message.digest = local;
  message.beat = beat_;
  if (local.leaving.size() > kMaxDigestMarks) {
    message.digest.leaving.resize(kMaxDigestMarks);
  }
  absl::MutexLock lock(&mutex_);
  if (local.free_slots.size() > kMaxDigestPools) {
    message.partial = true;
    message.digest.free_slots.clear();
    for (size_t i = 0; i < kMaxDigestPools; ++i) {
      message.digest.free_slots.push_back(
          local.free_slots[(first_pool_ + i) % local.free_slots.size()]);
    }
    first_pool_ = (first_pool_ + kMaxDigestPools) % local.free_slots.size();
  }
  const MonoTime now = clock_->Now();
  message.beats = membership_.PackBeats(now, random_);
  message.peers = membership_.Hints(kHintsPerDigest, now, random_);
  return message;
}

void PeerCore::SendDigest(const std::vector<LinkId>& links,
                          const PeerDigest& local) {
  if (!links.empty()) {
    SendToAll(links, MakeDigest(local));
  }
}

std::vector<LinkId> PeerCore::GreetedLinks() const {
  absl::MutexLock lock(&mutex_);
  std::vector<LinkId> links;
  for (const auto& [link, info] : links_.links()) {
    if (info.greeted && !info.retired) {
      links.push_back(link);
    }
  }
  return links;
}

void PeerCore::Tick() {
  ++beat_;
  const PeerDigest local = LocalDigest();
  std::set<std::pair<InstanceId, uint64_t>> leaving(local.leaving.begin(),
                                                    local.leaving.end());
  const bool new_marks =
      !std::includes(announced_leaving_.begin(), announced_leaving_.end(),
                     leaving.begin(), leaving.end());
  announced_leaving_ = std::move(leaving);

  const Round round = PlanRound(clock_->Now(), new_marks);
  SendDigest(round.digest_to, local);
  SendToAll(round.leaving_to, LeavingMessage{local.leaving});
  for (const LinkId link : round.ping) {
    transport_.Ping(link);
  }
  for (const Closing& closing : round.close) {
    transport_.Close(closing.link, closing.code, closing.reason);
  }
  for (const std::string& address : round.dial) {
    transport_.Dial(address);
  }
  LogSuspects(clock_->Now());
  transport_.After(settings_.gossip_interval, [this] { Tick(); });
}

PeerCore::Round PeerCore::PlanRound(MonoTime now, bool new_marks) {
  Round round;
  absl::MutexLock lock(&mutex_);
  for (const PeerHint& peer : membership_.Forget(now)) {
    traffic_.erase(peer.entry);
    measured_.erase(peer.entry);
    dials_.Forget(peer.address);
  }
  // Digests of traffic whose link has closed before its hello.
  traffic_.erase(EntryId());
  MeasureRates(now);

  PlanLinks(now, &round);
  if (membership_.superseded()) {
    round.dial.clear();
    return round;
  }
  std::vector<EntryId> targets = membership_.GossipTargets(now, random_);
  const EntryId probe = membership_.SuspectToProbe(now, random_);
  if (!probe.empty()) {
    targets.push_back(probe);
  }
  for (const EntryId& peer : targets) {
    const LinkId link = links_.LinkTo(peer);
    const PeerDigest* digest = membership_.Find(peer);
    if (link != 0) {
      round.digest_to.push_back(link);
    } else if (dials_.Begin(digest->address, now)) {
      round.dial.push_back(digest->address);
    }
  }
  if (new_marks) {
    for (const auto& [link, info] : links_.links()) {
      if (info.greeted && !info.retired) {
        round.leaving_to.push_back(link);
      }
    }
  }
  return round;
}

void PeerCore::PlanLinks(MonoTime now, Round* round) {
  std::set<std::string> connected = {Self().address};
  for (const auto& [link, info] : links_.links()) {
    if (!info.greeted) {
      if (now - info.opened_at > kHelloTimeout) {
        round->close.push_back(
            {link, LinkCloseCode::kHelloTimeout, "no hello"});
      }
      continue;
    }
    if (info.retired) {
      if (now - info.retired_at > kRetiredFor && !relays_.UsesLink(link) &&
          !served_.UsesLink(link)) {
        round->close.push_back(
            {link, LinkCloseCode::kDuplicate, "another link is used"});
      }
      continue;
    }
    const PeerDigest* peer = membership_.Find(info.peer);
    if (peer != nullptr) {
      connected.insert(peer->address);
    }
    const MonoTime::duration silent = now - info.received_at;
    if (silent > kSilentAfter) {
      round->close.push_back({link, LinkCloseCode::kSilent, "silent link"});
    } else if (silent > kPingAfter) {
      round->ping.push_back(link);
    }
  }
  for (const std::string& seed : settings_.seeds) {
    // A peer may advertise another address than the one in the settings.
    const auto alias = dialled_peers_.find(seed);
    const bool linked =
        connected.count(seed) != 0 ||
        (alias != dialled_peers_.end() && links_.LinkTo(alias->second) != 0);
    if (!linked && dials_.Begin(seed, now)) {
      round->dial.push_back(seed);
    }
  }
}

void PeerCore::MeasureRates(MonoTime now) {
  const double seconds =
      std::chrono::duration<double>(now - measured_at_).count();
  measured_at_ = now;
  for (auto& [peer, traffic] : traffic_) {
    Rate& last = measured_[peer];
    const Rate current{traffic.control_sent + traffic.relay_sent,
                       traffic.control_received + traffic.relay_received};
    traffic.sent_rate = static_cast<double>(current.sent - last.sent) / seconds;
    traffic.received_rate =
        static_cast<double>(current.received - last.received) / seconds;
    last = current;
  }
}

void PeerCore::LogSuspects(MonoTime now) {
  std::vector<std::pair<std::string, bool>> changes;
  {
    absl::MutexLock lock(&mutex_);
    std::set<EntryId> suspects;
    for (const auto& [peer, view] : membership_.Views(now)) {
      if (view.heard_at == MonoTime()) {
        continue;
      }
      if (view.suspect) {
        suspects.insert(peer);
      }
      if (view.suspect != (suspects_.count(peer) != 0)) {
        changes.emplace_back(peer.value(), view.suspect);
      }
    }
    suspects_ = std::move(suspects);
  }
  for (const auto& [peer, suspect] : changes) {
    LogEvent(suspect ? LogLevel::kWarning : LogLevel::kInfo, LogCategory::kPeer,
             suspect ? "peer_suspect" : "peer_alive", {{"peer", peer}});
  }
}

}  // namespace figflow
