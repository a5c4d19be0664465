#ifndef COMMON_ERROR_H_
#define COMMON_ERROR_H_

#include <string>
#include <utility>
#include "absl/strings/string_view.h"

#include <tl/expected.hpp>

namespace figflow {

enum class ErrorCode {
  // The input is wrong and will stay wrong: bad syntax, range or reference.
  kInvalid,
  kNotFound,
  // A compare-and-swap or an expected state did not match.
  kConflict,
  // The peer was not reached or answered that it is out of service; the
  // operation had no effect.
  kUnavailable,
  // The peer refused the operation as it is and would refuse it again; it had
  // no effect.
  kRefused,
  // The operation may or may not have taken effect: its answer was lost.
  kUnknownOutcome,
  kDeadlineExceeded,
  kResourceExhausted,
  kPermissionDenied,
  kCancelled,
  // A bug or a broken invariant in this process.
  kInternal,
};

// Stable lower-case name used in logs and JSON, such as "unknown-outcome".
absl::string_view ErrorCodeName(ErrorCode code);

// An error with the place it arose at.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  // The operation that failed, such as "kv.compare_and_swap".
  std::string step;
  // Address or id of the remote side; empty for local errors.
  std::string peer;
  // One sentence for people.
  std::string message;
};

// "step=kv.get peer=127.0.0.1:70 code=unavailable message=..."
std::string ToString(const Error& error);

template <typename T>
using Result = tl::expected<T, Error>;

inline tl::unexpected<Error> Fail(ErrorCode code,
                                  std::string step,
                                  std::string peer,
                                  std::string message) {
  return tl::unexpected<Error>(
      Error{code, std::move(step), std::move(peer), std::move(message)});
}

}  // namespace figflow

#endif  // COMMON_ERROR_H_
