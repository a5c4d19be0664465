#include "Peer/peer_transport.h"

#include <atomic>
#include <deque>
#include <map>
#include <thread>
#include <utility>
#include <vector>

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "Common/constant_time.h"
#include "Peer/peer_message.h"
#include "absl/base/thread_annotations.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"

namespace figflow {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr char kBearerPrefix[] = "Bearer ";
constexpr std::chrono::milliseconds kConnectTimeout{3'000};
constexpr long kOpenHandshakeTimeoutMs = 5'000;
constexpr long kCloseHandshakeTimeoutMs = 1'000;
// Delay after a failed accept, mostly caused by a lack of descriptors.
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};

// Shared by client and server, so that both have the same connection type. The
// smaller read buffer limits the memory of a link.
struct LinkConfig : public websocketpp::config::asio_client {
  // NOLINTNEXTLINE(readability-identifier-naming): the name is the library's.
  static const size_t connection_read_buffer_size = 4096;
};

using Server = websocketpp::server<LinkConfig>;
using Client = websocketpp::client<LinkConfig>;
using Connection = websocketpp::connection<LinkConfig>;
using ConnectionPtr = Connection::ptr;

Result<tcp::endpoint> ParseAddress(const std::string& address) {
  const size_t colon = address.rfind(':');
  std::string host = address.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code error;
  const asio::ip::address ip = asio::ip::make_address(host, error);
  uint32_t port = 0;
  if (colon == std::string::npos || error ||
      !absl::SimpleAtoi(address.substr(colon + 1), &port) || port > 65535) {
    return Fail(ErrorCode::kInvalid, "peer.address", address,
                "not an ip:port address");
  }
  return tcp::endpoint(ip, static_cast<uint16_t>(port));
}

std::string EndpointToString(const tcp::endpoint& endpoint) {
  const std::string ip = endpoint.address().to_string();
  return endpoint.address().is_v6()
             ? absl::StrCat("[", ip, "]:", endpoint.port())
             : absl::StrCat(ip, ":", endpoint.port());
}

// Size of a message with its frame header; clients mask their frames.
size_t WireBytes(size_t payload, bool masked) {
  const size_t length = payload < 126 ? 2 : payload < 65536 ? 4 : 10;
  return payload + length + (masked ? 4 : 0);
}

}  // namespace

// websocketpp reads a connection's state without its lock in some places. All
// calls on a connection are therefore made on its strand.
class PeerTransport::Impl {
 public:
  Impl(PeerTransportSettings settings, LinkHandler* handler)
      : settings_(std::move(settings)),
        handler_(handler),
        control_strand_(io_context_),
        work_guard_(asio::make_work_guard(io_context_)),
        acceptor_(io_context_) {
    // The first call writes an unsynchronized variable of the library.
    websocketpp::lib::net::_htonll(1);
    ConfigureEndpoint(&server_);
    ConfigureEndpoint(&client_);
  }

  ~Impl() { Stop(); }

  Result<void> Start() {
    const Result<tcp::endpoint> endpoint =
        ParseAddress(settings_.listen_address);
    if (!endpoint) {
      return tl::unexpected<Error>(endpoint.error());
    }
    boost::system::error_code error;
    acceptor_.open(endpoint->protocol(), error);
    if (!error) {
      acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
      acceptor_.bind(*endpoint, error);
    }
    if (!error) {
      acceptor_.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
      return Fail(ErrorCode::kUnavailable, "peer.listen",
                  settings_.listen_address, error.message());
    }
    address_ = EndpointToString(acceptor_.local_endpoint());
    asio::post(control_strand_, [this] { Accept(); });
    for (int i = 0; i < settings_.io_threads; ++i) {
      threads_.emplace_back([this] { io_context_.run(); });
    }
    return {};
  }

  const std::string& address() const { return address_; }

  void Dial(const std::string& address) {
    asio::post(control_strand_, [this, address] { StartDial(address); });
  }

