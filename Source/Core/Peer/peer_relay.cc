// The relays of PeerCore: requests sent to peers and served for peers.
#include <utility>

#include "Http/http_status.h"
#include "Peer/peer_core.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

constexpr char kRelayStep[] = "peer.relay";

}  // namespace

void PeerCore::On(LinkId link,
                  const EntryId& from,
                  const RelayRequestMessage& message) {
  if (stopping_) {
    RefuseRelay(link, message.id, "stopping");
    return;
  }
  switch (served_.Begin(link, message.id)) {
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
      [weak = weak_from_this(), link, id = message.id](RelayAnswer answer) {
        const std::shared_ptr<PeerCore> core = weak.lock();
        if (core) {
          core->FinishRelay(link, id, std::move(answer));
        }
      });
}

void PeerCore::RefuseRelay(LinkId link, uint64_t id, const char* reason) {
  counters_.relays_refused.Add();
  RelayAnswerMessage refusal{id, settings_.incarnation, {}, ""};
  refusal.answer.status = http_status::kServiceUnavailable;
  refusal.answer.headers = {{"Figflow-Reason", reason}};
  refusal.answer.not_run = true;
  Send(link, refusal);
}

void PeerCore::FinishRelay(LinkId link, uint64_t id, RelayAnswer answer) {
  if (!served_.IsServed(link, id)) {
    counters_.answers_dropped.Add();
    return;
  }
  RelayAnswerMessage message{id, settings_.incarnation, std::move(answer), ""};
  Result<std::string> payload = FormatPeerMessage(message);
  if (!payload) {
    // The request was run, so the peer must not take it for refused.
    message.answer = RelayAnswer();
    message.failure =
        absl::StrCat("answer not deliverable: ", payload.error().message);
    payload = FormatPeerMessage(message);
  }
  transport_.Send(link,
                  OutgoingMessage{std::move(*payload), true, nullptr,
                                  [this] { counters_.answers_dropped.Add(); }});
  // After Send: Stop closes the links once nothing is served any more.
  served_.End(link, id);
}

void PeerCore::On(LinkId /*link*/,
                  const EntryId& from,
                  const RelayAnswerMessage& message) {
  switch (relays_.OnAnswer(from, message)) {
    case AnswerFate::kDelivered:
      return;
    case AnswerFate::kLate:
      counters_.answers_late.Add();
      return;
    case AnswerFate::kUnmatched:
      counters_.answers_unmatched.Add();
      return;
  }
}

void PeerCore::On(LinkId link,
                  const EntryId& from,
                  const RelayCancelMessage& message) {
  if (served_.IsServed(link, message.id)) {
    handler_->OnRelayCancelled(from, message.id);
  }
}

uint64_t PeerCore::Relay(const EntryId& to,
                         RelayRequest request,
                         RelayCallback done) {
  const auto refuse = [&](const std::string& reason) {
    // Not in the caller's stack, where it may hold locks.
    transport_.Post([done = std::move(done), peer = to.value(), reason] {
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
    } else if (route.link == 0 && dials_.Begin(peer->address, now)) {
      transport_.Dial(peer->address);
    }
  }
  if (route.link == 0) {
    return refuse("the peer is unknown, suspect, stopping or not connected");
  }
  if (request.remaining.count() <= 0) {
    return refuse("the deadline has passed");
  }
  const MonoTime deadline = now + request.remaining;
  const Result<uint64_t> id = relays_.Add(route, deadline, &done);
  if (!id) {
    return refuse(id.error().message);
  }
  const Result<std::string> payload =
      FormatPeerMessage(RelayRequestMessage{*id, std::move(request)});
  if (!payload) {
    transport_.Post([this, id = *id, reason = payload.error().message] {
      relays_.NotSent(id, reason);
    });
    return *id;
  }
  // The transport's threads end before this object does.
  transport_.Send(route.link,
                  OutgoingMessage{*payload, true,
                                  [this, id = *id] {
                                    const bool send = relays_.MarkSent(id);
                                    counters_.relays_sent.Add(send ? 1 : 0);
                                    return send;
                                  },
                                  [this, id = *id] {
                                    relays_.NotSent(id,
                                                    "the link is closed "
                                                    "or its buffer full");
                                  }});
  ArmExpiry();
  return *id;
}

void PeerCore::CancelRelay(uint64_t relay_id) {
  const std::optional<RelayToCancel> cancel = relays_.Cancel(relay_id);
  if (cancel) {
    Send(cancel->link, RelayCancelMessage{cancel->id});
  }
}

void PeerCore::ArmExpiry() {
  const std::optional<MonoTime> next = relays_.NextDeadline();
  if (!next) {
    return;
  }
  {
    absl::MutexLock lock(&mutex_);
    if (expiry_armed_ && *expiry_armed_ <= *next) {
      return;
    }
    expiry_armed_ = next;
  }
  transport_.After(*next - clock_->Now(), [this] { ExpireRelays(); });
}

void PeerCore::ExpireRelays() {
  {
    absl::MutexLock lock(&mutex_);
    expiry_armed_.reset();
  }
  for (const RelayToCancel& cancel : relays_.Expire(clock_->Now())) {
    Send(cancel.link, RelayCancelMessage{cancel.id});
  }
  ArmExpiry();
}

}  // namespace figflow
