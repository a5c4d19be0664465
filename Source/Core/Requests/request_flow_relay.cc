// The part of RequestFlow that passes a request on to a peer.
#include <utility>

#include "Http/http_headers.h"
#include "Requests/caller_request.h"
#include "Requests/request_flow.h"

namespace figflow {
namespace {

size_t SizeOf(const HttpRequest& message) {
  size_t bytes = message.target.size() + message.body.size();
  for (const auto& [name, value] : message.headers) {
    bytes += name.size() + value.size();
  }
  return bytes;
}

}  // namespace

void RequestFlow::RelayOrAnswer(FlowResult refusal) {
  if (request_.hops > 0 || relays_ >= context_.max_relays ||
      SizeOf(*request_.message) > context_.max_relay_bytes) {
    Finish(std::move(refusal));
    return;
  }
  const std::map<EntryId, PeerView> peers = context_.peers.Peers();
  EntryId peer;
  {
    absl::MutexLock lock(&context_.relay_mutex);
    // Item numbers spread the choice well enough once mixed.
    const uint64_t random =
        absl::HashOf(context_.next_item.fetch_add(1), relays_);
    peer = ChoosePeer(peers, request_.pool, context_.data_centre,
                      context_.open_relays, tried_peers_, random);
  }
  if (peer.empty()) {
    Finish(std::move(refusal));
    return;
  }
  Relay(peer, std::move(refusal));
}

void RequestFlow::Relay(const EntryId& peer, FlowResult refusal) {
  const uint64_t step = Enter(Phase::kRelaying);
  if (step == 0) {
    AnswerCancelled();
    return;
  }
  ++relays_;
  context_.relays.Add();
  tried_peers_.push_back(peer);
  ::figflow::RelayRequest relay;
  relay.project = request_.project;
  relay.method = request_.message->method;
  relay.target = request_.message->target;
  relay.headers = request_.message->headers;
  if (authorised_) {
    relay.headers.emplace_back(kAuthorisedHeader, "1");
  }
  relay.body = request_.message->body;
  relay.remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      request_.deadline - context_.clock.Now());
  relay.hops = request_.hops + 1;
  {
    absl::MutexLock lock(&context_.relay_mutex);
    ++context_.open_relays[peer];
  }
  const uint64_t id = context_.peers.Relay(
      peer, std::move(relay),
      [self = shared_from_this(), peer,
       refusal = std::move(refusal)](Result<RelayResponse> answer) {
        self->OnRelayAnswer(peer, refusal, std::move(answer));
      });
  KeepHandle(step, id);
}

void RequestFlow::OnRelayAnswer(const EntryId& peer,
                                FlowResult refusal,
                                Result<RelayResponse> answer) {
  {
    absl::MutexLock lock(&context_.relay_mutex);
    auto it = context_.open_relays.find(peer);
    if (it != context_.open_relays.end() && --it->second <= 0) {
      context_.open_relays.erase(it);
    }
  }
  if (!answer) {
    const bool left = answer.error().code != ErrorCode::kUnavailable;
    if (to_issuer()) {
      Finish(std::move(refusal));
    } else if (left) {
      OnFailedAttempt(answer.error(), true);
    } else {
      RelayOrAnswer(std::move(refusal));
    }
    return;
  }
  if (answer->not_run && !to_issuer()) {
    // The peer's slots were taken meanwhile; another peer may have some.
    RelayOrAnswer(std::move(refusal));
    return;
  }
  HttpResponse response{answer->status, std::move(answer->headers),
                        std::move(answer->body)};
  if (FindHeader(response.headers, "figflow-disposition") == nullptr) {
    Deliver(std::move(response));
    return;
  }
  // Made by the peer, with its own step and peer.
  FlowResult result;
  result.response = std::move(response);
  result.own = true;
  result.disposition =
      answer->not_run ? Disposition::kNotRun : Disposition::kUnknown;
  Finish(std::move(result));
}

}  // namespace figflow
