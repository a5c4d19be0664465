#include "Http/raw_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <utility>

namespace figflow {
namespace {

sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

}  // namespace

RawClient::RawClient(uint16_t port)
    : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  const timeval limit{3, 0};
  setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  const sockaddr_in address = Loopback(port);
  connected_ = connect(fd_, reinterpret_cast<const sockaddr*>(&address),
                       sizeof(address)) == 0;
}

RawClient::~RawClient() {
  Close();
}

void RawClient::Close() {
  if (fd_ >= 0) {
    close(std::exchange(fd_, -1));
  }
}

void RawClient::EndSending() const {
  shutdown(fd_, SHUT_WR);
}

void RawClient::Send(const std::string& data) const {
  size_t done = 0;
  while (done < data.size()) {
    const ssize_t count =
        send(fd_, data.data() + done, data.size() - done, MSG_NOSIGNAL);
    if (count <= 0) {
      return;
    }
    done += static_cast<size_t>(count);
  }
}

std::string RawClient::ReadUntil(const std::string& end) const {
  std::string text;
  char data[4096];
  while (text.find(end) == std::string::npos) {
    const ssize_t count = recv(fd_, data, sizeof(data), 0);
    if (count <= 0) {
      break;
    }
    text.append(data, static_cast<size_t>(count));
  }
  return text;
}

RawServer::RawServer(std::string response)
    : RawServer(std::vector<std::string>{std::move(response)},
                std::chrono::milliseconds(0)) {}

RawServer::RawServer(std::vector<std::string> pieces,
                     std::chrono::milliseconds pause)
    : pieces_(std::move(pieces)),
      pause_(pause),
      fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof(address);
  (void)bind(fd_, reinterpret_cast<sockaddr*>(&address), size);
  listen(fd_, 8);
  getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
  address_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  thread_ = std::thread([this] { Run(); });
}

RawServer::~RawServer() {
  shutdown(fd_, SHUT_RDWR);
  thread_.join();
  close(fd_);
}

void RawServer::Run() {
  while (true) {
    const int client = accept(fd_, nullptr, nullptr);
    if (client < 0) {
      return;
    }
    char data[4096];
    recv(client, data, sizeof(data), 0);
    for (const std::string& piece : pieces_) {
      send(client, piece.data(), piece.size(), MSG_NOSIGNAL);
      std::this_thread::sleep_for(pause_);
    }
    close(client);
  }
}

}  // namespace figflow
