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
#include "Fleet/overload_watch.h"
#include "Fleet/pool_runner.h"
#include "Fleet/route_choice.h"
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
  // "ip:port" at which this daemon takes calls of its peers.
  std::string peer_address;
  // Unique among the processes of the fleet.
  std::string process_id;
  // Processor share of this daemon in thousandths of a core.
  int64_t millicores = 1'000;
  ExecutionBounds bounds;
  StoreSessionOptions session;
  // Without holder, nonce and fence.
  InstanceControllerOptions instances;
};

// What a daemon knows of the platform, and the pools that it owns. Follows the
// operators' plan, the registry of workers, the owners' keys and the members'
// records; claims pools without an owner.
class FleetEngine {
 public:
  struct Owner {
    OwnerRecord record;
    uint64_t revision = 0;
    // When this daemon learnt of it.
    MonoTime seen_at;
  };

  FleetEngine(PlatformAdapter& platform,
              const Clock& clock,
              MetricsRegistry& metrics,
              FleetEngineOptions options);
  ~FleetEngine();
  FleetEngine(const FleetEngine&) = delete;
  FleetEngine& operator=(const FleetEngine&) = delete;

  // How the keeper of the instances reaches the pools' owners.
  void SetAskPool(InstanceController::SyncPool ask_pool);
  // Called, from any thread, to ask for a Step at a time. It must not call
  // back.
  void SetWake(std::function<void(MonoTime)> wake_at);
  // How late this daemon has begun its calls since the last question. Without
  // it, the daemon never gives way.
  void SetLagProbe(std::function<MonoTime::duration()> lag);
  // Takes over changed bounds of the platform, for the pools owned now as well.
  void SetBounds(const ExecutionBounds& bounds);
  // Begins to follow the store.
  void Start();
  // Does what is due; to be called from one thread. Returns when to call again.
  MonoTime Step(MonoTime now);
  // Claims nothing more and hands all scopes over; calls are still answered.
  void BeginRelease();
  // Nothing is owned any more.
  bool Released() const;
  // Ends without a hand-over of what is left. No Step may follow.
  void Stop();

  // Null until the operators' plan is known.
  std::shared_ptr<const FleetPlan> plan() const;
  // None until it is known how pools are split.
  std::optional<PoolLayout> layout() const;
  // Null unless this daemon owns the scope and has read its records.
  std::shared_ptr<PoolRunner> OwnRunner(const std::string& scope) const;
  // None while no owner is known.
  std::optional<Owner> OwnerOf(const std::string& scope) const;
  // The members of the fleet, without this daemon.
  std::vector<PeerAddress> Peers() const;
  // How old the knowledge of the owners' keys is at most.
  MonoTime::duration OwnersAge(MonoTime now) const {
    return owners_->Staleness(now);
  }
  // How old the knowledge of the plan is at most.
  MonoTime::duration PlanAge(MonoTime now) const {
    return operator_keys_->Staleness(now);
  }
  // All plans that have to be in force are known.
  bool PlanIsCurrent(MonoTime now) const;
  // Longest wait of a call for a confirmed plan. A later call may be decided
  // meanwhile by the plan that is in force.
  std::chrono::milliseconds PlanPatience() const;
  // Asks the store whether there is a later plan.
  void ConfirmPlan() { operator_keys_->ConfirmCurrent(); }
  // How long the store has not answered this daemon.
  std::chrono::milliseconds StoreSilence(MonoTime now) const {
    return WholeMilliseconds(session_->TimeSinceResponse(now));
  }
  const std::string& entry() const { return options_.entry; }
  bool releasing() const;

  // Runs `task` once, after `delay`, in a Step.
  void After(std::chrono::milliseconds delay, std::function<void()> task);

  // What this daemon believes, for operators.
  nlohmann::json DumpState() const;

