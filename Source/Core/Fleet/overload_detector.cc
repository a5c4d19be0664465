#include "Fleet/overload_detector.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace figflow {
namespace {

constexpr std::chrono::milliseconds kSampleInterval{100};
// Time constant of the smoothed lag: single long steps do not count.
constexpr std::chrono::milliseconds kSmoothingTime{500};
// Ten times what a call to a worker or the store takes; each stage of a job
// needs several of them. Calm daemons stay below 3 ms.
constexpr std::chrono::milliseconds kMaxLag{15};
// The lag has to stay above for so long.
constexpr std::chrono::milliseconds kMinOverloadTime{400};
// Reading the records and asking all workers takes less than this. A pool that
// overloads its owner again and again is too large for any daemon: it should
// not be without an owner for a larger weight of the time.
constexpr std::chrono::seconds kSettleTime{8};
// When all daemons are short of processor time, handing over helps nobody; each
// does it at most this often.
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
