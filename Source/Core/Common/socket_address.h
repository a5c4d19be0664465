#ifndef COMMON_SOCKET_ADDRESS_H_
#define COMMON_SOCKET_ADDRESS_H_

#include <cstdint>
#include <string>

#include "Common/error.h"
#include "absl/strings/string_view.h"

namespace figflow {

// An IPv4 or IPv6 address with a port. Host names are not accepted: the
// instances have no resolver of their own.
struct SocketAddress {
  std::string ip;
  uint16_t port = 0;

  // "ip:port", with brackets around an IPv6 address.
  std::string ToString() const;
};

bool operator==(const SocketAddress& a, const SocketAddress& b);

// Accepts "127.0.0.1:80" and "[::1]:80"; port 0 is refused. Error: kInvalid.
Result<SocketAddress> ParseSocketAddress(absl::string_view text);

}  // namespace figflow

#endif  // COMMON_SOCKET_ADDRESS_H_
