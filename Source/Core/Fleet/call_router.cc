#include "Fleet/call_router.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "Common/log.h"
#include "Fleet/peer_calls.h"
#include "Fleet/retry_advice.h"
#include "Fleet/route_choice.h"
#include "Http/http_headers.h"
#include "Http/http_status.h"
#include "Ownership/owner_record.h"
#include "Ownership/prefix_follower.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

// Maximum wait of a job for an owner. A take-over after a hand-over finishes
// within it, one after a crash does not.
constexpr std::chrono::milliseconds kSubmitMaxWait{450};
// Reads and cancellations wait longer: refusing them has no benefit.
constexpr std::chrono::milliseconds kReadMaxWait{2'000};
// A forwarded job is returned sooner, so that the peer can try another route.
constexpr std::chrono::milliseconds kRelayMaxWait{150};
constexpr std::chrono::milliseconds kCallRetryDelay{40};
// Reserved for the response to reach the caller within its deadline.
constexpr std::chrono::milliseconds kResponseMargin{150};

}  // namespace

CallRouter::CallRouter(FleetEngine& engine,
                       PlatformAdapter& platform,
                       HttpTransport& peers,
                       const Clock& clock,
                       MetricsRegistry& metrics)
    : engine_(engine),
      platform_(platform),
      peers_(peers),
      clock_(clock),
      metrics_(metrics),
      latency_(metrics.GetHistogram("figflow_call")) {}

void CallRouter::Handle(const HttpRequest& request,
                        const std::shared_ptr<HttpExchange>& exchange) {
  auto routed = std::make_shared<RoutedCall>();
  routed->arrived = clock_.Now();
  routed->respond = [this, exchange](const CallerReply& response) {
    exchange->Respond(platform_.FormatReply(response));
  };
  ResolveQueue(request, routed);
}

void CallRouter::StartRouting(const std::shared_ptr<RoutedCall>& routed) {
  const std::chrono::milliseconds timeout =
      routed->call.patience.count() > 0 ? routed->call.patience : kCallTimeout;
  routed->deadline =
      routed->arrived + std::max(timeout - kResponseMargin, timeout / 2);
  const bool submit = routed->call.kind == CallKind::kSubmit;
  const std::chrono::milliseconds wait = !submit           ? kReadMaxWait
                                         : routed->relayed ? kRelayMaxWait
                                                           : kSubmitMaxWait;
  routed->refuse_after = std::min(routed->deadline, routed->arrived + wait);
  const bool reads = routed->call.kind == CallKind::kQuery ||
                     routed->call.kind == CallKind::kLookUp;
  if (reads && !MayHaveOwner(routed->call.pool)) {
    ReadJobFromStore(routed);
    return;
  }
  TryRoute(routed);
}

bool CallRouter::IsRoutedByEarlierPlan(const CallerCall& call) const {
  if (call.route.empty()) {
    return false;
  }
  const std::shared_ptr<const FleetPlan> plan = engine_.plan();
  const size_t pools = engine_.CountRoutePools(call.route);
  return call.route_pools < pools ||
         (pools > 1 && plan != nullptr && call.plan_version < plan->version);
}

bool CallRouter::MayDenyJob(const RoutedCall& routed) const {
  const std::shared_ptr<const FleetPlan> plan = engine_.plan();
  return plan != nullptr && plan->version == routed.call.plan_version &&
         engine_.PlanIsCurrent(clock_.Now());
}

bool CallRouter::MayHaveOwner(const std::string& scope) const {
  const std::shared_ptr<const FleetPlan> plan = engine_.plan();
  const std::optional<PoolLayout> layout = engine_.layout();
  return plan == nullptr || !layout ||
         plan->HasActivePool(layout->PoolOf(scope));
}

RouteView CallRouter::MakeRouteView(const RoutedCall& routed) {
  const std::string& pool = routed.call.pool;
  const MonoTime now = clock_.Now();
  const bool no_store = engine_.StoreResponseAge(now) > kStoreTimeout;
  if (no_store) {
    PingPeers(now);
  }
  RouteView view;
  const std::shared_ptr<PoolRunner> runner = engine_.OwnRunner(pool);
  view.owned_here = runner != nullptr && runner->AcceptsCalls();
  const std::optional<FleetEngine::Owner> owner = engine_.OwnerOf(pool);
  if (owner && owner->record.entry != engine_.entry()) {
    view.owner = PeerAddress{owner->record.entry, owner->record.address};
    view.owner_claim = owner->revision;
  }
  view.stale = no_store || engine_.OwnersStaleness(now) > kMaxHealthyStaleness;
  for (PeerAddress& peer : engine_.Peers()) {
    // Without the store, only a peer that it responds to has newer data.
    const bool can_help = no_store
                              ? peer_health_.HasStoreAccess(peer.address, now)
                              : peer_health_.StateOf(peer.address, now) !=
                                    PeerHealth::State::kUnresponsive;
    if (can_help) {
      view.peers.push_back(std::move(peer));
    }
  }
  view.relayed = routed.relayed;
  return view;
}

