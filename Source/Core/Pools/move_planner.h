#ifndef POOLS_MOVE_PLANNER_H_
#define POOLS_MOVE_PLANNER_H_

#include <vector>

#include "Common/clock.h"
#include "Common/strong_id.h"
#include "Pools/data_centre_document.h"
#include "Pools/instance_ownership.h"

namespace figflow {

struct PlannedMove {
  InstanceId instance;
  PoolId to_pool;
  ProjectId to_project;
};

// The fewest moves that bring pools to their wanted counts: surplus instances
// go straight to pools that lack some, then the spare pool fills what still
// lacks, then the remaining surplus returns to the spare pool. Pools without
// configuration want no instance. Empty while the counts match, so only a
// configuration change or a lost instance causes moves; empty also when the
// document was planned with a newer configuration.
std::vector<PlannedMove> PlanMoves(const DataCentreDocument& document,
                                   const PoolsConfig& config,
                                   WallTime now);

}  // namespace figflow

#endif  // POOLS_MOVE_PLANNER_H_
