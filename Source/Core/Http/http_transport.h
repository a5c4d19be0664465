#ifndef HTTP_HTTP_TRANSPORT_H_
#define HTTP_HTTP_TRANSPORT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "Common/clock.h"
#include "Common/error.h"
#include "Http/http_message.h"

namespace figflow {

// Of a response's body, unless the request says otherwise.
inline constexpr size_t kMostAnswerBytes = size_t{16} << 20;

struct TransferRequest {
  // "ip:port"
  std::string address;
  // Shared, so that another attempt can send it again without a copy. Host and
  // Content-Length are set by the transport.
  std::shared_ptr<const HttpRequest> message;
  MonoTime deadline;
  // Latest time to send the request; a later one is not sent and fails with
  // kDeadlineExceeded.
  MonoTime send_by = MonoTime::max();
  // If not zero, takes the place of `deadline`: the time for a connection, and
  // from the sending of the request for the whole response. Time before the
  // transport took up the request is not part of it.
  std::chrono::milliseconds answer_time{0};
  // If not zero, the times above end with the head of the response. The body
  // may take as long as some of it comes in each span of this length.
  std::chrono::milliseconds stall_time{0};
  size_t max_answer_bytes = kMostAnswerBytes;
  // Uses a new connection and closes it afterwards, for requests that must not
  // meet a connection that the target is closing.
  bool fresh_connection = false;
};

// Error codes of `response`:
// kUnavailable: no connection was made before the connect timeout;
// kDeadlineExceeded, kCancelled; kResourceExhausted: response too large;
// kUnknownOutcome: the connection failed, or the response was incomplete or
// cannot be told from an incomplete one; kInvalid: the request cannot be sent.
struct TransferResult {
  // Set before the first byte of the request could leave this process.
  bool sent = false;
  // From that moment to the whole response.
  std::chrono::nanoseconds service_time{0};
  Result<HttpResponse> response;
  // From that moment to the head of the response.
  std::chrono::nanoseconds head_time{0};
};

using TransferCallback = std::function<void(TransferResult)>;

// Sends requests to targets. Thread-safe; no call blocks.
class HttpTransport {
 public:
  virtual ~HttpTransport() = default;

  // Calls `done` exactly once, from a thread of the transport and without
  // locks held, possibly before Start returns. Returns an id for Cancel.
  virtual uint64_t Start(TransferRequest request, TransferCallback done) = 0;

  // Ends the transfer with kCancelled unless it has ended; closes its
  // connection.
  virtual void Cancel(uint64_t id) = 0;
  // The same, but for a transfer whose response has begun to arrive.
  virtual void CancelIfSilent(uint64_t id) = 0;
};

}  // namespace figflow

#endif  // HTTP_HTTP_TRANSPORT_H_
