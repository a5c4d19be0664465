#ifndef FLEET_FLEET_ENGINE_H_
#define FLEET_FLEET_ENGINE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Common/json.h"

#include "Adapter/platform_adapter.h"
#include "Common/clock.h"
#include "Common/metrics.h"
#include "Fleet/overload_detector.h"
#include "Fleet/pool_runner.h"
#include "Fleet/route_choice.h"
#include "Fleet/route_history.h"
#include "Instances/instance_controller.h"
#include "Ownership/claim_policy.h"
#include "Ownership/member_list.h"
#include "Ownership/member_registration.h"
#include "Ownership/owner_record.h"
#include "Ownership/pool_layout.h"
#include "Ownership/prefix_follower.h"
#include "Ownership/store_session.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace figflow {

struct FleetEngineOptions {
  std::string entry;
  // "ip:port" on which this daemon accepts requests of its peers.
  std::string peer_address;
  // Unique among the processes of the fleet.
  std::string process_id;
  // Processor share of this daemon, in thousandths of a core.
  int64_t millicores = 1'000;
  ExecutionBounds bounds;
  // Memory that the accepted jobs of all pools of this daemon may take before
  // it refuses further ones.
  size_t work_memory = size_t{512} << 20;
  StoreSessionOptions session;
  // Holder, nonce and fence are unset; each claim fills them in.
  InstanceControllerOptions instances;
};

// Tracks the state of the platform and runs the pools that this daemon owns.
// Follows the operators' plan, the registry of workers, the owners' keys and
// the members' records, and claims scopes that have no owner.
class FleetEngine {
 public:
  struct Owner {
    OwnerRecord record;
    uint64_t revision = 0;
    // When this daemon observed the claim.
    MonoTime seen_at;
  };

  FleetEngine(PlatformAdapter& platform,
              const Clock& clock,
              MetricsRegistry& metrics,
              FleetEngineOptions options);
  ~FleetEngine();
  FleetEngine(const FleetEngine&) = delete;
  FleetEngine& operator=(const FleetEngine&) = delete;

  // Sets how the instance controller reaches the owners of the pools.
  void SetSyncPool(InstanceController::SyncPool sync_pool);
  // Sets the callback that requests a Step at a given time. It is called from
  // any thread and must not call the engine.
  void SetWakeCallback(std::function<void(MonoTime)> wake_at);
  // Sets the probe that returns how late this daemon began its calls since the
  // previous query. Without a probe, the daemon never sheds load.
  void SetLagProbe(std::function<MonoTime::duration()> lag);
  // Applies changed bounds of the platform, also to the pools that are owned
  // now.
  void SetBounds(const ExecutionBounds& bounds);
  // Starts to follow the store.
  void Start();
  // Performs all actions that are due. Must be called from one thread only.
  // Returns when to call it again.
  MonoTime Step(MonoTime now);
  // Stops claiming and hands over all scopes. Calls are still served.
  void BeginRelease();
  // Returns whether this daemon owns no scope.
  bool AllScopesReleased() const;
  // Stops without handing over the remaining scopes. Step must not be called
  // afterwards.
  void Stop();

  // Returns null until the operators' plan is known.
  std::shared_ptr<const FleetPlan> plan() const;
  // Returns none until the partitioning of the pools is known.
  std::optional<PoolLayout> layout() const;
  // Returns the other pools that have served the queue's route and may still
  // hold its jobs. Returns none until the history was read after the plan with
  // the queue, and holds the queue's pool as the latest one of its route.
  std::optional<std::vector<std::string>> FormerPools(
      uint64_t plan_version,
      const QueueConfig& queue) const;
  // Returns the number of pools that are known to have served the route.
  size_t CountRoutePools(const std::string& route) const;
  // Returns null unless this daemon owns the scope. The runner may still be
  // reading its records.
  std::shared_ptr<PoolRunner> OwnRunner(const std::string& scope) const;
  // Returns none while no owner is known.
  std::optional<Owner> OwnerOf(const std::string& scope) const;
  // Returns the members of the fleet except this daemon.
  std::vector<PeerAddress> Peers() const;
  // Returns an upper bound of how old the view of the owners' keys is.
  MonoTime::duration OwnersStaleness(MonoTime now) const {
    return owners_->Staleness(now);
  }
  // Returns an upper bound of how old the view of the plan is.
  MonoTime::duration PlanStaleness(MonoTime now) const {
    return operator_keys_->Staleness(now);
  }
  // Returns whether every plan that must be in force has been received.
  bool PlanIsCurrent(MonoTime now) const;
  // Returns the latest time at which the plan that plan() returns afterwards is
  // known to have been the newest, by the store or by a peer. Returns the
  // minimum if there is no such time.
  MonoTime PlanConfirmedAt() const;
  // Records that a peer reported the plan of `version` to have been the newest
  // at `confirmed_at`.
  void OnPlanConfirmedByPeer(uint64_t version, MonoTime confirmed_at);
  // Returns whether a plan that was the newest at `confirmed_at` has every
  // change that must be in force for a call that arrived at `arrived`.
  bool PlanCoversCall(MonoTime confirmed_at, MonoTime arrived) const;
  // Returns whether the keys of such a plan may decide the call although later
  // plans may not have been received.
  bool KeysCoverCall(MonoTime confirmed_at, MonoTime arrived) const;
  // Returns the maximum time that a call waits for a confirmed plan. A later
  // call may be decided meanwhile by the plan that is in force.
  std::chrono::milliseconds MaxPlanWait() const;
  // Checks with the store whether there is a later plan.
  void ConfirmPlan() { operator_keys_->ConfirmCurrent(); }
  // Returns the time since the store last responded to this daemon.
  std::chrono::milliseconds StoreResponseAge(MonoTime now) const {
    return WholeMilliseconds(session_->TimeSinceResponse(now));
  }
  const std::string& entry() const { return options_.entry; }
  bool releasing() const;

