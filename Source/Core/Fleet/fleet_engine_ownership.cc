// Ownership of scopes by this daemon: claims, releases and hand-overs.
#include <algorithm>
#include <chrono>
#include <set>
#include <utility>
#include <vector>

#include "Common/log.h"
#include "Fleet/fleet_engine.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

// A claim is a single write.
constexpr std::chrono::milliseconds kClaimTimeout{600};
// Delay before the removal of an owner's key is retried.
constexpr std::chrono::milliseconds kRemovalRetryDelay{400};
// An owner that reaches fewer than half of its workers by then releases the
// pool to a daemon that may reach more. A small entry instance needs some time
// for the first request to each worker.
constexpr std::chrono::milliseconds kReachabilityTimeout{1'000};
constexpr std::chrono::milliseconds kReachabilityTimeoutPerWorker{20};

}  // namespace

uint64_t FleetEngine::ActiveClaimRevision(const std::string& scope) const {
  if (scope == kInstancesScope) {
    return controller_ == nullptr ? 0 : controller_->fence();
  }
  const auto runner = runners_.find(scope);
  return runner == runners_.end() ? 0 : runner->second->claim().revision;
}

const char* FleetEngine::ReleaseCause(const std::string& scope,
                                      LeaseId lease) const {
  // The key was removed with the lease that it was written with. A new lease
  // does not restore it.
  const auto claim = claim_leases_.find(scope);
  if (claim == claim_leases_.end() || claim->second != lease) {
    return "lease-ended";
  }
  const auto owner = known_owners_.find(scope);
  if (owner != known_owners_.end() &&
      owner->second.revision > ActiveClaimRevision(scope)) {
    return "replaced";
  }
  if (scope == kInstancesScope) {
    return controller_->deposed() ? "deposed" : nullptr;
  }
  const PoolRunner& runner = *runners_.at(scope);
  if (runner.deposed()) {
    return "deposed";
  }
  return nullptr;
}

bool FleetEngine::ReachesTooFewWorkers(const PoolRunner& runner, MonoTime now) {
  const auto [listed, reached] = runner.CountReachedWorkers();
  return runner.state() == PoolRunner::State::kActive &&
         now > runner.active_since() + kReachabilityTimeout +
                   kReachabilityTimeoutPerWorker * listed &&
         reached * 2 < listed;
}

MonoTime FleetEngine::StepOwnership(MonoTime now) {
  MonoTime next = MonoTime::max();
  std::vector<std::string> to_claim;
  std::vector<std::pair<std::string, const char*>> to_release;
  std::vector<std::string> to_hand_over;
  std::vector<std::pair<std::string, uint64_t>> to_remove;
  const LeaseId lease = session_->lease();
  {
    absl::MutexLock lock(&mutex_);
    std::vector<std::string> owned;
    for (const auto& [pool, runner] : runners_) {
      owned.push_back(pool);
    }
    if (controller_ != nullptr) {
      owned.emplace_back(kInstancesScope);
    }
    for (const std::string& scope : owned) {
      if (const char* cause = ReleaseCause(scope, lease)) {
        to_release.emplace_back(scope, cause);
      } else if (scope != kInstancesScope &&
                 ReachesTooFewWorkers(*runners_.at(scope), now)) {
        to_hand_over.push_back(scope);
      }
    }
    // A removal may fail, and the key would then remain for as long as the
    // lease.
    for (const auto& [scope, owner] : known_owners_) {
      const bool own =
          absl::StartsWith(owner.record.nonce, options_.process_id);
      MonoTime& retry_at = retry_removal_at_[scope];
      if (own && ActiveClaimRevision(scope) == 0 &&
          pending_claims_.count(scope) == 0 && now >= retry_at) {
        retry_at = now + kRemovalRetryDelay;
        to_remove.emplace_back(scope, owner.revision);
      }
    }
    const bool may_claim = !releasing_ && owners_->synced() && lease != 0 &&
                           now < session_->lease_valid_until() &&
                           plan_ != nullptr && layout_;
    if (may_claim) {
      to_claim = TakeDueClaims(now, &next);
    }
  }
  for (const auto& [scope, cause] : to_release) {
    ReleaseScope(scope, cause);
  }
  for (const std::string& scope : to_hand_over) {
    HandOverPool(scope, "workers-unreachable");
  }
  for (const auto& [scope, revision] : to_remove) {
    RemoveOwnerKey(scope, revision);
  }
  for (const std::string& scope : to_claim) {
    ClaimScope(scope, lease);
  }
  return next;
}

