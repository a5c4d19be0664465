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

// A job that no owner can take is refused after this time at the latest; a
// take-over after a hand-over is done by then, one after a crash is not.
constexpr std::chrono::milliseconds kRefuseAfter{450};
// Reads and cancellations wait for an owner longer: refusing them helps nobody.
constexpr std::chrono::milliseconds kReadPatience{2'000};
// A job that a peer has passed on is handed back sooner, so that the peer can
// try another way within its own time.
constexpr std::chrono::milliseconds kRelayPatience{150};
constexpr std::chrono::milliseconds kTryAgain{40};
// The store tells within a few milliseconds whether the plan is the latest.
constexpr std::chrono::milliseconds kPlanPoll{10};
// Time for the answer to reach the caller within its deadline.
constexpr std::chrono::milliseconds kAnswerMargin{150};
constexpr std::chrono::milliseconds kStoreReadTimeout{500};
constexpr std::chrono::milliseconds kDefaultPatience{3'000};
// Of a caller's host and path in the log.
constexpr size_t kMostLoggedBytes = 100;

CallerReply Unavailable(std::string reason) {
  CallerReply reply;
  reply.outcome = CallOutcome::kUnavailable;
  reply.retry_after =
      ComeBackAfter(std::chrono::milliseconds(0), kDefaultPatience, "");
  reply.reason = std::move(reason);
  return reply;
}

CallerReply StateReply(const JobView& view) {
  CallerReply reply;
  reply.outcome = CallOutcome::kState;
  reply.status = view.status;
  reply.started = view.started;
  return reply;
}

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
  auto routed = std::make_shared<Routed>();
  routed->arrived = clock_.Now();
  routed->respond = [this, exchange](const CallerReply& reply) {
    exchange->Respond(platform_.FormatReply(reply));
  };
  Resolve(request, routed);
}

void CallRouter::Resolve(const HttpRequest& request,
                         const std::shared_ptr<Routed>& routed) {
  const std::shared_ptr<const FleetPlan> plan = engine_.plan();
  const std::optional<PoolLayout> layout = engine_.layout();
  if (plan == nullptr || !layout) {
    Finish(routed, Unavailable(plan == nullptr ? "no-plan" : "no-layout"));
    return;
  }
  Result<CallerCall> call = platform_.ParseCall(request, *plan);
  if (!call) {
    if (call.error().code == ErrorCode::kNotFound) {
      OnUnknownPath(request, plan->version, routed);
      return;
    }
    CallerReply reply;
    reply.outcome = CallOutcome::kMalformed;
    reply.reason = call.error().message;
    Finish(routed, reply);
    return;
  }
  routed->call = std::move(*call);
  if (routed->call.kind == CallKind::kSubmit) {
    if (const Result<void> valid = CheckJobSpec(routed->call.spec); !valid) {
      CallerReply reply;
      reply.outcome = CallOutcome::kMalformed;
      reply.reason = valid.error().message;
      Finish(routed, reply);
      return;
    }
    routed->spec_bytes = FormatJobSpec(routed->call.spec);
  }
  if (routed->call.kind == CallKind::kCountPending) {
    CountInAllParts(routed, layout->ScopesOfPool(routed->call.pool));
    return;
  }
  const std::string& job = routed->call.job;
  if (routed->call.kind == CallKind::kSubmit) {
    routed->call.pool = layout->ScopeOfJob(routed->call.pool, job,
                                           routed->call.spec.perpetual());
  } else {
    std::vector<std::string> scopes =
        layout->ScopesOfJob(routed->call.pool, job);
    routed->call.pool = scopes.front();
    routed->other_scopes.assign(scopes.begin() + 1, scopes.end());
  }
  Begin(routed);
}

void CallRouter::OnUnknownPath(const HttpRequest& request,
                               uint64_t plan_version,
                               const std::shared_ptr<Routed>& routed) {
  const MonoTime now = clock_.Now();
  if (engine_.PlanIsCurrent(now)) {
    LogNoSuchQueue(request, plan_version);
    CallerReply reply;
    reply.outcome = CallOutcome::kNoSuchQueue;
    reply.reason = "no such queue";
    Finish(routed, reply);
    return;
  }
  const std::chrono::milliseconds silence = engine_.StoreSilence(now);
  if (silence <= kStoreAway && now < routed->arrived + engine_.PlanPatience()) {
    engine_.ConfirmPlan();
    engine_.After(kPlanPoll,
                  [this, request, routed] { Resolve(request, routed); });
    return;
  }
  CallerReply reply = Unavailable("plan-may-be-old");
  reply.retry_after = ComeBackAfter(silence, kDefaultPatience, request.target);
  Finish(routed, reply);
}

void CallRouter::Begin(const std::shared_ptr<Routed>& routed) {
  const std::chrono::milliseconds patience = routed->call.patience.count() > 0
                                                 ? routed->call.patience
                                                 : kDefaultPatience;
  routed->deadline =
      routed->arrived + std::max(patience - kAnswerMargin, patience / 2);
  const bool submit = routed->call.kind == CallKind::kSubmit;
  const std::chrono::milliseconds wait = !submit           ? kReadPatience
                                         : routed->relayed ? kRelayPatience
                                                           : kRefuseAfter;
  routed->give_up = std::min(routed->deadline, routed->arrived + wait);
  Try(routed);
}

RouteView CallRouter::ViewFor(const Routed& routed) {
  const std::string& pool = routed.call.pool;
  const MonoTime now = clock_.Now();
  const bool away = engine_.StoreSilence(now) > kStoreAway;
  if (away) {
    SurveyPeers(now);
  }
  RouteView view;
  const std::shared_ptr<PoolRunner> runner = engine_.OwnRunner(pool);
  view.owned_here = runner != nullptr && runner->TakesCallsNow();
  const std::optional<FleetEngine::Owner> owner = engine_.OwnerOf(pool);
  if (owner && owner->record.entry != engine_.entry()) {
    view.owner = PeerAddress{owner->record.entry, owner->record.address};
    view.owner_claim = owner->revision;
  }
  view.stale = away || engine_.OwnersAge(now) > kMaxHealthyStaleness;
  for (PeerAddress& peer : engine_.Peers()) {
    // Without the store this daemon knows no more than the others: one that
    // the store answers can help.
    const bool helps = away ? peer_health_.StoreAnswers(peer.address, now)
                            : peer_health_.StateOf(peer.address, now) !=
                                  PeerHealth::State::kSilent;
    if (helps) {
      view.peers.push_back(std::move(peer));
    }
  }
  view.relayed = routed.relayed;
  return view;
}

void CallRouter::TryNext(const std::shared_ptr<Routed>& routed) {
  const RouteView view = ViewFor(*routed);
  const RouteChoice choice = ChooseRoute(view, routed->attempts);
  const bool tried_before =
      choice.step == RouteChoice::Step::kOwner &&
      routed->attempts.failed_claims.count(view.owner_claim) > 0;
  if (tried_before) {
    TryLater(routed);
  } else {
    Follow(routed, view, choice);
  }
}

void CallRouter::Try(const std::shared_ptr<Routed>& routed) {
  const RouteView view = ViewFor(*routed);
  Follow(routed, view, ChooseRoute(view, routed->attempts));
}

void CallRouter::Follow(const std::shared_ptr<Routed>& routed,
                        const RouteView& view,
                        const RouteChoice& choice) {
  switch (choice.step) {
    case RouteChoice::Step::kHere:
      AnswerHere(
          routed->call, routed->spec_bytes,
          [this, routed](const CallerReply& reply) { OnReply(routed, reply); });
      return;
    case RouteChoice::Step::kOwner:
      TryPeer(routed, choice.peer.address, view.owner_claim);
      return;
    case RouteChoice::Step::kRelay:
      ++routed->attempts.relays;
      metrics_.GetCounter("figflow_calls_relayed_total").Add();
      TryPeer(routed, choice.peer.address, 0);
      return;
    case RouteChoice::Step::kWait:
      TryLater(routed);
      return;
  }
}

void CallRouter::TryStore(const std::shared_ptr<Routed>& routed) {
  const CallerCall& call = routed->call;
  platform_.store().Get(
      JobProgressKey(call.pool, call.job), kStoreReadTimeout,
      [this, routed](const Result<std::optional<StoreItem>>& item) {
        if (!item) {
          TryLater(routed);
          return;
        }
        if (*item) {
          const Result<JobView> view = ReadJobView((*item)->value);
          if (view) {
            Finish(routed, StateReply(*view));
          } else {
            TryLater(routed);
          }
          return;
        }
        // No progress yet: the job may have been accepted only.
        const CallerCall& queried = routed->call;
        platform_.store().Get(
            AcceptedJobKey(queried.pool, queried.job), kStoreReadTimeout,
            [this, routed](const Result<std::optional<StoreItem>>& accepted) {
              if (!accepted) {
                TryLater(routed);
                return;
              }
              CallerReply reply;
              reply.outcome =
                  *accepted ? CallOutcome::kState : CallOutcome::kNoSuchJob;
              reply.reason = "not-in-store";
              Finish(routed, reply);
            });
      });
}

void CallRouter::TryLater(const std::shared_ptr<Routed>& routed) {
  const MonoTime now = clock_.Now();
  const bool uncertain = routed->unanswered_by != 0;
  const bool submit = routed->call.kind == CallKind::kSubmit;
  const std::chrono::milliseconds silence = engine_.StoreSilence(now);
  const bool hopeless = submit && !uncertain && silence > kStoreAway &&
                        !peer_health_.SurveyOpen();
  const MonoTime last = uncertain ? routed->deadline : routed->give_up;
  if (!hopeless && now + kTryAgain < last) {
    engine_.After(kTryAgain, [this, routed] {
      routed->attempts.relays = 0;
      Try(routed);
    });
    return;
  }
  CallerReply reply = Unavailable(hopeless ? "store-away" : "no-owner");
  reply.retry_after =
      ComeBackAfter(silence, routed->call.patience, routed->call.job);
  if (uncertain && submit) {
    reply.outcome = CallOutcome::kUnknown;
  }
  Finish(routed, reply);
}

void CallRouter::OnReply(const std::shared_ptr<Routed>& routed,
                         const CallerReply& reply) {
  switch (reply.outcome) {
    case CallOutcome::kUnavailable:
      TryLater(routed);
      return;
    case CallOutcome::kUnknown:
      // A daemon that passed the call on may not name the owner in doubt.
      routed->unanswered_by = std::max(
          routed->unanswered_by, reply.fence == 0 ? kAnyClaim : reply.fence);
      TryLater(routed);
      return;
    case CallOutcome::kRefused:
      // The refusal covers earlier attempts only if their owner is deposed.
      if (routed->unanswered_by >= reply.fence && routed->unanswered_by != 0) {
        TryLater(routed);
        return;
      }
      Finish(routed, reply);
      return;
    default:
      Finish(routed, reply);
      return;
  }
}

void CallRouter::LogNoSuchQueue(const HttpRequest& request,
                                uint64_t plan_version) const {
  const std::string* host = FindHeader(request.headers, "host");
  const auto age = WholeMilliseconds(engine_.PlanAge(clock_.Now()));
  LogEvent(LogLevel::kInfo, LogCategory::kRequests, "no_such_queue",
           {{"host", host == nullptr ? "" : host->substr(0, kMostLoggedBytes)},
            {"path", request.target.substr(0, kMostLoggedBytes)},
            {"plan_version", absl::StrCat(plan_version)},
            {"plan_age_ms", absl::StrCat(age.count())}});
}

void CallRouter::LogAnswer(const Routed& routed,
                           const CallerReply& reply,
                           MonoTime::duration taken) const {
  const auto milliseconds = [](MonoTime::duration duration) {
    return absl::StrCat(WholeMilliseconds(duration).count());
  };
  const MonoTime now = clock_.Now();
  const std::optional<FleetEngine::Owner> owner =
      engine_.OwnerOf(routed.call.pool);
  std::optional<MonoTime::duration> owner_answered;
  if (owner) {
    owner_answered = peer_health_.AnswerAge(owner->record.address, now);
  }
  LogEvent(
      LogLevel::kInfo, LogCategory::kRequests, "call_answered",
      {{"job", routed.call.job},
       {"call", std::string(CallKindName(routed.call.kind))},
       {"queue", routed.call.queue},
       {"pool", routed.call.pool},
       {"outcome", std::string(CallOutcomeName(reply.outcome))},
       {"reason", reply.reason},
       {"fence", absl::StrCat(reply.fence)},
       {"owner", owner ? owner->record.entry : "none"},
       {"owner_fence", absl::StrCat(owner ? owner->revision : 0)},
       {"owners_age_ms", milliseconds(engine_.OwnersAge(now))},
       {"owner_answered_ms_ago",
        owner_answered ? milliseconds(*owner_answered) : "never"},
       {"store_silent_ms", absl::StrCat(engine_.StoreSilence(now).count())},
       {"relays", absl::StrCat(routed.attempts.relays)},
       {"held_ms", milliseconds(taken)}});
}

bool CallRouter::TryOtherScope(const std::shared_ptr<Routed>& routed,
                               const CallerReply& reply) {
  const bool may_be_elsewhere = reply.outcome == CallOutcome::kNoSuchJob ||
                                reply.outcome == CallOutcome::kUnavailable ||
                                reply.outcome == CallOutcome::kUnknown;
  if (!may_be_elsewhere || routed->other_scopes.empty()) {
    return false;
  }
  if (reply.outcome != CallOutcome::kNoSuchJob) {
    routed->unsure = reply;
  }
  routed->call.pool = std::move(routed->other_scopes.front());
  routed->other_scopes.erase(routed->other_scopes.begin());
  routed->attempts = {};
  routed->unanswered_by = 0;
  Begin(routed);
  return true;
}

void CallRouter::Finish(const std::shared_ptr<Routed>& routed,
                        const CallerReply& last_reply) {
  if (routed->of_many) {
    routed->respond(last_reply);
    return;
  }
  if (TryOtherScope(routed, last_reply)) {
    return;
  }
  const CallerReply reply = AnswerOfScopes(routed->unsure, last_reply);
  const auto taken = clock_.Now() - routed->arrived;
  latency_.Record(taken);
  metrics_
      .GetCounter(absl::StrCat("figflow_calls_total{outcome=\"",
                               CallOutcomeName(reply.outcome), "\"}"))
      .Add();
  // A relayed call is logged where its caller is. Reads change nothing and come
  // often; only an answer that denies a job is worth a line.
  const bool unknown_job = reply.outcome == CallOutcome::kNoSuchJob;
  const bool reads = routed->call.kind == CallKind::kQuery ||
                     routed->call.kind == CallKind::kCountPending;
  const bool logged_already = reply.outcome == CallOutcome::kNoSuchQueue;
  if (!routed->relayed && !logged_already && (!reads || unknown_job)) {
    LogAnswer(*routed, reply, taken);
  }
  routed->respond(reply);
}

void CallRouter::AnswerHere(const CallerCall& call,
                            const std::string& spec_bytes,
                            const Reply& done) {
  const std::shared_ptr<PoolRunner> runner = engine_.OwnRunner(call.pool);
  if (runner == nullptr) {
    done(Unavailable("not-owner"));
    return;
  }
  switch (call.kind) {
    case CallKind::kSubmit: {
      const uint64_t fence = runner->claim().revision;
      const auto on_reply = [done, fence](const SubmitReply& result) {
        CallerReply reply;
        reply.fence = fence;
        reply.reason = result.reason;
        reply.retry_after = result.retry_after;
        switch (result.outcome) {
          case SubmitOutcome::kAccepted:
            reply.outcome = CallOutcome::kAccepted;
            break;
          case SubmitOutcome::kRefused:
            // Without a time to come back the owner has only changed.
            reply.outcome = result.retry_after.count() > 0
                                ? CallOutcome::kRefused
                                : CallOutcome::kUnavailable;
            break;
          case SubmitOutcome::kUnknown:
            reply.outcome = CallOutcome::kUnknown;
            break;
        }
        done(reply);
      };
      if (!runner->Submit(call.spec, spec_bytes, on_reply)) {
        done(Unavailable("pool-not-ready"));
      }
      return;
    }
    case CallKind::kCancel: {
      const auto on_reply = [done](CancelOutcome outcome) {
        CallerReply reply;
        reply.outcome =
            outcome == CancelOutcome::kCancelled  ? CallOutcome::kCancelled
            : outcome == CancelOutcome::kNotFound ? CallOutcome::kNoSuchJob
                                                  : CallOutcome::kUnknown;
        done(reply);
      };
      if (!runner->Cancel(call.job, on_reply)) {
        done(Unavailable("pool-not-ready"));
      }
      return;
    }
    case CallKind::kQuery: {
      const Result<JobView> view = runner->Query(call.job);
      if (view) {
        done(StateReply(*view));
      } else if (view.error().code == ErrorCode::kNotFound) {
        CallerReply reply;
        reply.outcome = CallOutcome::kNoSuchJob;
        reply.reason = "not-known-to-owner";
        reply.fence = runner->claim().revision;
        done(reply);
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
      CallerReply reply;
      reply.outcome = CallOutcome::kPendingCount;
      reply.pending = *pending;
      done(reply);
      return;
    }
  }
}

}  // namespace figflow
