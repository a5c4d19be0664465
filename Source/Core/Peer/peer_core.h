#ifndef PEER_PEER_CORE_H_
#define PEER_PEER_CORE_H_

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Peer/dial_schedule.h"
#include "Peer/link_registry.h"
#include "Peer/membership.h"
#include "Peer/peer_counters.h"
#include "Peer/peer_message.h"
#include "Peer/peer_node.h"
#include "Peer/peer_transport.h"
#include "Peer/relay_table.h"
#include "Peer/served_relays.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace figflow {

// Implements PeerNode: gossip, link management and relays. Calls callbacks and
// the handler without holding locks.
class PeerCore : public LinkHandler,
                 public std::enable_shared_from_this<PeerCore> {
 public:
  PeerCore(PeerNodeSettings settings,
           PeerHandler* handler,
           const Clock* clock,
           MetricsRegistry* metrics);

  Result<void> Start();
  void Stop(std::chrono::milliseconds grace);
  const std::string& address() const { return transport_.address(); }

  uint64_t Relay(const EntryId& to, RelayRequest request, RelayCallback done);
  void CancelRelay(uint64_t relay_id);
  void PushConfig(const ConfigDelta& delta);
  std::map<EntryId, PeerView> Peers() const;
  std::map<EntryId, PeerTraffic> Traffic() const;
  bool superseded() const;

  void OnLinkOpened(LinkId link, const std::string& address) override;
  void OnLinkMessage(LinkId link,
                     std::string payload,
                     size_t wire_bytes) override;
  void OnLinkSent(LinkId link, bool is_relay, size_t wire_bytes) override;
  void OnLinkControlFrame(LinkId link) override;
  void OnLinkClosed(LinkId link, const LinkCloseInfo& closed) override;
  void OnDialFailed(const std::string& address,
                    bool refused,
                    const std::string& reason) override;
  void OnCredentialRefused() override;

 private:
  struct PendingClose {
    LinkId link = 0;
    LinkCloseCode code = LinkCloseCode::kGoingAway;
    const char* reason = "";
  };
  // Actions of one gossip round, collected under the lock and run after it is
  // released.
  struct GossipRound {
    std::vector<LinkId> digest_links;
    std::vector<LinkId> leaving_links;
    std::vector<LinkId> ping_links;
    std::vector<PendingClose> links_to_close;
    std::vector<std::string> addresses_to_dial;
  };
  struct ByteCounts {
    uint64_t sent = 0;
    uint64_t received = 0;
  };

  // Handles one message type each. The hello is the first message of a link.
  void HandleMessage(LinkId link,
                     const EntryId& from,
                     const HelloMessage& message);
  void HandleMessage(LinkId link,
                     const EntryId& from,
                     const DigestMessage& message);
  void HandleMessage(LinkId link,
                     const EntryId& from,
                     const ConfigPullMessage& message);
  void HandleMessage(LinkId link,
                     const EntryId& from,
                     const ConfigDeltaMessage& message);
  void HandleMessage(LinkId link,
                     const EntryId& from,
                     const LeavingMessage& message);
  void HandleMessage(LinkId link,
                     const EntryId& from,
                     const RelayRequestMessage& message);
  void HandleMessage(LinkId link,
                     const EntryId& from,
                     const RelayResponseMessage& message);
  void HandleMessage(LinkId link,
                     const EntryId& from,
                     const RelayCancelMessage& message);

  void SendRelayResponse(LinkId link, uint64_t id, RelayResponse response);
  void RefuseRelay(LinkId link, uint64_t id, const char* reason);
  void PullConfigIfNewer(LinkId link, uint64_t revision);

  void RunGossipRound();
  GossipRound PlanGossipRound(MonoTime now, bool has_new_leaving);
  void PlanLinkMaintenance(MonoTime now, GossipRound* round)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void UpdateTrafficRates(MonoTime now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void LogSuspicionChanges(MonoTime now);
  PeerDigest LocalDigest();
  DigestMessage MakeDigest(const PeerDigest& local);
  void SendDigest(const std::vector<LinkId>& links, const PeerDigest& local);
  std::vector<LinkId> EstablishedLinks() const;

  void Send(LinkId link, const PeerMessage& message);
  void SendToAll(const std::vector<LinkId>& links, const PeerMessage& message);
  void RejectLink(LinkId link,
                  Counter& counter,
                  LinkCloseCode code,
                  const std::string& reason);
  PeerEndpoint LocalEndpoint() const;

  void ScheduleRelayExpiry();
  void ExpireRelays();

  const PeerNodeSettings settings_;
  PeerHandler* const handler_;
  const Clock* const clock_;
  PeerCounters counters_;
  RelayTable relays_;
  ServedRelays served_relays_;
  std::atomic<bool> stopping_{false};
  std::atomic<uint64_t> heartbeat_{0};

  mutable absl::Mutex mutex_;
  bool stopped_ ABSL_GUARDED_BY(mutex_) = false;
  std::mt19937_64 random_ ABSL_GUARDED_BY(mutex_);
  Membership membership_ ABSL_GUARDED_BY(mutex_);
  LinkRegistry links_ ABSL_GUARDED_BY(mutex_);
  DialSchedule dial_schedule_ ABSL_GUARDED_BY(mutex_);
  std::map<EntryId, PeerTraffic> traffic_ ABSL_GUARDED_BY(mutex_);
  std::map<EntryId, ByteCounts> last_byte_counts_ ABSL_GUARDED_BY(mutex_);
  MonoTime rates_updated_at_ ABSL_GUARDED_BY(mutex_);
  std::set<EntryId> suspected_peers_ ABSL_GUARDED_BY(mutex_);
  // The last configuration pull, so that several digests of one revision cause
  // a single pull.
  uint64_t last_pulled_revision_ ABSL_GUARDED_BY(mutex_) = 0;
  MonoTime last_pulled_at_ ABSL_GUARDED_BY(mutex_);
  // The entry that each dialled address belongs to, by its hello.
  std::map<std::string, EntryId> dialled_peers_ ABSL_GUARDED_BY(mutex_);
  std::optional<MonoTime> next_expiry_at_ ABSL_GUARDED_BY(mutex_);
  // Index of the first pool in the next partial digest.
  size_t next_digest_pool_ ABSL_GUARDED_BY(mutex_) = 0;

  // Targets already announced as leaving. Accessed only by RunGossipRound.
  std::set<std::pair<InstanceId, uint64_t>> announced_leaving_;

  // Declared last, so that its threads end before the state above is destroyed.
  PeerTransport transport_;
};

}  // namespace figflow

#endif  // PEER_PEER_CORE_H_
