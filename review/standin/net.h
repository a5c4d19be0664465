#ifndef REVIEW_STANDIN_NET_H_
#define REVIEW_STANDIN_NET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace review {

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  // Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
};

struct Response {
  // 0: no answer; a server then closes the connection.
  int status = 0;
  std::string body;
};

using Handler = std::function<Response(const Request&)>;

// Milliseconds on the steady clock.
int64_t NowMs();
void SleepMs(int64_t ms);
// A TCP port on the loopback address that nothing uses.
int FreePort();
// Serves HTTP/1.1 on 127.0.0.1 with a thread for each connection, for the rest
// of the process. Returns the port.
int Serve(Handler handler);
// Closes the port; what connects from now on is refused.
void StopServing(int port);
// One request on a connection of its own.
Response Call(int port,
              const std::string& method,
              const std::string& target,
              const std::map<std::string, std::string>& headers,
              const std::string& body,
              int timeout_ms);
std::string Base64(const std::string& bytes);

}  // namespace review

#endif  // REVIEW_STANDIN_NET_H_
