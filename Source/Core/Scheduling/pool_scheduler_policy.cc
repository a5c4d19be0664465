// Applies the responses of the policy service.
#include <algorithm>
#include <utility>

#include "Common/log.h"
#include "Scheduling/pool_scheduler.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

// Delay before a query without a response is repeated.
constexpr std::chrono::milliseconds kQueryRetryDelay{400};

}  // namespace

void PoolScheduler::OnPolicyResponse(const PolicyQuery& question,
                                     const Result<PolicyResponse>& answer,
                                     MonoTime sent_at,
                                     MonoTime now) {
  policy_query_in_flight_ = false;
  dispatch_needed_ = true;
  const std::optional<TaskRef> ref = FindTask(question.stage);
  if (!ref) {
    return;
  }
  PlacementTickets& advice = ref->GetStage().advice;
  if (!answer) {
    advice.next_query = now + kQueryRetryDelay;
    return;
  }
  // Queries of other pools of this daemon may have been handled before this
  // one.
  MonoTime issued_at = sent_at;
  const QueueConfig* queue = plan_->FindQueueByName(ref->job->spec.queue);
  if (queue != nullptr && queue->policy) {
    const auto workers = static_cast<int64_t>(question.workers.size());
    issued_at =
        std::max(issued_at, now - queue->policy->query_time -
                                queue->policy->time_per_worker * workers);
  }
  advice.OnAnswer(question.workers, *answer, issued_at);
  if (answer->allowed.empty()) {
    advice.next_query = now;
  }
}

}  // namespace figflow
