#ifndef DAEMON_CONFIG_PROJECTION_H_
#define DAEMON_CONFIG_PROJECTION_H_

#include <map>

#include "Budget/budget_document.h"
#include "Common/strong_id.h"
#include "FleetConfig/fleet_configuration.h"
#include "Pools/instance_ownership.h"

namespace figflow {

// What the configuration wants of the pools of one data centre, without the
// spare pool: it gets what no other pool needs.
PoolsConfig PoolsConfigOf(const FleetConfiguration& configuration,
                          const DataCentreId& data_centre);

// Availability granted to each project, the same in all of its rows.
std::map<ProjectId, BudgetGrant> GrantsOf(
    const FleetConfiguration& configuration);

}  // namespace figflow

#endif  // DAEMON_CONFIG_PROJECTION_H_
