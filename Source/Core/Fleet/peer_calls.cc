#include "Fleet/peer_calls.h"

#include <utility>

#include "Common/json.h"
#include "Http/http_headers.h"
#include "Http/http_status.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include "Common/cbor.h"

namespace figflow {
namespace {

using nlohmann::json;

constexpr char kCallPath[] = "/figflow/v1/call";
constexpr char kPoolPath[] = "/figflow/v1/pool";
constexpr char kPingPath[] = "/figflow/v1/ping";
constexpr char kStoreReachableBody[] = "store answers";
constexpr char kStoreUnavailableBody[] = "store away";
constexpr char kPlanVersionHeader[] = "Figflow-Plan-Version";
constexpr char kPlanStalenessHeader[] = "Figflow-Plan-Staleness-Ms";
// A plan that has not been confirmed for this long confirms nothing.
constexpr std::chrono::hours kMaxReportedStaleness{1};
constexpr char kStep[] = "peer.call";
constexpr int kLastKind = static_cast<int>(CallKind::kLookUp);
constexpr int kLastOutcome = static_cast<int>(CallOutcome::kUnauthorized);
constexpr int kLastStatus = static_cast<int>(JobStatus::kCancelled);

// Converts the value to an enumerator. ParseCbor turns the exception for a
// value out of range into kInvalid.
template <typename Enum>
Enum ToEnum(const json& value, int last) {
  const int number = value.get<int>();
  if (number < 0 || number > last) {
    throw json::other_error::create(501, "enumerator out of range", &value);
  }
  return static_cast<Enum>(number);
}

}  // namespace

HttpRequest FormatPeerCall(const PeerCall& call) {
  HttpRequest request;
  request.method = "POST";
  request.target = kCallPath;
  request.headers = {{"Content-Type", "application/cbor"}};
  request.body = FormatCbor(json::array(
      {static_cast<int>(call.call.kind), call.call.queue, call.call.pool,
       call.call.job,
       json::binary(std::vector<uint8_t>(call.spec_bytes.begin(),
                                         call.spec_bytes.end())),
       call.relay, call.call.patience.count(), call.call.plan_version,
       call.call.route, call.call.route_pools, call.call.customer}));
  return request;
}

Result<PeerCall> ParsePeerCall(const HttpRequest& request) {
  if (request.target != kCallPath) {
    return Fail(ErrorCode::kNotFound, kStep, "", "unknown path");
  }
  Result<PeerCall> parsed =
      ParseCbor<PeerCall>(request.body, kStep, [](const json& row) {
        PeerCall peer;
        peer.call.kind = ToEnum<CallKind>(row.at(0), kLastKind);
        peer.call.queue = row.at(1).get<std::string>();
        peer.call.pool = row.at(2).get<std::string>();
        peer.call.job = row.at(3).get<std::string>();
        const json::binary_t& spec = row.at(4).get_binary();
        peer.spec_bytes.assign(spec.begin(), spec.end());
        peer.relay = row.at(5).get<bool>();
        peer.call.patience =
            std::chrono::milliseconds(row.at(6).get<int64_t>());
        // Daemons of earlier versions omit these fields.
        if (row.size() > 9) {
          peer.call.plan_version = row.at(7).get<uint64_t>();
          peer.call.route = row.at(8).get<std::string>();
          peer.call.route_pools = row.at(9).get<size_t>();
        }
        if (row.size() > 10) {
          peer.call.customer = row.at(10).get<std::string>();
        }
        return peer;
      });
  if (!parsed || parsed->call.kind != CallKind::kSubmit) {
    return parsed;
  }
  Result<JobSpec> spec = ParseJobSpec(parsed->spec_bytes);
  if (!spec) {
    return tl::unexpected<Error>(spec.error());
  }
  parsed->call.spec = std::move(*spec);
  return parsed;
}

HttpResponse FormatPeerResponse(const CallerReply& reply) {
  HttpResponse response;
  response.status = http_status::kOk;
  response.headers = {{"Content-Type", "application/cbor"}};
  response.body = FormatCbor(
      json::array({static_cast<int>(reply.outcome),
                   static_cast<int>(reply.status), reply.started, reply.pending,
                   reply.retry_after.count(), reply.reason, reply.fence}));
  return response;
}

Result<CallerReply> ParsePeerResponse(const HttpResponse& response) {
  if (response.status != http_status::kOk) {
    return Fail(ErrorCode::kInvalid, kStep, "", "unexpected status");
  }
  return ParseCbor<CallerReply>(response.body, kStep, [](const json& row) {
    CallerReply reply;
    reply.outcome = ToEnum<CallOutcome>(row.at(0), kLastOutcome);
    reply.status = ToEnum<JobStatus>(row.at(1), kLastStatus);
    reply.started = row.at(2).get<bool>();
    reply.pending = row.at(3).get<int64_t>();
    reply.retry_after = std::chrono::milliseconds(row.at(4).get<int64_t>());
    reply.reason = row.at(5).get<std::string>();
    reply.fence = row.at(6).get<uint64_t>();
    return reply;
  });
}

HttpRequest FormatPing() {
  HttpRequest request;
  request.method = "GET";
  request.target = kPingPath;
  return request;
}

bool IsPing(const HttpRequest& request) {
  return request.target == kPingPath;
}

HttpResponse FormatPingResponse(bool store_reachable,
                                const std::optional<PeerPlan>& plan) {
  HttpResponse response{
      http_status::kOk,
      {},
      store_reachable ? kStoreReachableBody : kStoreUnavailableBody};
  if (plan && plan->staleness <= kMaxReportedStaleness) {
    response.headers = {
        {kPlanVersionHeader, absl::StrCat(plan->version)},
        {kPlanStalenessHeader, absl::StrCat(plan->staleness.count())}};
  }
  return response;
}

bool ReportsStoreReachable(const HttpResponse& response) {
  return response.status == http_status::kOk &&
         response.body == kStoreReachableBody;
}

std::optional<PeerPlan> ReportedPlan(const HttpResponse& response) {
  const std::string* version = FindHeader(response.headers, kPlanVersionHeader);
  const std::string* staleness =
      FindHeader(response.headers, kPlanStalenessHeader);
  PeerPlan plan;
  int64_t milliseconds = 0;
  if (response.status != http_status::kOk || version == nullptr ||
      staleness == nullptr || !absl::SimpleAtoi(*version, &plan.version) ||
      !absl::SimpleAtoi(*staleness, &milliseconds) || milliseconds < 0) {
    return std::nullopt;
  }
  plan.staleness = std::chrono::milliseconds(milliseconds);
  if (plan.staleness > kMaxReportedStaleness) {
    return std::nullopt;
  }
  return plan;
}

HttpRequest FormatPoolSyncRequest(const PoolSyncRequest& sync) {
  HttpRequest request;
  request.method = "POST";
  request.target = kPoolPath;
  request.headers = {{"Content-Type", "application/cbor"}};
  json ended = json::array();
  for (const WorkerKey& worker : sync.orders.ended) {
    ended.push_back(json::array({worker.id, worker.incarnation}));
  }
  // Daemons of earlier versions end workers by the ids in the third element,
  // whichever incarnation runs.
  request.body = FormatCbor(
      json::array({sync.pool, sync.orders.evacuate, json::array(),
                   sync.orders.later, sync.orders.lend, std::move(ended),
                   FormatCustomerGrantOrders(sync.orders.customers)}));
  return request;
}

Result<PoolSyncRequest> ParsePoolSyncRequest(const HttpRequest& request) {
  if (request.target != kPoolPath) {
    return Fail(ErrorCode::kNotFound, kStep, "", "unknown path");
  }
  return ParseCbor<PoolSyncRequest>(request.body, kStep, [](const json& row) {
    PoolSyncRequest sync;
    sync.pool = row.at(0).get<std::string>();
    sync.orders.evacuate = row.at(1).get<std::set<std::string>>();
    // Daemons of earlier versions omit these fields.
    if (row.size() > 3) {
      sync.orders.later = row.at(3).get<std::set<std::string>>();
    }
    if (row.size() > 4) {
      sync.orders.lend = row.at(4).get<std::set<std::string>>();
    }
    if (row.size() > 5) {
      for (const json& worker : row.at(5)) {
        sync.orders.ended.insert(
            {worker.at(0).get<std::string>(), worker.at(1).get<int64_t>()});
      }
    }
    if (row.size() > 6) {
      sync.orders.customers = ReadCustomerGrantOrders(row.at(6));
    }
    return sync;
  });
}

}  // namespace figflow
