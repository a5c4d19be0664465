#include "Fleet/step_thread.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "absl/time/time.h"

namespace figflow {
namespace {

// Maximum sleep, which also bounds the effect of a suspension: the wait uses a
// clock that stops during one.
constexpr std::chrono::milliseconds kMaxSleep{100};

}  // namespace

StepThread::StepThread(const Clock& clock, Step step)
    : clock_(clock), step_(std::move(step)) {}

StepThread::~StepThread() {
  Stop();
}

void StepThread::Start() {
  thread_ = std::thread([this] { Run(); });
}

void StepThread::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    wake_.Signal();
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

void StepThread::WakeAt(MonoTime at) {
  absl::MutexLock lock(&mutex_);
  if (at < wake_at_) {
    wake_at_ = at;
    wake_.Signal();
  }
}

void StepThread::Run() {
  while (true) {
    const MonoTime now = clock_.Now();
    {
      absl::MutexLock lock(&mutex_);
      if (stopping_) {
        return;
      }
      wake_at_ = now + kMaxSleep;
    }
    WakeAt(step_(now));
    absl::MutexLock lock(&mutex_);
    while (!stopping_) {
      const auto left = wake_at_ - clock_.Now();
      if (left <= MonoTime::duration(0)) {
        break;
      }
      wake_.WaitWithTimeout(&mutex_, absl::FromChrono(left));
    }
  }
}

}  // namespace figflow
