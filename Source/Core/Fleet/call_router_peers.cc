// HTTP requests to and from other daemons.
#include <algorithm>
#include <utility>

#include "Common/log.h"
#include "Fleet/call_router.h"
#include "Fleet/peer_calls.h"
#include "Http/http_status.h"

namespace figflow {
namespace {

// A request that a peer has not responded to by then is repeated on a new
// connection.
constexpr std::chrono::milliseconds kPeerTimeout{500};
// A daemon under load responds to a ping within 50 ms.
constexpr std::chrono::milliseconds kPingTimeout{250};
// Limit of peers in one ping round. Without it, dozens of daemons that all lose
// the store would spend their time on pings.
constexpr size_t kMaxPeersPerPingRound = 8;
// Used when a call has little time left.
constexpr std::chrono::milliseconds kMinPingTimeout{60};

constexpr char kPoolSyncStep[] = "peer.pool";

}  // namespace

void CallRouter::TryPeer(const std::shared_ptr<RoutedCall>& routed,
                         const std::string& address,
                         uint64_t claim) {
  const MonoTime now = clock_.Now();
  const PeerHealth::State health = peer_health_.StateOf(address, now);
  const bool submit = routed->call.kind == CallKind::kSubmit;
  if (!submit || health == PeerHealth::State::kResponsive) {
    SendToPeer(routed, address, claim);
    return;
  }
  if (health == PeerHealth::State::kUnresponsive) {
    routed->attempts.failed_claims.insert(claim);
    TryAlternative(routed);
    return;
  }
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      routed->refuse_after - now);
  const auto timeout = std::clamp(left, kMinPingTimeout, kPingTimeout);
  PingPeer(address, timeout, [this, routed, address, claim](bool responded) {
    if (responded) {
      SendToPeer(routed, address, claim);
      return;
    }
    routed->attempts.failed_claims.insert(claim);
    TryAlternative(routed);
  });
}

void CallRouter::SendToPeer(const std::shared_ptr<RoutedCall>& routed,
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
      RecordPeerContact(address, true);
      const Result<CallerReply> response = ParsePeerResponse(*result.response);
      if (response) {
        if (response->outcome == CallOutcome::kUnavailable) {
          if (response->reason == kCustomerRemovedReason) {
            engine_.ConfirmPlan();
          }
          routed->attempts.failed_claims.insert(claim);
          TryAlternative(routed);
        } else {
          OnResponse(routed, *response);
        }
        return;
      }
    }
    metrics_.GetCounter("figflow_peer_calls_failed_total").Add();
    RecordPeerContact(address, false);
    routed->attempts.failed_claims.insert(claim);
    if (result.sent) {
      // A relay may have forwarded the call to an owner that this daemon does
      // not know.
      routed->unconfirmed =
          std::max(routed->unconfirmed, claim == 0 ? kAnyClaim : claim);
    }
    if (routed->call.kind == CallKind::kQuery) {
      ReadJobFromStore(routed);
    } else {
      TryAlternative(routed);
    }
  });
}

void CallRouter::PingPeer(const std::string& address,
                          std::chrono::milliseconds timeout,
                          std::function<void(bool responded)> done) {
  TransferRequest transfer;
  transfer.address = address;
  transfer.message = std::make_shared<HttpRequest>(FormatPing());
  const MonoTime sent_at = clock_.Now();
  transfer.deadline = sent_at + timeout;
  peers_.Start(
      std::move(transfer), [this, address, sent_at, done = std::move(done)](
                               const TransferResult& result) {
        RecordPeerContact(address, result.response.has_value());
        if (result.response) {
          peer_health_.OnStoreStateReported(
              address, ReportsStoreReachable(*result.response), clock_.Now());
          OnPeerPlan(*result.response, sent_at);
        }
        done(result.response.has_value());
      });
}

void CallRouter::RecordPeerContact(const std::string& address, bool responded) {
  const MonoTime now = clock_.Now();
  const bool changed = responded ? peer_health_.OnResponse(address, now)
                                 : peer_health_.OnRequestFailed(address, now);
  if (changed) {
    LogEvent(responded ? LogLevel::kInfo : LogLevel::kWarning,
             LogCategory::kPeer, responded ? "peer_regained" : "peer_lost",
             {{"peer", address}});
  }
}

void CallRouter::PingPeers(MonoTime now) {
  const std::vector<PeerAddress> peers = engine_.Peers();
  const size_t count = std::min(peers.size(), kMaxPeersPerPingRound);
  if (!peer_health_.StartPingRound(static_cast<int>(count), now)) {
    return;
  }
  // Spaces the selection across the list, which has the daemons of a data
  // centre next to each other.
  const size_t first = next_pinged_++;
  for (size_t i = 0; i < count; ++i) {
    const size_t index = (first + i * peers.size() / count) % peers.size();
    PingPeer(peers[index].address, kPingTimeout,
             [this](bool /*responded*/) { peer_health_.OnPingFinished(); });
  }
}

void CallRouter::SyncPool(const std::string& pool,
                          const WorkerOrders& orders,
                          std::function<void(Result<PoolReport>)> done) {
  const std::shared_ptr<PoolRunner> runner = engine_.OwnRunner(pool);
  if (runner != nullptr) {
    done(runner->ApplyOrders(orders));
    return;
  }
  const std::optional<FleetEngine::Owner> owner = engine_.OwnerOf(pool);
  if (!owner || owner->record.entry == engine_.entry()) {
    done(Fail(ErrorCode::kUnavailable, kPoolSyncStep, pool,
              "no owner is known"));
    return;
  }
  TransferRequest transfer;
  transfer.address = owner->record.address;
  transfer.message =
      std::make_shared<HttpRequest>(FormatPoolSyncRequest({pool, orders}));
  transfer.deadline = clock_.Now() + kPeerTimeout;
  peers_.Start(std::move(transfer),
               [pool, done = std::move(done)](const TransferResult& result) {
                 if (!result.response) {
                   done(tl::unexpected<Error>(result.response.error()));
                 } else if (result.response->status != http_status::kOk) {
                   done(Fail(ErrorCode::kUnavailable, kPoolSyncStep, pool,
                             "the peer does not own the pool"));
                 } else {
                   done(ParsePoolReport(result.response->body));
                 }
               });
}

void CallRouter::HandlePeer(const HttpRequest& request,
                            const std::shared_ptr<HttpExchange>& exchange) {
  if (IsPing(request)) {
    const bool store_reachable =
        engine_.StoreResponseAge(clock_.Now()) <= kStoreTimeout;
    exchange->Respond(FormatPingResponse(store_reachable, OwnPlan()));
    return;
  }
  if (const Result<PoolSyncRequest> sync = ParsePoolSyncRequest(request)) {
    const std::shared_ptr<PoolRunner> runner = engine_.OwnRunner(sync->pool);
    const Result<PoolReport> report =
        runner == nullptr
            ? Result<PoolReport>(Fail(ErrorCode::kUnavailable, kPoolSyncStep,
                                      sync->pool, "not the owner"))
            : runner->ApplyOrders(sync->orders);
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
  const ResponseCallback respond = [exchange](const CallerReply& response) {
    exchange->Respond(FormatPeerResponse(response));
  };
  if (!call->relay) {
    ServeLocally(call->call, call->spec_bytes, respond);
    return;
  }
  auto routed = std::make_shared<RoutedCall>();
  routed->arrived = clock_.Now();
  routed->relayed = true;
  routed->call = std::move(call->call);
  routed->spec_bytes = std::move(call->spec_bytes);
  routed->respond = respond;
  StartRouting(routed);
}

}  // namespace figflow
