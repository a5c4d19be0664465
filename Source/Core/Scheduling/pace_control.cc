#include "Scheduling/pace_control.h"

#include <algorithm>
#include <chrono>

namespace figflow {
namespace {

// Ratios of load to target above which the pace is lowered, and below which it
// is raised.
constexpr double kLowerPaceAbove = 0.9;
constexpr double kRaisePaceBelow = 0.7;
// Above this ratio the pace is set to 0 at once.
constexpr double kStopFillersAbove = 1.3;
constexpr int kRaisePercent = 15;
// A lower pace has no more effect than 0 and is set to 0.
constexpr int kMinPercent = 10;
// Minimum interval between two changes. The reported tail latency covers the
// last 500 ms, and a pace takes effect after 100 ms: earlier readings still
// show the previous pace.
constexpr std::chrono::milliseconds kSettlingTime{700};

}  // namespace

std::optional<int> PaceControl::OnLoadReported(double load_ratio,
                                               MonoTime now) {
  if (load_ratio < 0 ||
      (changed_at_ != MonoTime::min() && now - changed_at_ < kSettlingTime)) {
    return std::nullopt;
  }
  int wanted = percent_;
  if (load_ratio > kStopFillersAbove) {
    wanted = 0;
  } else if (load_ratio > kLowerPaceAbove) {
    wanted = percent_ / 2 < kMinPercent ? 0 : percent_ / 2;
  } else if (load_ratio < kRaisePaceBelow) {
    wanted = std::min(100, percent_ + kRaisePercent);
  }
  if (wanted == percent_) {
    return std::nullopt;
  }
  percent_ = wanted;
  changed_at_ = now;
  return percent_;
}

}  // namespace figflow
