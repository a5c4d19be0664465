#ifndef HTTP_HTTP_EXCHANGE_H_
#define HTTP_HTTP_EXCHANGE_H_

#include <functional>
#include <memory>

#include "Http/http_message.h"

namespace figflow {

// One request of a caller that waits for its response. Thread-safe.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  // Sends the response. Only the first call has an effect. May be called from
  // any thread, also after the caller's connection closed.
  virtual void Respond(HttpResponse response) = 0;

  // Sets the function that is called once, from a thread of the server, when
  // the caller's connection closes before Respond. Calls it at once if the
  // connection is closed already. A caller that shuts down only its sending
  // side counts as closed.
  virtual void SetCloseListener(std::function<void()> listener) = 0;
};

// Must not block. Without a Respond the caller waits until the server stops.
using HttpHandler =
    std::function<void(HttpRequest request,
                       const std::shared_ptr<HttpExchange>& exchange)>;

}  // namespace figflow

#endif  // HTTP_HTTP_EXCHANGE_H_
