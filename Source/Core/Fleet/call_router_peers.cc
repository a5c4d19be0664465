// Calls to and from other daemons.
#include <algorithm>
#include <utility>

#include "Common/log.h"
#include "Fleet/call_router.h"
#include "Fleet/peer_calls.h"
#include "Http/http_status.h"

namespace figflow {
namespace {

// A peer that has not answered by then is asked again on a new connection.
constexpr std::chrono::milliseconds kPeerTimeout{500};
// A daemon under load answers a ping within 50 ms.
constexpr std::chrono::milliseconds kPingTimeout{250};
// Peers pinged in one survey: a fleet of dozens of daemons that all lose the
// store would otherwise spend its time on pings.
constexpr size_t kMostSurveyed = 8;
// For a call that has little time left.
constexpr std::chrono::milliseconds kShortestPing{60};

constexpr char kAskStep[] = "peer.pool";

}  // namespace

void CallRouter::TryPeer(const std::shared_ptr<Routed>& routed,
                         const std::string& address,
                         uint64_t claim) {
  const MonoTime now = clock_.Now();
  const PeerHealth::State health = peer_health_.StateOf(address, now);
  const bool submit = routed->call.kind == CallKind::kSubmit;
  if (!submit || health == PeerHealth::State::kAnswers) {
    SendToPeer(routed, address, claim);
    return;
  }
  if (health == PeerHealth::State::kSilent) {
    routed->attempts.failed_claims.insert(claim);
    TryNext(routed);
    return;
  }
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      routed->give_up - now);
  const auto timeout = std::clamp(left, kShortestPing, kPingTimeout);
  Ping(address, timeout, [this, routed, address, claim](bool answered) {
    if (answered) {
      SendToPeer(routed, address, claim);
      return;
    }
    routed->attempts.failed_claims.insert(claim);
    TryNext(routed);
  });
}

void CallRouter::SendToPeer(const std::shared_ptr<Routed>& routed,
                            const std::string& address,
                            uint64_t claim) {
  const MonoTime now = clock_.Now();
  PeerCall call;
  call.call = routed->call;
  call.spec_bytes = routed->spec_bytes;
  call.relay = claim == 0;
  call.call.patience = std::chrono::duration_cast<std::chrono::milliseconds>(
      routed->deadline - now);
  TransferRequest transfer;
  transfer.address = address;
  transfer.message = std::make_shared<HttpRequest>(FormatPeerCall(call));
  transfer.deadline = std::min(routed->deadline, now + kPeerTimeout);
  peers_.Start(std::move(transfer), [this, routed, address,
                                     claim](const TransferResult& result) {
    if (result.response) {
      OnPeer(address, true);
      const Result<CallerReply> reply = ParsePeerReply(*result.response);
      if (reply) {
        if (reply->outcome == CallOutcome::kUnavailable) {
          routed->attempts.failed_claims.insert(claim);
          TryNext(routed);
        } else {
          OnReply(routed, *reply);
        }
        return;
      }
    }
    metrics_.GetCounter("figflow_peer_calls_failed_total").Add();
    OnPeer(address, false);
    routed->attempts.failed_claims.insert(claim);
    if (result.sent) {
      // A relay may have passed the call to an owner that this daemon does
      // not know.
      routed->unanswered_by =
          std::max(routed->unanswered_by, claim == 0 ? kAnyClaim : claim);
    }
    if (routed->call.kind == CallKind::kQuery) {
      TryStore(routed);
    } else {
      TryNext(routed);
    }
  });
}

void CallRouter::Ping(const std::string& address,
                      std::chrono::milliseconds timeout,
                      std::function<void(bool answered)> done) {
  TransferRequest transfer;
  transfer.address = address;
  transfer.message = std::make_shared<HttpRequest>(FormatPing());
  transfer.deadline = clock_.Now() + timeout;
  peers_.Start(std::move(transfer), [this, address, done = std::move(done)](
                                        const TransferResult& result) {
    OnPeer(address, result.response.has_value());
    if (result.response) {
      peer_health_.OnStoreTold(address, PingTellsStoreAnswers(*result.response),
                               clock_.Now());
    }
    done(result.response.has_value());
  });
}

