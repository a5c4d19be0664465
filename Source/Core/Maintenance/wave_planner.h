#ifndef MAINTENANCE_WAVE_PLANNER_H_
#define MAINTENANCE_WAVE_PLANNER_H_

#include <chrono>
#include <set>
#include <string>
#include <vector>

#include "Budget/availability_budget.h"
#include "Common/error.h"
#include "Common/strong_id.h"
#include "Maintenance/wave_document.h"

namespace figflow {

// Failures of one wave that halt the roll-out. A single failure may be a
// broken instance; two in the same wave point to the change itself.
inline constexpr int kFailuresToHalt = 2;

struct RolloutInstance {
  InstanceId id;
  DataCentreId data_centre;
  RackId rack;
};

// Pure functions on a wave document.

// Begins a roll-out with a canary. Returns false if it was already begun;
// kConflict while another one is not finished.
Result<bool> StartRollout(WaveDocument& document,
                          const std::string& rollout,
                          const std::vector<RolloutInstance>& instances);

// kConflict if the roll-out is not running.
Result<bool> PauseRollout(WaveDocument& document);

// Continues a paused roll-out, and a halted one with a new canary. kConflict
// if it is neither.
Result<bool> ResumeRollout(WaveDocument& document);

// Halts on correlated failures, begins the next wave (twice the size) when the
// current one has ended, and ends the roll-out. Sends instances back to
// pending that must not go on: when paused those that still wait for their
// budget, when halted also those that are not rebooting yet. Returns whether
// the document changed.
bool AdvanceRollout(WaveDocument& document);

struct StartLimits {
  BudgetStatus budget;
  // Time to reserve for one instance.
  std::chrono::milliseconds worst_case{0};
  // Instances of the data centre that may be taken out of use now.
  std::set<InstanceId> startable;
};

// Pending instances of the data centre to begin with now: within the wave's
// size, max_down and the budget, and at most one in flight per rack.
std::vector<InstanceId> PlanStarts(const WaveDocument& document,
                                   const DataCentreId& data_centre,
                                   const StartLimits& limits);

// Moves the instance from pending to reserved with a new operation id, which
// contains `unique`.
void BeginOperation(WaveDocument& document,
                    const InstanceId& instance,
                    const std::string& unique);

}  // namespace figflow

#endif  // MAINTENANCE_WAVE_PLANNER_H_
