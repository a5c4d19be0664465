// Which pools this daemon owns: claims, their ends and hand-overs.
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

// A claim is one write.
constexpr std::chrono::milliseconds kClaimTimeout{600};
// A key that could not be removed is tried again after this time.
constexpr std::chrono::milliseconds kRemoveAgain{400};
// An owner that reaches fewer than half of its workers by then gives way to a
// daemon that may reach more. A small entry instance needs some time for the
// first call to each worker.
constexpr std::chrono::milliseconds kReachTime{1'000};
constexpr std::chrono::milliseconds kReachTimeOfWorker{20};

}  // namespace

uint64_t FleetEngine::WorkingRevision(const std::string& scope) const {
  if (scope == kInstancesScope) {
    return keeper_ == nullptr ? 0 : keeper_->fence();
  }
  const auto runner = runners_.find(scope);
  return runner == runners_.end() ? 0 : runner->second->claim().revision;
}

const char* FleetEngine::EndCause(const std::string& scope,
                                  LeaseId lease,
                                  MonoTime now) const {
  // The key went with the lease that it was written with. A new lease says
  // nothing about it.
  const auto claim = claim_leases_.find(scope);
  if (claim == claim_leases_.end() || claim->second != lease) {
    return "lease-ended";
  }
  const auto owner = known_owners_.find(scope);
  if (owner != known_owners_.end() &&
      owner->second.revision > WorkingRevision(scope)) {
    return "replaced";
  }
  if (scope == kInstancesScope) {
    return keeper_->deposed() ? "deposed" : nullptr;
  }
  const PoolRunner& runner = *runners_.at(scope);
  if (runner.deposed()) {
    return "deposed";
  }
  const auto [listed, reached] = runner.Reached();
  if (runner.state() == PoolRunner::State::kActive &&
      now > runner.active_since() + kReachTime + kReachTimeOfWorker * listed &&
      reached * 2 < listed) {
    return "workers-unreachable";
  }
  return nullptr;
}

