// Handling of the store's items by the engine.
#include <chrono>
#include <utility>

#include "Common/log.h"
#include "Fleet/fleet_engine.h"
#include "Scheduling/customer_keys.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"

namespace figflow {
namespace {

// Maximum difference between the wall clocks of a worker and this daemon.
constexpr std::chrono::hours kMaxClockDifference{1};

}  // namespace

void FleetEngine::OnOperatorItem(const StoreItem& item) {
  if (item.removed) {
    return;
  }
  if (platform_.IsPlanKey(item.key)) {
    OnPlanItem(item);
  } else if (platform_.IsWaveKey(item.key)) {
    OnWaveItem(item);
  }
}

void FleetEngine::OnWaveItem(const StoreItem& item) {
  const Result<MaintenanceWave> wave =
      platform_.ParseWave(item.key, item.value);
  if (!wave) {
    LogEvent(LogLevel::kError, LogCategory::kMaintenance, "wave_unreadable",
             {{"key", item.key}, {"error", ToString(wave.error())}});
    return;
  }
  const MonoTime now = clock_.Now();
  std::shared_ptr<InstanceController> controller;
  {
    absl::MutexLock lock(&mutex_);
    waves_.emplace(wave->number, SeenWave{*wave, now});
    controller = controller_;
  }
  if (controller) {
    controller->OnWaveRequested(*wave, now);
  }
}

void FleetEngine::OnPlanItem(const StoreItem& item) {
  const MonoTime begun = clock_.Now();
  Result<FleetPlan> parsed = platform_.ParsePlan(item.value);
  const auto parse_time = WholeMilliseconds(clock_.Now() - begun);
  if (!parsed) {
    LogEvent(LogLevel::kError, LogCategory::kConfig, "plan_unreadable",
             {{"revision", absl::StrCat(item.revision)},
              {"error", ToString(parsed.error())}});
    OnPlanUnreadable();
    return;
  }
  auto plan = std::make_shared<const FleetPlan>(std::move(*parsed));
  std::vector<std::shared_ptr<PoolRunner>> runners;
  std::shared_ptr<InstanceController> controller;
  {
    absl::MutexLock lock(&mutex_);
    readable_plan_confirmed_at_.reset();
    if (plan_ != nullptr && plan_->version >= plan->version) {
      return;
    }
    plan_ = plan;
    read_routes_at_ = MonoTime::min();
    CheckRoutesRecorded(clock_.Now());
    for (const auto& [pool, runner] : runners_) {
      runners.push_back(runner);
    }
    controller = controller_;
  }
  LogEvent(LogLevel::kInfo, LogCategory::kConfig, "plan_in_force",
           {{"version", absl::StrCat(plan->version)},
            {"revision", absl::StrCat(item.revision)},
            {"queues", absl::StrCat(plan->queues.size())},
            {"parse_ms", absl::StrCat(parse_time.count())}});
  LogCustomerKeys(*plan);
  for (const auto& runner : runners) {
    runner->SetPlan(plan);
  }
  if (controller) {
    controller->SetPlan(plan);
  }
  WakeAt(clock_.Now());
}

Result<WorkerReport> FleetEngine::ParseWorkerItem(const StoreItem& item,
                                                  WallTime now) const {
  Result<WorkerReport> report = platform_.ParseWorker(item.key, item.value);
  // A later incarnation ends the earlier ones of its instance, so one that
  // starts in the future must not be accepted.
  if (report &&
      report->key.incarnation > SinceEpoch(now + kMaxClockDifference).count()) {
    return Fail(ErrorCode::kInvalid, "fleet.worker", report->key.id,
                "the incarnation starts in the future");
  }
  return report;
}

bool FleetEngine::ShowsLaterWorker(const WorkerReport& report) const {
  if (report.instance.empty() || plan_ == nullptr ||
      plan_->FindPoolByName(report.pool) == nullptr) {
    return false;
  }
  const auto latest = latest_workers_.find(report.instance);
  return latest == latest_workers_.end() ||
         latest->second.incarnation < report.key.incarnation;
}

void FleetEngine::OnWorkerItem(const StoreItem& item) {
  const std::string id = platform_.WorkerIdOf(item.key);
  std::optional<WorkerReport> report;
  if (!item.removed) {
    Result<WorkerReport> parsed = ParseWorkerItem(item, clock_.WallNow());
    if (parsed) {
      report = std::move(*parsed);
    } else {
      metrics_.GetCounter("figflow_worker_reports_unreadable_total").Add();
      LogEvent(LogLevel::kWarning, LogCategory::kPools,
               "worker_report_unreadable",
               {{"worker", id}, {"error", ToString(parsed.error())}});
    }
  }
  std::shared_ptr<PoolRunner> previous_runner;
  std::shared_ptr<PoolRunner> runner;
  std::shared_ptr<PoolRunner> replaced_runner;
  WorkerKey replaced_worker;
  {
    absl::MutexLock lock(&mutex_);
    const auto find = [this](const WorkerReport& of) {
      mutex_.AssertHeld();
      const auto it = runners_.find(ScopeOf(of));
      return it == runners_.end() ? nullptr : it->second;
    };
    const auto known = reports_.find(id);
    if (known != reports_.end() &&
        (!report || ScopeOf(known->second) != ScopeOf(*report))) {
      previous_runner = find(known->second);
    }
    if (report && ShowsLaterWorker(*report)) {
      WorkerKey& latest = latest_workers_[report->instance];
      const auto other = reports_.find(latest.id);
      if (latest.id != id && other != reports_.end()) {
        replaced_worker = latest;
        replaced_runner = find(other->second);
      }
      latest = report->key;
    }
    if (report) {
      reports_[id] = *report;
      runner = find(*report);
    } else if (known != reports_.end()) {
      reports_.erase(known);
    }
  }
  if (replaced_runner) {
    LogEvent(LogLevel::kInfo, LogCategory::kPools, "worker_superseded",
             {{"worker", replaced_worker.id},
              {"instance", report->instance},
              {"by", id},
              {"incarnation", absl::StrCat(report->key.incarnation)},
              {"pool", report->pool}});
    replaced_runner->OnWorkerSuperseded(replaced_worker);
  }
  if (previous_runner) {
    previous_runner->OnWorkerUnlisted(id);
  }
  if (runner) {
    runner->OnWorkerListed(*report);
  }
}

void FleetEngine::OnOwnerItem(const StoreItem& item) {
  if (absl::StartsWith(item.key, kMemberPrefix)) {
    OnMemberItem(item);
    return;
  }
  const std::string scope(absl::StripPrefix(item.key, kOwnerPrefix));
  if (scope == kLayoutScope) {
    OnLayoutItem(item);
    return;
  }
  if (scope == kRoutesScope) {
    OnRoutesItem(item);
    return;
  }
  Owner owner;
  owner.revision = item.revision;
  owner.seen_at = clock_.Now();
  if (!item.removed) {
    Result<OwnerRecord> record = ParseOwnerRecord(item.value);
    if (!record) {
      LogEvent(LogLevel::kError, LogCategory::kPools, "owner_unreadable",
               {{"scope", scope}, {"error", ToString(record.error())}});
      return;
    }
    owner.record = std::move(*record);
  }
  bool own = false;
  bool starting = false;
  bool lost = false;
  {
    absl::MutexLock lock(&mutex_);
    const auto known = known_owners_.find(scope);
    if (known != known_owners_.end() &&
        known->second.revision >= item.revision) {
      return;
    }
    if (item.removed) {
      known_owners_.erase(scope);
      const uint64_t working = ActiveClaimRevision(scope);
      lost = working != 0 && working < item.revision;
    } else {
      known_owners_[scope] = owner;
      claim_policy_.OnOwned(scope, owner.record.entry);
      own = absl::StartsWith(owner.record.nonce, options_.process_id);
    }
    // StepOwnership removes own keys that have no runner. The pending claim
    // prevents that while the runner is created here.
    starting = own && pending_claims_.insert(scope).second;
  }
  LogEvent(LogLevel::kInfo, LogCategory::kPools,
           item.removed ? "owner_gone" : "owner_changed",
           {{"scope", scope},
            {"owner", owner.record.entry},
            {"revision", absl::StrCat(item.revision)}});
  metrics_
      .GetCounter(absl::StrCat("figflow_owner_changes_total{kind=\"",
                               item.removed ? "gone" : "owned", "\"}"))
      .Add();
  if (own) {
    OnScopeClaimed(scope, owner.record.nonce, owner.revision, item.lease);
    if (starting) {
      absl::MutexLock lock(&mutex_);
      pending_claims_.erase(scope);
    }
  } else if (lost) {
    ReleaseScope(scope, "key-removed");
  }
  WakeAt(clock_.Now());
}

}  // namespace figflow
