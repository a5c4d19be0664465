#ifndef FLEET_PEER_CALLS_H_
#define FLEET_PEER_CALLS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "Adapter/platform_adapter.h"
#include "Common/error.h"
#include "Http/http_message.h"
#include "Scheduling/pool_report.h"

namespace figflow {

// A caller's call that one daemon forwards to another, which owns the pool or
// relays the call. Sent over HTTP with a CBOR body rather than over the gossip
// links: each request has a timeout of its own, and an unresponsive connection
// costs only one request.
struct PeerCall {
  CallerCall call;
  // Encoding of call.spec in the store.
  std::string spec_bytes;
  // True if the receiver need not own the pool and forwards the call to the
  // owner.
  bool relay = false;
};

HttpRequest FormatPeerCall(const PeerCall& call);
// Errors: kNotFound for another path, kInvalid for a malformed body.
Result<PeerCall> ParsePeerCall(const HttpRequest& request);

HttpResponse FormatPeerResponse(const CallerReply& reply);
// Error: kInvalid.
Result<CallerReply> ParsePeerResponse(const HttpResponse& response);

// A request without effect that checks whether a daemon responds.
HttpRequest FormatPing();
bool IsPing(const HttpRequest& request);
// The plan of a daemon, and an upper bound of the time since it was certainly
// the newest one.
struct PeerPlan {
  uint64_t version = 0;
  std::chrono::milliseconds staleness{0};
};
// `store_reachable` is true if the store responds to the daemon that was
// pinged. Daemons of earlier versions read only the body.
HttpResponse FormatPingResponse(bool store_reachable,
                                const std::optional<PeerPlan>& plan);
bool ReportsStoreReachable(const HttpResponse& response);
// Returns none if the daemon reports no plan, as earlier versions do.
std::optional<PeerPlan> ReportedPlan(const HttpResponse& response);

// Message of the instance controller to the owner of a pool. The response is a
// PoolReport, or status 409 if the daemon does not own the pool.
struct PoolSyncRequest {
  std::string pool;
  WorkerOrders orders;
};

HttpRequest FormatPoolSyncRequest(const PoolSyncRequest& sync);
// Errors: kNotFound for another path, kInvalid for a malformed body.
Result<PoolSyncRequest> ParsePoolSyncRequest(const HttpRequest& request);

}  // namespace figflow

#endif  // FLEET_PEER_CALLS_H_
