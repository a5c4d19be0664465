#ifndef PEER_PEER_TEST_NODE_H_
#define PEER_PEER_TEST_NODE_H_

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "Common/clock.h"
#include "Common/metrics.h"
#include "Peer/peer_node.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace figflow::test {

inline constexpr char kCredential[] = "peer-secret";

// Waits until `condition` is true; returns false after `timeout`.
inline bool Await(
    const std::function<bool()>& condition,
    std::chrono::milliseconds timeout = std::chrono::seconds(10)) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return true;
}

// Fake daemon that holds a configuration revision, leaving targets and a relay
// function.
class TestHandler : public PeerHandler {
 public:
  using Done = std::function<void(RelayResponse)>;
  std::function<void(const RelayRequest&, Done)> on_relay;

  PeerDigest LocalDigest() override {
    absl::MutexLock lock(&mutex_);
    // Blocks the calling threads while the daemon is frozen.
    mutex_.Await(absl::Condition(
        +[](bool* frozen) { return !*frozen; }, &frozen_));
    PeerDigest digest;
    digest.config_revision = revision_;
    digest.leaving = leaving_;
    return digest;
  }
  void OnDigest(const PeerDigest& digest) override {
    absl::MutexLock lock(&mutex_);
    for (const auto& target : digest.leaving) {
      leaving_seen_.push_back(target);
    }
  }
  void OnRelay(const EntryId& /*from*/,
               RelayRequest request,
               Done done) override {
    on_relay(request, std::move(done));
  }
  void OnRelayCancelled(const EntryId& /*from*/, uint64_t id) override {
    absl::MutexLock lock(&mutex_);
    cancelled_.push_back(id);
  }
  void OnConfigDelta(const EntryId& /*from*/,
                     const ConfigDelta& delta) override {
    absl::MutexLock lock(&mutex_);
    revision_ = std::max(revision_, delta.to_revision);
  }
  ConfigDelta OnConfigPull(uint64_t revision) override {
    return ConfigDelta{revision, Revision(), "rows"};
  }

  void SetFrozen(bool frozen) {
    absl::MutexLock lock(&mutex_);
    frozen_ = frozen;
  }
  void SetRevision(uint64_t revision) {
    absl::MutexLock lock(&mutex_);
    revision_ = revision;
  }
  uint64_t Revision() {
    absl::MutexLock lock(&mutex_);
    return revision_;
  }
  void SetLeaving(std::vector<std::pair<InstanceId, uint64_t>> leaving) {
    absl::MutexLock lock(&mutex_);
    leaving_ = std::move(leaving);
  }
  size_t LeavingSeen() {
    absl::MutexLock lock(&mutex_);
    return leaving_seen_.size();
  }
  std::vector<uint64_t> Cancelled() {
    absl::MutexLock lock(&mutex_);
    return cancelled_;
  }

 private:
  absl::Mutex mutex_;
  bool frozen_ = false;
  uint64_t revision_ ABSL_GUARDED_BY(mutex_) = 0;
  std::vector<std::pair<InstanceId, uint64_t>> leaving_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::pair<InstanceId, uint64_t>> leaving_seen_
      ABSL_GUARDED_BY(mutex_);
  std::vector<uint64_t> cancelled_ ABSL_GUARDED_BY(mutex_);
};

// A PeerNode on a loopback port, with its handler, clock and metrics.
struct TestNode {
  explicit TestNode(
      const std::string& name,
      std::vector<std::string> seeds = {},
      uint64_t incarnation = 1,
      const std::string& credential = kCredential,
      std::chrono::milliseconds interval = std::chrono::milliseconds(100))
      : entry(name) {
    PeerNodeSettings settings;
    settings.entry = entry;
    settings.incarnation = incarnation;
    settings.data_centre = DataCentreId("dc");
    settings.seeds = std::move(seeds);
    settings.gossip_interval = interval;
    settings.transport.listen_address = "127.0.0.1:0";
    settings.transport.credential = credential;
    handler.on_relay = [](const RelayRequest& request,
                          const TestHandler::Done& done) {
      done(RelayResponse{200, {}, request.body, false});
    };
    node = std::make_unique<PeerNode>(settings, &handler, &clock, &metrics);
    started = node->Start().has_value();
  }

  bool SeesAlive(const std::string& peer) const {
    const auto peers = node->Peers();
    const auto it = peers.find(EntryId(peer));
    return it != peers.end() && !it->second.suspect;
  }
  uint64_t CounterValue(const char* name) {
    return metrics.GetCounter(name).value();
  }

  const EntryId entry;
  SystemClock clock;
  MetricsRegistry metrics;
  TestHandler handler;
  bool started = false;
  std::unique_ptr<PeerNode> node;
};

}  // namespace figflow::test

#endif  // PEER_PEER_TEST_NODE_H_