  void Send(LinkId link, OutgoingMessage message) {
    const ConnectionPtr connection = Find(link);
    if (!connection) {
      PostTask([message = std::move(message)] { ReportNotSent(message); });
      return;
    }
    connection->get_strand()->post(
        [this, link, connection, message = std::move(message)] {
          SendOnStrand(link, connection, message);
        });
  }

  void Ping(LinkId link) {
    PostOnStrand(link, [](Connection& connection) {
      websocketpp::lib::error_code ignored;
      connection.ping("", ignored);
    });
  }

  void Close(LinkId link, LinkCloseCode code, const std::string& reason) {
    PostOnStrand(link, [code, reason](Connection& connection) {
      websocketpp::lib::error_code error;
      connection.close(static_cast<uint16_t>(code), reason, error);
      if (error) {
        connection.terminate(error);
      }
    });
  }

  void PostTask(std::function<void()> task) {
    {
      absl::MutexLock lock(&mutex_);
      if (!stopped_) {
        tasks_.push_back(std::move(task));
        asio::post(control_strand_, [this] { RunTask(); });
        return;
      }
    }
    task();
  }

  void PostDelayedTask(std::chrono::nanoseconds delay,
                       std::function<void()> task) {
    auto timer = std::make_shared<asio::steady_timer>(io_context_, delay);
    timer->async_wait(asio::bind_executor(
        control_strand_, [timer, task = std::move(task)](
                             const boost::system::error_code& error) {
          if (!error) {
            task();
          }
        }));
  }

  void StopAccepting() {
    asio::post(control_strand_, [this] {
      boost::system::error_code ignored;
      acceptor_.close(ignored);
    });
  }

  void Stop() {
    io_context_.stop();
    for (std::thread& thread : threads_) {
      thread.join();
    }
    threads_.clear();
    {
      absl::MutexLock lock(&mutex_);
      stopped_ = true;
      connections_.clear();
    }
    while (RunTask()) {
    }
  }

 private:
  // Runs the oldest posted task; returns false if there is none.
  bool RunTask() {
    std::function<void()> task;
    {
      absl::MutexLock lock(&mutex_);
      if (tasks_.empty()) {
        return false;
      }
      task = std::move(tasks_.front());
      tasks_.pop_front();
    }
    task();
    return true;
  }

  template <typename Endpoint>
  void ConfigureEndpoint(Endpoint* endpoint) {
    endpoint->clear_access_channels(websocketpp::log::alevel::all);
    endpoint->clear_error_channels(websocketpp::log::elevel::all);
    endpoint->init_asio(&io_context_);
    endpoint->set_max_message_size(kMaxPeerMessageBytes);
    endpoint->set_open_handshake_timeout(kOpenHandshakeTimeoutMs);
    endpoint->set_close_handshake_timeout(kCloseHandshakeTimeoutMs);
    endpoint->set_user_agent("");
  }

  ConnectionPtr Find(LinkId link) {
    absl::MutexLock lock(&mutex_);
    const auto it = connections_.find(link);
    return it == connections_.end() ? nullptr : it->second;
  }

  template <typename Task>
  void PostOnStrand(LinkId link, Task task) {
    const ConnectionPtr connection = Find(link);
    if (connection) {
      connection->get_strand()->post([connection, task] { task(*connection); });
    }
  }

  static void ReportNotSent(const OutgoingMessage& message) {
    if (message.on_not_sent) {
      message.on_not_sent();
    }
  }

  void SendOnStrand(LinkId link,
                    const ConnectionPtr& connection,
                    const OutgoingMessage& message) {
    if (connection->get_state() != websocketpp::session::state::open ||
        connection->get_buffered_amount() + message.payload.size() >
            settings_.max_buffered_bytes) {
      ReportNotSent(message);
      return;
    }
    if (message.may_send && !message.may_send()) {
      return;
    }
    const websocketpp::lib::error_code error =
        connection->send(message.payload.data(), message.payload.size(),
                         websocketpp::frame::opcode::binary);
    if (error) {
      ReportNotSent(message);
      return;
    }
    handler_->OnLinkSent(
        link, message.is_relay,
        WireBytes(message.payload.size(), !connection->is_server()));
  }

