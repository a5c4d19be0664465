#include "Http/http_server.h"

#include <microhttpd.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <thread>
#include <utility>
#include <vector>

#include "Common/clock.h"
#include "Http/close_watcher.h"
#include "Http/connection_context.h"
#include "Http/connection_limits.h"
#include "Http/listen_address.h"
#include "Http/server_exchange.h"
#include "absl/container/flat_hash_set.h"

namespace figflow {
namespace {

// libmicrohttpd keeps the header fields of a request and those of its response
// in one block per connection, beside the read buffer. It clears the block for
// each request: 64 KB took 7% of the processor time of a loaded daemon.
constexpr size_t kBlockBytes = kMaxResponseHeadBytes + (size_t{8} << 10);
constexpr std::chrono::milliseconds kIdlePoll{2};
// Time for the event threads to pick up the last responses in Stop.
constexpr std::chrono::milliseconds kStopBound{2000};
// Between looks for requests that arrive while the server stops.
constexpr std::chrono::milliseconds kAnswerInterval{20};

// New connections find room before the server takes no more.
size_t CrowdedFrom(size_t max_connections) {
  return max_connections - max_connections / 16;
}

ConnectionContext* ContextOf(MHD_Connection* connection) {
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  return info == nullptr
             ? nullptr
             : static_cast<ConnectionContext*>(info->socket_context);
}

}  // namespace

struct HttpServer::OpenExchanges {
  absl::Mutex mutex;
  absl::flat_hash_set<ServerExchange*> dispatched ABSL_GUARDED_BY(mutex);
};

// Functions called by libmicrohttpd; `cls` is the server.
struct HttpServerCallbacks {
  static void* OnTarget(void* /*cls*/,
                        const char* uri,
                        MHD_Connection* connection) {
    // The raw target: libmicrohttpd passes the handler a decoded path without
    // the query.
    ConnectionContext* context = ContextOf(connection);
    if (context != nullptr) {
      context->Enter(ByteBudget::Phase::kHeader);
    }
    auto exchange = std::make_shared<ServerExchange>(connection, context, uri);
    ServerExchange* raw = exchange.get();
    raw->KeepAlive(std::move(exchange));
    return raw;
  }

  static MHD_Result OnRequest(void* cls,
                              MHD_Connection* /*connection*/,
                              const char* /*url*/,
                              const char* method,
                              const char* /*version*/,
                              const char* data,
                              size_t* size,
                              void** context) {
    auto* server = static_cast<HttpServer*>(cls);
    auto* exchange = static_cast<ServerExchange*>(*context);
    if (!exchange->head_read()) {
      FigflowAnswer refusal;
      if (exchange->ReadHead(method, server->max_header_bytes_,
                             server->max_body_bytes_, &refusal)) {
        return MHD_YES;
      }
      server->refused_.Add();
      return exchange->Send(MakeFigflowResponse(refusal), true);
    }
    if (*size > 0) {
      switch (exchange->ReadBody(data, *size)) {
        case ServerExchange::BodyRead::kTaken:
          *size = 0;
          return MHD_YES;
        case ServerExchange::BodyRead::kPaused:
          return MHD_YES;
        case ServerExchange::BodyRead::kRefused:
          server->refused_.Add();
          *size = 0;
          return MHD_YES;
        case ServerExchange::BodyRead::kClose:
          break;
      }
      return MHD_NO;
    }
    if (exchange->dispatched()) {
      return exchange->SendStored(server->stopping_);
    }
    // Refused already, or to be closed.
    if (exchange->body_too_large() || !exchange->MayHandle()) {
      return MHD_NO;
    }
    server->requests_.Add();
    server->in_flight_.fetch_add(1);
    // After the count: Stop sets the flag and then waits for the count.
    if (server->closing_) {
      server->in_flight_.fetch_sub(1);
      return exchange->Send(
          MakeFigflowResponse({503, Disposition::kNotRun, "stopping",
                               "http.stop", "", "the server stops"}),
          true);
    }
    {
      absl::MutexLock lock(&server->open_->mutex);
      server->open_->dispatched.insert(exchange);
    }
    return exchange->Dispatch(server->handler_, server->stopping_);
  }

