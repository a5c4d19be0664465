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

// Progress of the maintenance of one instance.
enum class MaintenanceStep {
  kWaiting,
  // The order may have been sent; the instance may be down.
  kOrdered,
  // Maintenance has begun, and the instance is not up again yet.
  kDown,
  // The instance is up again, or no longer exists.
  kCompleted,
};

struct WaveState {
  uint64_t number = 0;
  MonoTime deadline;
  // Maximum number of instances that may be down at once.
  int max_down = 1;
  std::map<std::string, MaintenanceStep> instances;
};

struct WavePlan {
  // Instances to evacuate.
  std::set<std::string> evacuate;
  // Evacuated instances whose maintenance may begin now.
  std::vector<std::string> to_maintain;
};

struct WavePlannerOptions {
  // Expected duration of the maintenance of one instance.
  std::chrono::milliseconds maintenance_duration{2'000};
};

// Decides which instances of a wave are evacuated and maintained next.
//
// Idle instances go first, as many as may be down. Busy ones are evacuated only
// as fast as the time left requires, and only a few of one pool at once: a wave
// covers half of all instances and is due within seconds, while a queue's peak
// needs whole pools. Workers of perpetual tasks are evacuated continuously, a
// few of each pool, because that takes longest and can't be sped up.
// `evacuating` holds the instances that are already being evacuated for the
// wave, `without_worker` those that are up and run no worker.
WavePlan PlanWave(const WaveState& wave,
                  const std::map<std::string, PoolReport>& pools,
                  const std::set<std::string>& without_worker,
                  const std::set<std::string>& evacuating,
                  const WavePlannerOptions& options,
                  MonoTime now);

}  // namespace figflow

#endif  // INSTANCES_WAVE_PLANNER_H_
