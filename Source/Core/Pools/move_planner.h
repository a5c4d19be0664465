#ifndef POOLS_MOVE_PLANNER_H_
#define POOLS_MOVE_PLANNER_H_

#include <vector>

#include "Common/clock.h"
#include "Common/strong_id.h"
#include "Pools/data_centre_document.h"
#include "Pools/instance_ownership.h"

namespace figflow {

// A move of an instance to another pool.
struct PlannedMove {
  InstanceId instance;
  PoolId to_pool;
  ProjectId to_project;
};

// Returns the smallest set of moves that gives pools their wanted numbers of
// instances: surplus instances move directly to pools with a shortage, then
// spare instances fill the remaining shortages, then the remaining surplus
// moves to the spare pool. Pools without configuration want no instance.
// Returns no moves while the numbers match, so only a configuration change or a
// lost instance causes moves, and none if the document was planned with a newer
// configuration.
std::vector<PlannedMove> PlanMoves(const DataCentreDocument& document,
                                   const PoolsConfig& config,
                                   WallTime now);

}  // namespace figflow

#endif  // POOLS_MOVE_PLANNER_H_
