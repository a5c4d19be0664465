// Relays of PeerCore: requests sent to peers and requests served for peers.
#include <utility>

#include "Http/http_status.h"
#include "Peer/peer_core.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

constexpr char kRelayStep[] = "peer.relay";

}  // namespace

void PeerCore::HandleMessage(LinkId link,
                             const EntryId& from,
                             const RelayRequestMessage& message) {
  if (stopping_) {
    RefuseRelay(link, message.id, "stopping");
    return;
  }
  switch (served_relays_.Admit(link, message.id)) {
    case ServedRelays::Admission::kAdmitted:
      break;
    case ServedRelays::Admission::kDuplicate:
      counters_.unexpected.Add();
      return;
    case ServedRelays::Admission::kFull:
      RefuseRelay(link, message.id, "too many relays in flight");
      return;
  }
  counters_.relays_served.Add();
  handler_->OnRelay(
      from, message.request,
      [weak = weak_from_this(), link, id = message.id](RelayResponse response) {
        const std::shared_ptr<PeerCore> core = weak.lock();
        if (core) {
          core->SendRelayResponse(link, id, std::move(response));
        }
      });
}

void PeerCore::RefuseRelay(LinkId link, uint64_t id, const char* reason) {
  counters_.relays_refused.Add();
  RelayResponseMessage response{id, settings_.incarnation, {}, ""};
  response.response.status = http_status::kServiceUnavailable;
  response.response.headers = {{"Figflow-Reason", reason}};
  response.response.not_run = true;
  Send(link, response);
}

void PeerCore::SendRelayResponse(LinkId link,
                                 uint64_t id,
                                 RelayResponse response) {
  if (!served_relays_.IsServed(link, id)) {
    counters_.responses_dropped.Add();
    return;
  }
  RelayResponseMessage message{id, settings_.incarnation, std::move(response),
                               ""};
  Result<std::string> payload = FormatPeerMessage(message);
  if (!payload) {
    // The request was run, so the peer must not treat it as not run.
    message.response = RelayResponse();
    message.delivery_error =
        absl::StrCat("answer not deliverable: ", payload.error().message);
    payload = FormatPeerMessage(message);
  }
  transport_.Send(
      link, OutgoingMessage{std::move(*payload), true, nullptr,
                            [this] { counters_.responses_dropped.Add(); }});
  // Removed only after the send, because Stop closes the links as soon as no
  // relay is being served.
  served_relays_.Remove(link, id);
}

void PeerCore::HandleMessage(LinkId /*link*/,
                             const EntryId& from,
                             const RelayResponseMessage& message) {
  switch (relays_.OnResponse(from, message)) {
    case ResponseOutcome::kDelivered:
      return;
    case ResponseOutcome::kLate:
      counters_.responses_late.Add();
      return;
    case ResponseOutcome::kUnmatched:
      counters_.responses_unmatched.Add();
      return;
  }
}

void PeerCore::HandleMessage(LinkId link,
                             const EntryId& from,
                             const RelayCancelMessage& message) {
  if (served_relays_.IsServed(link, message.id)) {
    handler_->OnRelayCancelled(from, message.id);
  }
}

uint64_t PeerCore::Relay(const EntryId& to,
                         RelayRequest request,
                         RelayCallback done) {
  const auto fail_unavailable = [&](const std::string& reason) {
    // Posted because the caller may hold locks that `done` needs.
    transport_.PostTask([done = std::move(done), peer = to.value(), reason] {
      done(Fail(ErrorCode::kUnavailable, kRelayStep, peer, reason));
    });
    return uint64_t{0};
  };
  RelayRoute route{to, 0, 0};
  const MonoTime now = clock_->Now();
  {
    absl::MutexLock lock(&mutex_);
    const PeerDigest* peer = membership_.Find(to);
    route.link = links_.LinkTo(to);
    if (route.link != 0) {
      route.incarnation = links_.Find(route.link)->incarnation;
    }
    if (stopped_ || peer == nullptr || peer->stopping ||
        membership_.IsSuspect(to, now)) {
      route.link = 0;
    } else if (route.link == 0 &&
               dial_schedule_.TryStartDial(peer->address, now)) {
      transport_.Dial(peer->address);
    }
  }
  if (route.link == 0) {
    return fail_unavailable(
        "the peer is unknown, suspect, stopping or not connected");
  }
  if (request.remaining.count() <= 0) {
    return fail_unavailable("the deadline has passed");
  }
  const MonoTime deadline = now + request.remaining;
  const Result<uint64_t> id = relays_.Add(route, deadline, &done);
  if (!id) {
    return fail_unavailable(id.error().message);
  }
  const Result<std::string> payload =
      FormatPeerMessage(RelayRequestMessage{*id, std::move(request)});
  if (!payload) {
    transport_.PostTask([this, id = *id, reason = payload.error().message] {
      relays_.OnNotSent(id, reason);
    });
    return *id;
  }
  // Capturing `this` is safe: the transport's threads end before this object is
  // destroyed.
  transport_.Send(route.link,
                  OutgoingMessage{*payload, true,
                                  [this, id = *id] {
                                    const bool send = relays_.MarkSent(id);
                                    counters_.relays_sent.Add(send ? 1 : 0);
                                    return send;
                                  },
                                  [this, id = *id] {
                                    relays_.OnNotSent(
                                        id,
                                        "the link is closed "
                                        "or its send buffer is full");
                                  }});
  ScheduleRelayExpiry();
  return *id;
}

void PeerCore::CancelRelay(uint64_t relay_id) {
  const std::optional<RelayCancellation> cancel = relays_.Cancel(relay_id);
  if (cancel) {
    Send(cancel->link, RelayCancelMessage{cancel->id});
  }
}

void PeerCore::ScheduleRelayExpiry() {
  const std::optional<MonoTime> next = relays_.NextDeadline();
  if (!next) {
    return;
  }
  {
    absl::MutexLock lock(&mutex_);
    if (next_expiry_at_ && *next_expiry_at_ <= *next) {
      return;
    }
    next_expiry_at_ = next;
  }
  transport_.PostDelayedTask(*next - clock_->Now(), [this] { ExpireRelays(); });
}

void PeerCore::ExpireRelays() {
  {
    absl::MutexLock lock(&mutex_);
    next_expiry_at_.reset();
  }
  for (const RelayCancellation& cancel : relays_.Expire(clock_->Now())) {
    Send(cancel.link, RelayCancelMessage{cancel.id});
  }
  ScheduleRelayExpiry();
}

}  // namespace figflow
