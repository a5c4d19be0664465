#ifndef OWNERSHIP_POOL_LAYOUT_H_
#define OWNERSHIP_POOL_LAYOUT_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "Common/error.h"
#include "absl/strings/string_view.h"

namespace figflow {

// How pools are split into partitions that different daemons can own.
//
// A peak of one queue can require more starts a second than the processor of
// one entry instance can order. Each partition has its own owner, jobs, workers
// and records, so owners need no agreement with each other. A job belongs to a
// partition by its id and a worker by its instance. An instance keeps its
// partition when it moves between pools: partition k of all pools is an
// independent fleet.
//
// Workers that run perpetual tasks with a limit per worker can't be lent to
// other pools. All perpetual jobs of a pool therefore belong to one partition,
// whose workers are shared by all of them, and the partitions for perpetual
// jobs differ between pools.
//
// The first daemon of the fleet writes the layout to the store once; it never
// changes afterwards. The scope of a partition is "pool/partition"; the scope
// of a pool that is not split is the pool itself.
struct PoolLayout {
  int partitions = 1;
  // The partition that holds the perpetual jobs of each pool. The perpetual
  // jobs of a pool without an entry are distributed by their id, like all other
  // jobs.
  std::map<std::string, int, std::less<>> perpetual_partitions;

  // Returns the scope that accepts a job of the pool.
  std::string ScopeOfJob(absl::string_view pool,
                         absl::string_view job,
                         bool perpetual) const;
  // Returns the scopes that may hold a job of which only the id is known, the
  // likeliest one first.
  std::vector<std::string> ScopesOfJob(absl::string_view pool,
                                       absl::string_view job) const;
  // Returns the scope that a worker on the instance serves.
  std::string ScopeOfInstance(absl::string_view pool,
                              absl::string_view instance) const;
  // Returns a partition from 0 to `partitions` - 1.
  int PartitionOfInstance(absl::string_view instance) const;
  std::string ScopeOfPartition(absl::string_view pool, int partition) const;
  std::vector<std::string> ScopesOfPool(absl::string_view pool) const;
  // Returns the pool that a scope belongs to.
  std::string PoolOf(absl::string_view scope) const;
};

// Returns the layout for a fleet of `instances` instances. `pools` excludes the
// spare pool.
PoolLayout MakePoolLayout(int instances, const std::vector<std::string>& pools);

// Scope of the layout's key, which is under the prefix of the owners. No pool
// has this name.
inline constexpr char kLayoutScope[] = "@layout";

std::string FormatPoolLayout(const PoolLayout& layout);
// Fails with kInvalid on malformed input.
Result<PoolLayout> ParsePoolLayout(absl::string_view bytes);

}  // namespace figflow

#endif  // OWNERSHIP_POOL_LAYOUT_H_
