#ifndef SCHEDULING_DISPATCH_ORDER_H_
#define SCHEDULING_DISPATCH_ORDER_H_

#include <chrono>
#include <cstdint>
#include <tuple>

#include "Common/clock.h"
#include "Scheduling/duration_model.h"
#include "Scheduling/fleet_plan.h"
#include "Scheduling/job.h"

namespace figflow {

// Longest chain of estimated work of a job, all stages or only what is left.
struct WorkChain {
  std::chrono::milliseconds whole{0};
  std::chrono::milliseconds left{0};
};

WorkChain ChainOf(const JobSpec& spec,
                  const Occurrence& occurrence,
                  const DurationModel& durations);

// Order in which waiting work is placed; lower goes first.
struct DispatchRank {
  // 0: perpetual work, 1: can still meet its objective, 2: is late.
  int group = 0;
  int priority = 0;
  // Latest start that meets the objective, or the arrival of late work.
  MonoTime key;

  friend bool operator<(const DispatchRank& a, const DispatchRank& b) {
    return std::tie(a.group, a.priority, a.key) <
           std::tie(b.group, b.priority, b.key);
  }
};

// Load pattern: at its peak a queue asks for more than its pool holds for some
// seconds. Work that can meet its objective only if it starts now goes before
// work that has time left, and both before work that is late whatever happens,
// which is done when the peak is over.
DispatchRank RankOf(const Job& job,
                    const Occurrence& occurrence,
                    const QueueConfig* queue,
                    const DurationModel& durations,
                    MonoTime now);

}  // namespace figflow

#endif  // SCHEDULING_DISPATCH_ORDER_H_
