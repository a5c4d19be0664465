#include "Routing/retry_budget.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace figflow {
namespace {

constexpr double kRatio = 0.1;
constexpr std::chrono::duration<double> kHalfLife{10};

}  // namespace

void RetryBudget::Decay(MonoTime now) {
  if (now <= decayed_at_) {
    return;
  }
  const std::chrono::duration<double> passed = now - decayed_at_;
  decayed_at_ = now;
  recent_ *= std::exp2(-passed / kHalfLife);
  // Tokens earned in a busy period must not allow a burst of retries later.
  tokens_ = std::min(tokens_, kRatio * recent_);
}

void RetryBudget::OnGrant(MonoTime now) {
  Decay(now);
  recent_ += 1;
  tokens_ += kRatio;
}

bool RetryBudget::Take(MonoTime now) {
  Decay(now);
  if (tokens_ < 1) {
    return false;
  }
  // The retry is counted by OnGrant as well; the token that it earns there is
  // deducted here.
  tokens_ -= 1 + kRatio;
  return true;
}

}  // namespace figflow
