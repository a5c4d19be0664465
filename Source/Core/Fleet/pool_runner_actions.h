#ifndef FLEET_POOL_RUNNER_ACTIONS_H_
#define FLEET_POOL_RUNNER_ACTIONS_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "Fleet/pool_runner.h"

namespace figflow {

// Actions that the scheduler requested, executed without the lock.
struct PoolRunner::PendingActions {
  SchedulerOutput output;
  std::vector<std::pair<SubmitCallback, SubmitResponse>> submit_responses;
  std::vector<std::pair<CancelCallback, CancelOutcome>> cancel_responses;
  // Null if nothing is to be written.
  std::shared_ptr<RecordWriter> writer;
  std::vector<StoreWrite> writes;
  std::vector<std::string> removals;
  std::function<void()> released;
  MonoTime wake = MonoTime::max();
};

}  // namespace figflow

#endif  // FLEET_POOL_RUNNER_ACTIONS_H_
