#ifndef COMMON_CBOR_H_
#define COMMON_CBOR_H_

#include <string>

#include "Common/json.h"

#include "Common/bounded_json.h"
#include "Common/error.h"
#include "absl/strings/string_view.h"

namespace figflow {

inline std::string FormatCbor(const nlohmann::json& value) {
  std::string bytes;
  nlohmann::json::to_cbor(value, bytes);
  return bytes;
}

// Decodes `bytes` and lets `read` turn the value into a T. An exception of the
// library, for syntax, a missing element or a wrong type, becomes kInvalid.
template <typename T, typename Read>
Result<T> ParseCbor(absl::string_view bytes, const char* step, Read read) {
  const Result<nlohmann::json> document = ReadCbor(bytes);
  if (!document) {
    return Fail(ErrorCode::kInvalid, step, "", document.error().message);
  }
  try {
    return read(*document);
  } catch (const nlohmann::json::exception& error) {
    return Fail(ErrorCode::kInvalid, step, "", error.what());
  }
}

}  // namespace figflow

#endif  // COMMON_CBOR_H_
