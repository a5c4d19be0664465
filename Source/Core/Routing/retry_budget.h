#ifndef ROUTING_RETRY_BUDGET_H_
#define ROUTING_RETRY_BUDGET_H_

#include "Common/clock.h"

namespace figflow {

// Token bucket that limits retries to 10% of the recently granted requests.
// Not thread-safe.
class RetryBudget {
 public:
  // Earns a tenth of a token. Must be called for each granted request, retries
  // included.
  void OnGrant(MonoTime now);
  // Takes one token for a retry. Returns false if there is none.
  bool Take(MonoTime now);
  double tokens() const { return tokens_; }

 private:
  void Decay(MonoTime now);

  double tokens_ = 0;
  // Number of granted requests, decayed with a half-life of 10 s.
  double recent_ = 0;
  MonoTime decayed_at_{};
};

}  // namespace figflow

#endif  // ROUTING_RETRY_BUDGET_H_
