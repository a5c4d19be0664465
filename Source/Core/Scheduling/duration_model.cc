#include "Scheduling/duration_model.h"

#include <algorithm>
#include <cmath>

namespace figflow {
namespace {

// Decay of the weight of earlier runs by each run: about the last 300 runs
// count.
constexpr double kDecayPerRun = 1.0 - 1.0 / 300;
// Minimum weight of the recorded runs; below it estimates are used unchanged.
constexpr double kMinWeight = 12;
// Keeps the slope near 1 while few runs are recorded, in squared log units.
constexpr double kSlopePrior = 2.0;
constexpr std::chrono::milliseconds kDefaultPrediction{1'000};

double LogMilliseconds(std::chrono::milliseconds duration) {
  return std::log(static_cast<double>(std::max<int64_t>(duration.count(), 1)));
}

}  // namespace

void DurationModel::RecordDuration(std::chrono::milliseconds estimate,
                                   std::chrono::milliseconds actual) {
  const double x = LogMilliseconds(estimate);
  const double y = LogMilliseconds(actual);
  weight_ = weight_ * kDecayPerRun + 1;
  sum_x_ = sum_x_ * kDecayPerRun + x;
  sum_y_ = sum_y_ * kDecayPerRun + y;
  sum_xx_ = sum_xx_ * kDecayPerRun + x * x;
  sum_xy_ = sum_xy_ * kDecayPerRun + x * y;
}

std::chrono::milliseconds DurationModel::Predict(
    std::chrono::milliseconds estimate) const {
  if (weight_ < kMinWeight) {
    return estimate.count() > 0 ? estimate : kDefaultPrediction;
  }
  const double mean_x = sum_x_ / weight_;
  const double mean_y = sum_y_ / weight_;
  const double variance = std::max(0.0, sum_xx_ - weight_ * mean_x * mean_x);
  const double covariance = sum_xy_ - weight_ * mean_x * mean_y;
  const double slope = std::clamp(
      (covariance + kSlopePrior) / (variance + kSlopePrior), 0.0, 1.0);
  const double predicted =
      std::exp(mean_y + slope * (LogMilliseconds(estimate) - mean_x));
  return std::chrono::milliseconds(static_cast<int64_t>(predicted) + 1);
}

}  // namespace figflow
