// Determines the queue of a call and the pools that may hold its job.
#include <optional>
#include <utility>

#include "Fleet/call_router.h"
#include "Fleet/retry_advice.h"

namespace figflow {
namespace {

// The store confirms within a few milliseconds whether the plan is the latest.
constexpr std::chrono::milliseconds kPlanPollInterval{10};

void AppendTo(std::vector<std::string>* list,
              const std::vector<std::string>& more) {
  list->insert(list->end(), more.begin(), more.end());
}

}  // namespace

CallerReply CallRouter::Unavailable(std::string reason) {
  CallerReply response;
  response.outcome = CallOutcome::kUnavailable;
  response.retry_after =
      ComputeRetryDelay(std::chrono::milliseconds(0), kCallTimeout, "");
  response.reason = std::move(reason);
  return response;
}

void CallRouter::ResolveQueue(const HttpRequest& request,
                              const std::shared_ptr<RoutedCall>& routed) {
  // Read before the plan, which was the newest at this time or later.
  const MonoTime plan_confirmed_at = engine_.PlanConfirmedAt();
  const std::shared_ptr<const FleetPlan> plan = engine_.plan();
  const std::optional<PoolLayout> layout = engine_.layout();
  if (plan == nullptr || !layout) {
    FinishCall(routed, Unavailable(plan == nullptr ? "no-plan" : "no-layout"));
    return;
  }
  Result<CallerCall> call = platform_.ParseCall(request, *plan);
  if (!call) {
    if (call.error().code == ErrorCode::kNotFound) {
      OnUnknownPath(request, plan->version, routed);
      return;
    }
    if (call.error().code == ErrorCode::kPermissionDenied) {
      OnInvalidKey(request, call.error().message, plan_confirmed_at, routed);
      return;
    }
    CallerReply response;
    response.outcome = CallOutcome::kMalformed;
    response.reason = call.error().message;
    FinishCall(routed, response);
    return;
  }
  routed->call = std::move(*call);
  routed->call.plan_version = plan->version;
  if (!CheckKeyConfirmed(request, plan_confirmed_at, routed)) {
    return;
  }
  if (routed->call.kind == CallKind::kSubmit) {
    const Result<void> valid = CheckJobSpec(routed->call.spec);
    routed->spec_bytes = FormatJobSpec(routed->call.spec);
    if (!valid || routed->spec_bytes.size() > kMaxSpecBytes) {
      CallerReply response;
      response.outcome = CallOutcome::kMalformed;
      response.reason = valid ? "the job is too large" : valid.error().message;
      FinishCall(routed, response);
      return;
    }
  }
  const QueueConfig* queue = plan->FindQueueByName(routed->call.queue);
  const std::optional<std::vector<std::string>> former_pools =
      queue == nullptr ? std::nullopt
                       : engine_.FormerPools(plan->version, *queue);
  if (routed->call.kind == CallKind::kCountPending) {
    std::vector<std::string> scopes = layout->ScopesOfPool(routed->call.pool);
    for (const std::string& pool :
         former_pools.value_or(std::vector<std::string>())) {
      if (plan->HasActivePool(pool)) {
        AppendTo(&scopes, layout->ScopesOfPool(pool));
      }
    }
    CountInAllPartitions(routed, scopes);
    return;
  }
  if (!former_pools) {
    OnUnrecordedRoute(request, routed);
    return;
  }
  routed->call.route = RouteHistory::RouteOf(*queue);
  routed->call.route_pools = former_pools->size() + 1;
  const std::string& job = routed->call.job;
  std::vector<std::string> former_scopes;
  for (const std::string& pool : *former_pools) {
    AppendTo(&former_scopes, layout->ScopesOfJob(pool, job));
  }
  if (routed->call.kind == CallKind::kSubmit) {
    routed->call.pool = layout->ScopeOfJob(routed->call.pool, job,
                                           routed->call.spec.perpetual());
    SubmitIfNew(routed, std::move(former_scopes));
    return;
  }
  std::vector<std::string> scopes = layout->ScopesOfJob(routed->call.pool, job);
  routed->call.pool = scopes.front();
  routed->other_scopes.assign(scopes.begin() + 1, scopes.end());
  AppendTo(&routed->other_scopes, former_scopes);
  StartRouting(routed);
}

void CallRouter::OnUnrecordedRoute(const HttpRequest& request,
                                   const std::shared_ptr<RoutedCall>& routed) {
  const MonoTime now = clock_.Now();
  const std::chrono::milliseconds outage = engine_.StoreResponseAge(now);
  if (outage <= kStoreTimeout &&
      now < routed->arrived + engine_.MaxPlanWait()) {
    engine_.RunAfter(kPlanPollInterval, [this, request, routed] {
      ResolveQueue(request, routed);
    });
    return;
  }
  CallerReply response = Unavailable("route-not-recorded");
  response.retry_after =
      ComputeRetryDelay(outage, kCallTimeout, request.target);
  FinishCall(routed, response);
}

void CallRouter::SubmitIfNew(const std::shared_ptr<RoutedCall>& routed,
                             std::vector<std::string> scopes) {
  if (scopes.empty()) {
    StartRouting(routed);
    return;
  }
  auto lookup = std::make_shared<RoutedCall>();
  lookup->arrived = routed->arrived;
  lookup->is_subquery = true;
  lookup->call.kind = CallKind::kLookUp;
  lookup->call.queue = routed->call.queue;
  lookup->call.job = routed->call.job;
  lookup->call.customer = routed->call.customer;
  lookup->call.plan_version = routed->call.plan_version;
  lookup->call.patience = routed->call.patience;
  lookup->call.pool = scopes.front();
  lookup->other_scopes.assign(scopes.begin() + 1, scopes.end());
  lookup->respond = [this, routed](const CallerReply& found) {
    if (found.outcome == CallOutcome::kNoSuchJob) {
      StartRouting(routed);
      return;
    }
    CallerReply response;
    response.reason = "former-pool";
    // Unless that pool responds, an earlier request may have been accepted.
    response.outcome = found.outcome == CallOutcome::kState
                           ? CallOutcome::kAccepted
                       : found.outcome == CallOutcome::kRefused
                           // The id is that of another customer's job.
                           ? CallOutcome::kNoSuchJob
                           : CallOutcome::kUnknown;
    FinishCall(routed, response);
  };
  StartRouting(lookup);
}

void CallRouter::OnUnknownPath(const HttpRequest& request,
                               uint64_t plan_version,
                               const std::shared_ptr<RoutedCall>& routed) {
  const MonoTime now = clock_.Now();
  if (engine_.PlanIsCurrent(now)) {
    LogNoSuchQueue(request, plan_version);
    CallerReply response;
    response.outcome = CallOutcome::kNoSuchQueue;
    response.reason = "no such queue";
    FinishCall(routed, response);
    return;
  }
  const std::chrono::milliseconds outage = engine_.StoreResponseAge(now);
  if (outage <= kStoreTimeout &&
      now < routed->arrived + engine_.MaxPlanWait()) {
    engine_.ConfirmPlan();
    engine_.RunAfter(kPlanPollInterval, [this, request, routed] {
      ResolveQueue(request, routed);
    });
    return;
  }
  CallerReply response = Unavailable("plan-may-be-old");
  response.retry_after =
      ComputeRetryDelay(outage, kCallTimeout, request.target);
  FinishCall(routed, response);
}

}  // namespace figflow
