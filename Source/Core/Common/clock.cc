#include "Common/clock.h"

#include <ctime>

namespace figflow {

MonoTime SystemClock::Now() const {
  // CLOCK_MONOTONIC stands still while the instance is suspended, and a lease
  // does not.
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return MonoTime(std::chrono::seconds(time.tv_sec) +
                  std::chrono::nanoseconds(time.tv_nsec));
}

WallTime SystemClock::WallNow() const {
  return std::chrono::system_clock::now();
}

std::chrono::milliseconds WholeMilliseconds(std::chrono::nanoseconds duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

std::chrono::milliseconds SinceEpoch(WallTime time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      time.time_since_epoch());
}

WallTime FromEpoch(std::chrono::milliseconds since_epoch) {
  return WallTime(since_epoch);
}

}  // namespace figflow
