#ifndef COMMON_BOUNDED_JSON_H_
#define COMMON_BOUNDED_JSON_H_

#include <cstddef>

#include "Common/error.h"
#include "Common/json.h"
#include "absl/strings/string_view.h"

namespace figflow {

// Deepest document that is read. The library copies, writes and reads CBOR by
// recursion, so a document of another party may not decide on the depth. The
// documents of all interfaces have at most half as many levels.
inline constexpr size_t kMostNesting = 32;

// Read one whole document. Numbers that int64_t cannot hold are faults: the
// library converts them without a check. The error kInvalid tells what is wrong
// with the document.
Result<nlohmann::json> ReadJson(absl::string_view bytes);
Result<nlohmann::json> ReadCbor(absl::string_view bytes,
                                size_t most_nesting = kMostNesting);

}  // namespace figflow

#endif  // COMMON_BOUNDED_JSON_H_
