#include "Http/listen_address.h"

#include <arpa/inet.h>

#include <cstring>
#include <string>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

constexpr unsigned kHighestPort = 65535;

}  // namespace

Result<sockaddr_storage> ParseListenAddress(absl::string_view text) {
  const auto fail = [text] {
    return Fail(ErrorCode::kInvalid, "http.parse_address", "",
                absl::StrCat("\"", text, "\" is not of the form ip:port"));
  };
  const size_t colon = text.rfind(':');
  unsigned port = 0;
  if (colon == absl::string_view::npos ||
      !absl::SimpleAtoi(text.substr(colon + 1), &port) || port > kHighestPort) {
    return fail();
  }
  std::string host(text.substr(0, colon));
  sockaddr_storage storage;
  std::memset(&storage, 0, sizeof(storage));
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&storage);
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(static_cast<uint16_t>(port));
    host = host.substr(1, host.size() - 2);
    if (inet_pton(AF_INET6, host.c_str(), &v6->sin6_addr) != 1) {
      return fail();
    }
    return storage;
  }
  auto* v4 = reinterpret_cast<sockaddr_in*>(&storage);
  v4->sin_family = AF_INET;
  v4->sin_port = htons(static_cast<uint16_t>(port));
  if (inet_pton(AF_INET, host.c_str(), &v4->sin_addr) != 1) {
    return fail();
  }
  return storage;
}

}  // namespace figflow
