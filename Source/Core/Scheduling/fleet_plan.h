#ifndef SCHEDULING_FLEET_PLAN_H_
#define SCHEDULING_FLEET_PLAN_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"

namespace figflow {

// A service tells which workers may run a stage of the queue's jobs.
struct PlacementPolicy {
  // What one question costs, and each worker named in it.
  std::chrono::milliseconds question_time{0};
  std::chrono::milliseconds time_per_worker{0};
  // How long a ticket stays valid.
  std::chrono::milliseconds ticket_lifetime{0};
};

// A queue of jobs and the paths that lead to it.
struct QueueConfig {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::string pool;
  // 0 goes first and may preempt others.
  int priority = 0;
  // Runs of a task that may fail before its job has failed.
  int max_attempts = 1;
  // A job's objective is `stretch` times its longest chain of work plus
  // `objective`.
  double stretch = 1.0;
  std::chrono::milliseconds objective{0};
  std::chrono::milliseconds timeout{0};
  std::optional<PlacementPolicy> policy;
};

struct PoolConfig {
  std::string name;
  // Workers refuse what does not fit; otherwise they start whatever they are
  // told to.
  bool rejects_overload = false;
  // Instances of this pool are switched off.
  bool spare = false;
  int max_connections = 64;
};

// The operators' configuration.
struct FleetPlan {
  uint64_t version = 0;
  std::vector<QueueConfig> queues;
  std::vector<PoolConfig> pools;

  // The queue of `host` whose prefix is the longest that `path` begins with;
  // null if there is none.
  const QueueConfig* FindQueue(absl::string_view host,
                               absl::string_view path) const;
  const QueueConfig* QueueNamed(absl::string_view name) const;
  const PoolConfig* PoolNamed(absl::string_view name) const;
};

// Times that the platform's workers and contracts set, the same for all pools.
struct ExecutionBounds {
  // Longest lease that a worker grants.
  std::chrono::milliseconds longest_lease{6'000};
  // Longest time that a stop takes.
  std::chrono::milliseconds stop_time{500};
  // How long a member of a gang waits for the others.
  std::chrono::milliseconds gang_wait{3'000};
  // How long a finished job can be asked for.
  std::chrono::milliseconds status_retention{120'000};
  // How far before its time an occurrence may start.
  std::chrono::milliseconds early_start{0};
  // How long a perpetual task that is not at work counts as unavailable.
  std::chrono::milliseconds unavailable_notice{5'000};
  // How long a serving task may be over its target because of fillers.
  std::chrono::milliseconds harm_time{4'000};
  // Within this time of its acknowledgement a plan has to be in force.
  std::chrono::milliseconds plan_apply{2'000};
  // A call that comes this much later than one that a plan has decided is not
  // decided by an earlier plan.
  std::chrono::milliseconds plan_rollback_slack{250};
  // A gang on several racks, or a task away from its data, takes this many
  // times as long.
  double far_factor = 2.0;
};

}  // namespace figflow

#endif  // SCHEDULING_FLEET_PLAN_H_
