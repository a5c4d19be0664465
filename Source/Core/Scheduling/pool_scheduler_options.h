#ifndef SCHEDULING_POOL_SCHEDULER_OPTIONS_H_
#define SCHEDULING_POOL_SCHEDULER_OPTIONS_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "Scheduling/fleet_plan.h"
#include "Scheduling/lease_record.h"
#include "Scheduling/work_memory.h"

namespace figflow {

struct PoolSchedulerOptions {
  std::string pool;
  ExecutionBounds bounds;
  // Fence of this owner. Workers that have seen it refuse orders of earlier
  // owners.
  uint64_t fence = 0;
  // How long an earlier owner may continue to renew leases after this one
  // took over, on workers that only the earlier one reaches.
  std::chrono::milliseconds earlier_owner_grace{0};
  // Leases that the last owner has handed over, as of the start of this one.
  // They replace the longest possible lease for these workers.
  RemainingLeases handed_over_leases;
  // Counts what the accepted jobs of all pools of this process take; null if
  // nothing bounds them beside the limit of this pool.
  std::shared_ptr<WorkMemory> process_memory;
};

}  // namespace figflow

#endif  // SCHEDULING_POOL_SCHEDULER_OPTIONS_H_