void CallRouter::OnPeer(const std::string& address, bool answered) {
  const MonoTime now = clock_.Now();
  const bool changed = answered ? peer_health_.OnAnswer(address, now)
                                : peer_health_.OnSilence(address, now);
  if (changed) {
    LogEvent(answered ? LogLevel::kInfo : LogLevel::kWarning,
             LogCategory::kPeer, answered ? "peer_regained" : "peer_lost",
             {{"peer", address}});
  }
}

void CallRouter::SurveyPeers(MonoTime now) {
  const std::vector<PeerAddress> peers = engine_.Peers();
  const size_t asked = std::min(peers.size(), kMostSurveyed);
  if (!peer_health_.BeginSurvey(static_cast<int>(asked), now)) {
    return;
  }
  // Spread over the list, which names the daemons of a data centre in a row.
  const size_t first = next_surveyed_++;
  for (size_t i = 0; i < asked; ++i) {
    const size_t place = (first + i * peers.size() / asked) % peers.size();
    Ping(peers[place].address, kPingTimeout,
         [this](bool /*answered*/) { peer_health_.OnSurveyPingEnded(); });
  }
}

void CallRouter::AskPool(const std::string& pool,
                         const WorkerOrders& orders,
                         std::function<void(Result<PoolReport>)> done) {
  const std::shared_ptr<PoolRunner> runner = engine_.OwnRunner(pool);
  if (runner != nullptr) {
    done(runner->Ask(orders));
    return;
  }
  const std::optional<FleetEngine::Owner> owner = engine_.OwnerOf(pool);
  if (!owner || owner->record.entry == engine_.entry()) {
    done(Fail(ErrorCode::kUnavailable, kAskStep, pool, "no owner is known"));
    return;
  }
  TransferRequest transfer;
  transfer.address = owner->record.address;
  transfer.message =
      std::make_shared<HttpRequest>(FormatPoolQuestion({pool, orders}));
  transfer.deadline = clock_.Now() + kPeerTimeout;
  peers_.Start(std::move(transfer),
               [pool, done = std::move(done)](const TransferResult& result) {
                 if (!result.response) {
                   done(tl::unexpected<Error>(result.response.error()));
                 } else if (result.response->status != http_status::kOk) {
                   done(Fail(ErrorCode::kUnavailable, kAskStep, pool,
                             "the peer does not own the pool"));
                 } else {
                   done(ParsePoolReport(result.response->body));
                 }
               });
}

void CallRouter::HandlePeer(const HttpRequest& request,
                            const std::shared_ptr<HttpExchange>& exchange) {
  if (IsPing(request)) {
    const bool store_answers = engine_.StoreSilence(clock_.Now()) <= kStoreAway;
    exchange->Respond(FormatPingAnswer(store_answers));
    return;
  }
  if (const Result<PoolQuestion> question = ParsePoolQuestion(request)) {
    const std::shared_ptr<PoolRunner> runner =
        engine_.OwnRunner(question->pool);
    const Result<PoolReport> report =
        runner == nullptr
            ? Result<PoolReport>(Fail(ErrorCode::kUnavailable, kAskStep,
                                      question->pool, "not the owner"))
            : runner->Ask(question->orders);
    exchange->Respond(
        report ? HttpResponse{http_status::kOk, {}, FormatPoolReport(*report)}
               : HttpResponse{http_status::kConflict, {}, ""});
    return;
  }
  Result<PeerCall> call = ParsePeerCall(request);
  if (!call) {
    metrics_.GetCounter("figflow_peer_calls_malformed_total").Add();
    exchange->Respond(HttpResponse{400, {}, call.error().message});
    return;
  }
  const Reply respond = [exchange](const CallerReply& reply) {
    exchange->Respond(FormatPeerReply(reply));
  };
  if (!call->relay) {
    AnswerHere(call->call, call->spec_bytes, respond);
    return;
  }
  auto routed = std::make_shared<Routed>();
  routed->arrived = clock_.Now();
  routed->relayed = true;
  routed->call = std::move(call->call);
  routed->spec_bytes = std::move(call->spec_bytes);
  routed->respond = respond;
  Begin(routed);
}

}  // namespace figflow
