#ifndef SCHEDULING_DISPATCH_ORDER_H_
#define SCHEDULING_DISPATCH_ORDER_H_

#include <chrono>
#include <cstdint>
#include <tuple>
#include <vector>

#include "Common/clock.h"
#include "Scheduling/duration_model.h"
#include "Scheduling/fleet_plan.h"
#include "Scheduling/job.h"
#include "absl/strings/string_view.h"

namespace figflow {

// Estimated duration of a job's longest chain of dependent stages: all stages,
// or only those that are not done.
struct WorkChain {
  std::chrono::milliseconds whole{0};
  std::chrono::milliseconds left{0};
};

WorkChain EstimateWorkChain(const JobSpec& spec,
                            const Occurrence& occurrence,
                            const DurationModel& durations);

// Classes of waiting work, in placement sequence.
enum class Urgency {
  // Runs until it is cancelled; its users need it all the time.
  kPerpetual,
  // Has begun and can meet its objective, so the work already done is not
  // wasted.
  kBegunInTime,
  // Can meet its objective with a time reserve.
  kInTime,
  // Misses its objective, and its result becomes useless unless it starts now.
  kLastChance,
  // Cannot meet its objective any more, but its result stays useful for a
  // while.
  kLate,
  // Its result gains nothing from being available earlier.
  kOverdue,
};

absl::string_view UrgencyName(Urgency urgency);

// Of the places of work in time, one of this many goes to work at its last
// chance.
constexpr int kLastChanceInterval = 5;

// Sort key of a job's waiting tasks; lower ranks are placed first.
struct DispatchRank {
  Urgency urgency = Urgency::kPerpetual;
  int priority = 0;
  // Latest start time that meets the limit of the urgency class, or the due
  // time if the class has no limit.
  MonoTime key;

  friend bool operator<(const DispatchRank& a, const DispatchRank& b) {
    return std::tie(a.urgency, a.priority, a.key) <
           std::tie(b.urgency, b.priority, b.key);
  }
};

// Returns the rank of an occurrence's waiting tasks. `queue` is null if the
// plan lacks it.
//
// At its peak a queue requests more than its pool's capacity for some seconds.
// Placing the oldest work first would then make all of it late by the same
// time. Work that can still meet its objective therefore goes first, sorted by
// its latest start time, and other work waits until the peak is over. A job
// counts as in time only with a reserve: if it started at the last moment, any
// further delay would make it miss its objective.
DispatchRank ComputeDispatchRank(const Job& job,
                                 const Occurrence& occurrence,
                                 const QueueConfig* queue,
                                 const DurationModel& durations,
                                 MonoTime now);

// Returns the indices of `ranks` in dispatch sequence: sorted by rank, except
// that work at its last chance gets one in five of the places of work in time.
// Without that fraction late work would become useless at every long peak; with
// a larger one the work behind it would become late as well.
std::vector<size_t> DispatchSequence(const std::vector<DispatchRank>& ranks);

}  // namespace figflow

#endif  // SCHEDULING_DISPATCH_ORDER_H_
