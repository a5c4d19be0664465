#ifndef PROCESS_HTTP_CALL_H_
#define PROCESS_HTTP_CALL_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace figflow::test {

struct CallResult {
  // 0: no complete response.
  int status = 0;
  // Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
  std::chrono::milliseconds elapsed{0};

  // Value of a header, or "" if absent.
  std::string Header(const std::string& name) const;
};

// One blocking HTTP request on a new connection.
CallResult Call(const std::string& method,
                const std::string& url,
                const std::vector<std::string>& headers = {},
                const std::string& body = "",
                std::chrono::milliseconds timeout = std::chrono::seconds(5));

}  // namespace figflow::test

#endif  // PROCESS_HTTP_CALL_H_
