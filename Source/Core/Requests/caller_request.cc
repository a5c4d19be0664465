#include "Requests/caller_request.h"

#include <algorithm>

#include "Http/http_headers.h"
#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace figflow {
namespace {

constexpr char kStep[] = "request.parse";
constexpr size_t kMaxIdBytes = 200;
constexpr absl::string_view kProjectPrefix = "/p/";
constexpr absl::string_view kCancelPrefix = "/figflow/requests/";
constexpr absl::string_view kTicketPath = "/figflow/tickets";
// The learned sizes are kept per operation, so the name must not grow with
// what callers send.
constexpr size_t kMaxOperationBytes = 128;

auto Invalid(absl::string_view message) {
  return Fail(ErrorCode::kInvalid, kStep, "", std::string(message));
}

bool IsVisibleId(absl::string_view text) {
  return !text.empty() && text.size() <= kMaxIdBytes &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return absl::ascii_isgraph(static_cast<unsigned char>(c));
         });
}

bool IsNumeric(absl::string_view segment) {
  return !segment.empty() &&
         std::all_of(segment.begin(), segment.end(), [](char c) {
           return absl::ascii_isdigit(static_cast<unsigned char>(c));
         });
}

}  // namespace

Result<CallerHeaders> ParseCallerHeaders(
    const HttpHeaders& headers,
    std::chrono::milliseconds default_deadline,
    std::chrono::milliseconds max_deadline) {
  CallerHeaders parsed;
  parsed.deadline = default_deadline;
  if (const std::string* text = FindHeader(headers, "figflow-deadline-ms")) {
    int64_t milliseconds = 0;
    if (!absl::SimpleAtoi(*text, &milliseconds) || milliseconds <= 0) {
      return Invalid("Figflow-Deadline-Ms must be a positive whole number");
    }
    parsed.deadline = std::chrono::milliseconds(milliseconds);
  }
  parsed.deadline = std::min(parsed.deadline, max_deadline);
  if (const std::string* key = FindHeader(headers, "idempotency-key")) {
    if (!IsVisibleId(*key)) {
      return Invalid("Idempotency-Key must have 1 to 200 visible characters");
    }
    parsed.idempotency_key = *key;
  }
  if (const std::string* text = FindHeader(headers, "figflow-unrepeatable")) {
    if (*text != "0" && *text != "1") {
      return Invalid("Figflow-Unrepeatable must be 0 or 1");
    }
    parsed.unrepeatable = *text == "1";
  }
  if (parsed.unrepeatable && parsed.idempotency_key.empty()) {
    return Invalid("an unrepeatable request needs an Idempotency-Key");
  }
  if (const std::string* id = FindHeader(headers, "figflow-request-id")) {
    if (!IsVisibleId(*id)) {
      return Invalid(
          "Figflow-Request-Id must have 1 to 200 visible characters");
    }
    parsed.request_id = *id;
  }
  return parsed;
}

Result<CallerTarget> ParseCallerTarget(const HttpRequest& request) {
  const absl::string_view target = request.target;
  CallerTarget parsed;
  if (absl::StartsWith(target, kProjectPrefix)) {
    const absl::string_view rest = target.substr(kProjectPrefix.size());
    const size_t end = rest.find_first_of("/?");
    const absl::string_view project = rest.substr(0, end);
    if (project.empty() || project.size() > kMaxIdBytes) {
      return Invalid("expected /p/<project>/<path>");
    }
    parsed.project = ProjectId(std::string(project));
    parsed.path =
        end == absl::string_view::npos ? "/" : std::string(rest.substr(end));
    if (parsed.path.front() == '?') {
      parsed.path.insert(0, "/");
    }
    return parsed;
  }
  if (request.method == "DELETE" && absl::StartsWith(target, kCancelPrefix)) {
    parsed.route = CallerRoute::kCancel;
    parsed.request_id = std::string(target.substr(kCancelPrefix.size()));
    if (!IsVisibleId(parsed.request_id)) {
      return Invalid("expected /figflow/requests/<request id>");
    }
    return parsed;
  }
  if (request.method == "POST" && target == kTicketPath) {
    parsed.route = CallerRoute::kTicket;
    return parsed;
  }
  return Fail(ErrorCode::kNotFound, kStep, "", "no such path");
}

std::string OperationName(absl::string_view method, absl::string_view path) {
  path = path.substr(0, path.find('?'));
  std::string name(method);
  name += ' ';
  bool first = true;
  for (const absl::string_view segment : absl::StrSplit(path, '/')) {
    if (!first) {
      name += '/';
    }
    first = false;
    absl::StrAppend(&name, IsNumeric(segment) ? "*" : segment);
    if (name.size() > kMaxOperationBytes) {
      name.resize(kMaxOperationBytes);
      break;
    }
  }
  return name;
}

}  // namespace figflow