std::vector<std::string> FleetEngine::TakeDueClaims(MonoTime now,
                                                    MonoTime* next) {
  std::set<std::string> vacant;
  const auto add = [this, &vacant](const std::string& scope) {
    mutex_.AssertHeld();
    if (known_owners_.count(scope) == 0 && pending_claims_.count(scope) == 0) {
      vacant.insert(scope);
    }
  };
  add(kInstancesScope);
  for (const PoolConfig& pool : plan_->pools) {
    if (pool.spare) {
      continue;
    }
    for (const std::string& scope : layout_->ScopesOfPool(pool.name)) {
      add(scope);
    }
  }
  std::vector<std::string> due;
  if (vacant.empty()) {
    return due;
  }
  const ClaimView view = MakeClaimView(std::move(vacant), now);
  for (ClaimDecision& decision : claim_policy_.DecideClaims(view, now)) {
    if (decision.claim_at > now) {
      *next = std::min(*next, decision.claim_at);
      continue;
    }
    pending_claims_.insert(decision.scope);
    due.push_back(decision.scope);
    decisions_[decision.scope] = std::move(decision);
  }
  return due;
}

ClaimDecision FleetEngine::LastClaimDecision(const std::string& scope) const {
  absl::MutexLock lock(&mutex_);
  const auto decision = decisions_.find(scope);
  return decision == decisions_.end() ? ClaimDecision() : decision->second;
}

void FleetEngine::ClaimScope(const std::string& scope, LeaseId lease) {
  OwnerRecord record;
  record.entry = options_.entry;
  record.address = options_.peer_address;
  {
    absl::MutexLock lock(&mutex_);
    record.nonce = absl::StrCat(options_.process_id, "-", ++claim_number_);
  }
  Transaction transaction;
  transaction.expected = {{OwnerKey(scope), 0}};
  transaction.writes = {{OwnerKey(scope), FormatOwnerRecord(record), lease}};
  platform_.store().Commit(
      transaction, kClaimTimeout,
      [this, scope, record, lease](const Result<TransactionResult>& result) {
        {
          absl::MutexLock lock(&mutex_);
          // A claim whose response is lost becomes visible in the owners' keys.
          if (!result || !result->committed) {
            pending_claims_.erase(scope);
            claim_policy_.OnClaimRejected(scope, clock_.Now());
            return;
          }
          Owner& owner = known_owners_[scope];
          if (result->revision > owner.revision) {
            owner = {record, result->revision, clock_.Now()};
            claim_policy_.OnOwned(scope, record.entry);
          }
        }
        OnScopeClaimed(scope, record.nonce, result->revision, lease);
        absl::MutexLock lock(&mutex_);
        pending_claims_.erase(scope);
      });
}

void FleetEngine::OnScopeClaimed(const std::string& scope,
                                 const std::string& nonce,
                                 uint64_t revision,
                                 LeaseId lease) {
  {
    absl::MutexLock lock(&mutex_);
    if (ActiveClaimRevision(scope) >= revision) {
      return;
    }
    claim_leases_[scope] = lease;
    overload_detector_.OnScopeClaimed(clock_.Now());
  }
  if (scope == kInstancesScope) {
    StartController(nonce, revision);
  } else {
    StartRunner(scope, nonce, revision);
  }
}

void FleetEngine::StartRunner(const std::string& scope,
                              const std::string& nonce,
                              uint64_t revision) {
  const ClaimDecision decision = LastClaimDecision(scope);
  LogEvent(LogLevel::kInfo, LogCategory::kPools, "pool_claimed",
           {{"pool", scope},
            {"fence", absl::StrCat(revision)},
            {"rank", absl::StrCat(decision.rank)},
            {"load", absl::StrCat(decision.load)},
            {"millicores", absl::StrCat(decision.millicores)}});
  std::shared_ptr<PoolRunner> runner;
  std::vector<WorkerReport> reports;
  {
    absl::MutexLock lock(&mutex_);
    PoolRunner::Dependencies parts{
        platform_,
        clock_,
        metrics_,
        [this](MonoTime at) { WakeAt(at); },
        [this](const StoreItem& item) { OnRoutesItem(item); },
        work_memory_};
    runner = std::make_shared<PoolRunner>(
        parts, PoolRunner::Claim{scope, nonce, revision}, bounds_);
    runners_[scope] = runner;
    for (const auto& [id, report] : reports_) {
      if (ScopeOf(report) == scope) {
        reports.push_back(report);
      }
    }
    runner->SetPlan(plan_);
  }
  runner->SetLeaseValidUntil(session_->lease_valid_until());
  for (const WorkerReport& report : reports) {
    runner->OnWorkerListed(report);
  }
  runner->Start();
}

