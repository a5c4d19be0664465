#ifndef OWNERSHIP_POOL_LAYOUT_H_
#define OWNERSHIP_POOL_LAYOUT_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "Common/error.h"
#include "absl/strings/string_view.h"

namespace figflow {

// How pools are split into parts that different daemons may own.
//
// Load pattern: one queue peaks and its pool asks for more starts a second than
// the processor of one entry instance can order. Each part has its own owner,
// jobs, workers and records, so owners need no agreement with each other. Jobs
// belong to a part by their id, workers by their instance, which keeps its part
// when it moves between pools: part k of all pools is a fleet of its own.
//
// Perpetual tasks with a limit per worker keep their workers from being lent.
// The perpetual jobs of a pool therefore share one part, whose workers serve
// all of them, and the pools' parts for them differ.
//
// The layout is written to the store once, by the first daemon of the fleet,
// and holds from then on. The scope of a part is "pool/part"; a pool that is
// not split is its own scope.
struct PoolLayout {
  int partitions = 1;
  // The part that holds the perpetual jobs of a pool. Jobs of other pools
  // belong to a part by their id in any case.
  std::map<std::string, int, std::less<>> perpetual_partitions;

  // The scope that takes a job of the pool.
  std::string ScopeOfJob(absl::string_view pool,
                         absl::string_view job,
                         bool perpetual) const;
  // The scopes that may hold a job of which only the id is known, the likely
  // one first.
  std::vector<std::string> ScopesOfJob(absl::string_view pool,
                                       absl::string_view job) const;
  // The scope that a worker on the instance serves.
  std::string ScopeOfInstance(absl::string_view pool,
                              absl::string_view instance) const;
  // From 0 to `parts` - 1.
  int PartitionOfInstance(absl::string_view instance) const;
  std::string ScopeOfPartition(absl::string_view pool, int partition) const;
  std::vector<std::string> ScopesOfPool(absl::string_view pool) const;
  // The pool of one of its scopes.
  std::string PoolOf(absl::string_view scope) const;
};

// The layout for a fleet of this size; `pools` without the spare one.
PoolLayout MakePoolLayout(int instances, const std::vector<std::string>& pools);

// The key under the owners' prefix; no pool has this name.
inline constexpr char kLayoutScope[] = "@layout";

std::string FormatPoolLayout(const PoolLayout& layout);
// Error kInvalid.
Result<PoolLayout> ParsePoolLayout(absl::string_view bytes);

}  // namespace figflow

#endif  // OWNERSHIP_POOL_LAYOUT_H_
