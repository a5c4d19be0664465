#include "Scheduling/worker_clock.h"

namespace figflow {
namespace {

// Margin for rounding to whole milliseconds on both sides.
constexpr std::chrono::milliseconds kRoundingMargin{2};

}  // namespace

void WorkerClock::Observe(std::chrono::milliseconds reading, MonoTime now) {
  if (known_ && reading <= reading_) {
    return;
  }
  known_ = true;
  reading_ = reading;
  observed_ = now;
}

bool WorkerClock::IsBehind(std::chrono::milliseconds reading,
                           MonoTime sent_at) const {
  if (!known_ || reading.count() == 0) {
    return false;
  }
  const auto elapsed =
      std::chrono::duration<double, std::milli>(sent_at - observed_).count();
  const double lowest = static_cast<double>(reading_.count()) +
                        (elapsed > 0 ? elapsed * kMinWorkerClockRate : elapsed);
  return static_cast<double>((reading + kRoundingMargin).count()) < lowest;
}

std::chrono::milliseconds WorkerClock::DeadlineIn(
    std::chrono::milliseconds lease,
    MonoTime now) const {
  const auto elapsed =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - observed_);
  return reading_ + elapsed + lease;
}

MonoTime WorkerClock::DeadlinePassedBy(
    std::chrono::milliseconds deadline) const {
  const auto remaining = std::chrono::duration<double, std::milli>(
      static_cast<double>((deadline - reading_).count()) / kMinWorkerClockRate);
  return observed_ + std::chrono::duration_cast<MonoTime::duration>(remaining) +
         kRoundingMargin;
}

}  // namespace figflow
