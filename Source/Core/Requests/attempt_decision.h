#ifndef REQUESTS_ATTEMPT_DECISION_H_
#define REQUESTS_ATTEMPT_DECISION_H_

#include "Common/error.h"
#include "Http/figflow_response.h"
#include "Http/http_message.h"
#include "Routing/dispatcher.h"
#include "absl/strings/string_view.h"

namespace figflow {

// What is known when an attempt, local or by relay, has ended.
struct AttemptFacts {
  // A whole response is there.
  bool complete = false;
  // Why there is none; unused if `complete`.
  ErrorCode error = ErrorCode::kUnknownOutcome;
  // The request may have left in this attempt.
  bool sent_now = false;
  // The request may have left in an earlier attempt.
  bool sent_before = false;
  // Neither marked unrepeatable nor carrying an idempotency key.
  bool repeatable = true;
  bool cancelled = false;
  bool deadline_passed = false;
  // This attempt included.
  int attempts = 1;
  int max_attempts = 3;
};

enum class NextStep {
  kDeliver,
  kRetry,
  // Retry if the pool's retry budget has a token, else answer `unknown`.
  kRetryWithToken,
  kAnswerNotRun,
  kAnswerUnknown,
};

NextStep DecideNextStep(const AttemptFacts& facts);

// `not-run` only if no attempt may have sent the request.
Disposition DispositionOf(bool sent);

// Status and reason of figflow's own response to a failed request.
struct FailureName {
  int status = 503;
  absl::string_view reason;
};
FailureName NameFailure(ErrorCode error, bool sent);
FailureName NameRefusal(Refusal refusal, bool sent);

// True for refusals that a peer with free slots may not give.
bool MayRelayAfter(Refusal refusal);

// How the dispatcher is told about an attempt that ended with `error`.
AttemptOutcome EndOfFailure(ErrorCode error, bool sent);

// The target says by this response that it takes no more work.
bool ShowsLeaving(const HttpResponse& response);

}  // namespace figflow

#endif  // REQUESTS_ATTEMPT_DECISION_H_
