#include "Daemon/budget_keeper.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "Daemon/config_projection.h"

namespace figflow {
namespace {

bool SameGrant(const BudgetGrant& a, const BudgetGrant& b) {
  return a.max_down == b.max_down && a.per_day == b.per_day;
}

}  // namespace

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
      errors_(metrics.GetCounter("figflow_budget_errors_total")),
      failures_(budgets),
      entry_(std::move(entry)),
      incarnation_(incarnation) {}

void BudgetKeeper::Step(const ControlRound& round) {
  const std::optional<DataCentreDocument> document = data_centre_.Current();
  if (!document || round.pools.error ||
      !IsFirstMember(*document, entry_, incarnation_)) {
    return;
  }
  const FleetConfiguration& configuration = *round.configuration;
  if (granted_revision_ != configuration.revision) {
    WriteGrants(configuration);
  }
  const PoolsConfig config =
      PoolsConfigOf(configuration, document->data_centre);
  if (!failures_.Step(*document, config, round.wall)) {
    errors_.Add();
  }
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

}  // namespace figflow
