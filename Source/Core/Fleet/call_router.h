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
#include "Fleet/peer_calls.h"
#include "Fleet/peer_health.h"
#include "Fleet/route_choice.h"
#include "Http/http_exchange.h"
#include "Http/http_transport.h"

namespace figflow {

// Routes callers' calls: serves those for pools that this daemon owns and
// forwards the others to the owner. Thread-safe.
class CallRouter {
 public:
  CallRouter(FleetEngine& engine,
             PlatformAdapter& platform,
             HttpTransport& peers,
             const Clock& clock,
             MetricsRegistry& metrics);

  // Handles a call that a caller sent to this daemon.
  void Handle(const HttpRequest& request,
              const std::shared_ptr<HttpExchange>& exchange);
  // Sends orders to the owner of a pool and receives its report.
  void SyncPool(const std::string& pool,
                const WorkerOrders& orders,
                std::function<void(Result<PoolReport>)> done);
  // Handles a call that a peer forwarded, either to this daemon as the owner or
  // for this daemon to forward to the owner.
  void HandlePeer(const HttpRequest& request,
                  const std::shared_ptr<HttpExchange>& exchange);

 private:
  using ResponseCallback = std::function<void(const CallerReply&)>;
  // State of a call while it is routed to the owner of its pool.
  struct RoutedCall {
    CallerCall call;
    std::string spec_bytes;
    // True if a peer forwarded the call.
    bool relayed = false;
    // True for one of several calls that make up a caller's call.
    bool is_subquery = false;
    MonoTime arrived;
    MonoTime deadline;
    // After this time, a call that certainly had no effect is refused.
    MonoTime refuse_after;
    RouteAttempts attempts;
    // Latest claim of an owner that was sent an attempt and did not respond:
    // the attempt may have taken effect or may still do so. 0 if there is none.
    // An owner with a later claim has the definite outcome.
    uint64_t unconfirmed = 0;
    // Further scopes that may hold the job if the current one does not.
    std::vector<std::string> other_scopes;
    // Response of a scope that could not determine whether it holds the job.
    std::optional<CallerReply> uncertain;
    ResponseCallback respond;
  };

