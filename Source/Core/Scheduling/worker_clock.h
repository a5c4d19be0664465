#ifndef SCHEDULING_WORKER_CLOCK_H_
#define SCHEDULING_WORKER_CLOCK_H_

#include <chrono>

#include "Common/clock.h"

namespace figflow {

// Relates a worker's steady clock, on which its leases run, to this daemon's.
class WorkerClock {
 public:
  // A message received at `now` showed `reading`. Messages overtake each
  // other, so an older reading than the known one is ignored.
  void Observe(std::chrono::milliseconds reading, MonoTime now);

  bool known() const { return known_; }

  // The worker's clock `lease` from now, or a little less: a deadline computed
  // from it is never further away than intended.
  std::chrono::milliseconds DeadlineIn(std::chrono::milliseconds lease,
                                       MonoTime now) const;

  // The earliest time at which the worker's clock certainly shows `deadline`,
  // even if it is slow.
  MonoTime SurelyReached(std::chrono::milliseconds deadline) const;

 private:
  bool known_ = false;
  std::chrono::milliseconds reading_{0};
  MonoTime observed_;
};

}  // namespace figflow

#endif  // SCHEDULING_WORKER_CLOCK_H_
