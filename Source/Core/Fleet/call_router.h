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
  void AskPool(const std::string& pool,
               const WorkerOrders& orders,
               std::function<void(Result<PoolReport>)> done);
  // A call that a peer passed on: to this daemon as the owner, or to be passed
  // to the owner.
  void HandlePeer(const HttpRequest& request,
                  const std::shared_ptr<HttpExchange>& exchange);

 private:
  using Reply = std::function<void(const CallerReply&)>;
  // One call on its way to the owner of its pool.
  struct Routed {
    CallerCall call;
    std::string spec_bytes;
    // A peer passed it on.
    bool relayed = false;
    // One of several questions that make up a caller's call.
    bool of_many = false;
    MonoTime arrived;
    MonoTime deadline;
    // After this time a call that has certainly had no effect is refused.
    MonoTime give_up;
    RouteAttempts attempts;
    // Latest claim of an owner to which an attempt was sent that got no answer:
    // it may have taken effect, or may still do so. 0 if there is none. An
    // owner with a later claim knows what became of it.
    uint64_t unanswered_by = 0;
    // Scopes that may hold the job if the present one does not.
    std::vector<std::string> other_scopes;
    // What a scope answered that could not tell whether it holds the job.
    std::optional<CallerReply> unsure;
    Reply respond;
  };

  // Answers from this daemon's own pool. `done` gets kUnavailable if it does
  // not own the pool.
  void AnswerHere(const CallerCall& call,
                  const std::string& spec_bytes,
                  const Reply& done);
  // Finds the queue of a caller's call.
  void Resolve(const HttpRequest& request,
               const std::shared_ptr<Routed>& routed);
  // Denies a path that the plan does not know. A plan that may be old is
  // confirmed first; if that fails, the path may exist.
  void OnUnknownPath(const HttpRequest& request,
                     uint64_t plan_version,
                     const std::shared_ptr<Routed>& routed);
  void Begin(const std::shared_ptr<Routed>& routed);
  // Asks the owners of all parts of a pool; answers with the sum, or with what
  // one of them answered instead.
  void CountInAllParts(const std::shared_ptr<Routed>& routed,
                       const std::vector<std::string>& scopes);
  // Later than any claim.
  static constexpr uint64_t kAnyClaim = std::numeric_limits<uint64_t>::max();
  // A store that has not answered for this long is away: two renewals of the
  // lease have failed. Nobody can accept a job, so nothing is gained by
  // waiting.
  static constexpr std::chrono::milliseconds kStoreAway{1'000};

  RouteView ViewFor(const Routed& routed);
  void Try(const std::shared_ptr<Routed>& routed);
  // After a way has failed: tries another one at once, the same one later.
  void TryNext(const std::shared_ptr<Routed>& routed);
  void Follow(const std::shared_ptr<Routed>& routed,
              const RouteView& view,
              const RouteChoice& choice);
  // `claim` is the owner's, or 0 for a relay by any daemon. A job is not sent
  // to a daemon that may be cut off before it has given a sign of life.
  void TryPeer(const std::shared_ptr<Routed>& routed,
               const std::string& address,
               uint64_t claim);
  void SendToPeer(const std::shared_ptr<Routed>& routed,
                  const std::string& address,
                  uint64_t claim);
  // Learns whether a daemon answers, and whether the store answers it.
  void Ping(const std::string& address,
            std::chrono::milliseconds timeout,
            std::function<void(bool answered)> done);
  // What a call to a daemon has shown.
  void OnPeer(const std::string& address, bool answered);
  // Pings some daemons, others each time, if that is due.
  void SurveyPeers(MonoTime now);
  void TryStore(const std::shared_ptr<Routed>& routed);
  // Tries again after a pause, or gives the call up: at the end of its time, or
  // when nobody can accept a job because the store is away.
  void TryLater(const std::shared_ptr<Routed>& routed);
  void OnReply(const std::shared_ptr<Routed>& routed, const CallerReply& reply);
  // The plan's age decides how sure a refusal of an unknown path is.
  void LogNoSuchQueue(const HttpRequest& request, uint64_t plan_version) const;
  void LogAnswer(const Routed& routed,
                 const CallerReply& reply,
                 MonoTime::duration taken) const;
  // Goes on with another scope that may hold the job, if there is one.
  bool TryOtherScope(const std::shared_ptr<Routed>& routed,
                     const CallerReply& reply);
  void Finish(const std::shared_ptr<Routed>& routed,
              const CallerReply& last_reply);

  FleetEngine& engine_;
  PlatformAdapter& platform_;
  HttpTransport& peers_;
  const Clock& clock_;
  MetricsRegistry& metrics_;
  LatencyHistogram& latency_;
  PeerHealth peer_health_;
  std::atomic<size_t> next_surveyed_{0};
};

}  // namespace figflow

#endif  // FLEET_CALL_ROUTER_H_
