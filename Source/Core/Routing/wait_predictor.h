#ifndef ROUTING_WAIT_PREDICTOR_H_
#define ROUTING_WAIT_PREDICTOR_H_

#include <chrono>
#include <cstddef>

namespace figflow {

// Predicts the wait in a queue from the mean time that requests hold a slot.
// Not thread-safe.
class WaitPredictor {
 public:
  void Observe(std::chrono::nanoseconds held);
  // Returns the expected wait of a request with `ahead` queued requests before
  // it while all `slots` are in use. Zero before the first measurement.
  std::chrono::nanoseconds Predict(size_t ahead, int slots) const;
  std::chrono::nanoseconds mean() const { return mean_hold_time_; }

 private:
  std::chrono::nanoseconds mean_hold_time_{0};
  int samples_ = 0;
};

}  // namespace figflow

#endif  // ROUTING_WAIT_PREDICTOR_H_
