#ifndef REVIEW_STANDIN_2_HTTP_H_
#define REVIEW_STANDIN_2_HTTP_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace standin {

using nlohmann::json;
using std::chrono::milliseconds;

// Milliseconds since the program began.
int64_t NowMs();
void SleepUntil(int64_t ms);

struct Request {
  std::string method;
  std::string target;
  // Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;

  json Json() const;
  std::string Path() const;
  std::string Query(const std::string& name) const;
  std::string Header(const std::string& name) const;
};

struct Response {
  int status = 200;
  json body = json::object();
  // The connection stays open and gets no answer.
  bool silent = false;
};

// Serves HTTP/1.1 with one thread for each connection. Threads are never
// joined: the program ends with _exit.
class Server {
 public:
  using Handler = std::function<Response(const Request&)>;
  // Port 0 takes a free one.
  explicit Server(Handler handler, uint16_t port = 0);
  uint16_t port() const { return port_; }
  std::string address() const;
  // Closes the listener; connections are no longer served.
  void Close();

 private:
  void Accept();
  void Serve(int fd);

  Handler handler_;
  int listener_ = -1;
  uint16_t port_ = 0;
};

// Status 0 if there was no complete response in time.
Response Call(const std::string& address,
              const std::string& method,
              const std::string& target,
              const std::string& host,
              const std::string& body,
              milliseconds timeout);

// A port of 127.0.0.1 that was free a moment ago.
uint16_t FreePort();

}  // namespace standin

#endif  // REVIEW_STANDIN_2_HTTP_H_