  // Runs on the control strand.
  void Accept() {
    const ConnectionPtr connection = server_.get_connection();
    SetHandlers(connection, "");
    acceptor_.async_accept(
        connection->get_raw_socket(),
        asio::bind_executor(
            control_strand_,
            [this, connection](const boost::system::error_code& error) {
              OnAccepted(connection, error);
            }));
  }

  void OnAccepted(const ConnectionPtr& connection,
                  const boost::system::error_code& error) {
    if (error == asio::error::operation_aborted || !acceptor_.is_open()) {
      return;
    }
    if (error) {
      PostDelayedTask(kAcceptRetryDelay, [this] { Accept(); });
      return;
    }
    if (LinkCount() < settings_.max_links) {
      connection->get_strand()->post(
          [connection] { StartConnection(connection); });
    }
    Accept();
  }

  // Runs on the control strand. Only numeric addresses: a resolver starts a
  // thread.
  void StartDial(const std::string& address) {
    const Result<tcp::endpoint> endpoint = ParseAddress(address);
    websocketpp::lib::error_code error;
    const ConnectionPtr connection =
        endpoint ? client_.get_connection(
                       absl::StrCat("ws://", address, "/figflow/peer"), error)
                 : nullptr;
    if (!connection) {
      handler_->OnDialFailed(address, false, "not a valid address");
      return;
    }
    connection->append_header(
        "Authorization", absl::StrCat(kBearerPrefix, settings_.credential));
    SetHandlers(connection, address);
    auto timer =
        std::make_shared<asio::steady_timer>(io_context_, kConnectTimeout);
    timer->async_wait(connection->get_strand()->wrap(
        [connection](const boost::system::error_code& cancelled) {
          if (!cancelled) {
            boost::system::error_code ignored;
            connection->get_raw_socket().close(ignored);
          }
        }));
    connection->get_raw_socket().async_connect(
        *endpoint,
        connection->get_strand()->wrap(
            [connection, timer](const boost::system::error_code& failed) {
              timer->cancel();
              if (failed) {
                connection->terminate(websocketpp::lib::error_code(
                    failed.value(), std::generic_category()));
              } else {
                StartConnection(connection);
              }
            }));
  }

  static void StartConnection(const ConnectionPtr& connection) {
    boost::system::error_code ignored;
    connection->get_raw_socket().set_option(tcp::no_delay(true), ignored);
    connection->start();
  }

  // Sets the event handlers. They hold only a weak reference to the connection.
  void SetHandlers(const ConnectionPtr& connection,
                   const std::string& address) {
    const LinkId link = ++last_link_;
    const std::weak_ptr<Connection> weak = connection;
    connection->set_validate_handler(
        [this, weak](auto /*handle*/) { return IsAuthorized(*weak.lock()); });
    connection->set_open_handler([this, weak, link, address](auto /*handle*/) {
      {
        absl::MutexLock lock(&mutex_);
        connections_[link] = weak.lock();
      }
      handler_->OnLinkOpened(link, address);
    });
    connection->set_message_handler(
        [this, weak, link](auto /*handle*/, const auto& message) {
          OnMessage(link, *weak.lock(), message);
        });
    connection->set_ping_handler(
        [this, link](auto /*handle*/, const auto& /*text*/) {
          handler_->OnLinkControlFrame(link);
          return true;
        });
    connection->set_pong_handler(
        [this, link](auto /*handle*/, const auto& /*text*/) {
          handler_->OnLinkControlFrame(link);
        });
    connection->set_close_handler(
        [this, weak, link](auto /*handle*/) { OnClosed(link, *weak.lock()); });
    connection->set_fail_handler([this, weak, address](auto /*handle*/) {
      const ConnectionPtr failed = weak.lock();
      if (!address.empty()) {
        handler_->OnDialFailed(address,
                               failed->get_response_code() ==
                                   websocketpp::http::status_code::unauthorized,
                               failed->get_ec().message());
      }
    });
  }