void FleetEngine::StartController(const std::string& nonce, uint64_t revision) {
  InstanceControllerOptions options = options_.instances;
  options.holder = options_.entry;
  options.nonce = nonce;
  options.fence = revision;
  auto controller = std::make_shared<InstanceController>(
      platform_, clock_, metrics_, options, sync_pool_,
      [this] { WakeAt(clock_.Now()); });
  {
    absl::MutexLock lock(&mutex_);
    controller_ = controller;
    controller->SetPlan(plan_);
    controller->SetLayout(*layout_);
    for (const auto& [number, seen] : waves_) {
      controller->OnWaveRequested(seen.wave, seen.seen_at);
    }
  }
  const ClaimDecision decision = LastClaimDecision(kInstancesScope);
  LogEvent(LogLevel::kInfo, LogCategory::kMaintenance, "instances_owned",
           {{"fence", absl::StrCat(revision)},
            {"rank", absl::StrCat(decision.rank)},
            {"load", absl::StrCat(decision.load)},
            {"millicores", absl::StrCat(decision.millicores)}});
  controller->Start();
}

void FleetEngine::ReleaseScope(const std::string& scope, const char* cause) {
  std::shared_ptr<PoolRunner> runner;
  std::shared_ptr<InstanceController> controller;
  uint64_t revision = 0;
  {
    absl::MutexLock lock(&mutex_);
    revision = ActiveClaimRevision(scope);
    if (revision == 0) {
      return;
    }
    if (scope == kInstancesScope) {
      controller.swap(controller_);
    } else {
      runner = runners_.at(scope);
      runners_.erase(scope);
    }
    claim_policy_.OnReleased(scope, clock_.Now());
    retry_removal_at_[scope] = clock_.Now() + kRemovalRetryDelay;
  }
  metrics_
      .GetCounter(
          absl::StrCat("figflow_scopes_given_up_total{cause=\"", cause, "\"}"))
      .Add();
  if (runner) {
    runner->Stop(cause);
  }
  if (controller) {
    controller->Stop();
    LogEvent(LogLevel::kInfo, LogCategory::kMaintenance, "instances_given_up",
             {{"fence", absl::StrCat(revision)}, {"cause", cause}});
  }
  RemoveOwnerKey(scope, revision);
}

void FleetEngine::RemoveOwnerKey(const std::string& scope, uint64_t revision) {
  Transaction transaction;
  transaction.expected = {{OwnerKey(scope), revision}};
  transaction.removals = {OwnerKey(scope)};
  platform_.store().Commit(transaction, kClaimTimeout,
                           [](const Result<TransactionResult>&) {});
}

void FleetEngine::CheckOverload(MonoTime now) {
  {
    absl::MutexLock lock(&mutex_);
    if (!lag_probe_ || !overload_detector_.SampleDue(now)) {
      return;
    }
    overload_detector_.OnSample(lag_probe_(), now);
    // Without other daemons, there is none to take over.
    const bool owns = !runners_.empty() || controller_ != nullptr;
    if (!owns || releasing_ || PeerCount() == 0 ||
        !overload_detector_.ShouldShedLoad(now)) {
      return;
    }
    overload_detector_.OnLoadShed(now);
    LogEvent(
        LogLevel::kWarning, LogCategory::kPools, "overloaded",
        {{"calls_late_ms",
          absl::StrCat(
              WholeMilliseconds(overload_detector_.smoothed_lag()).count())},
         {"pools", absl::StrCat(runners_.size())},
         {"peers", absl::StrCat(PeerCount())}});
  }
  HandOverAllScopes();
}

void FleetEngine::BeginRelease() {
  {
    absl::MutexLock lock(&mutex_);
    releasing_ = true;
  }
  HandOverAllScopes();
}

void FleetEngine::HandOverAllScopes() {
  std::map<std::string, std::shared_ptr<PoolRunner>> runners;
  std::shared_ptr<InstanceController> controller;
  {
    absl::MutexLock lock(&mutex_);
    runners = runners_;
    controller = controller_;
  }
  if (controller) {
    controller->HandOver(
        [this] { ReleaseScope(kInstancesScope, "handed-over"); });
  }
  for (const auto& [pool, runner] : runners) {
    HandOverPool(pool, "handed-over");
  }
}

void FleetEngine::HandOverPool(const std::string& scope, const char* cause) {
  std::shared_ptr<PoolRunner> runner;
  {
    absl::MutexLock lock(&mutex_);
    const auto owned = runners_.find(scope);
    if (owned == runners_.end()) {
      return;
    }
    runner = owned->second;
  }
  runner->Release([this, scope, cause] { ReleaseScope(scope, cause); });
}

bool FleetEngine::AllScopesReleased() const {
  absl::MutexLock lock(&mutex_);
  return runners_.empty() && controller_ == nullptr;
}

}  // namespace figflow