  // Serves the call from this daemon's own pool. `done` receives kUnavailable
  // if this daemon does not own the pool.
  void ServeLocally(const CallerCall& call,
                    const std::string& spec_bytes,
                    const ResponseCallback& done);
  // Determines the queue of a caller's call.
  void ResolveQueue(const HttpRequest& request,
                    const std::shared_ptr<RoutedCall>& routed);
  // Returns whether a call with a key may be decided by a plan that was the
  // newest at `confirmed_at`. Otherwise it waits for a confirmation or is
  // refused.
  bool CheckKeyConfirmed(const HttpRequest& request,
                         MonoTime confirmed_at,
                         const std::shared_ptr<RoutedCall>& routed);
  // Rejects a call without a valid key, as a path that is not in the plan.
  // `fault` names what is wrong with the key.
  void OnInvalidKey(const HttpRequest& request,
                    const std::string& fault,
                    MonoTime confirmed_at,
                    const std::shared_ptr<RoutedCall>& routed);
  // Confirms the plan with the store, or with peers if the store does not
  // respond, and then resolves the call again. Returns false if no confirmation
  // is to be expected in time.
  bool AwaitPlanConfirmation(const HttpRequest& request,
                             const std::shared_ptr<RoutedCall>& routed);
  void RefuseUnconfirmedKey(const HttpRequest& request,
                            const std::string& customer,
                            const std::shared_ptr<RoutedCall>& routed);
  void LogKeyRefused(const HttpRequest& request,
                     const std::string& reason,
                     const std::string& customer) const;
  // Returns whether the customer that the call names is not in the plan any
  // more, which is later than the one by which the call was checked.
  bool IsOfRemovedCustomer(const CallerCall& call) const;
  // Returns this daemon's plan as reported to peers; none if it is unknown or
  // was never confirmed.
  std::optional<PeerPlan> OwnPlan() const;
  // Handles the plan in a response to a ping.
  void OnPeerPlan(const HttpResponse& response, MonoTime sent_at);
  // Rejects a path that is not in the plan. A plan that may be outdated is
  // confirmed first; if that fails, the path may exist and the call is
  // unavailable.
  void OnUnknownPath(const HttpRequest& request,
                     uint64_t plan_version,
                     const std::shared_ptr<RoutedCall>& routed);
  // Delays a call whose route the store does not hold yet: its jobs may be in
  // another pool.
  void OnUnrecordedRoute(const HttpRequest& request,
                         const std::shared_ptr<RoutedCall>& routed);
  // Submits a job unless one of `scopes`, of the pools that the queue had
  // before, has accepted it.
  void SubmitIfNew(const std::shared_ptr<RoutedCall>& routed,
                   std::vector<std::string> scopes);
  void StartRouting(const std::shared_ptr<RoutedCall>& routed);
  // Queries the owners of all partitions of a pool. Responds with the sum, or
  // with the last response that is not a count.
  void CountInAllPartitions(const std::shared_ptr<RoutedCall>& routed,
                            const std::vector<std::string>& scopes);
  // Reason of an owner that refuses a call of a customer that was removed.
  static constexpr char kCustomerRemovedReason[] = "customer-removed";
  // Compares later than any claim.
  static constexpr uint64_t kAnyClaim = std::numeric_limits<uint64_t>::max();
  // The store counts as unavailable when it has not responded for this long:
  // two renewals of the lease have failed. No daemon can accept a job then, so
  // waiting gains nothing.
  static constexpr std::chrono::milliseconds kStoreTimeout{1'000};

  // Limit on a caller's host and path in the log.
  static constexpr size_t kMaxLoggedBytes = 100;

  // Default time limit of a call.
  static constexpr std::chrono::milliseconds kCallTimeout{3'000};

  // Returns the response to a call that was not carried out.
  static CallerReply Unavailable(std::string reason);
  // Returns whether this daemon knows a later plan or more pools of the route,
  // of a queue that had several pools, than the daemon that routed the
  // submission.
  bool IsRoutedByEarlierPlan(const CallerCall& call) const;
  // Returns whether the plan by which the call was routed is the current one,
  // so that no other pool may hold its job.
  bool MayDenyJob(const RoutedCall& routed) const;
  // Returns whether the plan has the pool of the scope. Without an owner, only
  // the store tells which jobs the pool has accepted.
  bool MayHaveOwner(const std::string& scope) const;
  RouteView MakeRouteView(const RoutedCall& routed);
  void TryRoute(const std::shared_ptr<RoutedCall>& routed);
  // Called after an attempt failed: tries a different route at once and retries
  // the same one later.
  void TryAlternative(const std::shared_ptr<RoutedCall>& routed);
  void ExecuteRoute(const std::shared_ptr<RoutedCall>& routed,
                    const RouteView& view,
                    const RouteChoice& choice);
  // `claim` is the claim of the owner, or 0 for a relay through any daemon.
  // Submits a job only to a daemon that responded recently or responds to a
  // ping, because a daemon behind a network partition would leave the outcome
  // unknown.
  void TryPeer(const std::shared_ptr<RoutedCall>& routed,
               const std::string& address,
               uint64_t claim);
  void SendToPeer(const std::shared_ptr<RoutedCall>& routed,
                  const std::string& address,
                  uint64_t claim);
  // Checks whether a daemon responds and whether the store responds to it.
  void PingPeer(const std::string& address,
                std::chrono::milliseconds timeout,
                std::function<void(bool responded)> done);
  // Records whether a daemon responded to an HTTP request.
  void RecordPeerContact(const std::string& address, bool responded);
  // Pings a subset of the peers, a different one each time, if a ping round is
  // due.
  void PingPeers(MonoTime now);
  // Returns how long a read may take that a call waits for.
  static std::chrono::milliseconds StoreReadTimeout(const RoutedCall& routed,
                                                    MonoTime now);
  void ReadJobFromStore(const std::shared_ptr<RoutedCall>& routed);
  // Retries after a delay, or responds that the call failed: at its time limit,
  // or when no daemon can accept a job because the store is unavailable.
  void RetryLater(const std::shared_ptr<RoutedCall>& routed);
  void OnResponse(const std::shared_ptr<RoutedCall>& routed,
                  const CallerReply& response);
  void CountKeyRefusal(const std::string& reason);
  // Includes the staleness of the plan, which tells how reliable the rejection
  // of an unknown path is.
  void LogNoSuchQueue(const HttpRequest& request, uint64_t plan_version) const;
  void LogOutcome(const RoutedCall& routed,
                  const CallerReply& response,
                  MonoTime::duration duration) const;
  // Continues with the next scope that may hold the job. Returns false if there
  // is none.
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
