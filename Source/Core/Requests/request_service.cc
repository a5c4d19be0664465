#include "Requests/request_service.h"

#include <algorithm>
#include <utility>

#include "Common/json.h"
#include "Http/http_status.h"

#include "Http/figflow_response.h"
#include "Http/http_headers.h"
#include "Requests/caller_request.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

// After the bound of Stop: time for cancelled attempts to report.
constexpr std::chrono::milliseconds kCancelGrace{1000};

HttpResponse NotRun(int status,
                    std::string reason,
                    std::string step,
                    std::string message) {
  return MakeFigflowResponse({status, Disposition::kNotRun, std::move(reason),
                              std::move(step), "", std::move(message)});
}

HttpResponse FromError(const Error& error) {
  const bool unknown_path = error.code == ErrorCode::kNotFound;
  return NotRun(
      unknown_path ? http_status::kNotFound : http_status::kBadRequest,
      unknown_path ? "unknown-path" : "malformed-request", error.step,
      error.message);
}

HttpResponse Stopping() {
  return NotRun(http_status::kServiceUnavailable, "stopping", "request.admit",
                "this entry instance accepts no new requests");
}

// Leaves what a target may see.
void PrepareForTarget(HttpHeaders& headers) {
  StripHopByHop(headers, false);
  for (const char* name : {"host", "expect", kAuthorisedHeader}) {
    RemoveHeader(headers, name);
  }
}

std::string RelayName(const EntryId& from, uint64_t id) {
  // Callers' names cannot hold a space. Without an id there is no cancelling.
  return id == 0 ? std::string() : absl::StrCat(from.value(), " ", id);
}

}  // namespace

RequestService::RequestService(const RequestServiceOptions& options,
                               const RequestServiceParts& parts)
    : options_(options),
      projects_(parts.projects),
      context_(parts.clock,
               parts.dispatcher,
               parts.transport,
               parts.peers,
               parts.tickets,
               parts.claims,
               parts.metrics,
               options.max_cached_bytes),
      requests_(parts.metrics.GetCounter("figflow_requests_total")),
      relays_served_(
          parts.metrics.GetCounter("figflow_requests_relays_served_total")) {
  context_.data_centre = options.data_centre;
  context_.max_answer_bytes = options.max_answer_bytes;
  context_.max_relay_bytes = options.max_relay_bytes;
  context_.max_attempts = options.max_attempts;
  context_.max_relays = options.max_relays;
}

RequestService::~RequestService() = default;

void RequestService::Handle(HttpRequest request,
                            const std::shared_ptr<HttpExchange>& exchange) {
  requests_.Add();
  Result<CallerTarget> target = ParseCallerTarget(request);
  if (!target) {
    exchange->Respond(FromError(target.error()));
    return;
  }
  // Cancelling goes on during a stop: it shortens it.
  if (target->route == CallerRoute::kCancel) {
    HandleCancel(target->request_id, exchange);
    return;
  }
  if (stopping_) {
    exchange->Respond(Stopping());
    return;
  }
  if (target->route == CallerRoute::kTicket) {
    HttpResponse response =
        NotRun(http_status::kCreated, "ticket-issued", "ticket.issue", "");
    response.body =
        nlohmann::json{
            {"ticket", context_.tickets.Issue(context_.clock.WallNow())}}
            .dump();
    exchange->Respond(std::move(response));
    return;
  }
  Result<CallerHeaders> caller = ParseCallerHeaders(
      request.headers, options_.default_deadline, options_.max_deadline);
  if (!caller) {
    exchange->Respond(FromError(caller.error()));
    return;
  }
  HandleProject(*std::move(caller), *std::move(target), std::move(request),
                exchange);
}

void RequestService::HandleProject(
    CallerHeaders caller,
    CallerTarget target,
    HttpRequest request,
    const std::shared_ptr<HttpExchange>& exchange) {
  const absl::optional<PoolId> pool = projects_.PoolOf(target.project);
  if (!pool) {
    exchange->Respond(
        NotRun(http_status::kNotFound, "unknown-project", "request.admit", ""));
    return;
  }
  PrepareForTarget(request.headers);
  request.target = std::move(target.path);

  FlowRequest flow_request;
  flow_request.project = std::move(target.project);
  flow_request.pool = *pool;
  flow_request.message =
      std::make_shared<const HttpRequest>(std::move(request));
  flow_request.received_at = context_.clock.Now();
  flow_request.deadline = flow_request.received_at + caller.deadline;
  // A key promises that the request runs at most once, marked or not.
  flow_request.unrepeatable =
      caller.unrepeatable || !caller.idempotency_key.empty();
  flow_request.idempotency_key = std::move(caller.idempotency_key);

  std::shared_ptr<RequestFlow> flow =
      Register(std::move(flow_request), caller.request_id,
               [exchange](FlowResult result) {
                 exchange->Respond(std::move(result.response));
               });
  if (flow == nullptr) {
    exchange->Respond(NotRun(http_status::kBadRequest, "request-id-in-use",
                             "request.admit",
                             "an open request has this Figflow-Request-Id"));
    return;
  }
  exchange->SetCloseListener([weak = std::weak_ptr<RequestFlow>(flow)] {
    if (std::shared_ptr<RequestFlow> open = weak.lock()) {
      open->Cancel("caller-disconnected");
    }
  });
  flow->Begin();
}

