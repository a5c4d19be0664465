#ifndef COMMON_CONSTANT_TIME_H_
#define COMMON_CONSTANT_TIME_H_

#include <cstddef>

#include "absl/strings/string_view.h"

namespace figflow {

// Compares a presented credential with the expected one in a time that depends
// only on the length of `presented`, so that response times do not reveal how
// many leading bytes match. An empty `expected` matches nothing: a missing
// setting must not open an interface.
inline bool CredentialMatches(absl::string_view expected,
                              absl::string_view presented) {
  if (expected.empty()) {
    return false;
  }
  volatile unsigned char difference =
      expected.size() == presented.size() ? 0 : 1;
  for (size_t i = 0; i < presented.size(); ++i) {
    const auto a = static_cast<unsigned char>(expected[i % expected.size()]);
    const auto b = static_cast<unsigned char>(presented[i]);
    difference = static_cast<unsigned char>(difference | (a ^ b));
  }
  return difference == 0;
}

}  // namespace figflow

#endif  // COMMON_CONSTANT_TIME_H_
