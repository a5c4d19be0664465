#include "Requests/attempt_decision.h"

#include "Http/http_headers.h"
#include "Http/http_status.h"

namespace figflow {
namespace {

// Another attempt would fail in the same way.
bool FailsAgain(ErrorCode error) {
  return error == ErrorCode::kInvalid ||
         error == ErrorCode::kResourceExhausted ||
         error == ErrorCode::kCancelled;
}

}  // namespace

NextStep DecideNextStep(const AttemptFacts& facts) {
  if (facts.complete) {
    return NextStep::kDeliver;
  }
  const bool sent = facts.sent_now || facts.sent_before;
  const NextStep give_up =
      sent ? NextStep::kAnswerUnknown : NextStep::kAnswerNotRun;
  if (facts.cancelled || facts.deadline_passed || FailsAgain(facts.error) ||
      facts.attempts >= facts.max_attempts) {
    return give_up;
  }
  if (sent && !facts.repeatable) {
    return NextStep::kAnswerUnknown;
  }
  return facts.sent_now ? NextStep::kRetryWithToken : NextStep::kRetry;
}

Disposition DispositionOf(bool sent) {
  return sent ? Disposition::kUnknown : Disposition::kNotRun;
}

FailureName NameFailure(ErrorCode error, bool sent) {
  switch (error) {
    case ErrorCode::kDeadlineExceeded:
      return {http_status::kGatewayTimeout, "deadline-passed"};
    case ErrorCode::kCancelled:
      return {http_status::kClientClosed, "cancelled"};
    case ErrorCode::kResourceExhausted:
      return {http_status::kBadGateway, "answer-too-large"};
    case ErrorCode::kInvalid:
      return {400, "malformed-request"};
    default:
      return sent ? FailureName{http_status::kBadGateway, "target-failed"}
                  : FailureName{http_status::kServiceUnavailable,
                                "target-unreachable"};
  }
}

FailureName NameRefusal(Refusal refusal, bool sent) {
  // After an attempt that may have run, a refused retry leaves the outcome of
  // that attempt open.
  const int unavailable =
      sent ? http_status::kBadGateway : http_status::kServiceUnavailable;
  switch (refusal) {
    case Refusal::kUnknownPool:
      return {unavailable, "unknown-pool"};
    case Refusal::kNoTarget:
      return {unavailable, "no-target"};
    case Refusal::kQueueFull:
      return {unavailable, "queue-full"};
    case Refusal::kWouldMissDeadline:
      return {unavailable, "would-miss-deadline"};
    case Refusal::kDeadlinePassed:
      return {http_status::kGatewayTimeout, "deadline-passed"};
    case Refusal::kCancelled:
      return {http_status::kClientClosed, "cancelled"};
    case Refusal::kStopping:
      return {unavailable, "stopping"};
  }
  return {unavailable, "refused"};
}

bool MayRelayAfter(Refusal refusal) {
  return refusal == Refusal::kUnknownPool || refusal == Refusal::kNoTarget ||
         refusal == Refusal::kQueueFull ||
         refusal == Refusal::kWouldMissDeadline;
}

AttemptOutcome EndOfFailure(ErrorCode error, bool sent) {
  if (error == ErrorCode::kCancelled) {
    return AttemptOutcome::kCancelled;
  }
  if (error == ErrorCode::kDeadlineExceeded) {
    return AttemptOutcome::kTimedOut;
  }
  return sent ? AttemptOutcome::kFailed : AttemptOutcome::kRefused;
}

bool ShowsLeaving(const HttpResponse& response) {
  const std::string* leaving = FindHeader(response.headers, "figflow-leaving");
  if (leaving != nullptr && *leaving == "1") {
    return true;
  }
  return response.status == http_status::kServiceUnavailable &&
         HeaderHasToken(response.headers, "connection", "close");
}

}  // namespace figflow
