#ifndef HTTP_HTTP_MESSAGE_H_
#define HTTP_HTTP_MESSAGE_H_

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace figflow {

// Header fields in the order received. Names compare without regard to case.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// Largest header of a target's response. A larger one could not be passed on:
// the server has a fixed block for header fields.
inline constexpr size_t kMaxResponseHeadBytes = size_t{16} << 10;

struct HttpRequest {
  std::string method;
  // Path with query, starting with "/".
  std::string target;
  HttpHeaders headers;
  std::string body;
};

// A complete response: the body has been checked against its framing.
struct HttpResponse {
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

}  // namespace figflow

#endif  // HTTP_HTTP_MESSAGE_H_
