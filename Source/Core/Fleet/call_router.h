#ifndef FLEET_CALL_ROUTER_H_
#define FLEET_CALL_ROUTER_H_

#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "Adapter/platform_adapter.h"
#include "Common/clock.h"
#include "Common/metrics.h"
#include "Fleet/fleet_engine.h"
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
  struct Routed;

  // Answers from this daemon's own pool. `done` gets kUnavailable if it does
  // not own the pool.
  void AnswerHere(const CallerCall& call,
                  const std::string& spec_bytes,
                  const Reply& done);
  void Begin(const std::shared_ptr<Routed>& routed);
  void Try(const std::shared_ptr<Routed>& routed);
  // `claim` is the owner's, or 0 for a relay by any daemon.
  void TryPeer(const std::shared_ptr<Routed>& routed,
               const std::string& address,
               uint64_t claim);
  void TryStore(const std::shared_ptr<Routed>& routed);
  void TryLater(const std::shared_ptr<Routed>& routed);
  void OnReply(const std::shared_ptr<Routed>& routed, const CallerReply& reply);
  void Finish(const std::shared_ptr<Routed>& routed, const CallerReply& reply);

  FleetEngine& engine_;
  PlatformAdapter& platform_;
  HttpTransport& peers_;
  const Clock& clock_;
  MetricsRegistry& metrics_;
  LatencyHistogram& latency_;
};

}  // namespace figflow

#endif  // FLEET_CALL_ROUTER_H_
