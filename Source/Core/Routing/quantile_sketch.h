#ifndef ROUTING_QUANTILE_SKETCH_H_
#define ROUTING_QUANTILE_SKETCH_H_

#include <array>
#include <chrono>

#include "Common/clock.h"

namespace figflow {

// Estimates quantiles of durations. Samples are counted in logarithmic buckets
// whose weights halve every `half_life`, so that the estimate follows changes
// of the service. Buckets are a quarter of an octave wide, so a quantile is off
// by at most 19%.
class QuantileSketch {
 public:
  explicit QuantileSketch(std::chrono::seconds half_life);

  void Add(std::chrono::nanoseconds value, double weight, MonoTime now);

  // Returns the decayed weight of all samples as of the last Add.
  double weight() const { return weight_; }
  // Returns the middle of the bucket that holds quantile `q`, in [0, 1]; zero
  // if there are no samples.
  std::chrono::nanoseconds Quantile(double q) const;

 private:
  // Buckets range from 100 us to about 1,600 s.
  static constexpr size_t kBuckets = 96;

  void Decay(MonoTime now);

  std::chrono::duration<double> half_life_;
  MonoTime decayed_at_{};
  double weight_ = 0;
  std::array<float, kBuckets> buckets_{};
};

}  // namespace figflow

#endif  // ROUTING_QUANTILE_SKETCH_H_
