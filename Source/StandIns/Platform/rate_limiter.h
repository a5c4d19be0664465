#ifndef STANDINS_PLATFORM_RATE_LIMITER_H_
#define STANDINS_PLATFORM_RATE_LIMITER_H_

#include "Common/clock.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace figflow::standin {

// Token bucket that holds up to one second's worth of calls.
class RateLimiter {
 public:
  RateLimiter(double per_second, MonoTime now);
  // Takes a token; false if none is left.
  bool Admit(MonoTime now);

 private:
  const double per_second_;
  absl::Mutex mutex_;
  double tokens_ ABSL_GUARDED_BY(mutex_);
  MonoTime filled_at_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace figflow::standin

#endif  // STANDINS_PLATFORM_RATE_LIMITER_H_
