#ifndef REQUESTS_REQUEST_SERVICE_H_
#define REQUESTS_REQUEST_SERVICE_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "Common/clock.h"
#include "Common/metrics.h"
#include "Common/strong_id.h"
#include "Http/http_exchange.h"
#include "Http/http_transport.h"
#include "Idempotency/run_once.h"
#include "Peer/peer_service.h"
#include "Requests/caller_request.h"
#include "Requests/project_directory.h"
#include "Requests/request_flow.h"
#include "Requests/request_registry.h"
#include "Routing/dispatcher.h"

namespace figflow {

struct RequestServiceOptions {
  DataCentreId data_centre;
  std::chrono::milliseconds default_deadline{10000};
  std::chrono::milliseconds max_deadline{60000};
  size_t max_answer_bytes = 900000;
  // Attempts of one request, relays included.
  int max_attempts = 4;
  // Peers tried when there is no local target; each is one hop away.
  int max_relays = 2;
  // Larger requests are not relayed: a message of the inner protocol, with its
  // CBOR framing, must stay below 1 MB.
  size_t max_relay_bytes = 960000;
  // Responses kept for repeats of a caller's key.
  size_t max_cached_bytes = size_t{4} << 20;
};

struct RequestServiceParts {
  const Clock& clock;
  Dispatcher& dispatcher;
  HttpTransport& transport;
  PeerService& peers;
  TicketBook& tickets;
  ClaimRegistry& claims;
  const ProjectDirectory& projects;
  MetricsRegistry& metrics;
};

// Serves callers' requests and the relays of other entry instances. The parts
// must outlive it, and it must outlive their callbacks: destroy it after
// Stop() and after the parts have ended their threads. Thread-safe.
class RequestService {
 public:
  RequestService(const RequestServiceOptions& options,
                 const RequestServiceParts& parts);
  ~RequestService();
  RequestService(const RequestService&) = delete;
  RequestService& operator=(const RequestService&) = delete;

  // Handler for HttpServer.
  void Handle(HttpRequest request,
              const std::shared_ptr<HttpExchange>& exchange);

  // For PeerHandler::OnRelay and OnRelayCancelled.
  void HandleRelay(const EntryId& from,
                   RelayRequest relay,
                   std::function<void(RelayResponse)> done);
  void HandleRelayCancelled(const EntryId& from, uint64_t relay_id);

  int InFlight() const { return registry_.Count(); }

  // Refuses new requests from now on; returns at once.
  void BeginStop() { stopping_ = true; }
  // Refuses new requests and waits for those in flight, at most `bound`, then
  // cancels the rest, so that each caller gets an answer.
  void Stop(std::chrono::milliseconds bound);

 private:
  void HandleProject(CallerHeaders caller,
                     CallerTarget target,
                     HttpRequest request,
                     const std::shared_ptr<HttpExchange>& exchange);
  void HandleCancel(const std::string& request_id,
                    const std::shared_ptr<HttpExchange>& exchange);
  // Registers the request under `name`; null if the name is in use.
  std::shared_ptr<RequestFlow> Register(FlowRequest request,
                                        const std::string& name,
                                        RequestFlow::DoneCallback done);

  const RequestServiceOptions options_;
  const ProjectDirectory& projects_;
  FlowContext context_;
  RequestRegistry registry_;
  std::atomic<bool> stopping_{false};
  Counter& requests_;
  Counter& relays_served_;
};

}  // namespace figflow

#endif  // REQUESTS_REQUEST_SERVICE_H_
