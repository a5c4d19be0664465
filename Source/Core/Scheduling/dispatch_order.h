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

// Longest chain of estimated work of a job, all stages or only what is left.
struct WorkChain {
  std::chrono::milliseconds whole{0};
  std::chrono::milliseconds left{0};
};

WorkChain ChainOf(const JobSpec& spec,
                  const Occurrence& occurrence,
                  const DurationModel& durations);

// Classes of waiting work, in the order in which they are placed.
enum class Urgency {
  // Runs until it is cancelled; its users wait for it all the time.
  kPerpetual,
  // Has begun and can meet its objective: what was spent on it pays off.
  kBegunInTime,
  // Can meet its objective, with a reserve.
  kInTime,
  // Is late, and of no more use if it does not start now.
  kLastChance,
  // Cannot meet its objective any more, but is of some use a while longer.
  kLate,
  // Is of no more use when it is done earlier.
  kOverdue,
};

absl::string_view UrgencyName(Urgency urgency);

// Place of a job's waiting tasks in the order; lower goes first.
struct DispatchRank {
  Urgency urgency = Urgency::kPerpetual;
  int priority = 0;
  // Latest start that meets the bound of its class, or the time of arrival.
  MonoTime key;

  friend bool operator<(const DispatchRank& a, const DispatchRank& b) {
    return std::tie(a.urgency, a.priority, a.key) <
           std::tie(b.urgency, b.priority, b.key);
  }
};

// Load pattern: at its peak a queue asks for more than its pool holds for some
// seconds. Taking the oldest work first would then make all of it late by the
// same time. Instead work that can still meet its objective goes first, the
// most pressing of it ahead, and work that cannot is left until the peak is
// over. A job counts as in time only with a reserve: started at the last moment
// it would miss its objective by any further wait.
DispatchRank RankOf(const Job& job,
                    const Occurrence& occurrence,
                    const QueueConfig* queue,
                    const DurationModel& durations,
                    MonoTime now);

// Places of `ranks` in the order of dispatch: by rank, except that one in five
// of the work in time gives way to work at its last chance. Without that share,
// late work would lose its use at every long peak; with more, it would make the
// work behind it late as well.
std::vector<size_t> DispatchSequence(const std::vector<DispatchRank>& ranks);

}  // namespace figflow

#endif  // SCHEDULING_DISPATCH_ORDER_H_
