// Serves calls from this daemon's own pools, or from the records in the store.
#include <algorithm>
#include <utility>

#include "Fleet/call_router.h"
#include "Ownership/owner_record.h"
#include "Scheduling/job.h"
#include "Scheduling/job_access.h"

namespace figflow {
namespace {

constexpr std::chrono::milliseconds kStoreReadTimeout{500};
// Used when a call has little time left.
constexpr std::chrono::milliseconds kMinStoreReadTimeout{20};

JobParty PartyOf(const CallerCall& call) {
  return {call.customer, call.queue};
}

// To a call that may not access the job, it is like an unknown one. The refusal
// of a look-up differs, because an unknown job would be submitted.
CallerReply StateResponse(const CallerCall& call, const JobView& view) {
  CallerReply response;
  if (!MayAccessJob(PartyOf(call), view.owner)) {
    response.outcome = call.kind == CallKind::kLookUp ? CallOutcome::kRefused
                                                      : CallOutcome::kNoSuchJob;
    return response;
  }
  response.outcome = CallOutcome::kState;
  response.status = view.status;
  response.started = view.started;
  return response;
}

}  // namespace

std::chrono::milliseconds CallRouter::StoreReadTimeout(const RoutedCall& routed,
                                                       MonoTime now) {
  const auto left = WholeMilliseconds(routed.deadline - now);
  return std::clamp(left, kMinStoreReadTimeout, kStoreReadTimeout);
}

void CallRouter::ReadJobFromStore(const std::shared_ptr<RoutedCall>& routed) {
  const CallerCall& call = routed->call;
  const MonoTime now = clock_.Now();
  if (now >= routed->deadline) {
    RetryLater(routed);
    return;
  }
  platform_.store().Get(
      JobProgressKey(call.pool, call.job), StoreReadTimeout(*routed, now),
      [this, routed](const Result<std::optional<StoreItem>>& item) {
        if (!item) {
          RetryLater(routed);
          return;
        }
        if (*item) {
          const Result<JobView> view = ReadJobView((*item)->value);
          if (view) {
            FinishCall(routed, StateResponse(routed->call, *view));
          } else {
            RetryLater(routed);
          }
          return;
        }
        // There is no progress record yet, but the job may have been accepted.
        const CallerCall& queried = routed->call;
        platform_.store().Get(
            AcceptedJobKey(queried.pool, queried.job),
            StoreReadTimeout(*routed, clock_.Now()),
            [this, routed](const Result<std::optional<StoreItem>>& accepted) {
              if (!accepted) {
                RetryLater(routed);
                return;
              }
              if (!*accepted) {
                CallerReply response;
                response.outcome = CallOutcome::kNoSuchJob;
                response.reason = "not-in-store";
                FinishCall(routed, response);
                return;
              }
              const Result<AcceptedJob> job =
                  ParseAcceptedJob((*accepted)->value);
              if (!job) {
                RetryLater(routed);
                return;
              }
              JobView view;
              view.owner = job->job->owner();
              FinishCall(routed, StateResponse(routed->call, view));
            });
      });
}

void CallRouter::ServeLocally(const CallerCall& call,
                              const std::string& spec_bytes,
                              const ResponseCallback& done) {
  if (IsOfRemovedCustomer(call)) {
    done(Unavailable(kCustomerRemovedReason));
    return;
  }
  const std::shared_ptr<PoolRunner> runner = engine_.OwnRunner(call.pool);
  if (runner == nullptr) {
    done(Unavailable("not-owner"));
    return;
  }
  switch (call.kind) {
    case CallKind::kSubmit: {
      const uint64_t fence = runner->claim().revision;
      if (IsRoutedByEarlierPlan(call) && !runner->Query(call.job)) {
        // Another pool may have accepted the job.
        CallerReply response;
        response.outcome = CallOutcome::kUnknown;
        response.reason = "route-changed";
        response.fence = fence;
        done(response);
        return;
      }
      const auto on_response = [done, fence](const SubmitResponse& result) {
        CallerReply response;
        response.fence = fence;
        response.reason = result.reason;
        response.retry_after = result.retry_after;
        switch (result.outcome) {
          case SubmitOutcome::kAccepted:
            response.outcome = CallOutcome::kAccepted;
            break;
          case SubmitOutcome::kRefused:
            // Without a retry delay, only the owner has changed.
            response.outcome = result.retry_after.count() > 0
                                   ? CallOutcome::kRefused
                                   : CallOutcome::kUnavailable;
            break;
          case SubmitOutcome::kUnknown:
            response.outcome = CallOutcome::kUnknown;
            break;
          case SubmitOutcome::kNoSuchJob:
            response.outcome = CallOutcome::kNoSuchJob;
            break;
        }
        done(response);
      };
      if (!runner->Submit(call.spec, spec_bytes, call.plan_version,
                          on_response)) {
        done(Unavailable("pool-not-ready"));
      }
      return;
    }
    case CallKind::kCancel: {
      const auto on_response = [done](CancelOutcome outcome) {
        CallerReply response;
        response.outcome =
            outcome == CancelOutcome::kCancelled  ? CallOutcome::kCancelled
            : outcome == CancelOutcome::kNotFound ? CallOutcome::kNoSuchJob
                                                  : CallOutcome::kUnknown;
        done(response);
      };
      if (!runner->Cancel(call.job, PartyOf(call), on_response)) {
        done(Unavailable("pool-not-ready"));
      }
      return;
    }
    case CallKind::kQuery:
    case CallKind::kLookUp: {
      const Result<JobView> view =
          call.kind == CallKind::kQuery
              ? runner->Query(call.job)
              : runner->LookUp(call.job, call.plan_version);
      if (view) {
        CallerReply response = StateResponse(call, *view);
        response.fence = runner->claim().revision;
        done(response);
      } else if (view.error().code == ErrorCode::kNotFound) {
        CallerReply response;
        response.outcome = CallOutcome::kNoSuchJob;
        response.reason = "not-known-to-owner";
        response.fence = runner->claim().revision;
        done(response);
      } else {
        done(Unavailable("pool-not-ready"));
      }
      return;
    }
    case CallKind::kCountPending: {
      const Result<int64_t> pending = runner->CountPending(call.queue);
      if (!pending) {
        done(Unavailable("pool-not-ready"));
        return;
      }
      CallerReply response;
      response.outcome = CallOutcome::kPendingCount;
      response.pending = *pending;
      done(response);
      return;
    }
  }
}

}  // namespace figflow
