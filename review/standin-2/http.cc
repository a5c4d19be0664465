#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <thread>

namespace standin {
namespace {

sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

bool SendAll(int fd, const std::string& text) {
  size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t count =
        send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<size_t>(count);
  }
  return true;
}

// Reads more bytes into `buffer`; false at the end or after `deadline`.
bool ReadMore(int fd, std::string* buffer, int64_t deadline) {
  pollfd entry{fd, POLLIN, 0};
  const int64_t left = deadline < 0 ? -1 : deadline - NowMs();
  if (deadline >= 0 && left <= 0) {
    return false;
  }
  if (poll(&entry, 1, static_cast<int>(left)) <= 0) {
    return false;
  }
  char bytes[16384];
  const ssize_t count = recv(fd, bytes, sizeof(bytes), 0);
  if (count <= 0) {
    return false;
  }
  buffer->append(bytes, static_cast<size_t>(count));
  return true;
}

// Reads a head and a body of Content-Length bytes.
bool ReadMessage(int fd,
                 std::string* buffer,
                 int64_t deadline,
                 std::string* first_line,
                 std::map<std::string, std::string>* headers,
                 std::string* body) {
  size_t end = 0;
  while ((end = buffer->find("\r\n\r\n")) == std::string::npos) {
    if (!ReadMore(fd, buffer, deadline)) {
      return false;
    }
  }
  size_t at = buffer->find("\r\n");
  *first_line = buffer->substr(0, at);
  headers->clear();
  while (at < end) {
    const size_t begin = at + 2;
    at = buffer->find("\r\n", begin);
    const std::string line = buffer->substr(begin, at - begin);
    const size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string name = line.substr(0, colon);
    for (char& c : name) {
      c = static_cast<char>(tolower(c));
    }
    const size_t value = line.find_first_not_of(' ', colon + 1);
    (*headers)[name] = value == std::string::npos ? "" : line.substr(value);
  }
  const auto length = headers->find("content-length");
  const size_t size = length == headers->end()
                          ? 0
                          : std::strtoul(length->second.c_str(), nullptr, 10);
  while (buffer->size() < end + 4 + size) {
    if (!ReadMore(fd, buffer, deadline)) {
      return false;
    }
  }
  *body = buffer->substr(end + 4, size);
  buffer->erase(0, end + 4 + size);
  return true;
}

const std::chrono::steady_clock::time_point kBegin =
    std::chrono::steady_clock::now();

}  // namespace

int64_t NowMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::steady_clock::now() - kBegin)
      .count();
}

void SleepUntil(int64_t ms) {
  std::this_thread::sleep_until(kBegin + milliseconds(ms));
}

json Request::Json() const {
  json value = json::parse(body, nullptr, false);
  return value.is_object() ? value : json::object();
}

std::string Request::Path() const {
  return target.substr(0, target.find('?'));
}

std::string Request::Query(const std::string& name) const {
  size_t at = target.find('?');
  while (at != std::string::npos) {
    const size_t begin = at + 1;
    at = target.find('&', begin);
    const std::string part =
        target.substr(begin, at == std::string::npos ? at : at - begin);
    if (part.rfind(name + "=", 0) != 0) {
      continue;
    }
    std::string value;
    for (size_t i = name.size() + 1; i < part.size(); ++i) {
      if (part[i] == '%' && i + 2 < part.size()) {
        value += static_cast<char>(
            std::strtol(part.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        value += part[i];
      }
    }
    return value;
  }
  return "";
}

std::string Request::Header(const std::string& name) const {
  const auto it = headers.find(name);
  return it == headers.end() ? "" : it->second;
}

Server::Server(Handler handler, uint16_t port) : handler_(std::move(handler)) {
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = Loopback(port);
  socklen_t size = sizeof(address);
  if (bind(listener_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(listener_, 256) != 0) {
    perror("listen");
    _exit(2);
  }
  getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
  port_ = ntohs(address.sin_port);
  std::thread([this] { Accept(); }).detach();
}

std::string Server::address() const {
  return "127.0.0.1:" + std::to_string(port_);
}

void Server::Close() {
  shutdown(listener_, SHUT_RDWR);
  close(listener_);
}

void Server::Accept() {
  while (true) {
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      return;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    std::thread([this, fd] { Serve(fd); }).detach();
  }
}

void Server::Serve(int fd) {
  std::string buffer;
  std::string line;
  Request request;
  while (ReadMessage(fd, &buffer, -1, &line, &request.headers, &request.body)) {
    const size_t space = line.find(' ');
    request.method = line.substr(0, space);
    request.target = line.substr(space + 1, line.rfind(' ') - space - 1);
    const Response response = handler_(request);
    if (response.silent) {
      while (ReadMore(fd, &buffer, -1)) {
      }
      break;
    }
    const std::string body = response.body.dump();
    if (!SendAll(fd, "HTTP/1.1 " + std::to_string(response.status) +
                         " X\r\nContent-Type: application/json\r\n"
                         "Content-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body)) {
      break;
    }
  }
  close(fd);
}

Response Call(const std::string& address,
              const std::string& method,
              const std::string& target,
              const std::string& host,
              const std::string& body,
              milliseconds timeout) {
  Response response;
  response.status = 0;
  const int64_t deadline = NowMs() + timeout.count();
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in to = Loopback(static_cast<uint16_t>(std::strtoul(
      address.substr(address.find(':') + 1).c_str(), nullptr, 10)));
  std::string buffer;
  std::string line;
  std::map<std::string, std::string> headers;
  std::string text;
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0 &&
      SendAll(fd, method + " " + target + " HTTP/1.1\r\nHost: " + host +
                      "\r\nDeadline-Ms: " + std::to_string(timeout.count()) +
                      "\r\nContent-Type: application/json\r\n"
                      "Content-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body) &&
      ReadMessage(fd, &buffer, deadline, &line, &headers, &text)) {
    response.status = std::atoi(line.substr(line.find(' ') + 1, 3).c_str());
    response.body = json::parse(text, nullptr, false);
  }
  close(fd);
  return response;
}

uint16_t FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof(address);
  bind(fd, reinterpret_cast<sockaddr*>(&address), size);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  close(fd);
  return ntohs(address.sin_port);
}

}  // namespace standin