void CallRouter::TryAlternative(const std::shared_ptr<RoutedCall>& routed) {
  const RouteView view = MakeRouteView(*routed);
  const RouteChoice choice = ChooseRoute(view, routed->attempts);
  const bool already_tried =
      choice.action == RouteChoice::Action::kOwner &&
      routed->attempts.failed_claims.count(view.owner_claim) > 0;
  if (already_tried) {
    RetryLater(routed);
  } else {
    ExecuteRoute(routed, view, choice);
  }
}

void CallRouter::TryRoute(const std::shared_ptr<RoutedCall>& routed) {
  const RouteView view = MakeRouteView(*routed);
  ExecuteRoute(routed, view, ChooseRoute(view, routed->attempts));
}

void CallRouter::ExecuteRoute(const std::shared_ptr<RoutedCall>& routed,
                              const RouteView& view,
                              const RouteChoice& choice) {
  switch (choice.action) {
    case RouteChoice::Action::kServeLocally:
      ServeLocally(routed->call, routed->spec_bytes,
                   [this, routed](const CallerReply& response) {
                     OnResponse(routed, response);
                   });
      return;
    case RouteChoice::Action::kOwner:
      TryPeer(routed, choice.peer.address, view.owner_claim);
      return;
    case RouteChoice::Action::kRelay:
      ++routed->attempts.relays;
      metrics_.GetCounter("figflow_calls_relayed_total").Add();
      TryPeer(routed, choice.peer.address, 0);
      return;
    case RouteChoice::Action::kWait:
      RetryLater(routed);
      return;
  }
}

void CallRouter::RetryLater(const std::shared_ptr<RoutedCall>& routed) {
  const MonoTime now = clock_.Now();
  const bool uncertain = routed->unconfirmed != 0;
  if (!uncertain && IsOfRemovedCustomer(routed->call)) {
    FinishCall(routed, Unavailable(kCustomerRemovedReason));
    return;
  }
  const bool submit = routed->call.kind == CallKind::kSubmit;
  const std::chrono::milliseconds outage = engine_.StoreResponseAge(now);
  const bool no_acceptor = submit && !uncertain && outage > kStoreTimeout &&
                           !peer_health_.PingRoundActive();
  const MonoTime retry_until =
      uncertain ? routed->deadline : routed->refuse_after;
  if (!no_acceptor && now + kCallRetryDelay < retry_until) {
    engine_.RunAfter(kCallRetryDelay, [this, routed] {
      routed->attempts.relays = 0;
      TryRoute(routed);
    });
    return;
  }
  CallerReply response = Unavailable(no_acceptor ? "store-away" : "no-owner");
  response.retry_after =
      ComputeRetryDelay(outage, routed->call.patience, routed->call.job);
  if (uncertain && submit) {
    response.outcome = CallOutcome::kUnknown;
  }
  FinishCall(routed, response);
}

void CallRouter::OnResponse(const std::shared_ptr<RoutedCall>& routed,
                            const CallerReply& response) {
  switch (response.outcome) {
    case CallOutcome::kUnavailable:
      RetryLater(routed);
      return;
    case CallOutcome::kUnknown:
      // A daemon that forwarded the call may not name the owner whose outcome
      // is unknown.
      routed->unconfirmed =
          std::max(routed->unconfirmed,
                   response.fence == 0 ? kAnyClaim : response.fence);
      RetryLater(routed);
      return;
    case CallOutcome::kRefused:
      // The refusal covers earlier attempts only if their owner is deposed.
      if (routed->unconfirmed >= response.fence && routed->unconfirmed != 0) {
        RetryLater(routed);
        return;
      }
      FinishCall(routed, response);
      return;
    default:
      FinishCall(routed, response);
      return;
  }
}