  static void OnCompleted(void* cls,
                          MHD_Connection* connection,
                          void** context,
                          MHD_RequestTerminationCode code) {
    auto* server = static_cast<HttpServer*>(cls);
    auto* exchange = static_cast<ServerExchange*>(*context);
    if (exchange == nullptr) {
      return;
    }
    *context = nullptr;
    if (const ConnectionContext* connected = ContextOf(connection)) {
      connected->Release();
      connected->Enter(ByteBudget::Phase::kIdle);
    }
    if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK) {
      server->closed_early_.Add();
    }
    const bool dispatched = exchange->dispatched();
    if (dispatched) {
      absl::MutexLock lock(&server->open_->mutex);
      server->open_->dispatched.erase(exchange);
    }
    exchange->Release();
    if (dispatched) {
      server->in_flight_.fetch_sub(1);
    }
  }

  static void OnConnection(void* cls,
                           MHD_Connection* connection,
                           void** socket_context,
                           MHD_ConnectionNotificationCode code) {
    auto* server = static_cast<HttpServer*>(cls);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
      const MHD_ConnectionInfo* info = MHD_get_connection_info(
          connection, MHD_CONNECTION_INFO_CONNECTION_FD);
      const int no_delay = 1;
      setsockopt(info->connect_fd, IPPROTO_TCP, TCP_NODELAY, &no_delay,
                 sizeof(no_delay));
      auto* context = new ConnectionContext;
      context->fd = info->connect_fd;
      context->monitor = server->options_.monitor;
      if (context->monitor != nullptr) {
        context->budget_id = context->monitor->Open(
            server->group_,
            BytesPerConnection(server->options_.limits.max_header_bytes),
            connection, context->fd);
      }
      context->watched = std::make_shared<WatchedConnection>();
      context->watch_id =
          server->watcher_->Add(info->connect_fd, context->watched);
      *socket_context = context;
      return;
    }
    auto* context = static_cast<ConnectionContext*>(*socket_context);
    if (context != nullptr) {
      server->watcher_->Remove(context->watch_id);
      if (context->monitor != nullptr) {
        context->monitor->Close(context->budget_id);
      }
      delete context;
      *socket_context = nullptr;
    }
  }
};

HttpServer::HttpServer(const HttpServerOptions& options,
                       HttpHandler handler,
                       MetricsRegistry& metrics)
    : options_(options),
      handler_(std::move(handler)),
      requests_(metrics.GetCounter("figflow_http_requests_total")),
      refused_(metrics.GetCounter("figflow_http_refused_total")),
      closed_early_(metrics.GetCounter("figflow_http_closed_early_total")),
      watcher_(std::make_unique<CloseWatcher>()),
      max_body_bytes_(options.limits.max_body_bytes),
      max_header_bytes_(options.limits.max_header_bytes),
      open_(std::make_unique<OpenExchanges>()) {}

Result<std::unique_ptr<HttpServer>> HttpServer::Start(
    const HttpServerOptions& options,
    HttpHandler handler,
    MetricsRegistry& metrics) {
  std::unique_ptr<HttpServer> server(
      new HttpServer(options, std::move(handler), metrics));
  if (Result<void> listening = server->Listen(); !listening) {
    return tl::unexpected<Error>(std::move(listening.error()));
  }
  return server;
}

