#ifndef SCHEDULING_WORKER_HEALTH_H_
#define SCHEDULING_WORKER_HEALTH_H_

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

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
  // Handles a failed run of a job on the worker.
  void OnRunFailed(const std::string& job, MonoTime now);
  // Discounts the failures of a job that fails on other workers, too, and the
  // exclusion that they have caused.
  void DiscountFailures(const std::string& job);
  // Handles an order that the worker refused as unhealthy.
  void OnRefused(MonoTime now);

  // Time before which the worker gets no new tasks.
  MonoTime excluded_until() const {
    return std::max(failing_until_, refusing_until_);
  }
  bool Excluded(MonoTime now) const { return now < excluded_until(); }
  // Time from which the worker is tried again if no other worker is left.
  MonoTime last_resort_from() const {
    return std::max(last_resort_from_, refusing_until_);
  }
  // Returns whether a run failed recently; other workers are preferred.
  bool RecentlyFailed(MonoTime now) const {
    return now < recently_failed_until_;
  }

 private:
  // Jobs of the failures since the last success, one entry for each failure.
  std::vector<std::string> failed_jobs_;
  // Number of consecutive exclusions; each doubles the next.
  int exclusions_ = 0;
  MonoTime recently_failed_until_ = MonoTime::min();
  MonoTime failing_until_ = MonoTime::min();
  MonoTime last_resort_from_ = MonoTime::min();
  MonoTime refusing_until_ = MonoTime::min();
};

}  // namespace figflow

#endif  // SCHEDULING_WORKER_HEALTH_H_
