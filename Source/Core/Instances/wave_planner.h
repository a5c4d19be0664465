#ifndef INSTANCES_WAVE_PLANNER_H_
#define INSTANCES_WAVE_PLANNER_H_

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Common/clock.h"
#include "Scheduling/pool_report.h"

namespace figflow {

// How far the maintenance of one instance has come.
enum class MaintenanceStep {
  kWaiting,
  // The order may have been sent; the instance may be down.
  kOrdered,
  // Begun, and the instance is not back yet.
  kDown,
  // The instance is back, or does not exist any more.
  kCompleted,
};

struct WaveState {
  uint64_t number = 0;
  MonoTime deadline;
  // Instances that may be down at once.
  int max_down = 1;
  std::map<std::string, MaintenanceStep> instances;
};

struct WavePlan {
  // Instances to empty.
  std::set<std::string> evacuate;
  // Empty instances whose maintenance may begin now.
  std::vector<std::string> to_maintain;
};

struct WavePlannerOptions {
  // Time that the maintenance of one instance takes.
  std::chrono::milliseconds maintenance_duration{2'000};
};

// Decides which instances of a wave are emptied and maintained next.
//
// Load pattern: a wave covers half of all instances and is due within seconds,
// while a queue's peak needs whole pools. Idle instances go first, as many as
// may be down; busy ones are emptied only as fast as the time that is left
// demands, and few of one pool at once. Workers of perpetual tasks are emptied
// all the time, a few of each pool: that takes longest, and cannot be hurried.
// `emptying` are the instances that are being emptied for the wave already,
// `without_worker` those that are up and run no worker.
WavePlan PlanWave(const WaveState& wave,
                  const std::map<std::string, PoolReport>& pools,
                  const std::set<std::string>& without_worker,
                  const std::set<std::string>& evacuating,
                  const WavePlannerOptions& options,
                  MonoTime now);

}  // namespace figflow

#endif  // INSTANCES_WAVE_PLANNER_H_
