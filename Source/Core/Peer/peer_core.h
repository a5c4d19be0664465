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

// The state behind PeerNode. Callbacks and the handler are called without
// locks held.
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

  void OnLinkOpen(LinkId link, const std::string& address) override;
  void OnLinkMessage(LinkId link,
                     std::string payload,
                     size_t wire_bytes) override;
  void OnLinkSent(LinkId link, bool relay, size_t wire_bytes) override;
  void OnLinkAlive(LinkId link) override;
  void OnLinkClosed(LinkId link, const LinkClosed& closed) override;
  void OnDialFailed(const std::string& address,
                    bool refused,
                    const std::string& reason) override;
  void OnCredentialRefused() override;

 private:
  struct Closing {
    LinkId link = 0;
    LinkCloseCode code = LinkCloseCode::kGoingAway;
    const char* reason = "";
  };
  // What one gossip round does once the lock is released.
  struct Round {
    std::vector<LinkId> digest_to;
    std::vector<LinkId> leaving_to;
    std::vector<LinkId> ping;
    std::vector<Closing> close;
    std::vector<std::string> dial;
  };
  struct Rate {
    uint64_t sent = 0;
    uint64_t received = 0;
  };

  // One overload for each message; a hello is the first one of a link.
  void On(LinkId link, const EntryId& from, const HelloMessage& message);
  void On(LinkId link, const EntryId& from, const DigestMessage& message);
  void On(LinkId link, const EntryId& from, const ConfigPullMessage& message);
  void On(LinkId link, const EntryId& from, const ConfigDeltaMessage& message);
  void On(LinkId link, const EntryId& from, const LeavingMessage& message);
  void On(LinkId link, const EntryId& from, const RelayRequestMessage& message);
  void On(LinkId link, const EntryId& from, const RelayAnswerMessage& message);
  void On(LinkId link, const EntryId& from, const RelayCancelMessage& message);

  void FinishRelay(LinkId link, uint64_t id, RelayAnswer answer);
  void RefuseRelay(LinkId link, uint64_t id, const char* reason);
  void MaybePull(LinkId link, uint64_t revision);

  void Tick();
  Round PlanRound(MonoTime now, bool new_marks);
  void PlanLinks(MonoTime now, Round* round)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void MeasureRates(MonoTime now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void LogSuspects(MonoTime now);
  PeerDigest LocalDigest();
  DigestMessage MakeDigest(const PeerDigest& local);
  void SendDigest(const std::vector<LinkId>& links, const PeerDigest& local);
  std::vector<LinkId> GreetedLinks() const;

  void Send(LinkId link, const PeerMessage& message);
  void SendToAll(const std::vector<LinkId>& links, const PeerMessage& message);
  void Reject(LinkId link,
              Counter& counter,
              LinkCloseCode code,
              const std::string& reason);
  PeerHint Self() const;

  void ArmExpiry();
  void ExpireRelays();

  const PeerNodeSettings settings_;
  PeerHandler* const handler_;
  const Clock* const clock_;
  PeerCounters counters_;
  RelayTable relays_;
  ServedRelays served_;
  std::atomic<bool> stopping_{false};
  std::atomic<uint64_t> beat_{0};

  mutable absl::Mutex mutex_;
  bool stopped_ ABSL_GUARDED_BY(mutex_) = false;
  std::mt19937_64 random_ ABSL_GUARDED_BY(mutex_);
  Membership membership_ ABSL_GUARDED_BY(mutex_);
  LinkRegistry links_ ABSL_GUARDED_BY(mutex_);
  DialSchedule dials_ ABSL_GUARDED_BY(mutex_);
  std::map<EntryId, PeerTraffic> traffic_ ABSL_GUARDED_BY(mutex_);
  std::map<EntryId, Rate> measured_ ABSL_GUARDED_BY(mutex_);
  MonoTime measured_at_ ABSL_GUARDED_BY(mutex_);
  std::set<EntryId> suspects_ ABSL_GUARDED_BY(mutex_);
  // The last pull, so that several digests cause one pull.
  uint64_t pulled_revision_ ABSL_GUARDED_BY(mutex_) = 0;
  MonoTime pulled_at_ ABSL_GUARDED_BY(mutex_);
  // Entries that answered at a dialled address.
  std::map<std::string, EntryId> dialled_peers_ ABSL_GUARDED_BY(mutex_);
  std::optional<MonoTime> expiry_armed_ ABSL_GUARDED_BY(mutex_);
  // First pool of the next partial digest.
  size_t first_pool_ ABSL_GUARDED_BY(mutex_) = 0;

  // Used by Tick only.
  std::set<std::pair<InstanceId, uint64_t>> announced_leaving_;

  // Last, so that its threads end before the state above is destroyed.
  PeerTransport transport_;
};

}  // namespace figflow

#endif  // PEER_PEER_CORE_H_