void RequestService::HandleCancel(
    const std::string& request_id,
    const std::shared_ptr<HttpExchange>& exchange) {
  const std::shared_ptr<RequestFlow> flow = registry_.Find(request_id);
  if (flow == nullptr) {
    exchange->Respond(
        NotRun(http_status::kNotFound, "no-such-request", "request.cancel",
               "no open request at this entry instance has this id"));
    return;
  }
  // Answered with what became of the request.
  flow->WaitForEnd([exchange](const Disposition* disposition) {
    if (disposition == nullptr) {
      exchange->Respond(MakeFigflowResponse(
          {http_status::kConflict, Disposition::kUnknown, "already-answered",
           "request.cancel", "", "the target had answered the request"}));
      return;
    }
    exchange->Respond(
        MakeFigflowResponse({http_status::kAccepted, *disposition, "cancelled",
                             "request.cancel", "", ""}));
  });
  flow->Cancel("cancelled");
}

std::shared_ptr<RequestFlow> RequestService::Register(
    FlowRequest request,
    const std::string& name,
    RequestFlow::DoneCallback done) {
  const uint64_t id = registry_.NextId();
  auto flow = std::make_shared<RequestFlow>(
      context_, std::move(request),
      [this, id, name, done = std::move(done)](FlowResult result) {
        registry_.Remove(id, name);
        done(std::move(result));
      });
  return registry_.Add(id, name, flow) ? flow : nullptr;
}

void RequestService::HandleRelay(const EntryId& from,
                                 RelayRequest relay,
                                 std::function<void(RelayResponse)> done) {
  relays_served_.Add();
  const auto refuse = [&done](HttpResponse response) {
    done(RelayResponse{response.status, std::move(response.headers),
                       std::move(response.body), true});
  };
  if (stopping_) {
    refuse(Stopping());
    return;
  }
  const std::chrono::milliseconds remaining =
      std::min(relay.remaining, options_.max_deadline);
  Result<CallerHeaders> caller =
      ParseCallerHeaders(relay.headers, remaining, options_.max_deadline);
  if (!caller) {
    refuse(FromError(caller.error()));
    return;
  }
  const absl::optional<PoolId> pool = projects_.PoolOf(relay.project);
  if (!pool) {
    refuse(
        NotRun(http_status::kNotFound, "unknown-project", "request.admit", ""));
    return;
  }
  FlowRequest flow_request;
  flow_request.authorised =
      FindHeader(relay.headers, kAuthorisedHeader) != nullptr;
  PrepareForTarget(relay.headers);
  flow_request.project = std::move(relay.project);
  flow_request.pool = *pool;
  flow_request.message = std::make_shared<const HttpRequest>(
      HttpRequest{std::move(relay.method), std::move(relay.target),
                  std::move(relay.headers), std::move(relay.body)});
  flow_request.received_at = context_.clock.Now();
  flow_request.deadline = flow_request.received_at + remaining;
  flow_request.unrepeatable =
      caller->unrepeatable || !caller->idempotency_key.empty();
  flow_request.idempotency_key = std::move(caller->idempotency_key);
  // At least one: what arrives here is never relayed again.
  flow_request.hops = std::max(1, relay.hops);

  std::shared_ptr<RequestFlow> flow =
      Register(std::move(flow_request), RelayName(from, relay.relay_id),
               [done](FlowResult result) {
                 const bool not_run =
                     result.own && result.disposition == Disposition::kNotRun;
                 done(RelayResponse{result.response.status,
                                    std::move(result.response.headers),
                                    std::move(result.response.body), not_run});
               });
  if (flow == nullptr) {
    refuse(NotRun(http_status::kBadRequest, "relay-id-in-use", "request.admit",
                  ""));
    return;
  }
  flow->Begin();
}

void RequestService::HandleRelayCancelled(const EntryId& from,
                                          uint64_t relay_id) {
  if (const std::shared_ptr<RequestFlow> flow =
          registry_.Find(RelayName(from, relay_id))) {
    flow->Cancel("cancelled");
  }
}

void RequestService::Stop(std::chrono::milliseconds bound) {
  BeginStop();
  if (registry_.WaitEmpty(bound)) {
    return;
  }
  for (const auto& flow : registry_.All()) {
    flow->Cancel("stopping");
  }
  if (registry_.WaitEmpty(kCancelGrace)) {
    return;
  }
  for (const auto& flow : registry_.All()) {
    flow->Abandon();
  }
}

}  // namespace figflow
