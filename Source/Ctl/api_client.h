#ifndef CTL_API_CLIENT_H_
#define CTL_API_CLIENT_H_

#include <chrono>
#include <string>

#include "Common/error.h"

namespace figflow::ctl {

struct ApiCall {
  std::string method;
  // Path with query.
  std::string target;
  std::string content_type;
  std::string body;
};

struct ApiAnswer {
  int status = 0;
  std::string body;
};

// Sends one request and reads the whole answer. kUnavailable: the request did
// not leave this process; kUnknownOutcome: it may have left, and no complete
// answer came.
Result<ApiAnswer> CallApi(const std::string& server,
                          const std::string& token,
                          const ApiCall& call,
                          std::chrono::milliseconds timeout);

}  // namespace figflow::ctl

#endif  // CTL_API_CLIENT_H_
