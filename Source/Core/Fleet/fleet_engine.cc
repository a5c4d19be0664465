#include "Fleet/fleet_engine.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace figflow {
namespace {

// Maximum time between two steps, because the followers and the lease do not
// request steps.
constexpr std::chrono::milliseconds kMaxStepInterval{100};
// Minimum time between two watches of the registry by a daemon that owns pools.
// Delays the news of a worker's change by as much; moving its instance takes 30
// times as long.
constexpr std::chrono::milliseconds kRegistryWatchInterval{50};
// The same for a daemon that owns no pool. It only needs a nearly complete list
// of workers when it takes over a pool.
constexpr std::chrono::milliseconds kIdleRegistryWatchInterval{1'000};

// Fraction of the slack between plans that a call may wait. The rest covers the
// latency to the daemon, which varies between calls.
constexpr double kPlanWaitFraction = 0.8;

// A lost watch, the next watch and the read of the plan together fit into the
// time within which a plan must be in force.
std::chrono::milliseconds PlanWatchTimeout(const ExecutionBounds& bounds) {
  return std::clamp(bounds.plan_apply / 3, std::chrono::milliseconds(100),
                    kMaxWatchWait);
}

}  // namespace

FleetEngine::FleetEngine(PlatformAdapter& platform,
                         const Clock& clock,
                         MetricsRegistry& metrics,
                         FleetEngineOptions options)
    : platform_(platform),
      clock_(clock),
      metrics_(metrics),
      options_(std::move(options)),
      work_memory_(std::make_shared<WorkMemory>(options_.work_memory)),
      bounds_(options_.bounds),
      claim_policy_(options_.entry) {
  session_ =
      std::make_shared<StoreSession>(platform_.store(), options_.session);
  registration_ = std::make_shared<MemberRegistration>(
      platform_.store(), clock_,
      MemberRecord{options_.entry, options_.peer_address, options_.millicores});
  const auto follow = [this](const std::string& prefix,
                             void (FleetEngine::*on_item)(const StoreItem&),
                             std::chrono::milliseconds wait = kMaxWatchWait) {
    PrefixFollowerOptions follower;
    follower.prefix = prefix;
    follower.max_watch_wait = wait;
    return std::make_shared<PrefixFollower>(
        platform_.store(), clock_, metrics_, follower,
        [this, on_item](const StoreItem& item) { (this->*on_item)(item); },
        [this] { WakeAt(clock_.Now()); });
  };
  operator_keys_ =
      follow(platform_.operator_prefix(), &FleetEngine::OnOperatorItem,
             PlanWatchTimeout(options_.bounds));
  workers_ = follow(platform_.worker_prefix(), &FleetEngine::OnWorkerItem);
  owners_ = follow(kOwnerPrefix, &FleetEngine::OnOwnerItem);
}

FleetEngine::~FleetEngine() {
  Stop();
}

void FleetEngine::SetSyncPool(InstanceController::SyncPool sync_pool) {
  sync_pool_ = std::move(sync_pool);
}

void FleetEngine::SetLagProbe(std::function<MonoTime::duration()> lag) {
  lag_probe_ = std::move(lag);
}

void FleetEngine::SetWakeCallback(std::function<void(MonoTime)> wake_at) {
  wake_at_ = std::move(wake_at);
}

void FleetEngine::Start() {
  operator_keys_->Start();
  workers_->Start();
  owners_->Start();
}

void FleetEngine::Stop() {
  {
    absl::MutexLock lock(&timers_mutex_);
    if (stopped_) {
      return;
    }
    stopped_ = true;
    timers_.clear();
  }
  for (const auto& follower : {operator_keys_, workers_, owners_}) {
    follower->Stop();
  }
  registration_->Stop();
  session_->Close();
  std::map<std::string, std::shared_ptr<PoolRunner>> runners;
  std::shared_ptr<InstanceController> controller;
  {
    absl::MutexLock lock(&mutex_);
    runners.swap(runners_);
    controller.swap(controller_);
  }
  for (const auto& [pool, runner] : runners) {
    runner->Stop("stop");
  }
  if (controller) {
    controller->Stop();
  }
}

void FleetEngine::WakeAt(MonoTime at) {
  if (wake_at_) {
    wake_at_(at);
  }
}

void FleetEngine::RunAfter(std::chrono::milliseconds delay,
                           std::function<void()> callback) {
  const MonoTime at = clock_.Now() + delay;
  {
    absl::MutexLock lock(&timers_mutex_);
    if (stopped_) {
      return;
    }
    timers_.emplace(at, std::move(callback));
  }
  WakeAt(at);
}

void FleetEngine::RunDueTimers(MonoTime now) {
  std::vector<std::function<void()>> due;
  {
    absl::MutexLock lock(&timers_mutex_);
    while (!timers_.empty() && timers_.begin()->first <= now) {
      due.push_back(std::move(timers_.begin()->second));
      timers_.erase(timers_.begin());
    }
  }
  for (const auto& callback : due) {
    callback();
  }
}

MonoTime FleetEngine::Step(MonoTime now) {
  RunDueTimers(now);
  MonoTime next = std::min(now + kMaxStepInterval, session_->Step(now));
  next = std::min(next, registration_->Step(session_->lease(), now));
  bool owns = false;
  {
    absl::MutexLock lock(&mutex_);
    owns = !runners_.empty() || controller_ != nullptr;
  }
  workers_->SetMinWatchInterval(owns ? kRegistryWatchInterval
                                     : kIdleRegistryWatchInterval);
  const bool regained = session_->TakeStoreRegained();
  for (const auto& follower : {operator_keys_, workers_, owners_}) {
    if (regained) {
      follower->Resync();
    }
    next = std::min(next, follower->Step(now));
  }
  RemoveLostMembers(now);
  CheckOverload(now);
  ProposeLayout(now);
  next = std::min(next, StepRoutes(now));
  next = std::min(next, StepOwnership(now));
  // After StepOwnership, every active claim belongs to the current lease.
  const MonoTime lease_valid_until = session_->lease_valid_until();
  std::vector<std::shared_ptr<PoolRunner>> runners;
  std::shared_ptr<InstanceController> controller;
  {
    absl::MutexLock lock(&mutex_);
    for (const auto& [pool, runner] : runners_) {
      runners.push_back(runner);
    }
    controller = controller_;
  }
  for (const auto& runner : runners) {
    runner->SetLeaseValidUntil(lease_valid_until);
    next = std::min(next, runner->Tick(now));
  }
  if (controller) {
    controller->SetLeaseValidUntil(lease_valid_until);
    next = std::min(next, controller->Step(now));
  }
  absl::MutexLock lock(&timers_mutex_);
  return timers_.empty() ? next : std::min(next, timers_.begin()->first);
}

void FleetEngine::SetBounds(const ExecutionBounds& bounds) {
  std::vector<std::shared_ptr<PoolRunner>> runners;
  {
    absl::MutexLock lock(&mutex_);
    bounds_ = bounds;
    for (const auto& [pool, runner] : runners_) {
      runners.push_back(runner);
    }
  }
  for (const auto& runner : runners) {
    runner->SetBounds(bounds);
  }
}

std::shared_ptr<const FleetPlan> FleetEngine::plan() const {
  absl::MutexLock lock(&mutex_);
  return plan_;
}

bool FleetEngine::PlanIsCurrent(MonoTime now) const {
  absl::MutexLock lock(&mutex_);
  return PlanStaleness(now) <= bounds_.plan_apply;
}

std::chrono::milliseconds FleetEngine::MaxPlanWait() const {
  absl::MutexLock lock(&mutex_);
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      bounds_.plan_rollback_slack * kPlanWaitFraction);
}

std::optional<PoolLayout> FleetEngine::layout() const {
  absl::MutexLock lock(&mutex_);
  return layout_;
}

std::shared_ptr<PoolRunner> FleetEngine::OwnRunner(
    const std::string& scope) const {
  absl::MutexLock lock(&mutex_);
  const auto it = runners_.find(scope);
  return it == runners_.end() ? nullptr : it->second;
}

std::optional<FleetEngine::Owner> FleetEngine::OwnerOf(
    const std::string& scope) const {
  absl::MutexLock lock(&mutex_);
  const auto it = known_owners_.find(scope);
  if (it == known_owners_.end()) {
    return std::nullopt;
  }
  return it->second;
}

bool FleetEngine::releasing() const {
  absl::MutexLock lock(&mutex_);
  return releasing_;
}

}  // namespace figflow
