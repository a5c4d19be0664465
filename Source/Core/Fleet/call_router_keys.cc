// Calls that need a customer's key.
#include <chrono>
#include <string>

#include "Common/log.h"
#include "Fleet/call_router.h"
#include "Fleet/peer_calls.h"
#include "Fleet/retry_advice.h"
#include "Http/http_headers.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

// The store or a peer confirms within a few milliseconds that the plan is the
// latest.
constexpr std::chrono::milliseconds kConfirmationPollInterval{10};
// A daemon that was paused has not heard from the store for long although the
// store is available. It waits this long for the first response.
constexpr std::chrono::milliseconds kResumeWait{50};
// The clocks of two instances may differ by 2%. A peer reports whole
// milliseconds.
constexpr double kClockDrift = 0.02;

constexpr char kUnconfirmedReason[] = "keys-unconfirmed";

}  // namespace

bool CallRouter::CheckKeyConfirmed(const HttpRequest& request,
                                   MonoTime confirmed_at,
                                   const std::shared_ptr<RoutedCall>& routed) {
  const CallerCall& call = routed->call;
  if (call.customer.empty()) {
    return true;
  }
  const bool covered = engine_.KeysCoverCall(confirmed_at, routed->arrived);
  if (covered && engine_.PlanCoversCall(confirmed_at, routed->arrived)) {
    return true;
  }
  if (AwaitPlanConfirmation(request, routed)) {
    return false;
  }
  if (covered) {
    return true;
  }
  RefuseUnconfirmedKey(request, call.customer, routed);
  return false;
}

void CallRouter::OnInvalidKey(const HttpRequest& request,
                              const std::string& fault,
                              MonoTime confirmed_at,
                              const std::shared_ptr<RoutedCall>& routed) {
  if (!engine_.PlanCoversCall(confirmed_at, routed->arrived)) {
    if (!AwaitPlanConfirmation(request, routed)) {
      RefuseUnconfirmedKey(request, "", routed);
    }
    return;
  }
  CountKeyRefusal(fault);
  LogKeyRefused(request, fault, "");
  CallerReply response;
  response.outcome = CallOutcome::kUnauthorized;
  response.reason = absl::StrCat(fault, "-key");
  FinishCall(routed, response);
}

bool CallRouter::AwaitPlanConfirmation(
    const HttpRequest& request,
    const std::shared_ptr<RoutedCall>& routed) {
  const MonoTime now = clock_.Now();
  const bool no_store = engine_.StoreResponseAge(now) > kStoreTimeout;
  engine_.ConfirmPlan();
  if (no_store) {
    PingPeers(now);
  }
  const bool may_be_confirmed = !no_store || peer_health_.PingRoundActive() ||
                                now < routed->arrived + kResumeWait;
  if (!may_be_confirmed || now >= routed->arrived + engine_.MaxPlanWait()) {
    return false;
  }
  engine_.RunAfter(kConfirmationPollInterval,
                   [this, request, routed] { ResolveQueue(request, routed); });
  return true;
}

void CallRouter::RefuseUnconfirmedKey(
    const HttpRequest& request,
    const std::string& customer,
    const std::shared_ptr<RoutedCall>& routed) {
  CountKeyRefusal("unconfirmed");
  LogKeyRefused(request, "unconfirmed", customer);
  CallerReply response = Unavailable(kUnconfirmedReason);
  response.retry_after = ComputeRetryDelay(
      engine_.StoreResponseAge(clock_.Now()), kCallTimeout, request.target);
  FinishCall(routed, response);
}

void CallRouter::CountKeyRefusal(const std::string& reason) {
  metrics_
      .GetCounter(absl::StrCat("figflow_calls_refused_for_keys_total{reason=\"",
                               reason, "\"}"))
      .Add();
}

void CallRouter::LogKeyRefused(const HttpRequest& request,
                               const std::string& reason,
                               const std::string& customer) const {
  const std::string* host = FindHeader(request.headers, "host");
  const MonoTime now = clock_.Now();
  const auto age = WholeMilliseconds(engine_.PlanStaleness(now));
  LogEvent(LogLevel::kInfo, LogCategory::kRequests, "key_refused",
           {{"reason", reason},
            {"customer", customer},
            {"host", host == nullptr ? "" : host->substr(0, kMaxLoggedBytes)},
            {"path", request.target.substr(0, kMaxLoggedBytes)},
            {"plan_age_ms", absl::StrCat(age.count())},
            {"store_silent_ms",
             absl::StrCat(engine_.StoreResponseAge(now).count())}});
}

bool CallRouter::IsOfRemovedCustomer(const CallerCall& call) const {
  if (call.customer.empty()) {
    return false;
  }
  const std::shared_ptr<const FleetPlan> plan = engine_.plan();
  return plan != nullptr && plan->requires_keys &&
         plan->version > call.plan_version &&
         plan->FindCustomer(call.customer) == nullptr;
}

std::optional<PeerPlan> CallRouter::OwnPlan() const {
  const MonoTime confirmed_at = engine_.PlanConfirmedAt();
  const std::shared_ptr<const FleetPlan> plan = engine_.plan();
  if (plan == nullptr || confirmed_at == MonoTime::min()) {
    return std::nullopt;
  }
  return PeerPlan{plan->version, std::chrono::ceil<std::chrono::milliseconds>(
                                     clock_.Now() - confirmed_at)};
}

void CallRouter::OnPeerPlan(const HttpResponse& response, MonoTime sent_at) {
  const std::optional<PeerPlan> plan = ReportedPlan(response);
  if (!plan || engine_.StoreResponseAge(clock_.Now()) <= kStoreTimeout) {
    return;
  }
  const auto staleness = std::chrono::duration_cast<MonoTime::duration>(
      plan->staleness * (1 + kClockDrift));
  engine_.OnPlanConfirmedByPeer(plan->version, sent_at - staleness);
}

}  // namespace figflow
