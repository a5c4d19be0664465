#ifndef POOLS_INSTANCE_OWNERSHIP_H_
#define POOLS_INSTANCE_OWNERSHIP_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Common/clock.h"
#include "Common/error.h"
#include "Common/strong_id.h"
#include "Platform/fleet_service.h"
#include "Pools/data_centre_document.h"
#include "Pools/membership.h"

namespace figflow {

// Settings of one pool in this data centre.
struct PoolSettings {
  PoolId pool;
  ProjectId project;
  int wanted = 0;
  // Maximum number of moves into or out of the pool that begin on one UTC day.
  int max_moves_per_day = 0;
  // See PoolTable::long_share.
  double long_share = 0.5;
};

// The configuration of the pools of this data centre.
struct PoolsConfig {
  // 0 if no configuration has been received; no instance is moved then.
  uint64_t revision = 0;
  std::vector<PoolSettings> pools;
};

// Time and write id of a change of the document.
struct DocumentChange {
  WallTime now;
  std::string write_id;
};

// Returns the number of instances that are in the pool or moving into it.
int CountInPool(const DataCentreDocument& document, const PoolId& pool);

// Updates the document from the platform's list. New live workers are added to
// a pool with a shortage of instances, otherwise to the spare pool. Lost ones
// are removed. A higher boot number updates address and limits. A departed
// instance is added again only with a higher boot number, and is drained first,
// even if it joins its former pool. Instances missing from the list are kept,
// and so are those in maintenance, which are gone during a reboot.
// Returns whether the document changed.
bool SyncInstances(DataCentreDocument& document,
                   const std::vector<ListedInstance>& listed,
                   const PoolsConfig& config,
                   const DocumentChange& change);

// Begins the move of an active instance to another pool. kConflict if it is not
// active or already in that pool, kNotFound if it is unknown.
Result<void> BeginMove(DataCentreDocument& document,
                       const InstanceId& instance,
                       const PoolId& to_pool,
                       const ProjectId& to_project,
                       const DocumentChange& change);

// Begins maintenance of an active instance for `operation`. Returns false if it
// is already in maintenance for this operation; kConflict if it is otherwise
// not active, kNotFound if it is unknown.
Result<bool> BeginMaintenance(DataCentreDocument& document,
                              const InstanceId& instance,
                              const OperationId& operation,
                              const DocumentChange& change);

// Ends the maintenance of an instance, which becomes active again. Returns
// false if it is not in maintenance for `operation`.
bool EndMaintenance(DataCentreDocument& document,
                    const InstanceId& instance,
                    const OperationId& operation);

// Returns true if the instance is draining or in maintenance and no entry
// instance uses it: every member has confirmed the drain, has released its
// share, or was removed and its requests have ended.
bool IsDrained(const DataCentreDocument& document,
               const InstanceId& instance,
               const Confirmations& confirmations,
               const RemovalTracker& waits,
               MonoTime now);

// Activates every drained instance in the pool that it moves to. Returns
// whether the document changed. Instances in `busy` still run a task of their
// previous pool and stay there; if `busy` is nullopt, it is unknown which do,
// and all stay.
bool CompleteMoves(DataCentreDocument& document,
                   const Confirmations& confirmations,
                   const RemovalTracker& waits,
                   const std::optional<std::set<InstanceId>>& busy,
                   MonoTime now,
                   const DocumentChange& change);

}  // namespace figflow

#endif  // POOLS_INSTANCE_OWNERSHIP_H_
