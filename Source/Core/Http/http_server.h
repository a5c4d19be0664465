#ifndef HTTP_HTTP_SERVER_H_
#define HTTP_HTTP_SERVER_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "Common/error.h"
#include "Common/metrics.h"
#include "Http/byte_budget.h"
#include "Http/http_exchange.h"

struct MHD_Daemon;

namespace figflow {

class CloseWatcher;
class ConnectionMonitor;
class ServerExchange;

// Limits on requests that may change while the server runs.
struct RequestLimits {
  // A larger body is refused with 413.
  size_t max_body_bytes = size_t{8} << 20;
  // Larger header fields are refused with 431.
  size_t max_header_bytes = size_t{16} << 10;
  // Of servers with a monitor.
  ArrivalLimits arrival;
};

// What a connection costs that has sent nothing but a header.
size_t BytesPerConnection(size_t max_header_bytes);

struct HttpServerOptions {
  // "ip:port"; port 0 picks a free one.
  std::string address = "127.0.0.1:0";
  unsigned threads = 4;
  // Further connections wait in the kernel's accept queue.
  unsigned max_connections = 8192;
  // Later limits on header fields are not above this one.
  RequestLimits limits;
  // Bounds what all servers that share it buffer; null for no bound.
  ConnectionMonitor* monitor = nullptr;
  // For the monitor's log.
  std::string name;
  // What the kernel receives for a connection ahead of the server; 0: as the
  // kernel sees fit.
  size_t receive_buffer_bytes = 0;
  // A connection without progress for this long is closed, unless a request
  // waits for its response.
  std::chrono::seconds idle_timeout{60};
  // Answer to requests that are still with the handler when the server stops.
  // Their outcome is unknown.
  int stopped_status = 503;
};

// HTTP/1.1 server on libmicrohttpd with a pool of event threads. Responses to
// requests that libmicrohttpd cannot parse come from it and carry no
// Figflow-Disposition; such a request never reaches the handler.
class HttpServer {
 public:
  // `metrics` must outlive the server. kInvalid: bad address; kUnavailable:
  // the address cannot be bound.
  static Result<std::unique_ptr<HttpServer>> Start(
      const HttpServerOptions& options,
      HttpHandler handler,
      MetricsRegistry& metrics);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  uint16_t port() const { return port_; }
  // Requests passed to the handler whose response is not sent yet.
  int InFlight() const { return in_flight_.load(); }

  // Holds for requests whose header is read from now on. Thread-safe.
  void SetLimits(const RequestLimits& limits);

  // Refuses new connections. Open connections are closed after the response to
  // their current request.
  void StopAccepting();
  // Waits until no request is in flight, at most `bound`. Returns whether that
  // was reached.
  bool WaitIdle(std::chrono::milliseconds bound) const;
  // Closes all connections. Requests still in flight are answered with 503 and
  // `unknown`; later calls of their Respond have no effect.
  void Stop();

 private:
  friend struct HttpServerCallbacks;

  HttpServer(const HttpServerOptions& options,
             HttpHandler handler,
             MetricsRegistry& metrics);
  Result<void> Listen();
  // Ends all requests in flight with `stopped_status` and `unknown`.
  void AnswerOpenExchanges();

  const HttpServerOptions options_;
  const HttpHandler handler_;
  Counter& requests_;
  Counter& refused_;
  Counter& closed_early_;
  std::unique_ptr<CloseWatcher> watcher_;
  std::atomic<size_t> max_body_bytes_;
  std::atomic<size_t> max_header_bytes_;
  // In the monitor.
  int group_ = 0;
  MHD_Daemon* daemon_ = nullptr;
  uint16_t port_ = 0;
  int listen_fd_ = -1;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> closing_{false};
  std::atomic<int> in_flight_{0};

  // Requests in flight, so that Stop can answer them.
  struct OpenExchanges;
  std::unique_ptr<OpenExchanges> open_;
};

}  // namespace figflow

#endif  // HTTP_HTTP_SERVER_H_
