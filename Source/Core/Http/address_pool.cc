#include "Http/address_pool.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

namespace figflow {
namespace {

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
  static_cast<AddressPool*>(pool)->sockets.push_back({fd, 0});
  return fd;
}

int AddressPool::OnClose(void* pool, curl_socket_t fd) {
  auto& sockets = static_cast<AddressPool*>(pool)->sockets;
  sockets.erase(
      std::remove_if(sockets.begin(), sockets.end(),
                     [fd](const Socket& socket) { return socket.fd == fd; }),
      sockets.end());
  return close(fd);
}

}  // namespace figflow
