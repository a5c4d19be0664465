#include "Fleet/overload_detector.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace figflow {
namespace {

constexpr std::chrono::milliseconds kSampleInterval{100};
// Time constant of the smoothed lag, so that single long steps have little
// effect.
constexpr std::chrono::milliseconds kSmoothingTime{500};
// Ten times the duration of a request to a worker or the store; each stage of a
// job needs several of them. Daemons without overload stay below 3 ms.
constexpr std::chrono::milliseconds kMaxLag{15};
// The lag has to exceed the threshold for this long.
constexpr std::chrono::milliseconds kMinOverloadTime{400};
// Reading the records and querying all workers takes less than this. A pool
// that keeps overloading its owners is too large for any daemon, and should not
// be without an owner for a larger fraction of the time.
constexpr std::chrono::seconds kSettleTime{8};
// When all daemons lack processor time, handing over has no benefit. Each
// daemon does it at most this often.
constexpr std::chrono::seconds kHandOverBackoff{10};

}  // namespace

void OverloadDetector::OnSample(MonoTime::duration lag, MonoTime now) {
  const auto elapsed =
      sampled_at_ == MonoTime::min()
          ? MonoTime::duration(kSampleInterval)
          : std::max(MonoTime::duration(kSampleInterval), now - sampled_at_);
  const double weight =
      1.0 - std::exp(-std::chrono::duration<double>(elapsed) /
                     std::chrono::duration<double>(kSmoothingTime));
  smoothed_lag_ += std::chrono::duration_cast<MonoTime::duration>(
      (lag - smoothed_lag_) * weight);
  sampled_at_ = now;
  next_sample_ = now + kSampleInterval;
  if (smoothed_lag_ < kMaxLag) {
    late_since_ = MonoTime::max();
  } else {
    late_since_ = std::min(late_since_, now);
  }
}

void OverloadDetector::OnScopeClaimed(MonoTime now) {
  settled_at_ = now + kSettleTime;
}

bool OverloadDetector::ShouldShedLoad(MonoTime now) const {
  return late_since_ != MonoTime::max() &&
         now - late_since_ >= kMinOverloadTime && now >= settled_at_ &&
         !InBackoff(now);
}

void OverloadDetector::OnLoadShed(MonoTime now) {
  backoff_until_ = now + kHandOverBackoff;
}

}  // namespace figflow
