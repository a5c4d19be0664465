#ifndef SCHEDULING_WORKER_HEALTH_H_
#define SCHEDULING_WORKER_HEALTH_H_

#include <chrono>

#include "Common/clock.h"

namespace figflow {

// Decides when a worker gets no new tasks because its runs fail.
//
// Some workers fail all or some of the runs that they start while their
// registry entry and holds look healthy. A queue allows few attempts for a
// task, so each task placed on such a worker brings its job close to a false
// failure.
class WorkerHealth {
 public:
  void OnRunDone(MonoTime now);
  // Handles a failed run on the worker.
  void OnRunFailed(MonoTime now);
  // Handles an order that the worker refused as unhealthy.
  void OnRefused(MonoTime now);

  // Time before which the worker gets no new tasks.
  MonoTime excluded_until() const { return excluded_until_; }
  bool Excluded(MonoTime now) const { return now < excluded_until_; }
  // Returns whether a run failed recently; other workers are preferred.
  bool RecentlyFailed(MonoTime now) const {
    return now < recently_failed_until_;
  }

 private:
  // Number of failures since the last success.
  int failures_ = 0;
  // Number of consecutive exclusions; each doubles the next.
  int exclusions_ = 0;
  MonoTime recently_failed_until_ = MonoTime::min();
  MonoTime excluded_until_ = MonoTime::min();
};

}  // namespace figflow

#endif  // SCHEDULING_WORKER_HEALTH_H_
