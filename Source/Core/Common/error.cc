#include "Common/error.h"

#include "absl/strings/str_cat.h"

namespace figflow {

absl::string_view ErrorCodeName(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalid:
      return "invalid";
    case ErrorCode::kNotFound:
      return "not-found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kRefused:
      return "refused";
    case ErrorCode::kUnknownOutcome:
      return "unknown-outcome";
    case ErrorCode::kDeadlineExceeded:
      return "deadline-exceeded";
    case ErrorCode::kResourceExhausted:
      return "resource-exhausted";
    case ErrorCode::kPermissionDenied:
      return "permission-denied";
    case ErrorCode::kCancelled:
      return "cancelled";
    case ErrorCode::kInternal:
      return "internal";
  }
  return "internal";
}

std::string ToString(const Error& error) {
  return absl::StrCat("step=", error.step, " peer=", error.peer,
                      " code=", ErrorCodeName(error.code),
                      " message=", error.message);
}

}  // namespace figflow