  bool IsAuthorized(Connection& connection) {
    const std::string& header = connection.get_request_header("Authorization");
    if (CredentialMatches(absl::StrCat(kBearerPrefix, settings_.credential),
                          header) &&
        !settings_.credential.empty()) {
      return true;
    }
    connection.set_status(websocketpp::http::status_code::unauthorized);
    handler_->OnCredentialRefused();
    return false;
  }

  template <typename MessagePtr>
  void OnMessage(LinkId link,
                 Connection& connection,
                 const MessagePtr& message) {
    const std::string& payload = message->get_payload();
    const size_t wire_bytes = WireBytes(payload.size(), connection.is_server());
    // A text message becomes an empty payload, which is malformed.
    const bool binary =
        message->get_opcode() == websocketpp::frame::opcode::binary;
    handler_->OnLinkMessage(link, binary ? payload : std::string(), wire_bytes);
  }

  void OnClosed(LinkId link, Connection& connection) {
    {
      absl::MutexLock lock(&mutex_);
      connections_.erase(link);
    }
    LinkCloseInfo closed;
    closed.local_code = connection.get_local_close_code();
    closed.remote_code = connection.get_remote_close_code();
    closed.reason = connection.get_remote_close_reason().empty()
                        ? connection.get_local_close_reason()
                        : connection.get_remote_close_reason();
    handler_->OnLinkClosed(link, closed);
  }

  size_t LinkCount() {
    absl::MutexLock lock(&mutex_);
    return connections_.size();
  }

  const PeerTransportSettings settings_;
  LinkHandler* const handler_;
  std::string address_;
  // Declared first of the members that may hold its handlers.
  asio::io_context io_context_;
  asio::io_context::strand control_strand_;
  asio::executor_work_guard<asio::io_context::executor_type> work_guard_;
  tcp::acceptor acceptor_;
  Server server_;
  Client client_;
  std::atomic<LinkId> last_link_{0};
  absl::Mutex mutex_;
  bool stopped_ ABSL_GUARDED_BY(mutex_) = false;
  std::deque<std::function<void()>> tasks_ ABSL_GUARDED_BY(mutex_);
  std::map<LinkId, ConnectionPtr> connections_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::thread> threads_;
};

PeerTransport::PeerTransport(PeerTransportSettings settings,
                             LinkHandler* handler)
    : impl_(std::make_unique<Impl>(std::move(settings), handler)) {}

PeerTransport::~PeerTransport() = default;

Result<void> PeerTransport::Start() {
  return impl_->Start();
}

const std::string& PeerTransport::address() const {
  return impl_->address();
}

void PeerTransport::Dial(const std::string& address) {
  impl_->Dial(address);
}

void PeerTransport::Send(LinkId link, OutgoingMessage message) {
  impl_->Send(link, std::move(message));
}

void PeerTransport::Ping(LinkId link) {
  impl_->Ping(link);
}

void PeerTransport::Close(LinkId link,
                          LinkCloseCode code,
                          const std::string& reason) {
  impl_->Close(link, code, reason);
}

void PeerTransport::PostTask(std::function<void()> task) {
  impl_->PostTask(std::move(task));
}

void PeerTransport::PostDelayedTask(std::chrono::nanoseconds delay,
                                    std::function<void()> task) {
  impl_->PostDelayedTask(delay, std::move(task));
}

void PeerTransport::StopAccepting() {
  impl_->StopAccepting();
}

void PeerTransport::Stop() {
  impl_->Stop();
}

}  // namespace figflow
