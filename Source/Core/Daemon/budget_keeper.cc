#include "Daemon/budget_keeper.h"

#include <algorithm>
#include <optional>
#include <string>

#include "Common/log.h"
#include "Daemon/config_projection.h"

namespace figflow {
namespace {

bool SameGrant(const BudgetGrant& a, const BudgetGrant& b) {
  return a.max_down == b.max_down && a.per_day == b.per_day;
}

// The failure is over: the instance is back in use, or its pool no longer
// lacks it.
bool IsOver(const InstanceFailure& failure,
            const DataCentreDocument& document,
            const std::set<InstanceFailure>& missing) {
  auto record = document.instances.find(failure.second);
  if (record != document.instances.end()) {
    return record->second.stage != InstanceStage::kMaintenance;
  }
  return missing.count(failure) == 0;
}

}  // namespace

std::set<InstanceFailure> MissingInstances(const DataCentreDocument& document,
                                           const PoolsConfig& config) {
  std::set<InstanceFailure> missing;
  for (const PoolTarget& pool : config.pools) {
    std::vector<std::pair<WallTime, InstanceId>> departed;
    for (const auto& [id, record] : document.departed) {
      if (record.pool == pool.pool && document.instances.count(id) == 0) {
        departed.emplace_back(record.since, id);
      }
    }
    const int lacking = pool.wanted - CountInPool(document, pool.pool);
    const size_t counted =
        std::min(departed.size(), static_cast<size_t>(std::max(lacking, 0)));
    std::sort(departed.rbegin(), departed.rend());
    for (size_t i = 0; i < counted; ++i) {
      missing.emplace(pool.project, departed[i].second);
    }
  }
  return missing;
}

bool IsFirstMember(const DataCentreDocument& document,
                   const EntryId& entry,
                   uint64_t incarnation) {
  const auto& members = document.entries.current;
  auto first = std::find_if(members.begin(), members.end(),
                            [](const EntryMember& member) {
                              return member.state == MemberState::kActive;
                            });
  return first != members.end() && first->id == entry &&
         first->incarnation == incarnation;
}

BudgetKeeper::BudgetKeeper(BudgetStore& budgets,
                           DataCentreStore& data_centre,
                           MetricsRegistry& metrics,
                           EntryId entry,
                           uint64_t incarnation)
    : budgets_(budgets),
      data_centre_(data_centre),
      grants_written_(metrics.GetCounter("figflow_budget_grants_total")),
      failures_begun_(metrics.GetCounter("figflow_budget_failures_total")),
      failures_ended_(
          metrics.GetCounter("figflow_budget_failures_ended_total")),
      entry_(std::move(entry)),
      incarnation_(incarnation) {}

void BudgetKeeper::Step(const ControlRound& round) {
  const std::optional<DataCentreDocument> document = data_centre_.Current();
  if (!document || round.pools.error ||
      !IsFirstMember(*document, entry_, incarnation_)) {
    loaded_ = false;
    return;
  }
  const FleetConfiguration& configuration = *round.configuration;
  if (granted_revision_ != configuration.revision) {
    WriteGrants(configuration);
  }
  WriteFailures(*document, PoolsConfigOf(configuration, document->data_centre),
                configuration, round);
}

void BudgetKeeper::WriteGrants(const FleetConfiguration& configuration) {
  bool complete = true;
  for (const auto& [project, grant] : GrantsOf(configuration)) {
    auto known = granted_.find(project);
    if (known != granted_.end() && SameGrant(known->second, grant)) {
      continue;
    }
    if (!budgets_.SetGrant(project, grant)) {
      complete = false;
      continue;
    }
    granted_[project] = grant;
    grants_written_.Add();
  }
  if (complete) {
    granted_revision_ = configuration.revision;
  }
}

bool BudgetKeeper::LoadFailures(const DataCentreDocument& document,
                                const FleetConfiguration& configuration) {
  std::set<InstanceFailure> open;
  for (const auto& [project, grant] : GrantsOf(configuration)) {
    const Result<BudgetDocument> budget = budgets_.Read(project);
    if (!budget) {
      return false;
    }
    for (const auto& [instance, since] : budget->failures) {
      if (document.instances.count(instance) != 0 ||
          document.departed.count(instance) != 0) {
        open.emplace(project, instance);
      }
    }
  }
  open_ = std::move(open);
  return true;
}

void BudgetKeeper::WriteFailures(const DataCentreDocument& document,
                                 const PoolsConfig& config,
                                 const FleetConfiguration& configuration,
                                 const ControlRound& round) {
  if (!loaded_ && !LoadFailures(document, configuration)) {
    return;
  }
  loaded_ = true;
  const std::set<InstanceFailure> missing = MissingInstances(document, config);
  for (const InstanceFailure& failure : missing) {
    if (open_.count(failure) != 0 ||
        !budgets_.BeginFailure(failure.first, failure.second, round.wall)) {
      continue;
    }
    open_.insert(failure);
    failures_begun_.Add();
    LogEvent(LogLevel::kWarning, LogCategory::kBudget, "failure_begins",
             {{"project", failure.first.value()},
              {"instance", failure.second.value()}});
  }
  for (auto failure = open_.begin(); failure != open_.end();) {
    if (!IsOver(*failure, document, missing) ||
        !budgets_.EndFailure(failure->first, failure->second, round.wall)) {
      ++failure;
      continue;
    }
    LogEvent(LogLevel::kInfo, LogCategory::kBudget, "failure_ends",
             {{"project", failure->first.value()},
              {"instance", failure->second.value()}});
    failures_ended_.Add();
    failure = open_.erase(failure);
  }
}

}  // namespace figflow
