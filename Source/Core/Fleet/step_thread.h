#ifndef FLEET_STEP_THREAD_H_
#define FLEET_STEP_THREAD_H_

#include <functional>
#include <thread>

#include "Common/clock.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace figflow {

// Calls a function when it is due. Thread-safe.
class StepThread {
 public:
  // Called with the present time; returns when it wants to be called again.
  using Step = std::function<MonoTime(MonoTime now)>;

  StepThread(const Clock& clock, Step step);
  ~StepThread();
  StepThread(const StepThread&) = delete;
  StepThread& operator=(const StepThread&) = delete;

  void Start();
  // The step is not called any more once this has returned.
  void Stop();
  // Asks for a call at this time, if none is due earlier.
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
