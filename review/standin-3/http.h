// A small blocking HTTP/1.1 server and client on loopback, one thread for each
// connection.
#ifndef REVIEW_STANDIN_3_HTTP_H_
#define REVIEW_STANDIN_3_HTTP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace review {

struct Request {
  std::string method;
  std::string target;
  // Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;

  std::string Path() const { return target.substr(0, target.find('?')); }
  // Decoded value of a query field, or empty.
  std::string Query(const std::string& name) const;
};

struct Response {
  int status = 200;
  std::string body;
};

// No value: the call gets no answer, and its connection no further one.
using Handler = std::function<std::optional<Response>(const Request&)>;

// Serves until the process ends. Returns the port.
uint16_t Serve(Handler handler);
// A port that is free now.
uint16_t FreePort();

// Status 0 if no complete response came in time.
Response Call(uint16_t port,
              const std::string& method,
              const std::string& target,
              const std::map<std::string, std::string>& headers,
              const std::string& body,
              int timeout_ms);

}  // namespace review

#endif  // REVIEW_STANDIN_3_HTTP_H_
