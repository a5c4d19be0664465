#ifndef STANDINS_PLATFORM_HTTP_LISTENER_H_
#define STANDINS_PLATFORM_HTTP_LISTENER_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include <microhttpd.h>

#include "Common/error.h"
#include "StandIns/Platform/answer.h"

namespace figflow::standin {

struct ApiRequest {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::string body;
};

// May block. nullopt closes the connection without an answer.
using ApiHandler = std::function<std::optional<Answer>(const ApiRequest&)>;

// libmicrohttpd with one thread per connection, so that handlers may block.
class HttpListener {
 public:
  explicit HttpListener(ApiHandler handler);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  // `listen` is "ip:port"; port 0 picks a free one.
  Result<void> Start(const std::string& listen);
  // "ip:port" that is listened on.
  const std::string& address() const { return address_; }
  // Accepts no new connection, waits up to `grace` for running requests and
  // closes all connections.
  void Stop(std::chrono::milliseconds grace);

 private:
  static MHD_Result OnRequest(void* self,
                              MHD_Connection* connection,
                              const char* url,
                              const char* method,
                              const char* version,
                              const char* data,
                              size_t* data_size,
                              void** state);
  static void OnCompleted(void* self,
                          MHD_Connection* connection,
                          void** state,
                          MHD_RequestTerminationCode code);
  MHD_Result Respond(MHD_Connection* connection, const ApiRequest& request);

  const ApiHandler handler_;
  MHD_Daemon* daemon_ = nullptr;
  std::string address_;
  std::atomic<int> running_{0};
};

}  // namespace figflow::standin

#endif  // STANDINS_PLATFORM_HTTP_LISTENER_H_
