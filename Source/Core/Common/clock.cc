#include "Common/clock.h"

namespace figflow {

MonoTime SystemClock::Now() const {
  return std::chrono::steady_clock::now();
}

WallTime SystemClock::WallNow() const {
  return std::chrono::system_clock::now();
}

std::chrono::milliseconds SinceEpoch(WallTime time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      time.time_since_epoch());
}

WallTime FromEpoch(std::chrono::milliseconds since_epoch) {
  return WallTime(since_epoch);
}

}  // namespace figflow
