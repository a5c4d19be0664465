#ifndef SOAK_REAL_TIME_H_
#define SOAK_REAL_TIME_H_

#include <chrono>
#include <functional>
#include <thread>
#include <vector>

#include "Common/clock.h"
#include "StandIns/Fleet/virtual_time.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace figflow::soak {

// Runs the events of a VirtualTime on one thread as real time passes. All that
// uses the models runs there.
class RealTime {
 public:
  explicit RealTime(model::VirtualTime& time);
  ~RealTime();
  RealTime(const RealTime&) = delete;
  RealTime& operator=(const RealTime&) = delete;

  void Start();
  // Joins the thread; events that are left never run.
  void Stop();
  // Runs `event` on the thread. Thread-safe; dropped after Stop.
  void Post(std::function<void()> event);
  // Runs `event` on the thread and waits for its end.
  void RunAndWait(const std::function<void()>& event);
  // The longest time by which an event was late; on the thread only.
  std::chrono::milliseconds LongestLag() const { return longest_lag_; }

 private:
  void Run();

  model::VirtualTime& time_;
  const SystemClock clock_;
  std::chrono::milliseconds longest_lag_{0};
  absl::Mutex mutex_;
  std::vector<std::function<void()>> posted_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

}  // namespace figflow::soak

#endif  // SOAK_REAL_TIME_H_
