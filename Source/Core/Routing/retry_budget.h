#ifndef ROUTING_RETRY_BUDGET_H_
#define ROUTING_RETRY_BUDGET_H_

#include "Common/clock.h"

namespace figflow {

// Token bucket that allows retries of 10% of the recently granted requests.
// Not thread-safe.
class RetryBudget {
 public:
  // One request was granted a slot, retries included.
  void OnGrant(MonoTime now);
  bool Take(MonoTime now);
  double tokens() const { return tokens_; }

 private:
  void Decay(MonoTime now);

  double tokens_ = 0;
  // Granted requests, decayed with time.
  double recent_ = 0;
  MonoTime decayed_at_{};
};

}  // namespace figflow

#endif  // ROUTING_RETRY_BUDGET_H_
