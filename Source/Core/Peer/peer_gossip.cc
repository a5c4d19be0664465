// Periodic part of PeerCore: gossip rounds and link maintenance.
#include <algorithm>
#include <utility>

#include "Common/log.h"
#include "Peer/peer_core.h"

namespace figflow {
namespace {

// Maximum numbers of pools and of leaving targets in one digest. Further pools
// are sent in the following rounds.
constexpr size_t kMaxDigestPools = 24;
constexpr size_t kMaxDigestLeaving = 24;
constexpr size_t kEndpointsPerDigest = 1;
constexpr std::chrono::seconds kHelloTimeout{5};
// A link without incoming traffic is pinged, and closed if it stays
// unresponsive: a network partition does not close a connection.
constexpr std::chrono::seconds kPingIdleTime{10};
constexpr std::chrono::seconds kUnresponsiveTimeout{25};
// Allows messages that were in transit when the link was retired to arrive.
constexpr std::chrono::seconds kRetiredLinkLinger{2};

}  // namespace

PeerDigest PeerCore::LocalDigest() {
  PeerDigest digest = handler_->LocalDigest();
  const PeerEndpoint self = LocalEndpoint();
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
  message.heartbeat = heartbeat_;
  if (local.leaving.size() > kMaxDigestLeaving) {
    message.digest.leaving.resize(kMaxDigestLeaving);
  }
  absl::MutexLock lock(&mutex_);
  if (local.free_slots.size() > kMaxDigestPools) {
    message.partial = true;
    message.digest.free_slots.clear();
    for (size_t i = 0; i < kMaxDigestPools; ++i) {
      message.digest.free_slots.push_back(
          local.free_slots[(next_digest_pool_ + i) % local.free_slots.size()]);
    }
    next_digest_pool_ =
        (next_digest_pool_ + kMaxDigestPools) % local.free_slots.size();
  }
  const MonoTime now = clock_->Now();
  message.heartbeats = membership_.PackHeartbeats(now, random_);
  message.peers =
      membership_.SampleLivePeers(kEndpointsPerDigest, now, random_);
  return message;
}

void PeerCore::SendDigest(const std::vector<LinkId>& links,
                          const PeerDigest& local) {
  if (!links.empty()) {
    SendToAll(links, MakeDigest(local));
  }
}

std::vector<LinkId> PeerCore::EstablishedLinks() const {
  absl::MutexLock lock(&mutex_);
  std::vector<LinkId> links;
  for (const auto& [link, info] : links_.links()) {
    if (info.hello_received && !info.retired) {
      links.push_back(link);
    }
  }
  return links;
}

void PeerCore::RunGossipRound() {
  ++heartbeat_;
  const PeerDigest local = LocalDigest();
  std::set<std::pair<InstanceId, uint64_t>> leaving(local.leaving.begin(),
                                                    local.leaving.end());
  const bool has_new_leaving =
      !std::includes(announced_leaving_.begin(), announced_leaving_.end(),
                     leaving.begin(), leaving.end());
  announced_leaving_ = std::move(leaving);

  const GossipRound round = PlanGossipRound(clock_->Now(), has_new_leaving);
  SendDigest(round.digest_links, local);
  SendToAll(round.leaving_links, LeavingMessage{local.leaving});
  for (const LinkId link : round.ping_links) {
    transport_.Ping(link);
  }
  for (const PendingClose& closing : round.links_to_close) {
    transport_.Close(closing.link, closing.code, closing.reason);
  }
  for (const std::string& address : round.addresses_to_dial) {
    transport_.Dial(address);
  }
  LogSuspicionChanges(clock_->Now());
  transport_.PostDelayedTask(settings_.gossip_interval,
                             [this] { RunGossipRound(); });
}

PeerCore::GossipRound PeerCore::PlanGossipRound(MonoTime now,
                                                bool has_new_leaving) {
  GossipRound round;
  absl::MutexLock lock(&mutex_);
  for (const PeerEndpoint& peer : membership_.RemoveExpired(now)) {
    traffic_.erase(peer.entry);
    last_byte_counts_.erase(peer.entry);
    dial_schedule_.RemoveAddress(peer.address);
  }
  // Drops the traffic of links before their hello, which has no peer.
  traffic_.erase(EntryId());
  UpdateTrafficRates(now);

  PlanLinkMaintenance(now, &round);
  if (membership_.superseded()) {
    round.addresses_to_dial.clear();
    return round;
  }
  std::vector<EntryId> gossip_peers =
      membership_.SelectGossipPeers(now, random_);
  const EntryId suspect_peer = membership_.SuspectToProbe(now, random_);
  if (!suspect_peer.empty()) {
    gossip_peers.push_back(suspect_peer);
  }
  for (const EntryId& peer : gossip_peers) {
    const LinkId link = links_.LinkTo(peer);
    const PeerDigest* digest = membership_.Find(peer);
    if (link != 0) {
      round.digest_links.push_back(link);
    } else if (dial_schedule_.TryStartDial(digest->address, now)) {
      round.addresses_to_dial.push_back(digest->address);
    }
  }
  if (has_new_leaving) {
    for (const auto& [link, info] : links_.links()) {
      if (info.hello_received && !info.retired) {
        round.leaving_links.push_back(link);
      }
    }
  }
  return round;
}

void PeerCore::PlanLinkMaintenance(MonoTime now, GossipRound* round) {
  std::set<std::string> connected = {LocalEndpoint().address};
  for (const auto& [link, info] : links_.links()) {
    if (!info.hello_received) {
      if (now - info.opened_at > kHelloTimeout) {
        round->links_to_close.push_back(
            {link, LinkCloseCode::kHelloTimeout, "no hello"});
      }
      continue;
    }
    if (info.retired) {
      if (now - info.retired_at > kRetiredLinkLinger &&
          !relays_.UsesLink(link) && !served_relays_.UsesLink(link)) {
        round->links_to_close.push_back(
            {link, LinkCloseCode::kDuplicate, "another link is used"});
      }
      continue;
    }
    const PeerDigest* peer = membership_.Find(info.peer);
    if (peer != nullptr) {
      connected.insert(peer->address);
    }
    const MonoTime::duration idle_time = now - info.received_at;
    if (idle_time > kUnresponsiveTimeout) {
      round->links_to_close.push_back(
          {link, LinkCloseCode::kUnresponsive, "silent link"});
    } else if (idle_time > kPingIdleTime) {
      round->ping_links.push_back(link);
    }
  }
  for (const std::string& seed : settings_.seeds) {
    // A peer may advertise an address that differs from its seed address.
    const auto dialled_peer = dialled_peers_.find(seed);
    const bool linked = connected.count(seed) != 0 ||
                        (dialled_peer != dialled_peers_.end() &&
                         links_.LinkTo(dialled_peer->second) != 0);
    if (!linked && dial_schedule_.TryStartDial(seed, now)) {
      round->addresses_to_dial.push_back(seed);
    }
  }
}

void PeerCore::UpdateTrafficRates(MonoTime now) {
  const double seconds =
      std::chrono::duration<double>(now - rates_updated_at_).count();
  rates_updated_at_ = now;
  for (auto& [peer, traffic] : traffic_) {
    ByteCounts& last = last_byte_counts_[peer];
    const ByteCounts current{traffic.control_sent + traffic.relay_sent,
                             traffic.control_received + traffic.relay_received};
    traffic.sent_rate = static_cast<double>(current.sent - last.sent) / seconds;
    traffic.received_rate =
        static_cast<double>(current.received - last.received) / seconds;
    last = current;
  }
}

void PeerCore::LogSuspicionChanges(MonoTime now) {
  std::vector<std::pair<std::string, bool>> changes;
  {
    absl::MutexLock lock(&mutex_);
    std::set<EntryId> suspects;
    for (const auto& [peer, view] : membership_.Views(now)) {
      if (view.last_seen_at == MonoTime()) {
        continue;
      }
      if (view.suspect) {
        suspects.insert(peer);
      }
      if (view.suspect != (suspected_peers_.count(peer) != 0)) {
        changes.emplace_back(peer.value(), view.suspect);
      }
    }
    suspected_peers_ = std::move(suspects);
  }
  for (const auto& [peer, suspect] : changes) {
    LogEvent(suspect ? LogLevel::kWarning : LogLevel::kInfo, LogCategory::kPeer,
             suspect ? "peer_suspect" : "peer_alive", {{"peer", peer}});
  }
}

}  // namespace figflow
