#ifndef FLEET_STEP_THREAD_H_
#define FLEET_STEP_THREAD_H_

#include <functional>
#include <thread>

#include "Common/clock.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace figflow {

// Calls a function on a thread of its own whenever it is due. Thread-safe.
class StepThread {
 public:
  // Called with the current time. Returns when to call it again.
  using Step = std::function<MonoTime(MonoTime now)>;

  StepThread(const Clock& clock, Step step);
  ~StepThread();
  StepThread(const StepThread&) = delete;
  StepThread& operator=(const StepThread&) = delete;

  void Start();
  // Once this has returned, the step is not called any more.
  void Stop();
  // Requests a call at this time, unless an earlier one is due.
  void WakeAt(MonoTime at);

 private:
  void Run();

  const Clock& clock_;
  const Step step_;
  absl::Mutex mutex_;
  absl::CondVar wake_;
  MonoTime wake_at_ ABSL_GUARDED_BY(mutex_) = MonoTime::max();
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

}  // namespace figflow

#endif  // FLEET_STEP_THREAD_H_
