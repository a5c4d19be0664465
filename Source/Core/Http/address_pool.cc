#include "Http/address_pool.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

#include "Http/client_loop.h"

namespace figflow {
namespace {

// A path that goes silent closes no connection. With these, one that carries
// nothing fails after 3 s, and one with unacknowledged bytes after 3 s as well.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;
constexpr int kUnacknowledgedMs = 3'000;

void DetectSilence(curl_socket_t fd) {
  const auto set = [fd](int level, int option, int value) {
    setsockopt(fd, level, option, &value, sizeof(value));
  };
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  set(IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  set(IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, kUnacknowledgedMs);
}

// Makes the close of a connection drop what the peer has not acknowledged. A
// plain close would go on sending it, so a request that was given up during a
// network partition would still arrive when the partition has healed.
void DropUnsentOnClose(curl_socket_t fd) {
  const linger drop{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &drop, sizeof(drop));
}

int LocalPort(curl_socket_t fd) {
  sockaddr_storage address{};
  socklen_t size = sizeof(address);
  if (getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    return 0;
  }
  // The port is at the same place for both families.
  return ntohs(reinterpret_cast<const sockaddr_in*>(&address)->sin_port);
}

}  // namespace

curl_socket_t AddressPool::FindSocket(int local_port) {
  for (Socket& socket : sockets) {
    if (socket.local_port == 0) {
      socket.local_port = LocalPort(socket.fd);
    }
    if (socket.local_port == local_port) {
      return socket.fd;
    }
  }
  return CURL_SOCKET_BAD;
}

curl_socket_t AddressPool::OnOpen(void* pool,
                                  curlsocktype /*purpose*/,
                                  curl_sockaddr* address) {
  const curl_socket_t fd = socket(
      address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
  if (fd < 0) {
    return CURL_SOCKET_BAD;
  }
  DetectSilence(fd);
  auto* address_pool = static_cast<AddressPool*>(pool);
  address_pool->sockets.push_back({fd, 0});
  address_pool->loop->PublishOpenConnections(*address_pool);
  return fd;
}

int AddressPool::OnClose(void* pool, curl_socket_t fd) {
  auto* address_pool = static_cast<AddressPool*>(pool);
  auto& sockets = address_pool->sockets;
  sockets.erase(
      std::remove_if(sockets.begin(), sockets.end(),
                     [fd](const Socket& socket) { return socket.fd == fd; }),
      sockets.end());
  DropUnsentOnClose(fd);
  const int status = close(fd);
  address_pool->loop->PublishOpenConnections(*address_pool);
  return status;
}

}  // namespace figflow
