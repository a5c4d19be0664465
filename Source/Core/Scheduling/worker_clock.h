#ifndef SCHEDULING_WORKER_CLOCK_H_
#define SCHEDULING_WORKER_CLOCK_H_

#include <chrono>

#include "Common/clock.h"

namespace figflow {

// Minimum rate of a worker's clock (platform contract). A slower clock makes a
// lease last longer.
inline constexpr double kMinWorkerClockRate = 0.98;

// Relates a worker's steady clock, which its leases use, to this daemon's
// clock.
class WorkerClock {
 public:
  // Records the clock reading of a message received at `now`. Messages can
  // overtake each other, so a reading that is not newer than the recorded one
  // is ignored.
  void Observe(std::chrono::milliseconds reading, MonoTime now);

  bool known() const { return known_; }

  // Returns whether the clock cannot read `reading` after `sent_at`: the
  // response to a call that was sent then is of a later incarnation, whose
  // clock started anew.
  bool IsBehind(std::chrono::milliseconds reading, MonoTime sent_at) const;

  // Returns the worker's clock `lease` from now, or slightly less: a deadline
  // computed from it is never later than intended.
  std::chrono::milliseconds DeadlineIn(std::chrono::milliseconds lease,
                                       MonoTime now) const;

  // Returns the earliest time at which the worker's clock has certainly reached
  // `deadline`, even if it is slow.
  MonoTime DeadlinePassedBy(std::chrono::milliseconds deadline) const;

 private:
  bool known_ = false;
  std::chrono::milliseconds reading_{0};
  MonoTime observed_;
};

}  // namespace figflow

#endif  // SCHEDULING_WORKER_CLOCK_H_
