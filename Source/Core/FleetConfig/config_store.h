#ifndef FLEETCONFIG_CONFIG_STORE_H_
#define FLEETCONFIG_CONFIG_STORE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "Common/json.h"

#include "Common/clock.h"
#include "Common/error.h"
#include "Common/metrics.h"
#include "FleetConfig/config_decisions.h"
#include "FleetConfig/config_head_store.h"
#include "FleetConfig/fleet_configuration.h"
#include "Peer/peer_service.h"
#include "Platform/key_value_store.h"
#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"

namespace figflow {

struct ConfigStoreOptions {
  BootstrapLimits bootstrap;
  // Longest wait of one watch call; also bounds the time that Stop takes.
  std::chrono::milliseconds watch_wait{3'000};
  // The head is read at least this often, because a watch does not report a
  // restored store. A head of 16 KB each 30 s is 0.5 KB/s.
  std::chrono::milliseconds check_interval{30'000};
  // Pause after a failed call.
  std::chrono::milliseconds retry_delay{500};
};

struct ApplyOutcome {
  // Revision at which the sheet is in force.
  uint64_t revision = 0;
  // Empty if the sheet was in force already.
  SheetDiff diff;
};

enum class DeltaOutcome {
  kApplied,
  // Nothing new in it.
  kKnown,
  // Revisions in between are missing: pull from PullRevision().
  kGap,
  // Malformed, or its rows do not have the hash given.
  kRefused,
};

// The configuration in force in this daemon: applies sheets, follows the store
// and peers, and never goes back to a lower revision. Thread-safe.
//
// Counters: figflow_config_applies_total{result=...},
// figflow_config_adopted_total{source="store"|"peer"},
// figflow_config_deltas_total{outcome=...}, figflow_config_healed_total,
// figflow_config_diverged_total, figflow_config_store_errors_total.
class ConfigStore {
 public:
  // All references must outlive this object.
  ConfigStore(KeyValueStore& store,
              const Clock& clock,
              MetricsRegistry& metrics,
              ConfigStoreOptions options = {});
  ~ConfigStore();
  ConfigStore(const ConfigStore&) = delete;
  ConfigStore& operator=(const ConfigStore&) = delete;

  // Both are set before Start and other threads' calls. `peers` may be null;
  // `on_change` runs after each change of InForce, without locks held.
  void SetPeers(PeerService* peers) { peers_ = peers; }
  void SetOnChange(std::function<void()> on_change) {
    on_change_ = std::move(on_change);
  }

  // Follows the store in a thread of its own until Stop.
  void Start();
  void Stop();
  // One round of that thread: reads the head if it is due, then watches it.
  Result<void> SyncOnce(std::chrono::milliseconds wait);

  // Never null.
  std::shared_ptr<const FleetConfiguration> InForce() const;

  // Blocks for at most about `timeout`. Success means that the sheet is
  // durable and in force here. Errors: kInvalid, faults in the sheet;
  // kConflict, the sheet is based on another revision or another apply came
  // first; kUnavailable, nothing was changed; kUnknownOutcome, the sheet may
  // come into force: apply it again with the same id to learn the outcome.
  Result<ApplyOutcome> Apply(const ApplyRequest& request,
                             std::chrono::milliseconds timeout);
  // What applying the sheet would change.
  SheetDiff Diff(const SheetDocument& sheet) const;

  // For PeerHandler; these do not block.
  DeltaOutcome OnDelta(const ConfigDelta& delta);
  ConfigDelta Pull(uint64_t revision) const;
  // Revision to pull from; 0 for the whole configuration.
  uint64_t PullRevision() const;

  // Why this daemon may not report ready yet; empty once it may, for good.
  std::string NotReadyReason();

  nlohmann::json DumpState() const;

 private:
  // Reads the head (or takes `known`) and brings this daemon and the store to
  // the same revision. Returns the head as it is then.
  Result<StoredHead> Synchronise(MonoTime deadline, const StoredHead* known);
  Result<void> AdoptFrom(const StoredHead& stored,
                         HeadAction action,
                         MonoTime deadline);
  // Writes this daemon's configuration over a head that is behind.
  void Heal(const StoredHead& stored, MonoTime deadline);
  // The only place that changes what is in force.
  bool Adopt(FleetConfiguration next,
             const std::vector<ConfigStep>& steps,
             absl::string_view source);
  void Remember(const std::vector<ConfigStep>& steps)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  Result<ApplyOutcome> ApplyPlanned(const ApplyRequest& request,
                                    MonoTime deadline);
  DeltaOutcome TakeDelta(const ConfigDelta& delta);
  void NoteDivergence(const FleetConfiguration& in_force,
                      absl::string_view other_hash);
  void NoteStore(const Error* error);
  BootstrapView View() const;
  void Run();

  KeyValueStore& store_;
  const Clock& clock_;
  MetricsRegistry& metrics_;
  const ConfigStoreOptions options_;
  const MonoTime started_at_;
  ConfigHeadStore heads_;
  PeerService* peers_ = nullptr;
  std::function<void()> on_change_;

  mutable absl::Mutex mutex_;
  std::shared_ptr<const FleetConfiguration> in_force_ ABSL_GUARDED_BY(mutex_);
  // Latest steps, for peers that pull. Empty or ends at what is in force.
  std::deque<ConfigStep> history_ ABSL_GUARDED_BY(mutex_);
  size_t history_bytes_ ABSL_GUARDED_BY(mutex_) = 0;
  bool store_answered_ ABSL_GUARDED_BY(mutex_) = false;
  std::string store_error_ ABSL_GUARDED_BY(mutex_);
  // A peer or the store has other contents for this revision; 0 if none.
  uint64_t diverged_revision_ ABSL_GUARDED_BY(mutex_) = 0;
  bool ready_ ABSL_GUARDED_BY(mutex_) = false;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;

  // Used by the following thread (or SyncOnce's caller) only.
  uint64_t watch_revision_ = 0;
  MonoTime next_check_;
  std::thread thread_;
};

}  // namespace figflow

#endif  // FLEETCONFIG_CONFIG_STORE_H_
