#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <thread>

namespace review {
namespace {

sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

void NoDelay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

bool SendAll(int fd, const std::string& text) {
  size_t done = 0;
  while (done < text.size()) {
    const ssize_t n =
        send(fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    done += static_cast<size_t>(n);
  }
  return true;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(tolower(c)); });
  return text;
}

// Reads header lines up to the empty one from `head`.
std::map<std::string, std::string> ParseHeaders(const std::string& head) {
  std::map<std::string, std::string> headers;
  size_t at = head.find("\r\n");
  while (at != std::string::npos && at + 2 < head.size()) {
    const size_t end = head.find("\r\n", at + 2);
    const std::string line = head.substr(at + 2, end - at - 2);
    const size_t colon = line.find(':');
    if (colon != std::string::npos) {
      size_t begin = colon + 1;
      while (begin < line.size() && line[begin] == ' ') {
        ++begin;
      }
      headers[Lower(line.substr(0, colon))] = line.substr(begin);
    }
    at = end;
  }
  return headers;
}

// Reads one message. Returns false at the end of the stream, an error or the
// deadline.
bool ReadMessage(int fd,
                 std::string* buffer,
                 std::string* head,
                 std::map<std::string, std::string>* headers,
                 std::string* body,
                 std::chrono::steady_clock::time_point until) {
  const auto fill = [&] {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        until - std::chrono::steady_clock::now());
    pollfd wait{fd, POLLIN, 0};
    if (left.count() <= 0 || poll(&wait, 1,
                                  static_cast<int>(std::min<int64_t>(
                                      left.count(), 1'000'000))) <= 0) {
      return false;
    }
    char bytes[65536];
    const ssize_t n = recv(fd, bytes, sizeof(bytes), 0);
    if (n <= 0) {
      return false;
    }
    buffer->append(bytes, static_cast<size_t>(n));
    return true;
  };
  size_t end = std::string::npos;
  while ((end = buffer->find("\r\n\r\n")) == std::string::npos) {
    if (!fill()) {
      return false;
    }
  }
  *head = buffer->substr(0, end + 2);
  *headers = ParseHeaders(*head);
  const auto length = headers->find("content-length");
  const size_t size = length == headers->end()
                          ? 0
                          : strtoul(length->second.c_str(), nullptr, 10);
  while (buffer->size() < end + 4 + size) {
    if (!fill()) {
      return false;
    }
  }
  *body = buffer->substr(end + 4, size);
  buffer->erase(0, end + 4 + size);
  return true;
}

void ServeConnection(int fd, const Handler& handler) {
  NoDelay(fd);
  std::string buffer;
  const auto never = std::chrono::steady_clock::now() + std::chrono::hours(1);
  while (true) {
    Request request;
    std::string head;
    if (!ReadMessage(fd, &buffer, &head, &request.headers, &request.body,
                     never)) {
      break;
    }
    const size_t first = head.find(' ');
    const size_t second = head.find(' ', first + 1);
    request.method = head.substr(0, first);
    request.target = head.substr(first + 1, second - first - 1);
    const std::optional<Response> answer = handler(request);
    if (!answer) {
      char bytes[4096];
      while (recv(fd, bytes, sizeof(bytes), 0) > 0) {
      }
      break;
    }
    if (!SendAll(fd, "HTTP/1.1 " + std::to_string(answer->status) +
                         " Status\r\nContent-Type: application/json\r\n"
                         "Content-Length: " +
                         std::to_string(answer->body.size()) + "\r\n\r\n" +
                         answer->body)) {
      break;
    }
  }
  close(fd);
}

}  // namespace

std::string Request::Query(const std::string& name) const {
  size_t at = target.find('?');
  while (at != std::string::npos) {
    const size_t end = target.find('&', at + 1);
    const std::string field = target.substr(
        at + 1, end == std::string::npos ? std::string::npos : end - at - 1);
    if (field.compare(0, name.size() + 1, name + "=") == 0) {
      std::string value;
      for (size_t i = name.size() + 1; i < field.size(); ++i) {
        if (field[i] == '%' && i + 2 < field.size()) {
          value.push_back(static_cast<char>(
              strtoul(field.substr(i + 1, 2).c_str(), nullptr, 16)));
          i += 2;
        } else {
          value.push_back(field[i]);
        }
      }
      return value;
    }
    at = end;
  }
  return "";
}

uint16_t Serve(Handler handler) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof(address);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(fd, 512) != 0) {
    perror("listen");
    exit(2);
  }
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  std::thread([fd, handler = std::move(handler)] {
    while (true) {
      const int connection = accept(fd, nullptr, nullptr);
      if (connection >= 0) {
        std::thread(ServeConnection, connection, handler).detach();
      }
    }
  }).detach();
  return ntohs(address.sin_port);
}

uint16_t FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof(address);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0) {
    perror("bind");
    exit(2);
  }
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  close(fd);
  return ntohs(address.sin_port);
}

Response Call(uint16_t port,
              const std::string& method,
              const std::string& target,
              const std::map<std::string, std::string>& headers,
              const std::string& body,
              int timeout_ms) {
  Response response;
  response.status = 0;
  const auto until =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(timeout_ms);
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = Loopback(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0) {
    NoDelay(fd);
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers) {
      text += name + ": " + value + "\r\n";
    }
    if (!body.empty()) {
      text += "Content-Type: application/json\r\nContent-Length: " +
              std::to_string(body.size()) + "\r\n";
    }
    std::string buffer;
    std::string head;
    std::map<std::string, std::string> answered;
    if (SendAll(fd, text + "\r\n" + body) &&
        ReadMessage(fd, &buffer, &head, &answered, &response.body, until)) {
      response.status = atoi(head.substr(head.find(' ') + 1, 3).c_str());
    }
  }
  close(fd);
  return response;
}

}  // namespace review
