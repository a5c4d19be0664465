#ifndef JOBS_PLACEMENT_H_
#define JOBS_PLACEMENT_H_

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Common/strong_id.h"
#include "Jobs/job_record.h"
#include "Platform/fleet_service.h"

namespace figflow {

struct PlacementWorker {
  InstanceId id;
  PoolId pool;
  TaskSize capacity;
  // False for workers that are leaving, draining or quarantined.
  bool usable = true;
};

struct PlacementInput {
  std::vector<PlacementWorker> workers;
  // Records that are not final.
  std::vector<JobRecord> jobs;
  // Teams without a quota are unlimited.
  std::map<TeamId, TaskSize> quotas;
};

enum class PlacementAction { kPlace, kRefuse, kThrottle, kCheckpoint, kStop };

struct PlacementDecision {
  PlacementAction action = PlacementAction::kPlace;
  JobId job;
  // For kPlace.
  InstanceId worker;
  // Why the job is refused, or for which job it is preempted.
  std::string reason;
};

// Chooses the worker for a job among those it fits on.
class PlacementStrategy {
 public:
  virtual ~PlacementStrategy() = default;
  // Cost of placing; the worker with the lowest is chosen. `free` is what is
  // free before the job, which fits.
  virtual double Cost(const PlacementWorker& worker,
                      const TaskSize& free,
                      const TaskSize& size) const = 0;
};

// Fills workers up, which keeps whole workers free for large jobs and moves.
class BestFit : public PlacementStrategy {
 public:
  double Cost(const PlacementWorker& worker,
              const TaskSize& free,
              const TaskSize& size) const override;
};

// Decides what to do with all waiting jobs; one step's decisions are consistent
// with each other. Urgent jobs go first, then by time of submission.
//
// An urgent job without a free worker preempts jobs that are not urgent on one
// worker: it throttles them if the cores this frees suffice, else has as few of
// them as possible checkpointed. A job that was told to checkpoint and has not
// after `checkpoint_patience` is stopped.
std::vector<PlacementDecision> PlanPlacement(
    const PlacementInput& input,
    const PlacementStrategy& strategy,
    std::chrono::milliseconds now_since_epoch);

}  // namespace figflow

#endif  // JOBS_PLACEMENT_H_
