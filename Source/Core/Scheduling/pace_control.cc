#include "Scheduling/pace_control.h"

#include <algorithm>
#include <chrono>

namespace figflow {
namespace {

// Ratios of load to target above which the pace is lowered, and below which it
// is raised.
constexpr double kTooHigh = 0.9;
constexpr double kSlack = 0.7;
// Above this ratio the pace is set to 0 at once.
constexpr double kFarTooHigh = 1.3;
constexpr int kRaise = 15;
// A lower pace has no more effect than 0 and is set to 0.
constexpr int kLowest = 10;
// Minimum interval between two changes. The reported tail latency covers the
// last 500 ms, and a pace takes effect after 100 ms: earlier readings still
// show the previous pace.
constexpr std::chrono::milliseconds kSettle{700};

}  // namespace

std::optional<int> PaceControl::OnLoad(double load_share, MonoTime now) {
  if (load_share < 0 ||
      (changed_at_ != MonoTime::min() && now - changed_at_ < kSettle)) {
    return std::nullopt;
  }
  int wanted = percent_;
  if (load_share > kFarTooHigh) {
    wanted = 0;
  } else if (load_share > kTooHigh) {
    wanted = percent_ / 2 < kLowest ? 0 : percent_ / 2;
  } else if (load_share < kSlack) {
    wanted = std::min(100, percent_ + kRaise);
  }
  if (wanted == percent_) {
    return std::nullopt;
  }
  percent_ = wanted;
  changed_at_ = now;
  return percent_;
}

}  // namespace figflow
