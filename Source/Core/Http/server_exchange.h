#ifndef HTTP_SERVER_EXCHANGE_H_
#define HTTP_SERVER_EXCHANGE_H_

#include <memory>
#include <string>

#include <microhttpd.h>

#include "Http/close_watcher.h"
#include "Http/figflow_response.h"
#include "Http/http_exchange.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace figflow {

// One request inside libmicrohttpd. The receive functions run on the thread of
// its connection; Respond comes from any thread.
class ServerExchange : public HttpExchange {
 public:
  ServerExchange(MHD_Connection* connection, std::string target);

  void Respond(HttpResponse response) override;
  void SetCloseListener(std::function<void()> listener) override;

  // Keeps this object alive while libmicrohttpd refers to it.
  void KeepAlive(std::shared_ptr<ServerExchange> self);
  void Release();
  std::shared_ptr<ServerExchange> Share() const { return self_; }

  // Reads method and headers. Returns false and fills `refusal` if the request
  // cannot be served.
  bool ReadHead(const char* method,
                size_t max_header_bytes,
                size_t max_body_bytes,
                FigflowAnswer* refusal);
  // Returns false if the body is so much too large that the connection must
  // be closed.
  bool ReadBody(const char* data, size_t size, size_t max_body_bytes);
  bool body_too_large() const { return body_too_large_; }

  // Calls the handler, then sends its response or suspends the connection.
  MHD_Result Dispatch(const HttpHandler& handler, bool close_after);
  // Sends the response that Respond left before the connection was resumed.
  MHD_Result SendStored(bool close_after);
  MHD_Result Send(HttpResponse response, bool close_after);

  bool head_read() const { return head_read_; }
  bool dispatched() const { return dispatched_; }

 private:
  enum class State { kOpen, kSuspended, kResponded };

  MHD_Connection* const connection_;
  std::shared_ptr<WatchedConnection> watched_;
  std::shared_ptr<ServerExchange> self_;
  HttpRequest request_;
  bool head_request_ = false;
  bool head_read_ = false;
  bool dispatched_ = false;
  bool body_too_large_ = false;
  size_t discarded_ = 0;

  absl::Mutex mutex_;
  State state_ ABSL_GUARDED_BY(mutex_) = State::kOpen;
  HttpResponse response_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace figflow

#endif  // HTTP_SERVER_EXCHANGE_H_
