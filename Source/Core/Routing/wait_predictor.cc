#include "Routing/wait_predictor.h"

#include <algorithm>

namespace figflow {
namespace {

// The mean covers about the last 100 requests. Waits are predicted only under
// load, where this is a second or two.
constexpr int kWindow = 100;

}  // namespace

void WaitPredictor::Observe(std::chrono::nanoseconds held) {
  samples_ = std::min(samples_ + 1, kWindow);
  mean_hold_time_ += (held - mean_hold_time_) / samples_;
}

std::chrono::nanoseconds WaitPredictor::Predict(size_t ahead, int slots) const {
  const double rounds =
      static_cast<double>(ahead + 1) / static_cast<double>(std::max(slots, 1));
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
      rounds * std::chrono::duration<double, std::nano>(mean_hold_time_));
}

}  // namespace figflow
