#include "Ownership/pool_layout.h"

#include <algorithm>
#include <utility>

#include "Common/json.h"

#include <xxhash.h>

#include "Common/cbor.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

using nlohmann::json;

constexpr char kLayoutStep[] = "owner.layout";
constexpr char kPartitionSeparator = '/';
// A partition of this size orders up to 400 starts a second at a peak of short
// tasks, which takes 0.12 cores. Smaller partitions waste capacity: large jobs
// and limits per worker need several workers.
constexpr int kInstancesPerPartition = 25;
// Bounds the number of owner keys, and with it the number of keys that each
// daemon follows.
constexpr int kMaxPartitions = 64;
// Makes the partitions of jobs and instances independent of other hashes.
constexpr uint64_t kPartitionSeed = 0x706c;

int HashToPartition(absl::string_view text, int partitions) {
  const uint64_t hash = XXH64(text.data(), text.size(), kPartitionSeed);
  return static_cast<int>(hash % static_cast<uint64_t>(partitions));
}

}  // namespace

std::string PoolLayout::ScopeOfPartition(absl::string_view pool,
                                         int partition) const {
  return partitions == 1
             ? std::string(pool)
             : absl::StrCat(pool, std::string(1, kPartitionSeparator),
                            partition);
}

std::string PoolLayout::ScopeOfJob(absl::string_view pool,
                                   absl::string_view job,
                                   bool perpetual) const {
  const auto partition = perpetual_partitions.find(pool);
  return perpetual && partition != perpetual_partitions.end()
             ? ScopeOfPartition(pool, partition->second)
             : ScopeOfPartition(pool, HashToPartition(job, partitions));
}

std::vector<std::string> PoolLayout::ScopesOfJob(absl::string_view pool,
                                                 absl::string_view job) const {
  // Most jobs are not perpetual.
  std::vector<std::string> scopes = {ScopeOfJob(pool, job, false)};
  std::string perpetual = ScopeOfJob(pool, job, true);
  if (perpetual != scopes.front()) {
    scopes.push_back(std::move(perpetual));
  }
  return scopes;
}

std::string PoolLayout::ScopeOfInstance(absl::string_view pool,
                                        absl::string_view instance) const {
  return ScopeOfPartition(pool, PartitionOfInstance(instance));
}

int PoolLayout::PartitionOfInstance(absl::string_view instance) const {
  return HashToPartition(instance, partitions);
}

std::vector<std::string> PoolLayout::ScopesOfPool(
    absl::string_view pool) const {
  std::vector<std::string> scopes;
  scopes.reserve(partitions);
  for (int partition = 0; partition < partitions; ++partition) {
    scopes.push_back(ScopeOfPartition(pool, partition));
  }
  return scopes;
}

std::string PoolLayout::PoolOf(absl::string_view scope) const {
  return std::string(partitions == 1
                         ? scope
                         : scope.substr(0, scope.rfind(kPartitionSeparator)));
}

PoolLayout MakePoolLayout(int instances,
                          const std::vector<std::string>& pools) {
  PoolLayout layout;
  const int count = std::max(1, static_cast<int>(pools.size()));
  layout.partitions =
      std::clamp(instances / count / kInstancesPerPartition, 1, kMaxPartitions);
  if (layout.partitions > 1) {
    int next = 0;
    for (const std::string& pool : pools) {
      layout.perpetual_partitions[pool] = next++ % layout.partitions;
    }
  }
  return layout;
}

std::string FormatPoolLayout(const PoolLayout& layout) {
  return FormatCbor(
      json::array({layout.partitions, layout.perpetual_partitions}));
}

Result<PoolLayout> ParsePoolLayout(absl::string_view bytes) {
  return ParseCbor<PoolLayout>(
      bytes, kLayoutStep, [](const json& row) -> Result<PoolLayout> {
        PoolLayout layout;
        layout.partitions = row.at(0).get<int>();
        if (layout.partitions < 1 || layout.partitions > kMaxPartitions) {
          return Fail(ErrorCode::kInvalid, kLayoutStep, "",
                      "the number of parts is out of range");
        }
        // Layouts of earlier versions have no partitions for perpetual jobs.
        if (row.size() > 1) {
          for (const auto& [pool, partition] : row.at(1).items()) {
            layout.perpetual_partitions[pool] = partition.get<int>();
            if (partition.get<int>() < 0 ||
                partition.get<int>() >= layout.partitions) {
              return Fail(ErrorCode::kInvalid, kLayoutStep, "",
                          "a partition of perpetual jobs is out of range");
            }
          }
        }
        return layout;
      });
}

}  // namespace figflow
