#include "StandIns/Target/target_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

constexpr int kBacklog = 1024;

}  // namespace

Result<std::unique_ptr<TargetServer>> TargetServer::Start(
    const std::string& ip,
    uint16_t port,
    const TargetLimits& limits) {
  const std::string wanted = absl::StrCat(ip, ":", port);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  if (inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1) {
    return Fail(ErrorCode::kInvalid, "target.listen", wanted,
                "not an IPv4 address");
  }
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(fd, kBacklog) != 0) {
    close(fd);
    return Fail(ErrorCode::kUnavailable, "target.listen", wanted,
                "cannot listen on the address");
  }
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return std::unique_ptr<TargetServer>(new TargetServer(
      fd, absl::StrCat(ip, ":", ntohs(address.sin_port)), limits));
}

TargetServer::TargetServer(int fd,
                           std::string address,
                           const TargetLimits& limits)
    : listen_fd_(fd), address_(std::move(address)), state_(limits) {
  accept_thread_ = std::thread([this] { Accept(); });
}

TargetServer::~TargetServer() {
  Stop();
}

void TargetServer::Accept() {
  while (true) {
    const int fd = accept4(listen_fd_, nullptr, nullptr, SOCK_CLOEXEC);
    absl::MutexLock lock(&mutex_);
    if (fd < 0 || stopped_) {
      if (fd >= 0) {
        close(fd);
      }
      return;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    int open = 1;
    for (auto it = clients_.begin(); it != clients_.end();) {
      if (it->ended) {
        it->thread.join();
        it = clients_.erase(it);
        continue;
      }
      // A connection that its client has closed is not open any more, even if
      // its thread has not noticed yet.
      open += it->connection->ClosedByPeer() ? 0 : 1;
      ++it;
    }
    state_.CountConnection(open);
    clients_.emplace_back();
    Client* client = &clients_.back();
    client->fd = fd;
    client->connection = std::make_unique<TargetConnection>(fd, state_);
    client->thread = std::thread([this, client] { Serve(client); });
  }
}

void TargetServer::Serve(Client* client) {
  client->connection->Serve();
  absl::MutexLock lock(&mutex_);
  client->ended = true;
  close(client->fd);
}

void TargetServer::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    if (stopped_) {
      return;
    }
    stopped_ = true;
  }
  shutdown(listen_fd_, SHUT_RDWR);
  accept_thread_.join();
  close(listen_fd_);
  std::vector<std::thread> threads;
  {
    absl::MutexLock lock(&mutex_);
    for (Client& client : clients_) {
      if (!client.ended) {
        client.connection->Stop();
      }
      threads.push_back(std::move(client.thread));
    }
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

}  // namespace figflow
