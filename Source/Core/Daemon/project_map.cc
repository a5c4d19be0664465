#include "Daemon/project_map.h"

#include <utility>

namespace figflow {

void ProjectMap::Update(const FleetConfiguration& configuration,
                        const DataCentreId& data_centre) {
  absl::flat_hash_map<ProjectId, PoolId> pools;
  for (const SheetRow& row : configuration.rows) {
    if (row.data_centre == data_centre) {
      pools.insert_or_assign(row.project, row.pool);
    } else {
      pools.emplace(row.project, row.pool);
    }
  }
  absl::MutexLock lock(&mutex_);
  pools_ = std::move(pools);
}

absl::optional<PoolId> ProjectMap::PoolOf(const ProjectId& project) const {
  absl::ReaderMutexLock lock(&mutex_);
  auto it = pools_.find(project);
  if (it == pools_.end()) {
    return absl::nullopt;
  }
  return it->second;
}

}  // namespace figflow
