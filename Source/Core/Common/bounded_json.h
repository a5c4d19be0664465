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

// Read one whole document. The error kInvalid tells what is wrong with it.
Result<nlohmann::json> ReadJson(absl::string_view bytes);
Result<nlohmann::json> ReadCbor(absl::string_view bytes,
                                size_t most_nesting = kMostNesting);

}  // namespace figflow

#endif  // COMMON_BOUNDED_JSON_H_