MonoTime FleetEngine::StepOwnership(MonoTime now) {
  MonoTime next = MonoTime::max();
  std::vector<std::string> to_claim;
  std::vector<std::pair<std::string, const char*>> to_end;
  std::vector<std::pair<std::string, uint64_t>> to_remove;
  const LeaseId lease = session_->lease();
  {
    absl::MutexLock lock(&mutex_);
    std::vector<std::string> working;
    for (const auto& [pool, runner] : runners_) {
      working.push_back(pool);
    }
    if (keeper_ != nullptr) {
      working.emplace_back(kInstancesScope);
    }
    for (const std::string& scope : working) {
      if (const char* cause = EndCause(scope, lease, now)) {
        to_end.emplace_back(scope, cause);
      }
    }
    // A removal may fail, and the key would stand as long as the lease.
    for (const auto& [scope, owner] : known_owners_) {
      const bool own =
          absl::StartsWith(owner.record.nonce, options_.process_id);
      MonoTime& again = removed_at_[scope];
      if (own && WorkingRevision(scope) == 0 && claiming_.count(scope) == 0 &&
          now >= again) {
        again = now + kRemoveAgain;
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
  for (const auto& [scope, cause] : to_end) {
    EndScope(scope, cause);
  }
  for (const auto& [scope, revision] : to_remove) {
    RemoveOwnerKey(scope, revision);
  }
  for (const std::string& scope : to_claim) {
    Claim(scope, lease);
  }
  return next;
}

std::vector<std::string> FleetEngine::TakeDueClaims(MonoTime now,
                                                    MonoTime* next) {
  std::set<std::string> vacant;
  const auto add = [this, &vacant](const std::string& scope) {
    mutex_.AssertHeld();
    if (known_owners_.count(scope) == 0 && claiming_.count(scope) == 0) {
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
  const ClaimView view = ViewForClaims(std::move(vacant), now);
  for (ClaimDecision& decision : claims_.DecideClaims(view, now)) {
    if (decision.claim_at > now) {
      *next = std::min(*next, decision.claim_at);
      continue;
    }
    claiming_.insert(decision.scope);
    due.push_back(decision.scope);
    decisions_[decision.scope] = std::move(decision);
  }
  return due;
}

ClaimDecision FleetEngine::DecisionOn(const std::string& scope) const {
  absl::MutexLock lock(&mutex_);
  const auto decision = decisions_.find(scope);
  return decision == decisions_.end() ? ClaimDecision() : decision->second;
}

void FleetEngine::Claim(const std::string& scope, LeaseId lease) {
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
          // A claim whose answer is lost shows itself in the owners' keys.
          if (!result || !result->committed) {
            claiming_.erase(scope);
            claims_.OnClaimRejected(scope, clock_.Now());
            return;
          }
          Owner& owner = known_owners_[scope];
          if (result->revision > owner.revision) {
            owner = {record, result->revision, clock_.Now()};
            claims_.OnOwned(scope, record.entry);
          }
        }
        OnOwned(scope, record.nonce, result->revision, lease);
        absl::MutexLock lock(&mutex_);
        claiming_.erase(scope);
      });
}

void FleetEngine::OnOwned(const std::string& scope,
                          const std::string& nonce,
                          uint64_t revision,
                          LeaseId lease) {
  {
    absl::MutexLock lock(&mutex_);
    if (WorkingRevision(scope) >= revision) {
      return;
    }
    claim_leases_[scope] = lease;
    overload_.OnClaimed(clock_.Now());
  }
  if (scope == kInstancesScope) {
    StartKeeper(nonce, revision);
  } else {
    StartRunner(scope, nonce, revision);
  }
}

void FleetEngine::StartRunner(const std::string& scope,
                              const std::string& nonce,
                              uint64_t revision) {
  const ClaimDecision decision = DecisionOn(scope);
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
    PoolRunner::Parts parts{platform_, clock_, metrics_,
                            [this](MonoTime at) { WakeAt(at); }};
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
  runner->SetCertainUntil(session_->lease_valid_until());
  for (const WorkerReport& report : reports) {
    runner->OnWorkerListed(report);
  }
  runner->Start();
}

void FleetEngine::StartKeeper(const std::string& nonce, uint64_t revision) {
  InstanceControllerOptions options = options_.instances;
  options.holder = options_.entry;
  options.nonce = nonce;
  options.fence = revision;
  auto keeper = std::make_shared<InstanceController>(
      platform_, clock_, metrics_, options, ask_pool_,
      [this] { WakeAt(clock_.Now()); });
  {
    absl::MutexLock lock(&mutex_);
    keeper_ = keeper;
    keeper->SetPlan(plan_);
    keeper->SetLayout(*layout_);
    for (const auto& [number, seen] : waves_) {
      keeper->OnWaveRequested(seen.wave, seen.seen_at);
    }
  }
  const ClaimDecision decision = DecisionOn(kInstancesScope);
  LogEvent(LogLevel::kInfo, LogCategory::kMaintenance, "instances_owned",
           {{"fence", absl::StrCat(revision)},
            {"rank", absl::StrCat(decision.rank)},
            {"load", absl::StrCat(decision.load)},
            {"millicores", absl::StrCat(decision.millicores)}});
  keeper->Start();
}

void FleetEngine::EndScope(const std::string& scope, const char* cause) {
  std::shared_ptr<PoolRunner> runner;
  std::shared_ptr<InstanceController> keeper;
  uint64_t revision = 0;
  {
    absl::MutexLock lock(&mutex_);
    revision = WorkingRevision(scope);
    if (revision == 0) {
      return;
    }
    if (scope == kInstancesScope) {
      keeper.swap(keeper_);
    } else {
      runner = runners_.at(scope);
      runners_.erase(scope);
    }
    claims_.OnReleased(scope, clock_.Now());
    removed_at_[scope] = clock_.Now() + kRemoveAgain;
  }
  metrics_
      .GetCounter(
          absl::StrCat("figflow_scopes_given_up_total{cause=\"", cause, "\"}"))
      .Add();
  if (runner) {
    runner->End(cause);
  }
  if (keeper) {
    keeper->Stop();
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

void FleetEngine::WatchOverload(MonoTime now) {
  {
    absl::MutexLock lock(&mutex_);
    if (!lag_probe_ || !overload_.SampleDue(now)) {
      return;
    }
    overload_.OnSample(lag_probe_(), now);
    // Without other daemons there is nobody to give way to.
    const bool owns = !runners_.empty() || keeper_ != nullptr;
    if (!owns || releasing_ || PeerCount() == 0 ||
        !overload_.ShouldGiveWay(now)) {
      return;
    }
    overload_.OnGaveWay(now);
    LogEvent(
        LogLevel::kWarning, LogCategory::kPools, "overloaded",
        {{"calls_late_ms",
          absl::StrCat(WholeMilliseconds(overload_.smoothed_lag()).count())},
         {"pools", absl::StrCat(runners_.size())},
         {"peers", absl::StrCat(PeerCount())}});
  }
  HandOverAll();
}

void FleetEngine::BeginRelease() {
  {
    absl::MutexLock lock(&mutex_);
    releasing_ = true;
  }
  HandOverAll();
}

void FleetEngine::HandOverAll() {
  std::map<std::string, std::shared_ptr<PoolRunner>> runners;
  std::shared_ptr<InstanceController> keeper;
  {
    absl::MutexLock lock(&mutex_);
    runners = runners_;
    keeper = keeper_;
  }
  if (keeper) {
    keeper->HandOver([this] { EndScope(kInstancesScope, "handed-over"); });
  }
  for (const auto& [pool, runner] : runners) {
    runner->Release([this, pool = pool] { EndScope(pool, "handed-over"); });
  }
}

bool FleetEngine::Released() const {
  absl::MutexLock lock(&mutex_);
  return runners_.empty() && keeper_ == nullptr;
}

}  // namespace figflow
