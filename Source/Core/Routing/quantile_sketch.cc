#include "Routing/quantile_sketch.h"

#include <algorithm>
#include <cmath>

namespace figflow {
namespace {

constexpr double kLowestSeconds = 1e-4;
constexpr double kBucketsPerOctave = 4;
// Decaying all 96 buckets for every sample would dominate the cost of Add.
constexpr std::chrono::milliseconds kDecayStep{500};
// The weight doesn't decay below this value, so that a sketch without new
// samples keeps its distribution.
constexpr double kLeastWeight = 0.01;

}  // namespace

QuantileSketch::QuantileSketch(std::chrono::seconds half_life)
    : half_life_(half_life) {}

void QuantileSketch::Decay(MonoTime now) {
  if (weight_ == 0 || now < decayed_at_) {
    decayed_at_ = std::max(decayed_at_, now);
    return;
  }
  const std::chrono::duration<double> passed = now - decayed_at_;
  if (passed < kDecayStep) {
    return;
  }
  decayed_at_ = now;
  const double factor =
      std::max(std::exp2(-passed / half_life_), kLeastWeight / weight_);
  if (factor >= 1) {
    return;
  }
  weight_ = 0;
  for (float& bucket : buckets_) {
    bucket = static_cast<float>(bucket * factor);
    weight_ += bucket;
  }
}

void QuantileSketch::Add(std::chrono::nanoseconds value,
                         double weight,
                         MonoTime now) {
  Decay(now);
  const double seconds = std::chrono::duration<double>(value).count();
  const double position =
      kBucketsPerOctave *
      std::log2(std::max(seconds, kLowestSeconds) / kLowestSeconds);
  const size_t index =
      std::min(static_cast<size_t>(position), buckets_.size() - 1);
  buckets_[index] += static_cast<float>(weight);
  weight_ += weight;
}

std::chrono::nanoseconds QuantileSketch::Quantile(double q) const {
  if (weight_ <= 0) {
    return std::chrono::nanoseconds::zero();
  }
  const double wanted = q * weight_;
  double seen = 0;
  size_t last = 0;
  for (size_t i = 0; i < buckets_.size(); ++i) {
    if (buckets_[i] <= 0) {
      continue;
    }
    seen += buckets_[i];
    last = i;
    if (seen >= wanted) {
      break;
    }
  }
  const double seconds =
      kLowestSeconds *
      std::exp2((static_cast<double>(last) + 0.5) / kBucketsPerOctave);
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double>(seconds));
}

}  // namespace figflow
