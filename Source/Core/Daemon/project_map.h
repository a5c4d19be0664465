#ifndef DAEMON_PROJECT_MAP_H_
#define DAEMON_PROJECT_MAP_H_

#include <memory>

#include "Common/strong_id.h"
#include "FleetConfig/fleet_configuration.h"
#include "Requests/project_directory.h"
#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"

namespace figflow {

// The pool of each project in the configuration in force.
class ProjectMap : public ProjectDirectory {
 public:
  // A project's row of `data_centre` goes before its rows elsewhere, whose pool
  // is reached through a peer.
  void Update(const FleetConfiguration& configuration,
              const DataCentreId& data_centre);

  absl::optional<PoolId> PoolOf(const ProjectId& project) const override;

 private:
  mutable absl::Mutex mutex_;
  absl::flat_hash_map<ProjectId, PoolId> pools_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace figflow

#endif  // DAEMON_PROJECT_MAP_H_