  // Runs `task` once, after `delay`, within a Step.
  void RunAfter(std::chrono::milliseconds delay,
                std::function<void()> callback);

  // Returns this daemon's view of the fleet, for operators.
  nlohmann::json DumpState() const;

 private:
  void WakeAt(MonoTime at);
  void RunDueTimers(MonoTime now);
  MonoTime StepOwnership(MonoTime now);
  // Hands over all scopes if this daemon is overloaded.
  void CheckOverload(MonoTime now);
  void HandOverAllScopes();
  // Releases the pool as soon as its durable state is complete.
  void HandOverPool(const std::string& scope, const char* cause);
  // Returns the vacant scopes that are due to be claimed and adds them to the
  // pending claims. Lowers `next` to the next time at which a claim is due.
  std::vector<std::string> TakeDueClaims(MonoTime now, MonoTime* next)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void ClaimScope(const std::string& scope, LeaseId lease);
  // Returns the decision behind the last claim of the scope.
  ClaimDecision LastClaimDecision(const std::string& scope) const;
  void OnScopeClaimed(const std::string& scope,
                      const std::string& nonce,
                      uint64_t revision,
                      LeaseId lease);
  void StartRunner(const std::string& scope,
                   const std::string& nonce,
                   uint64_t revision);
  // Starts writing the layout of the pools if there is none yet.
  void ProposeLayout(MonoTime now);
  void WriteLayout(int instances);
  void SetLayout(const PoolLayout& layout);
  // Schedules the record of the plan's routes unless it is complete.
  void CheckRoutesRecorded(MonoTime now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Sets the history as of a revision of its key.
  void SetRoutes(const RouteHistory& routes, uint64_t revision);
  // Reads the history after a new plan, and writes the routes of the plan to
  // the store, if it is due. Returns when to call it again.
  MonoTime StepRoutes(MonoTime now);
  MonoTime RecordRoutes(MonoTime now);
  // Reads the history: the watch of the owners' keys may be lost.
  // `plan_version` is the plan in force.
  void ReadRoutes(uint64_t plan_version);
  // Returns the scope that the worker serves, or an empty string while the
  // layout is unknown.
  std::string ScopeOf(const WorkerReport& report) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void StartController(const std::string& nonce, uint64_t revision);
  // Stops the work under this daemon's claim of `scope` and removes the claim.
  void ReleaseScope(const std::string& scope, const char* cause);
  void RemoveOwnerKey(const std::string& scope, uint64_t revision);
  // Returns the revision of the claim under which this daemon runs the scope,
  // or 0 if there is none.
  uint64_t ActiveClaimRevision(const std::string& scope) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Returns why the scope has to be released, or null if it does not.
  const char* ReleaseCause(const std::string& scope, LeaseId lease) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Returns whether another daemon may reach more of the pool's workers.
  static bool ReachesTooFewWorkers(const PoolRunner& runner, MonoTime now);

  void OnOperatorItem(const StoreItem& item);
  void OnPlanItem(const StoreItem& item);
  // Keeps the last readable plan, as of its last confirmation by the store.
  void OnPlanUnreadable();
  void OnWaveItem(const StoreItem& item);
  void OnWorkerItem(const StoreItem& item);
  Result<WorkerReport> ParseWorkerItem(const StoreItem& item,
                                       WallTime now) const;
  // Returns whether the entry proves that earlier workers on its instance have
  // ended. An entry of a pool that no plan names may be of another writer.
  bool ShowsLaterWorker(const WorkerReport& report) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void OnOwnerItem(const StoreItem& item);
  void OnLayoutItem(const StoreItem& item);
  void OnRoutesItem(const StoreItem& item);
  void OnMemberItem(const StoreItem& item);
  void RemoveLostMembers(MonoTime now);
  int PeerCount() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Builds the input for ranking from the members and owners known now.
  ClaimView MakeClaimView(std::set<std::string> vacant, MonoTime now) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  PlatformAdapter& platform_;
  const Clock& clock_;
  MetricsRegistry& metrics_;
  const FleetEngineOptions options_;
  const std::shared_ptr<WorkMemory> work_memory_;
  InstanceController::SyncPool sync_pool_;
  std::function<MonoTime::duration()> lag_probe_;
  std::shared_ptr<StoreSession> session_;
  std::shared_ptr<PrefixFollower> operator_keys_;
  std::shared_ptr<PrefixFollower> workers_;
  std::shared_ptr<PrefixFollower> owners_;
  std::shared_ptr<MemberRegistration> registration_;

  mutable absl::Mutex mutex_;
  ExecutionBounds bounds_ ABSL_GUARDED_BY(mutex_);
  std::shared_ptr<const FleetPlan> plan_ ABSL_GUARDED_BY(mutex_);
  // When the store confirmed the last readable plan, if a later one is
  // unreadable.
  std::optional<MonoTime> readable_plan_confirmed_at_ ABSL_GUARDED_BY(mutex_);
  // When a plan that this daemon had was the newest by a peer's report.
  MonoTime peers_confirmed_at_ ABSL_GUARDED_BY(mutex_) = MonoTime::min();
  std::optional<PoolLayout> layout_ ABSL_GUARDED_BY(mutex_);
  MonoTime layout_wanted_since_ ABSL_GUARDED_BY(mutex_) = MonoTime::max();
  // Earliest time of the next proposal of a layout.
  MonoTime propose_at_ ABSL_GUARDED_BY(mutex_) = MonoTime::min();
  // The history that the store holds, and the revision of its key.
  RouteHistory routes_ ABSL_GUARDED_BY(mutex_);
  uint64_t routes_revision_ ABSL_GUARDED_BY(mutex_) = 0;
  // Latest plan after which the history was read.
  uint64_t routes_read_version_ ABSL_GUARDED_BY(mutex_) = 0;
  // Earliest time of the next read, if the history was not read since.
  MonoTime read_routes_at_ ABSL_GUARDED_BY(mutex_) = MonoTime::min();
  // Time of the next write of the history; max if it covers the plan.
  MonoTime record_routes_at_ ABSL_GUARDED_BY(mutex_) = MonoTime::max();
  std::map<std::string, WorkerReport> reports_ ABSL_GUARDED_BY(mutex_);
  // Latest worker of each instance.
  std::map<std::string, WorkerKey> latest_workers_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, Owner> known_owners_ ABSL_GUARDED_BY(mutex_);
  MemberList members_ ABSL_GUARDED_BY(mutex_);
  // Lease of this daemon's own record, and the time until which other members
  // may still be writing theirs.
  LeaseId member_lease_ ABSL_GUARDED_BY(mutex_) = 0;
  MonoTime members_settle_at_ ABSL_GUARDED_BY(mutex_) = MonoTime::min();
  bool first_lease_ ABSL_GUARDED_BY(mutex_) = true;
  // Keyed by scope, as the owners are.
  std::map<std::string, std::shared_ptr<PoolRunner>> runners_
      ABSL_GUARDED_BY(mutex_);
  std::shared_ptr<InstanceController> controller_ ABSL_GUARDED_BY(mutex_);
  struct SeenWave {
    MaintenanceWave wave;
    MonoTime seen_at;
  };
  std::map<uint64_t, SeenWave> waves_ ABSL_GUARDED_BY(mutex_);
  std::set<std::string> pending_claims_ ABSL_GUARDED_BY(mutex_);
  // Lease under which the key of each active claim was written.
  std::map<std::string, LeaseId> claim_leases_ ABSL_GUARDED_BY(mutex_);
  // Earliest time at which removing one of this daemon's own keys is retried.
  std::map<std::string, MonoTime> retry_removal_at_ ABSL_GUARDED_BY(mutex_);
  ClaimPolicy claim_policy_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, ClaimDecision> decisions_ ABSL_GUARDED_BY(mutex_);
  OverloadDetector overload_detector_ ABSL_GUARDED_BY(mutex_);
  uint64_t claim_number_ ABSL_GUARDED_BY(mutex_) = 0;
  bool releasing_ ABSL_GUARDED_BY(mutex_) = false;

  std::function<void(MonoTime)> wake_at_;
  mutable absl::Mutex timers_mutex_;
  std::multimap<MonoTime, std::function<void()>> timers_
      ABSL_GUARDED_BY(timers_mutex_);
  bool stopped_ ABSL_GUARDED_BY(timers_mutex_) = false;
};

}  // namespace figflow

#endif  // FLEET_FLEET_ENGINE_H_
