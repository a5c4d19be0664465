#include "Daemon/config_projection.h"

#include <chrono>

namespace figflow {

PoolsConfig PoolsConfigOf(const FleetConfiguration& configuration,
                          const DataCentreId& data_centre) {
  PoolsConfig config;
  config.revision = configuration.revision;
  for (const SheetRow& row : configuration.rows) {
    if (row.data_centre != data_centre ||
        row.project.value() == kSpareProject) {
      continue;
    }
    PoolSettings target;
    target.pool = row.pool;
    target.project = row.project;
    target.wanted = row.instances;
    target.max_moves_per_day = row.max_move;
    target.long_share = row.long_share;
    config.pools.push_back(std::move(target));
  }
  return config;
}

std::map<ProjectId, BudgetGrant> GrantsOf(
    const FleetConfiguration& configuration) {
  std::map<ProjectId, BudgetGrant> grants;
  for (const SheetRow& row : configuration.rows) {
    BudgetGrant& grant = grants[row.project];
    grant.config_revision = configuration.revision;
    grant.max_down = row.max_down;
    grant.per_day = std::chrono::minutes(row.budget_minutes);
  }
  return grants;
}

}  // namespace figflow
