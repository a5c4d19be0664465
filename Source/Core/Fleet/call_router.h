#ifndef FLEET_CALL_ROUTER_H_
#define FLEET_CALL_ROUTER_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Adapter/platform_adapter.h"
#include "Common/clock.h"
#include "Common/metrics.h"
#include "Fleet/fleet_engine.h"
#include "Fleet/peer_health.h"
#include "Fleet/route_choice.h"
#include "Http/http_exchange.h"
#include "Http/http_transport.h"

namespace figflow {

// Takes callers' calls: answers those for pools that this daemon owns, and
// passes the others to the owner. Thread-safe.
class CallRouter {
 public:
  CallRouter(FleetEngine& engine,
             PlatformAdapter& platform,
             HttpTransport& peers,
             const Clock& clock,
             MetricsRegistry& metrics);

  // A call of a caller.
  void Handle(const HttpRequest& request,
              const std::shared_ptr<HttpExchange>& exchange);
  // Passes orders to the owner of a pool and asks for its report.
  void SyncPool(const std::string& pool,
                const WorkerOrders& orders,
                std::function<void(Result<PoolReport>)> done);
  // A call that a peer passed on: to this daemon as the owner, or to be passed
  // to the owner.
  void HandlePeer(const HttpRequest& request,
                  const std::shared_ptr<HttpExchange>& exchange);

 private:
  using ResponseCallback = std::function<void(const CallerReply&)>;
  // One call on its way to the owner of its pool.
  struct RoutedCall {
    CallerCall call;
    std::string spec_bytes;
    // A peer passed it on.
    bool relayed = false;
    // One of several questions that make up a caller's call.
    bool is_subquery = false;
    MonoTime arrived;
    MonoTime deadline;
    // After this time a call that has certainly had no effect is refused.
    MonoTime refuse_after;
    RouteAttempts attempts;
    // Latest claim of an owner to which an attempt was sent that got no answer:
    // it may have taken effect, or may still do so. 0 if there is none. An
    // owner with a later claim knows what became of it.
    uint64_t unconfirmed_claim = 0;
    // Scopes that may hold the job if the present one does not.
    std::vector<std::string> other_scopes;
    // What a scope answered that could not tell whether it holds the job.
    std::optional<CallerReply> uncertain_response;
    ResponseCallback respond;
  };

  // Answers from this daemon's own pool. `done` gets kUnavailable if it does
  // not own the pool.
  void ServeLocally(const CallerCall& call,
                    const std::string& spec_bytes,
                    const ResponseCallback& done);
  // Finds the queue of a caller's call.
  void ResolveQueue(const HttpRequest& request,
                    const std::shared_ptr<RoutedCall>& routed);
  // Denies a path that the plan does not know. A plan that may be old is
  // confirmed first; if that fails, the path may exist.
  void OnUnknownPath(const HttpRequest& request,
                     uint64_t plan_version,
                     const std::shared_ptr<RoutedCall>& routed);
  void StartRouting(const std::shared_ptr<RoutedCall>& routed);
  // Asks the owners of all parts of a pool; answers with the sum, or with what
  // one of them answered instead.
  void CountInAllPartitions(const std::shared_ptr<RoutedCall>& routed,
                            const std::vector<std::string>& scopes);
  // Later than any claim.
  static constexpr uint64_t kAnyClaim = std::numeric_limits<uint64_t>::max();
  // A store that has not answered for this long is away: two renewals of the
  // lease have failed. Nobody can accept a job, so nothing is gained by
  // waiting.
  static constexpr std::chrono::milliseconds kStoreUnavailableAfter{1'000};

  RouteView MakeRouteView(const RoutedCall& routed);
  void TryRoute(const std::shared_ptr<RoutedCall>& routed);
  // After a way has failed: tries another one at once, the same one later.
  void TryAlternative(const std::shared_ptr<RoutedCall>& routed);
  void ExecuteRoute(const std::shared_ptr<RoutedCall>& routed,
                    const RouteView& view,
                    const RouteChoice& choice);
  // `claim` is the owner's, or 0 for a relay by any daemon. A job is not sent
  // to a daemon that may be cut off before it has given a sign of life.
  void TryPeer(const std::shared_ptr<RoutedCall>& routed,
               const std::string& address,
               uint64_t claim);
  void SendToPeer(const std::shared_ptr<RoutedCall>& routed,
                  const std::string& address,
                  uint64_t claim);
  // Learns whether a daemon answers, and whether the store answers it.
  void PingPeer(const std::string& address,
                std::chrono::milliseconds timeout,
                std::function<void(bool responded)> done);
  // What a call to a daemon has shown.
  void RecordPeerContact(const std::string& address, bool responded);
  // Pings some daemons, others each time, if that is due.
  void PingPeers(MonoTime now);
  void ReadJobFromStore(const std::shared_ptr<RoutedCall>& routed);
  // Tries again after a pause, or gives the call up: at the end of its time, or
  // when nobody can accept a job because the store is away.
  void RetryLater(const std::shared_ptr<RoutedCall>& routed);
  void OnResponse(const std::shared_ptr<RoutedCall>& routed,
                  const CallerReply& response);
  // The plan's age decides how sure a refusal of an unknown path is.
  void LogNoSuchQueue(const HttpRequest& request, uint64_t plan_version) const;
  void LogOutcome(const RoutedCall& routed,
                  const CallerReply& response,
                  MonoTime::duration duration) const;
  // Goes on with another scope that may hold the job, if there is one.
  bool TryOtherScope(const std::shared_ptr<RoutedCall>& routed,
                     const CallerReply& response);
  void FinishCall(const std::shared_ptr<RoutedCall>& routed,
                  const CallerReply& last_response);

  FleetEngine& engine_;
  PlatformAdapter& platform_;
  HttpTransport& peers_;
  const Clock& clock_;
  MetricsRegistry& metrics_;
  LatencyHistogram& latency_;
  PeerHealth peer_health_;
  std::atomic<size_t> next_pinged_{0};
};

}  // namespace figflow

#endif  // FLEET_CALL_ROUTER_H_
