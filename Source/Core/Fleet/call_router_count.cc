// Counting of pending jobs across the partitions of a pool.
#include <utility>

#include "Fleet/call_router.h"
#include "absl/synchronization/mutex.h"

namespace figflow {

void CallRouter::CountInAllPartitions(const std::shared_ptr<RoutedCall>& routed,
                                      const std::vector<std::string>& scopes) {
  struct Sum {
    absl::Mutex mutex;
    size_t left ABSL_GUARDED_BY(mutex) = 0;
    // The sum so far, or the last response that is not a count.
    CallerReply response ABSL_GUARDED_BY(mutex);
  };
  auto sum = std::make_shared<Sum>();
  {
    absl::MutexLock lock(&sum->mutex);
    sum->left = scopes.size();
    sum->response.outcome = CallOutcome::kPendingCount;
  }
  for (const std::string& scope : scopes) {
    auto subquery = std::make_shared<RoutedCall>();
    subquery->arrived = routed->arrived;
    subquery->call = routed->call;
    subquery->call.pool = scope;
    subquery->is_subquery = true;
    subquery->respond = [this, routed, sum](const CallerReply& response) {
      CallerReply total;
      {
        absl::MutexLock lock(&sum->mutex);
        if (response.outcome != CallOutcome::kPendingCount) {
          sum->response = response;
        } else if (sum->response.outcome == CallOutcome::kPendingCount) {
          sum->response.pending += response.pending;
        }
        if (--sum->left > 0) {
          return;
        }
        total = sum->response;
      }
      FinishCall(routed, total);
    };
    StartRouting(subquery);
  }
}

}  // namespace figflow
