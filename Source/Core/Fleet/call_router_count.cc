// Counts that the owners of several parts of a pool answer together.
#include <utility>

#include "Fleet/call_router.h"
#include "absl/synchronization/mutex.h"

namespace figflow {

void CallRouter::CountInAllParts(const std::shared_ptr<Routed>& routed,
                                 const std::vector<std::string>& scopes) {
  struct Sum {
    absl::Mutex mutex;
    size_t left ABSL_GUARDED_BY(mutex) = 0;
    // The sum so far, or the first answer that is no count.
    CallerReply reply ABSL_GUARDED_BY(mutex);
  };
  auto sum = std::make_shared<Sum>();
  {
    absl::MutexLock lock(&sum->mutex);
    sum->left = scopes.size();
    sum->reply.outcome = CallOutcome::kPendingCount;
  }
  for (const std::string& scope : scopes) {
    auto part = std::make_shared<Routed>();
    part->arrived = routed->arrived;
    part->call = routed->call;
    part->call.pool = scope;
    part->of_many = true;
    part->respond = [this, routed, sum](const CallerReply& reply) {
      CallerReply total;
      {
        absl::MutexLock lock(&sum->mutex);
        if (reply.outcome != CallOutcome::kPendingCount) {
          sum->reply = reply;
        } else if (sum->reply.outcome == CallOutcome::kPendingCount) {
          sum->reply.pending += reply.pending;
        }
        if (--sum->left > 0) {
          return;
        }
        total = sum->reply;
      }
      Finish(routed, total);
    };
    Begin(part);
  }
}

}  // namespace figflow
