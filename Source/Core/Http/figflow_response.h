#ifndef HTTP_FIGFLOW_RESPONSE_H_
#define HTTP_FIGFLOW_RESPONSE_H_

#include <string>

#include "Http/http_message.h"
#include "absl/strings/string_view.h"

namespace figflow {

// What a response made by figflow itself says about the caller's request.
enum class Disposition {
  // No byte of the request went to any target.
  kNotRun,
  // The request may have run.
  kUnknown,
};

// "not-run" or "unknown".
absl::string_view DispositionName(Disposition disposition);

struct FigflowAnswer {
  int status = 503;
  Disposition disposition = Disposition::kUnknown;
  // Stable lower-case word such as "queue-full".
  std::string reason;
  // The operation that failed, such as "dispatch.submit".
  std::string step;
  // Address or id of the remote side; empty for local causes.
  std::string peer;
  // One sentence for people; left out of the body when empty.
  std::string message;
};

// Response with Figflow-Disposition, Figflow-Reason and the JSON body
// {disposition, reason, step, peer[, message]}.
HttpResponse MakeFigflowResponse(const FigflowAnswer& answer);

}  // namespace figflow

#endif  // HTTP_FIGFLOW_RESPONSE_H_
