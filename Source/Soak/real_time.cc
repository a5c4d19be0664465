#include "Soak/real_time.h"

#include <algorithm>
#include <utility>

#include "absl/synchronization/notification.h"
#include "absl/time/time.h"

namespace figflow::soak {
namespace {

constexpr std::chrono::milliseconds kLongestSleep{50};

}  // namespace

RealTime::RealTime(model::VirtualTime& time) : time_(time) {}

RealTime::~RealTime() {
  Stop();
}

void RealTime::Start() {
  thread_ = std::thread([this] { Run(); });
}

void RealTime::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

void RealTime::Post(std::function<void()> event) {
  absl::MutexLock lock(&mutex_);
  if (!stopping_) {
    posted_.push_back(std::move(event));
  }
}

void RealTime::RunAndWait(const std::function<void()>& event) {
  absl::Notification done;
  Post([&] {
    event();
    done.Notify();
  });
  done.WaitForNotification();
}

void RealTime::Run() {
  const MonoTime begun = clock_.Now();
  const MonoTime virtual_begun = time_.Now();
  const auto due = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    return stopping_ || !posted_.empty();
  };
  while (true) {
    const MonoTime now = virtual_begun + (clock_.Now() - begun);
    if (now > time_.NextEvent()) {
      longest_lag_ = std::max(
          longest_lag_, std::chrono::duration_cast<std::chrono::milliseconds>(
                            now - time_.NextEvent()));
    }
    if (now > time_.Now()) {
      time_.RunFor(now - time_.Now());
    }
    const auto idle = std::clamp<MonoTime::duration>(
        time_.NextEvent() - time_.Now(), MonoTime::duration(0), kLongestSleep);
    std::vector<std::function<void()>> posted;
    {
      absl::MutexLock lock(&mutex_);
      mutex_.AwaitWithTimeout(absl::Condition(&due), absl::FromChrono(idle));
      if (stopping_) {
        return;
      }
      posted.swap(posted_);
    }
    for (const auto& event : posted) {
      event();
    }
  }
}

}  // namespace figflow::soak
