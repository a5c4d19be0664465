#include "Common/socket_address.h"

#include <arpa/inet.h>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

constexpr char kStep[] = "address.parse";

bool IsIp(const std::string& ip, int family) {
  in6_addr unused;
  return inet_pton(family, ip.c_str(), &unused) == 1;
}

}  // namespace

std::string SocketAddress::ToString() const {
  const bool v6 = ip.find(':') != std::string::npos;
  return v6 ? absl::StrCat("[", ip, "]:", port) : absl::StrCat(ip, ":", port);
}

bool operator==(const SocketAddress& a, const SocketAddress& b) {
  return a.ip == b.ip && a.port == b.port;
}

Result<SocketAddress> ParseSocketAddress(absl::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == absl::string_view::npos) {
    return Fail(ErrorCode::kInvalid, kStep, "", "expected \"ip:port\"");
  }
  uint32_t port = 0;
  const absl::string_view digits = text.substr(colon + 1);
  // SimpleAtoi skips blanks and takes signs.
  if (digits.find_first_not_of("0123456789") != absl::string_view::npos ||
      !absl::SimpleAtoi(digits, &port) || port == 0 || port > 65535) {
    return Fail(ErrorCode::kInvalid, kStep, "",
                "the port must be a number from 1 to 65535");
  }
  std::string ip(text.substr(0, colon));
  const bool brackets = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
  if (brackets) {
    ip = ip.substr(1, ip.size() - 2);
  }
  if (!IsIp(ip, brackets ? AF_INET6 : AF_INET)) {
    return Fail(ErrorCode::kInvalid, kStep, "",
                "expected an IP number such as 127.0.0.1 or [::1]");
  }
  return SocketAddress{std::move(ip), static_cast<uint16_t>(port)};
}

}  // namespace figflow
