#ifndef SCHEDULING_WORKER_HEALTH_H_
#define SCHEDULING_WORKER_HEALTH_H_

#include <chrono>

#include "Common/clock.h"

namespace figflow {

// Decides when a worker gets no new tasks because what it starts fails.
//
// Load pattern: some workers fail all or part of what they start while their
// registry entry and holds look good. A queue allows few attempts for a task,
// so each task given to such a worker is close to a false failure of its job.
class WorkerHealth {
 public:
  void OnDone(MonoTime now);
  // A run failed here.
  void OnFailed(MonoTime now);
  // The worker refused an order as unhealthy.
  void OnRefused(MonoTime now);

  // No new tasks before this time.
  MonoTime excluded_until() const { return excluded_until_; }
  bool Excluded(MonoTime now) const { return now < excluded_until_; }
  // A recent failure: others are preferred.
  bool Doubtful(MonoTime now) const { return now < doubtful_until_; }

 private:
  // Failures since the last success.
  int failures_ = 0;
  // Exclusions in a row; each doubles the next.
  int exclusions_ = 0;
  MonoTime doubtful_until_ = MonoTime::min();
  MonoTime excluded_until_ = MonoTime::min();
};

}  // namespace figflow

#endif  // SCHEDULING_WORKER_HEALTH_H_
