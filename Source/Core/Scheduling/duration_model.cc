#include "Scheduling/duration_model.h"

#include <algorithm>
#include <cmath>

namespace figflow {
namespace {

// Decay of the weight of earlier runs by each run: about the last 300 runs
// count.
constexpr double kDecay = 1.0 - 1.0 / 300;
// Minimum weight of the recorded runs; below it estimates are used unchanged.
constexpr double kEnough = 12;
// Keeps the slope near 1 while few runs are recorded, in squared log units.
constexpr double kPrior = 2.0;
constexpr std::chrono::milliseconds kWithoutEstimate{1'000};

double Log(std::chrono::milliseconds duration) {
  return std::log(static_cast<double>(std::max<int64_t>(duration.count(), 1)));
}

}  // namespace

void DurationModel::Learn(std::chrono::milliseconds estimate,
                          std::chrono::milliseconds actual) {
  const double x = Log(estimate);
  const double y = Log(actual);
  weight_ = weight_ * kDecay + 1;
  x_ = x_ * kDecay + x;
  y_ = y_ * kDecay + y;
  xx_ = xx_ * kDecay + x * x;
  xy_ = xy_ * kDecay + x * y;
}

std::chrono::milliseconds DurationModel::Predict(
    std::chrono::milliseconds estimate) const {
  if (weight_ < kEnough) {
    return estimate.count() > 0 ? estimate : kWithoutEstimate;
  }
  const double mean_x = x_ / weight_;
  const double mean_y = y_ / weight_;
  const double variance = std::max(0.0, xx_ - weight_ * mean_x * mean_x);
  const double covariance = xy_ - weight_ * mean_x * mean_y;
  const double slope =
      std::clamp((covariance + kPrior) / (variance + kPrior), 0.0, 1.0);
  const double predicted = std::exp(mean_y + slope * (Log(estimate) - mean_x));
  return std::chrono::milliseconds(static_cast<int64_t>(predicted) + 1);
}

}  // namespace figflow
