#include "StandIns/Platform/rate_limiter.h"

#include <algorithm>
#include <chrono>

namespace figflow::standin {

RateLimiter::RateLimiter(double per_second, MonoTime now)
    : per_second_(per_second), tokens_(per_second), filled_at_(now) {}

bool RateLimiter::Admit(MonoTime now) {
  absl::MutexLock lock(&mutex_);
  const double passed = std::chrono::duration<double>(now - filled_at_).count();
  tokens_ =
      std::min(per_second_, tokens_ + std::max(0.0, passed) * per_second_);
  filled_at_ = std::max(filled_at_, now);
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

}  // namespace figflow::standin
