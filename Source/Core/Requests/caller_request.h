#ifndef REQUESTS_CALLER_REQUEST_H_
#define REQUESTS_CALLER_REQUEST_H_

#include <chrono>
#include <string>

#include "Common/error.h"
#include "Common/strong_id.h"
#include "Http/http_message.h"
#include "absl/strings/string_view.h"

namespace figflow {

// Marks a relayed request whose ticket or key the sending entry instance has
// redeemed or claimed already. Removed from callers' requests.
inline constexpr char kAuthorisedHeader[] = "Figflow-Relay-Authorised";

// What the headers of a caller's request ask for.
struct CallerHeaders {
  // Time to the deadline from receipt.
  std::chrono::milliseconds deadline{0};
  // Empty: none.
  std::string idempotency_key;
  bool unrepeatable = false;
  // Empty: cannot be cancelled by DELETE.
  std::string request_id;
};

// A missing deadline becomes `default_deadline`; a longer one than
// `max_deadline` is shortened to it. Error: kInvalid.
Result<CallerHeaders> ParseCallerHeaders(
    const HttpHeaders& headers,
    std::chrono::milliseconds default_deadline,
    std::chrono::milliseconds max_deadline);

enum class CallerRoute { kProject, kCancel, kTicket };

// Where the target of a caller's request leads.
struct CallerTarget {
  CallerRoute route = CallerRoute::kProject;
  ProjectId project;
  // "/<path>" with query, as the target gets it.
  std::string path;
  std::string request_id;
};

// Errors: kInvalid for a malformed path, kNotFound for an unknown one.
Result<CallerTarget> ParseCallerTarget(const HttpRequest& request);

// Method and path without query and numeric segments, such as
// "GET /orders/*/lines" for "/orders/17/lines?x=1".
std::string OperationName(absl::string_view method, absl::string_view path);

}  // namespace figflow

#endif  // REQUESTS_CALLER_REQUEST_H_