void CallRouter::LogNoSuchQueue(const HttpRequest& request,
                                uint64_t plan_version) const {
  const std::string* host = FindHeader(request.headers, "host");
  const auto age = WholeMilliseconds(engine_.PlanStaleness(clock_.Now()));
  LogEvent(LogLevel::kInfo, LogCategory::kRequests, "no_such_queue",
           {{"host", host == nullptr ? "" : host->substr(0, kMaxLoggedBytes)},
            {"path", request.target.substr(0, kMaxLoggedBytes)},
            {"plan_version", absl::StrCat(plan_version)},
            {"plan_age_ms", absl::StrCat(age.count())}});
}

void CallRouter::LogOutcome(const RoutedCall& routed,
                            const CallerReply& response,
                            MonoTime::duration duration) const {
  const auto milliseconds = [](MonoTime::duration value) {
    return absl::StrCat(WholeMilliseconds(value).count());
  };
  const MonoTime now = clock_.Now();
  const std::optional<FleetEngine::Owner> owner =
      engine_.OwnerOf(routed.call.pool);
  std::optional<MonoTime::duration> owner_response;
  if (owner) {
    owner_response = peer_health_.TimeSinceResponse(owner->record.address, now);
  }
  LogEvent(
      LogLevel::kInfo, LogCategory::kRequests, "call_answered",
      {{"job", routed.call.job},
       {"call", std::string(CallKindName(routed.call.kind))},
       {"queue", routed.call.queue},
       {"customer", routed.call.customer},
       {"pool", routed.call.pool},
       {"outcome", std::string(CallOutcomeName(response.outcome))},
       {"reason", response.reason},
       {"fence", absl::StrCat(response.fence)},
       {"owner", owner ? owner->record.entry : "none"},
       {"owner_fence", absl::StrCat(owner ? owner->revision : 0)},
       {"owners_age_ms", milliseconds(engine_.OwnersStaleness(now))},
       {"owner_answered_ms_ago",
        owner_response ? milliseconds(*owner_response) : "never"},
       {"store_silent_ms", absl::StrCat(engine_.StoreResponseAge(now).count())},
       {"relays", absl::StrCat(routed.attempts.relays)},
       {"held_ms", milliseconds(duration)}});
}

bool CallRouter::TryOtherScope(const std::shared_ptr<RoutedCall>& routed,
                               const CallerReply& response) {
  const bool may_be_elsewhere = response.outcome == CallOutcome::kNoSuchJob ||
                                response.outcome == CallOutcome::kUnavailable ||
                                response.outcome == CallOutcome::kUnknown;
  if (!may_be_elsewhere || routed->other_scopes.empty()) {
    return false;
  }
  if (response.outcome != CallOutcome::kNoSuchJob) {
    routed->uncertain = response;
  }
  routed->call.pool = std::move(routed->other_scopes.front());
  routed->other_scopes.erase(routed->other_scopes.begin());
  routed->attempts = {};
  routed->unconfirmed = 0;
  StartRouting(routed);
  return true;
}

void CallRouter::FinishCall(const std::shared_ptr<RoutedCall>& routed,
                            const CallerReply& last_response) {
  if (TryOtherScope(routed, last_response)) {
    return;
  }
  CallerReply response =
      CombineScopeResponses(routed->uncertain, last_response);
  if (routed->is_subquery) {
    routed->respond(response);
    return;
  }
  if (response.outcome == CallOutcome::kNoSuchJob && !routed->relayed &&
      !MayDenyJob(*routed)) {
    // By a later plan, the job may be in a pool that was not queried.
    engine_.ConfirmPlan();
    response = Unavailable("plan-may-be-old");
  }
  const auto duration = clock_.Now() - routed->arrived;
  latency_.Record(duration);
  metrics_
      .GetCounter(absl::StrCat("figflow_calls_total{outcome=\"",
                               CallOutcomeName(response.outcome), "\"}"))
      .Add();
  // A relayed call is logged by the daemon that its caller contacted. Reads
  // change nothing and are frequent, so only a response that denies a job is
  // logged.
  const bool unknown_job = response.outcome == CallOutcome::kNoSuchJob;
  const bool reads = routed->call.kind == CallKind::kQuery ||
                     routed->call.kind == CallKind::kCountPending;
  const bool already_logged = response.outcome == CallOutcome::kNoSuchQueue ||
                              response.outcome == CallOutcome::kUnauthorized;
  if (!routed->relayed && !already_logged && (!reads || unknown_job)) {
    LogOutcome(*routed, response, duration);
  }
  routed->respond(response);
}

}  // namespace figflow
