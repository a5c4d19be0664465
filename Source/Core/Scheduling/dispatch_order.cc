#include "Scheduling/dispatch_order.h"

#include <algorithm>
#include <vector>

namespace figflow {

WorkChain ChainOf(const JobSpec& spec,
                  const Occurrence& occurrence,
                  const DurationModel& durations) {
  using std::chrono::milliseconds;
  WorkChain chain;
  std::vector<WorkChain> up_to(spec.stages.size());
  for (size_t i = 0; i < spec.stages.size(); ++i) {
    const StageSpec& stage = spec.stages[i];
    for (const int earlier : stage.after) {
      up_to[i].whole = std::max(up_to[i].whole, up_to[earlier].whole);
      up_to[i].left = std::max(up_to[i].left, up_to[earlier].left);
    }
    const milliseconds duration = durations.Predict(stage.estimate);
    up_to[i].whole += duration;
    if (!occurrence.stages[i].finished()) {
      up_to[i].left += duration;
    }
    chain.whole = std::max(chain.whole, up_to[i].whole);
    chain.left = std::max(chain.left, up_to[i].left);
  }
  return chain;
}

DispatchRank RankOf(const Job& job,
                    const Occurrence& occurrence,
                    const QueueConfig* queue,
                    const DurationModel& durations,
                    MonoTime now) {
  DispatchRank rank;
  rank.priority = queue == nullptr ? 0 : queue->priority;
  if (job.perpetual()) {
    rank.key = occurrence.due;
    return rank;
  }
  const WorkChain chain = ChainOf(job.spec, occurrence, durations);
  const double stretch = queue == nullptr ? 1.0 : queue->stretch;
  const auto objective =
      (queue == nullptr ? std::chrono::milliseconds(0) : queue->objective) +
      std::chrono::duration_cast<std::chrono::milliseconds>(chain.whole *
                                                            stretch);
  const MonoTime latest_start = occurrence.due + objective - chain.left;
  if (latest_start >= now) {
    rank.group = 1;
    rank.key = latest_start;
  } else {
    rank.group = 2;
    rank.key = occurrence.due;
  }
  return rank;
}

}  // namespace figflow
