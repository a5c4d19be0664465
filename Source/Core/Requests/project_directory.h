#ifndef REQUESTS_PROJECT_DIRECTORY_H_
#define REQUESTS_PROJECT_DIRECTORY_H_

#include "Common/strong_id.h"
#include "absl/types/optional.h"

namespace figflow {

// The pool that serves a project's requests. Thread-safe and fast: called for
// every request.
class ProjectDirectory {
 public:
  virtual ~ProjectDirectory() = default;
  // Nothing if the project is not in the configuration in force.
  virtual absl::optional<PoolId> PoolOf(const ProjectId& project) const = 0;
};

}  // namespace figflow

#endif  // REQUESTS_PROJECT_DIRECTORY_H_
