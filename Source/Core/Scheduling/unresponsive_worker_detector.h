#ifndef SCHEDULING_UNRESPONSIVE_WORKER_DETECTOR_H_
#define SCHEDULING_UNRESPONSIVE_WORKER_DETECTOR_H_

#include "Common/clock.h"

namespace figflow {

// Distinguishes a worker that does not respond from an owner that lacks
// processor time.
//
// An owner at a peak, or one that was suspended, processes its responses
// seconds late. Leases have run out meanwhile, but the workers respond and list
// the results of the runs.
class UnresponsiveWorkerDetector {
 public:
  void OnAnswer();
  // Handles a failed hold that was sent at `sent_at`. The owner noticed the
  // failure `lateness` after the timeout of the hold.
  void OnHoldFailed(MonoTime sent_at,
                    MonoTime::duration lateness,
                    MonoTime lease_end);
  // Returns whether the missing responses are caused by the worker.
  bool IsUnresponsive(MonoTime now) const;

 private:
  // When the last hold was sent whose failure was noticed in time.
  MonoTime failed_in_time_ = MonoTime::min();
  // Number of holds since the last response that were sent after the end of the
  // lease and whose failure was noticed late.
  int failed_late_ = 0;
};

}  // namespace figflow

#endif  // SCHEDULING_UNRESPONSIVE_WORKER_DETECTOR_H_
