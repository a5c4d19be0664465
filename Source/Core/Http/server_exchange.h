#ifndef HTTP_SERVER_EXCHANGE_H_
#define HTTP_SERVER_EXCHANGE_H_

#include <memory>
#include <string>

#include <microhttpd.h>

#include "Http/close_watcher.h"
#include "Http/connection_context.h"
#include "Http/figflow_response.h"
#include "Http/http_exchange.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace figflow {

// One request inside libmicrohttpd. The receive functions run on the thread of
// its connection; Respond comes from any thread.
class ServerExchange : public HttpExchange {
 public:
  // What became of a piece of the body.
  enum class BodyRead { kTaken, kPaused, kRefused, kClose };

  // `context` is null once the connection is being closed.
  ServerExchange(MHD_Connection* connection,
                 const ConnectionContext* context,
                 std::string target);

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
  // kPaused: nothing was read, and the connection is suspended. kRefused: the
  // body is too large, and 413 has been sent. kClose: more came after that.
  BodyRead ReadBody(const char* data, size_t size);
  bool body_too_large() const { return body_too_large_; }

  // False if the connection is to be closed: the handler must not be called.
  bool MayHandle() const;
  // Calls the handler, then sends its response or suspends the connection.
  MHD_Result Dispatch(const HttpHandler& handler, bool close_after);
  // Sends the response that Respond left before the connection was resumed.
  MHD_Result SendStored(bool close_after);
  MHD_Result Send(HttpResponse response, bool close_after);

  bool head_read() const { return head_read_; }
  bool dispatched() const { return dispatched_; }

 private:
  // Makes room for `size` more bytes of the body. Returns false if reading is
  // paused.
  bool Grow(size_t size);
  // Sends the refusal past libmicrohttpd, which accepts a response only after
  // the whole body, and ends the sending side.
  void RefuseBody();

  enum class State { kOpen, kSuspended, kResponded };

  MHD_Connection* const connection_;
  const ConnectionContext* const context_;
  std::shared_ptr<WatchedConnection> watched_;
  std::shared_ptr<ServerExchange> self_;
  HttpRequest request_;
  bool head_request_ = false;
  bool head_read_ = false;
  bool dispatched_ = false;
  bool body_too_large_ = false;
  size_t discarded_ = 0;
  size_t max_body_bytes_ = 0;
  // Of the body, as the header states it; 0: unknown.
  size_t expected_ = 0;
  // Reserved beyond the body's capacity; a paused connection goes on once it
  // has them.
  size_t granted_ = 0;

  absl::Mutex mutex_;
  State state_ ABSL_GUARDED_BY(mutex_) = State::kOpen;
  HttpResponse response_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace figflow

#endif  // HTTP_SERVER_EXCHANGE_H_