 private:
  void WakeAt(MonoTime at);
  void RunTasks(MonoTime now);
  MonoTime StepOwnership(MonoTime now);
  // Hands all scopes over if this daemon cannot keep up.
  void WatchOverload(MonoTime now);
  void HandOverAll();
  // Vacant scopes whose time to be claimed has come, marked as being claimed.
  // Moves `next` to the next such time.
  std::vector<std::string> TakeDueClaims(MonoTime now, MonoTime* next)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Claim(const std::string& scope, LeaseId lease);
  // What decided the last claim of the scope.
  ClaimDecision DecisionOn(const std::string& scope) const;
  void OnOwned(const std::string& scope,
               const std::string& nonce,
               uint64_t revision,
               LeaseId lease);
  void StartRunner(const std::string& scope,
                   const std::string& nonce,
                   uint64_t revision);
  // Begins to write the layout of the pools if there is none yet.
  void ProposeLayout(MonoTime now);
  void WriteLayout(int instances);
  void SetLayout(const PoolLayout& layout);
  // The scope that the worker serves; empty while the layout is not known.
  std::string ScopeOf(const WorkerReport& report) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void StartKeeper(const std::string& nonce, uint64_t revision);
  // Ends what this daemon does under its claim of `scope`, and the claim.
  void EndScope(const std::string& scope, const char* cause);
  void RemoveOwnerKey(const std::string& scope, uint64_t revision);
  // Revision of the claim under which this daemon works; 0 if there is none.
  uint64_t WorkingRevision(const std::string& scope) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Why the scope has to be given up; null if it has not.
  const char* EndCause(const std::string& scope,
                       LeaseId lease,
                       MonoTime now) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  void OnOperatorItem(const StoreItem& item);
  void OnPlanItem(const StoreItem& item);
  void OnWaveItem(const StoreItem& item);
  void OnWorkerItem(const StoreItem& item);
  Result<WorkerReport> ReadWorker(const StoreItem& item, WallTime now) const;
  void OnOwnerItem(const StoreItem& item);
  void OnLayoutItem(const StoreItem& item);
  void OnMemberItem(const StoreItem& item);
  void ForgetMembers(MonoTime now);
  int PeerCount() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // For ranking, from the members and owners known now.
  ClaimView ViewForClaims(std::set<std::string> vacant, MonoTime now) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  PlatformAdapter& platform_;
  const Clock& clock_;
  MetricsRegistry& metrics_;
  const FleetEngineOptions options_;
  InstanceController::SyncPool ask_pool_;
  std::function<MonoTime::duration()> lag_probe_;
  std::shared_ptr<StoreSession> session_;
  std::shared_ptr<PrefixFollower> operator_keys_;
  std::shared_ptr<PrefixFollower> workers_;
  std::shared_ptr<PrefixFollower> owners_;
  std::shared_ptr<MemberRegistration> registration_;

  mutable absl::Mutex mutex_;
  ExecutionBounds bounds_ ABSL_GUARDED_BY(mutex_);
  std::shared_ptr<const FleetPlan> plan_ ABSL_GUARDED_BY(mutex_);
  std::optional<PoolLayout> layout_ ABSL_GUARDED_BY(mutex_);
  MonoTime layout_wanted_since_ ABSL_GUARDED_BY(mutex_) = MonoTime::max();
  // When the layout may be proposed next.
  MonoTime propose_at_ ABSL_GUARDED_BY(mutex_) = MonoTime::min();
  std::map<std::string, WorkerReport> reports_ ABSL_GUARDED_BY(mutex_);
  // Latest worker of each instance.
  std::map<std::string, WorkerKey> worker_on_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, Owner> known_owners_ ABSL_GUARDED_BY(mutex_);
  MemberList members_ ABSL_GUARDED_BY(mutex_);
  // The lease of this daemon's own record, and until when other members may be
  // about to write theirs.
  LeaseId member_lease_ ABSL_GUARDED_BY(mutex_) = 0;
  MonoTime members_settle_ ABSL_GUARDED_BY(mutex_) = MonoTime::min();
  bool first_lease_ ABSL_GUARDED_BY(mutex_) = true;
  // By scope, as are the owners.
  std::map<std::string, std::shared_ptr<PoolRunner>> runners_
      ABSL_GUARDED_BY(mutex_);
  std::shared_ptr<InstanceController> keeper_ ABSL_GUARDED_BY(mutex_);
  struct SeenWave {
    MaintenanceWave wave;
    MonoTime seen_at;
  };
  std::map<uint64_t, SeenWave> waves_ ABSL_GUARDED_BY(mutex_);
  std::set<std::string> claiming_ ABSL_GUARDED_BY(mutex_);
  // Lease with which the key of each claim in force was written.
  std::map<std::string, LeaseId> claim_leases_ ABSL_GUARDED_BY(mutex_);
  // When the removal of an own key may be tried again.
  std::map<std::string, MonoTime> removed_at_ ABSL_GUARDED_BY(mutex_);
  ClaimPolicy claims_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, ClaimDecision> decisions_ ABSL_GUARDED_BY(mutex_);
  OverloadWatch overload_ ABSL_GUARDED_BY(mutex_);
  uint64_t claim_number_ ABSL_GUARDED_BY(mutex_) = 0;
  bool releasing_ ABSL_GUARDED_BY(mutex_) = false;

  std::function<void(MonoTime)> wake_at_;
  mutable absl::Mutex tasks_mutex_;
  std::multimap<MonoTime, std::function<void()>> tasks_
      ABSL_GUARDED_BY(tasks_mutex_);
  bool stopped_ ABSL_GUARDED_BY(tasks_mutex_) = false;
};

}  // namespace figflow

#endif  // FLEET_FLEET_ENGINE_H_
