#ifndef HTTP_HTTP_CLIENT_H_
#define HTTP_HTTP_CLIENT_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "Common/clock.h"
#include "Common/metrics.h"
#include "Http/http_transport.h"

namespace figflow {

class ClientLoop;

struct HttpClientOptions {
  // Event threads. Each address belongs to one of them.
  unsigned threads = 2;
  std::chrono::milliseconds connect_timeout{1000};
  // Connections per address unless SetConnectionLimit says otherwise.
  int connections_per_address = 64;
  // Idle connections are closed after this time. Servers commonly close idle
  // connections after 60 s or more; closing first avoids the race.
  std::chrono::seconds idle_timeout{20};
};

// HttpTransport on libcurl. A transfer that has set `sent` is never sent again
// by itself: libcurl repeats a request on a new connection when a reused one
// dies before the first response byte, and the client refuses that.
class HttpClient : public HttpTransport {
 public:
  // `metrics` must outlive the client.
  HttpClient(const HttpClientOptions& options, MetricsRegistry& metrics);
  // Ends all transfers with kCancelled and joins the threads.
  ~HttpClient() override;
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  uint64_t Start(TransferRequest request, TransferCallback done) override;
  void Cancel(uint64_t id) override;
  void CancelIfSilent(uint64_t id) override;

  // Open connections to `address`, idle ones included, stay within `limit`.
  // Transfers beyond it wait in order of arrival.
  void SetConnectionLimit(const std::string& address, int limit);
  // Connections to `address` that are open now, idle ones included.
  int OpenConnections(const std::string& address) const;
  // How late the threads have begun transfers since the last call: the mean of
  // the thread that is worst. Zero without transfers.
  MonoTime::duration TakeLag();

 private:
  ClientLoop& LoopOf(const std::string& address) const;

  std::atomic<uint64_t> next_id_{1};
  std::vector<std::unique_ptr<ClientLoop>> loops_;
};

}  // namespace figflow

#endif  // HTTP_HTTP_CLIENT_H_