Result<void> HttpServer::Listen() {
  Result<sockaddr_storage> address = ParseListenAddress(options_.address);
  if (!address) {
    return tl::unexpected<Error>(std::move(address.error()));
  }
  unsigned flags =
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_TURBO;
  if (address->ss_family == AF_INET6) {
    flags |= MHD_USE_IPv6;
  }
  if (options_.monitor != nullptr) {
    group_ = options_.monitor->AddGroup(
        options_.name,
        {options_.limits.arrival, CrowdedFrom(options_.max_connections), 0});
  }
  std::vector<MHD_OptionItem> items;
  // A pool of one thread is the plain single-thread mode.
  if (options_.threads > 1) {
    items.push_back({MHD_OPTION_THREAD_POOL_SIZE,
                     static_cast<intptr_t>(options_.threads), nullptr});
  }
  items.push_back({MHD_OPTION_END, 0, nullptr});
  daemon_ = MHD_start_daemon(
      flags, 0, nullptr, nullptr, &HttpServerCallbacks::OnRequest, this,
      MHD_OPTION_SOCK_ADDR, reinterpret_cast<sockaddr*>(&*address),
      MHD_OPTION_CONNECTION_LIMIT, options_.max_connections,
      MHD_OPTION_CONNECTION_TIMEOUT,
      static_cast<unsigned>(options_.idle_timeout.count()),
      MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      options_.limits.max_header_bytes + kBlockBytes,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_URI_LOG_CALLBACK,
      &HttpServerCallbacks::OnTarget, this, MHD_OPTION_NOTIFY_COMPLETED,
      &HttpServerCallbacks::OnCompleted, this, MHD_OPTION_NOTIFY_CONNECTION,
      &HttpServerCallbacks::OnConnection, this, MHD_OPTION_ARRAY, items.data(),
      MHD_OPTION_END);
  if (daemon_ == nullptr) {
    return Fail(ErrorCode::kUnavailable, "http.listen", options_.address,
                "cannot listen on the address");
  }
  if (options_.receive_buffer_bytes > 0) {
    // Connections inherit it. The kernel sets twice as much, for its own use.
    const auto bytes = static_cast<int>(options_.receive_buffer_bytes);
    setsockopt(
        MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_LISTEN_FD)->listen_fd,
        SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
  }
  port_ = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT)->port;
  return {};
}

HttpServer::~HttpServer() {
  Stop();
}

size_t BytesPerConnection(size_t max_header_bytes) {
  return max_header_bytes + kBlockBytes + kReceiveBufferBytes;
}

void HttpServer::SetLimits(const RequestLimits& limits) {
  max_body_bytes_ = limits.max_body_bytes;
  max_header_bytes_ =
      std::min(limits.max_header_bytes, options_.limits.max_header_bytes);
  if (options_.monitor != nullptr) {
    options_.monitor->SetLimits(group_, limits.arrival);
  }
}

void HttpServer::StopAccepting() {
  if (daemon_ == nullptr || stopping_.exchange(true)) {
    return;
  }
  listen_fd_ = MHD_quiesce_daemon(daemon_);
  // New connections are refused at once instead of waiting in a queue that
  // nobody reads. The descriptor stays open until the threads have ended.
  shutdown(listen_fd_, SHUT_RDWR);
}

bool HttpServer::WaitIdle(std::chrono::milliseconds bound) const {
  for (std::chrono::milliseconds waited{0}; waited < bound;
       waited += kIdlePoll) {
    if (in_flight_ == 0) {
      return true;
    }
    std::this_thread::sleep_for(kIdlePoll);
  }
  return in_flight_ == 0;
}

void HttpServer::AnswerOpenExchanges() {
  std::vector<std::shared_ptr<ServerExchange>> left;
  {
    absl::MutexLock lock(&open_->mutex);
    for (ServerExchange* exchange : open_->dispatched) {
      left.push_back(exchange->Share());
    }
  }
  for (const auto& exchange : left) {
    exchange->Respond(MakeFigflowResponse(
        {options_.stopped_status, Disposition::kUnknown, "stopping",
         "http.stop", "", "the server stopped before the request ended"}));
  }
}

void HttpServer::Stop() {
  if (daemon_ == nullptr) {
    return;
  }
  StopAccepting();
  // libmicrohttpd must not be stopped with suspended connections. Requests that
  // open connections bring from now on do not reach the handler.
  closing_ = true;
  if (options_.monitor != nullptr) {
    options_.monitor->StopGroup(group_);
  }
  const SystemClock clock;
  const MonoTime until = clock.Now() + kStopBound;
  do {
    AnswerOpenExchanges();
  } while (!WaitIdle(kAnswerInterval) && clock.Now() < until);
  MHD_stop_daemon(daemon_);
  daemon_ = nullptr;
  close(listen_fd_);
}

}  // namespace figflow
