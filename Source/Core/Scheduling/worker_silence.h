#ifndef SCHEDULING_WORKER_SILENCE_H_
#define SCHEDULING_WORKER_SILENCE_H_

#include "Common/clock.h"

namespace figflow {

// Tells a worker that answers nothing from an owner that lacks processor time.
//
// Load pattern: an owner at a peak, or one that was suspended, gets to its
// calls seconds late. Leases have lapsed meanwhile, but the workers answer and
// list how the runs ended.
class WorkerSilence {
 public:
  void OnAnswer();
  // A hold that was sent at `sent_at` has failed, which the owner noticed
  // `lateness` after the end of its time.
  void OnHoldFailed(MonoTime sent_at,
                    MonoTime::duration lateness,
                    MonoTime lease_end);
  // Whether the silence lasts and is the worker's.
  bool Certain(MonoTime now) const;

 private:
  // When the last hold was sent that failed in time.
  MonoTime failed_in_time_ = MonoTime::min();
  // Holds in a row that were sent after the end of the lease and failed late.
  int failed_late_ = 0;
};

}  // namespace figflow

#endif  // SCHEDULING_WORKER_SILENCE_H_
