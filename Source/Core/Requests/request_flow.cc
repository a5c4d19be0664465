#include "Requests/request_flow.h"

#include <algorithm>
#include <utility>

#include "Http/http_headers.h"
#include "Http/http_status.h"
#include "Requests/caller_request.h"
#include "absl/hash/hash.h"

namespace figflow {
namespace {

constexpr char kTicketStep[] = "ticket.redeem";

// Fields of a target that would make its response look like one of figflow's.
void RemoveOwnFields(HttpHeaders& headers) {
  RemoveHeader(headers, "figflow-disposition");
  RemoveHeader(headers, "figflow-reason");
}

}  // namespace

FlowContext::FlowContext(const Clock& clock,
                         Dispatcher& dispatcher,
                         HttpTransport& transport,
                         PeerService& peers,
                         TicketBook& tickets,
                         ClaimRegistry& claims,
                         MetricsRegistry& metrics,
                         size_t max_cached_bytes)
    : clock(clock),
      dispatcher(dispatcher),
      transport(transport),
      peers(peers),
      tickets(tickets),
      claims(claims),
      answers(max_cached_bytes),
      attempts(metrics.GetCounter("figflow_requests_attempts_total")),
      retries(metrics.GetCounter("figflow_requests_retries_total")),
      relays(metrics.GetCounter("figflow_requests_relays_total")),
      delivered(metrics.GetCounter("figflow_requests_delivered_total")),
      not_run(metrics.GetCounter("figflow_requests_not_run_total")),
      unknown(metrics.GetCounter("figflow_requests_unknown_total")),
      cancelled(metrics.GetCounter("figflow_requests_cancelled_total")),
      duration(metrics.GetHistogram("figflow_requests_duration")) {}

RequestFlow::RequestFlow(FlowContext& context,
                         FlowRequest request,
                         DoneCallback done)
    : context_(context),
      request_(std::move(request)),
      done_(std::move(done)),
      authorised_(request_.authorised) {}

uint64_t RequestFlow::Enter(Phase phase) {
  absl::MutexLock lock(&mutex_);
  if (cancelled_ || phase_ == Phase::kDone) {
    return 0;
  }
  phase_ = phase;
  handle_ = 0;
  return ++step_;
}

void RequestFlow::KeepHandle(uint64_t step, uint64_t handle) {
  Phase phase = Phase::kDone;
  {
    absl::MutexLock lock(&mutex_);
    if (step_ != step || phase_ == Phase::kDone) {
      return;
    }
    handle_ = handle;
    if (!cancelled_) {
      return;
    }
    phase = phase_;
  }
  // Cancel came before the handle was known.
  CancelHandle(phase, handle);
}

void RequestFlow::CancelHandle(Phase phase, uint64_t handle) {
  if (handle == 0) {
    return;
  }
  if (phase == Phase::kQueued) {
    context_.dispatcher.Cancel(request_.pool, handle);
  } else if (phase == Phase::kSending) {
    context_.transport.Cancel(handle);
  } else if (phase == Phase::kRelaying) {
    context_.peers.CancelRelay(handle);
  }
}

void RequestFlow::Cancel(absl::string_view reason) {
  Phase phase = Phase::kDone;
  uint64_t handle = 0;
  {
    absl::MutexLock lock(&mutex_);
    if (cancelled_ || phase_ == Phase::kDone) {
      return;
    }
    cancelled_ = true;
    cancel_reason_ = std::string(reason);
    phase = phase_;
    handle = handle_;
  }
  context_.cancelled.Add();
  if (phase == Phase::kClaiming) {
    // A claim cannot be withdrawn; nothing runs after it.
    AnswerCancelled();
    return;
  }
  CancelHandle(phase, handle);
}

void RequestFlow::WaitForEnd(CancelWaiter waiter) {
  Disposition disposition = Disposition::kUnknown;
  bool own = false;
  {
    absl::MutexLock lock(&mutex_);
    if (phase_ != Phase::kDone) {
      waiters_.push_back(std::move(waiter));
      return;
    }
    own = ended_own_;
    disposition = ended_disposition_;
  }
  waiter(own ? &disposition : nullptr);
}

void RequestFlow::Abandon() {
  {
    absl::MutexLock lock(&mutex_);
    // What has begun may have sent the request by now.
    if (phase_ == Phase::kSending || phase_ == Phase::kRelaying) {
      sent_ = true;
    }
    cancelled_ = true;
  }
  Finish(MakeOwn(
      sent_ ? http_status::kBadGateway : http_status::kServiceUnavailable,
      "stopping", "request.stop", "", "the daemon stopped"));
}

void RequestFlow::Begin() {
  if (request_.idempotency_key.empty() || authorised_) {
    Submit();
    return;
  }
  const TicketCheck check = context_.tickets.Redeem(request_.idempotency_key,
                                                    context_.clock.WallNow());
  if (check.verdict != TicketVerdict::kNotATicket) {
    OnTicket(check);
    return;
  }
  if (Enter(Phase::kClaiming) == 0) {
    AnswerCancelled();
    return;
  }
  context_.claims.Claim(
      request_.project, request_.idempotency_key, request_.deadline,
      [self = shared_from_this()](Result<ClaimVerdict> claim) {
        self->OnClaim(std::move(claim));
      });
}

void RequestFlow::OnTicket(const TicketCheck& check) {
  // A ticket that is not run now may have run before, so apart from the first
  // use every answer is `unknown`.
  switch (check.verdict) {
    case TicketVerdict::kRun:
      authorised_ = true;
      Submit();
      return;
    case TicketVerdict::kOtherEntry:
      sent_ = true;
      if (request_.hops > 0) {
        Finish(MakeOwn(http_status::kConflict, "ticket-of-other-entry",
                       kTicketStep, check.issuer.value(),
                       "the ticket was not issued by this entry instance"));
        return;
      }
      issuer_ = check.issuer;
      Relay(issuer_, MakeOwn(http_status::kBadGateway, "issuer-unreachable",
                             kTicketStep, check.issuer.value(),
                             "the issuer of the ticket cannot be reached"));
      return;
    case TicketVerdict::kAlreadyUsed:
      sent_ = true;
      Finish(MakeOwn(http_status::kConflict, "ticket-already-used", kTicketStep,
                     "", ""));
      return;
    case TicketVerdict::kEarlierIncarnation:
      sent_ = true;
      Finish(MakeOwn(http_status::kConflict, "ticket-issuer-restarted",
                     kTicketStep, "", ""));
      return;
    default:
      sent_ = true;
      Finish(MakeOwn(http_status::kConflict, "ticket-invalid", kTicketStep, "",
                     "the ticket has expired or is not genuine"));
      return;
  }
}

void RequestFlow::OnClaim(Result<ClaimVerdict> claim) {
  if (!claim) {
    const Error& error = claim.error();
    Finish(MakeOwn(error.code == ErrorCode::kDeadlineExceeded
                       ? http_status::kGatewayTimeout
                       : http_status::kServiceUnavailable,
                   error.code == ErrorCode::kUnknownOutcome
                       ? "claim-outcome-unknown"
                       : "store-unavailable",
                   error.step, error.peer,
                   "the key could not be claimed; use a ticket, which needs "
                   "no store"));
    return;
  }
  if (*claim == ClaimVerdict::kAlreadyClaimed) {
    AnswerAlreadyClaimed();
    return;
  }
  own_key_claimed_ = true;
  authorised_ = true;
  Submit();
}

void RequestFlow::AnswerAlreadyClaimed() {
  if (absl::optional<HttpResponse> stored =
          context_.answers.Get(request_.project, request_.idempotency_key)) {
    Deliver(*std::move(stored));
    return;
  }
  sent_ = true;
  Finish(MakeOwn(http_status::kConflict, "already-claimed", "claim", "",
                 "a request with this key was accepted before"));
}

void RequestFlow::Submit() {
  const uint64_t step = Enter(Phase::kQueued);
  if (step == 0) {
    AnswerCancelled();
    return;
  }
  WorkItem item;
  item.id = context_.next_item.fetch_add(1, std::memory_order_relaxed);
  item.pool = request_.pool;
  item.operation =
      OperationName(request_.message->method, request_.message->target);
  item.deadline = request_.deadline;
  const uint64_t id = item.id;
  context_.dispatcher.Submit(
      item, context_.clock.Now(),
      [self = shared_from_this()](tl::expected<Permit, Refusal> granted) {
        self->OnPermit(std::move(granted));
      });
  KeepHandle(step, id);
}

void RequestFlow::OnPermit(tl::expected<Permit, Refusal> granted) {
  if (!granted) {
    const Refusal refusal = granted.error();
    if (refusal == Refusal::kCancelled) {
      AnswerCancelled();
      return;
    }
    const FailureName name = NameRefusal(refusal, sent_);
    FlowResult result =
        MakeOwn(name.status, name.reason, "dispatch.submit", "", "");
    if (MayRelayAfter(refusal)) {
      RelayOrAnswer(std::move(result));
    } else {
      Finish(std::move(result));
    }
    return;
  }
  const uint64_t step = Enter(Phase::kSending);
  if (step == 0) {
    AttemptReport report;
    report.end = AttemptOutcome::kCancelled;
    context_.dispatcher.Finish(*granted, report, context_.clock.Now());
    AnswerCancelled();
    return;
  }
  ++attempts_;
  context_.attempts.Add();
  TransferRequest transfer;
  transfer.address = granted->address;
  transfer.message = request_.message;
  transfer.deadline = request_.deadline;
  transfer.max_answer_bytes = context_.max_answer_bytes;
  transfer.fresh_connection = request_.unrepeatable;
  const uint64_t id = context_.transport.Start(
      std::move(transfer),
      [self = shared_from_this(),
       permit = *std::move(granted)](TransferResult result) {
        self->OnTransfer(permit, std::move(result));
      });
  KeepHandle(step, id);
}

void RequestFlow::OnTransfer(const Permit& permit, TransferResult result) {
  AttemptReport report;
  report.service_time = result.service_time;
  if (result.response) {
    report.leaving = ShowsLeaving(*result.response);
    StripHopByHop(result.response->headers, request_.message->method == "HEAD");
    RemoveOwnFields(result.response->headers);
    // The caller first: the report may start other requests on this thread.
    Deliver(std::move(*result.response));
    context_.dispatcher.Finish(permit, report, context_.clock.Now());
    return;
  }
  report.end = EndOfFailure(result.response.error().code, result.sent);
  context_.dispatcher.Finish(permit, report, context_.clock.Now());
  OnFailedAttempt(result.response.error(), result.sent);
}

void RequestFlow::OnFailedAttempt(const Error& error, bool sent_now) {
  const MonoTime now = context_.clock.Now();
  AttemptFacts facts;
  facts.error = error.code;
  facts.sent_now = sent_now;
  facts.sent_before = sent_;
  facts.repeatable = !request_.unrepeatable;
  facts.deadline_passed = now >= request_.deadline;
  facts.attempts = attempts_ + relays_;
  facts.max_attempts = context_.max_attempts;
  {
    absl::MutexLock lock(&mutex_);
    facts.cancelled = cancelled_;
  }
  if (sent_now) {
    sent_ = true;
  }
  const NextStep next = DecideNextStep(facts);
  if (next == NextStep::kRetry ||
      (next == NextStep::kRetryWithToken &&
       context_.dispatcher.TakeRetryToken(request_.pool, now))) {
    context_.retries.Add();
    Submit();
    return;
  }
  if (facts.cancelled) {
    AnswerCancelled();
    return;
  }
  Finish(MakeFailure(error));
}

FlowResult RequestFlow::MakeOwn(int status,
                                absl::string_view reason,
                                absl::string_view step,
                                absl::string_view peer,
                                absl::string_view message) const {
  FlowResult result;
  result.own = true;
  result.disposition = DispositionOf(sent_);
  result.response = MakeFigflowResponse(
      {status, result.disposition, std::string(reason), std::string(step),
       std::string(peer), std::string(message)});
  return result;
}

FlowResult RequestFlow::MakeFailure(const Error& error) const {
  const FailureName name = NameFailure(error.code, sent_);
  return MakeOwn(name.status, name.reason, error.step, error.peer,
                 error.message);
}

void RequestFlow::Deliver(HttpResponse response) {
  if (own_key_claimed_) {
    context_.answers.Put(request_.project, request_.idempotency_key, response);
  }
  FlowResult result;
  result.response = std::move(response);
  Finish(std::move(result));
}

void RequestFlow::AnswerCancelled() {
  std::string reason;
  {
    absl::MutexLock lock(&mutex_);
    reason = cancel_reason_;
  }
  const bool stopping = reason == "stopping";
  const int stopped =
      sent_ ? http_status::kBadGateway : http_status::kServiceUnavailable;
  Finish(MakeOwn(stopping ? stopped : http_status::kClientClosed,
                 reason.empty() ? "cancelled" : reason, "request.cancel", "",
                 ""));
}

void RequestFlow::Finish(FlowResult result) {
  std::vector<CancelWaiter> waiters;
  {
    absl::MutexLock lock(&mutex_);
    if (phase_ == Phase::kDone) {
      return;
    }
    phase_ = Phase::kDone;
    ended_own_ = result.own;
    ended_disposition_ = result.disposition;
    waiters.swap(waiters_);
  }
  if (!result.own) {
    context_.delivered.Add();
  } else if (result.disposition == Disposition::kNotRun) {
    context_.not_run.Add();
  } else {
    context_.unknown.Add();
  }
  context_.duration.Record(context_.clock.Now() - request_.received_at);
  const bool own = result.own;
  const Disposition disposition = result.disposition;
  const DoneCallback done = std::move(done_);
  done(std::move(result));
  for (const CancelWaiter& waiter : waiters) {
    waiter(own ? &disposition : nullptr);
  }
}

}  // namespace figflow
