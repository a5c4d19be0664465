#include "Fleet/fleet_engine.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace figflow {
namespace {

// Longest time between two steps: followers and the lease ask for no wake.
constexpr std::chrono::milliseconds kLongestPause{100};
// Least time between two watches of the registry by a daemon that owns pools. A
// worker's change is known this much later; a move of its instance takes 30
// times as long.
constexpr std::chrono::milliseconds kRegistryGap{50};
// And by a daemon that owns none: it only has to know most workers when it
// takes a pool over.
constexpr std::chrono::milliseconds kIdleRegistryGap{1'000};

// Part of the slack between plans that a call may wait. The rest is for the way
// to the daemon, which differs from call to call.
constexpr double kPlanPatienceShare = 0.8;

// A watch that got lost, the next one and the read of the plan fit into the
// time within which a plan has to be in force.
std::chrono::milliseconds PlanWatchWait(const ExecutionBounds& bounds) {
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
      bounds_(options_.bounds),
      claims_(options_.entry) {
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
             PlanWatchWait(options_.bounds));
  workers_ = follow(platform_.worker_prefix(), &FleetEngine::OnWorkerItem);
  owners_ = follow(kOwnerPrefix, &FleetEngine::OnOwnerItem);
}

FleetEngine::~FleetEngine() {
  Stop();
}

void FleetEngine::SetAskPool(InstanceController::SyncPool ask_pool) {
  ask_pool_ = std::move(ask_pool);
}

void FleetEngine::SetLagProbe(std::function<MonoTime::duration()> lag) {
  lag_probe_ = std::move(lag);
}

void FleetEngine::SetWake(std::function<void(MonoTime)> wake_at) {
  wake_at_ = std::move(wake_at);
}

void FleetEngine::Start() {
  operator_keys_->Start();
  workers_->Start();
  owners_->Start();
}

void FleetEngine::Stop() {
  {
    absl::MutexLock lock(&tasks_mutex_);
    if (stopped_) {
      return;
    }
    stopped_ = true;
    tasks_.clear();
  }
  for (const auto& follower : {operator_keys_, workers_, owners_}) {
    follower->Stop();
  }
  registration_->Stop();
  session_->Close();
  std::map<std::string, std::shared_ptr<PoolRunner>> runners;
  std::shared_ptr<InstanceController> keeper;
  {
    absl::MutexLock lock(&mutex_);
    runners.swap(runners_);
    keeper.swap(keeper_);
  }
  for (const auto& [pool, runner] : runners) {
    runner->End("stop");
  }
  if (keeper) {
    keeper->Stop();
  }
}

void FleetEngine::WakeAt(MonoTime at) {
  if (wake_at_) {
    wake_at_(at);
  }
}

void FleetEngine::After(std::chrono::milliseconds delay,
                        std::function<void()> task) {
  const MonoTime at = clock_.Now() + delay;
  {
    absl::MutexLock lock(&tasks_mutex_);
    if (stopped_) {
      return;
    }
    tasks_.emplace(at, std::move(task));
  }
  WakeAt(at);
}

void FleetEngine::RunTasks(MonoTime now) {
  std::vector<std::function<void()>> due;
  {
    absl::MutexLock lock(&tasks_mutex_);
    while (!tasks_.empty() && tasks_.begin()->first <= now) {
      due.push_back(std::move(tasks_.begin()->second));
      tasks_.erase(tasks_.begin());
    }
  }
  for (const auto& task : due) {
    task();
  }
}

MonoTime FleetEngine::Step(MonoTime now) {
  RunTasks(now);
  MonoTime next = std::min(now + kLongestPause, session_->Step(now));
  next = std::min(next, registration_->Step(session_->lease(), now));
  bool owns = false;
  {
    absl::MutexLock lock(&mutex_);
    owns = !runners_.empty() || keeper_ != nullptr;
  }
  workers_->SetMinWatchInterval(owns ? kRegistryGap : kIdleRegistryGap);
  const bool regained = session_->TakeStoreRegained();
  for (const auto& follower : {operator_keys_, workers_, owners_}) {
    if (regained) {
      follower->Resync();
    }
    next = std::min(next, follower->Step(now));
  }
  ForgetMembers(now);
  WatchOverload(now);
  ProposeLayout(now);
  next = std::min(next, StepOwnership(now));
  // After StepOwnership every claim in force belongs to this lease.
  const MonoTime certain = session_->lease_valid_until();
  std::vector<std::shared_ptr<PoolRunner>> runners;
  std::shared_ptr<InstanceController> keeper;
  {
    absl::MutexLock lock(&mutex_);
    for (const auto& [pool, runner] : runners_) {
      runners.push_back(runner);
    }
    keeper = keeper_;
  }
  for (const auto& runner : runners) {
    runner->SetCertainUntil(certain);
    next = std::min(next, runner->Tick(now));
  }
  if (keeper) {
    keeper->SetLeaseValidUntil(certain);
    next = std::min(next, keeper->Step(now));
  }
  absl::MutexLock lock(&tasks_mutex_);
  return tasks_.empty() ? next : std::min(next, tasks_.begin()->first);
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
  return PlanAge(now) <= bounds_.plan_apply;
}

std::chrono::milliseconds FleetEngine::PlanPatience() const {
  absl::MutexLock lock(&mutex_);
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      bounds_.plan_rollback_slack * kPlanPatienceShare);
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
