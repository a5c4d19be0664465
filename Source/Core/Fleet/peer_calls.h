#ifndef FLEET_PEER_CALLS_H_
#define FLEET_PEER_CALLS_H_

#include <string>

#include "Adapter/platform_adapter.h"
#include "Common/error.h"
#include "Http/http_message.h"
#include "Scheduling/pool_report.h"

namespace figflow {

// Calls between daemons: a caller's call that is passed on to the pool's owner.
// HTTP with CBOR bodies rather than the gossip links: each call has a time
// limit of its own, and a connection that has gone silent costs one call.
struct PeerCall {
  CallerCall call;
  // Form of call.spec in the store.
  std::string spec_bytes;
  // The receiver need not own the pool: it passes the call to the owner.
  bool relay = false;
};

HttpRequest FormatPeerCall(const PeerCall& call);
// Errors: kNotFound, another path; kInvalid, malformed.
Result<PeerCall> ParsePeerCall(const HttpRequest& request);

HttpResponse FormatPeerResponse(const CallerReply& reply);
// Error kInvalid.
Result<CallerReply> ParsePeerResponse(const HttpResponse& response);

// A question without effect, to learn whether a daemon answers.
HttpRequest FormatPing();
bool IsPing(const HttpRequest& request);
// `store_reachable`: the store answers the daemon that was asked.
HttpResponse FormatPingResponse(bool store_reachable);
bool ReportsStoreReachable(const HttpResponse& response);

// The question of the instances' keeper to the owner of a pool. The answer is a
// PoolReport, or status 409 if the daemon does not own the pool.
struct PoolSyncRequest {
  std::string pool;
  WorkerOrders orders;
};

HttpRequest FormatPoolSyncRequest(const PoolSyncRequest& sync);
// Errors: kNotFound, another path; kInvalid, malformed.
Result<PoolSyncRequest> ParsePoolSyncRequest(const HttpRequest& request);

}  // namespace figflow

#endif  // FLEET_PEER_CALLS_H_
