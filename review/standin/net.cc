#include "net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <mutex>
#include <thread>

namespace review {
namespace {

constexpr int kFirstPort = 20000;
constexpr int kPortSpan = 12000;
constexpr int kPortsPerRun = 64;

std::mutex listeners_mutex;
std::map<int, int> listeners;

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int BoundSocket(int* port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof(address);
  bind(fd, reinterpret_cast<sockaddr*>(&address), size);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  *port = ntohs(address.sin_port);
  return fd;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::string Unescape(const std::string& text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out.push_back(
          static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16)));
      i += 2;
    } else {
      out.push_back(text[i]);
    }
  }
  return out;
}

// Reads one message: its first line, headers and body. False at the end of the
// connection.
bool ReadMessage(int fd,
                 std::string* buffer,
                 std::string* first,
                 std::map<std::string, std::string>* headers,
                 std::string* body) {
  const auto more = [&] {
    char bytes[16384];
    const ssize_t count = recv(fd, bytes, sizeof(bytes), 0);
    if (count > 0) {
      buffer->append(bytes, count);
    }
    return count > 0;
  };
  size_t end = 0;
  while ((end = buffer->find("\r\n\r\n")) == std::string::npos) {
    if (!more()) {
      return false;
    }
  }
  const std::string head = buffer->substr(0, end + 2);
  buffer->erase(0, end + 4);
  headers->clear();
  size_t at = head.find("\r\n");
  *first = head.substr(0, at);
  for (at += 2; at < head.size();) {
    const size_t stop = head.find("\r\n", at);
    const std::string line = head.substr(at, stop - at);
    const size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const size_t value = line.find_first_not_of(' ', colon + 1);
      (*headers)[Lower(line.substr(0, colon))] =
          value == std::string::npos ? "" : line.substr(value);
    }
    at = stop + 2;
  }
  const auto length = headers->find("content-length");
  const size_t wanted =
      length == headers->end() ? 0 : std::stoul(length->second);
  while (buffer->size() < wanted) {
    if (!more()) {
      return false;
    }
  }
  *body = buffer->substr(0, wanted);
  buffer->erase(0, wanted);
  return true;
}

bool SendAll(int fd, const std::string& bytes) {
  for (size_t sent = 0; sent < bytes.size();) {
    const ssize_t count =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += count;
  }
  return true;
}

void ServeConnection(int fd, const Handler& handler) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  std::string buffer;
  std::string first;
  Request request;
  while (ReadMessage(fd, &buffer, &first, &request.headers, &request.body)) {
    const size_t space = first.find(' ');
    std::string target = first.substr(space + 1, first.rfind(' ') - space - 1);
    request.method = first.substr(0, space);
    request.query.clear();
    const size_t mark = target.find('?');
    if (mark != std::string::npos) {
      std::string rest = target.substr(mark + 1);
      target.resize(mark);
      while (!rest.empty()) {
        const size_t next = rest.find('&');
        const std::string pair = rest.substr(0, next);
        rest = next == std::string::npos ? "" : rest.substr(next + 1);
        const size_t equals = pair.find('=');
        request.query[pair.substr(0, equals)] = Unescape(
            equals == std::string::npos ? "" : pair.substr(equals + 1));
      }
    }
    request.path = target;
    const Response response = handler(request);
    if (response.status == 0 ||
        !SendAll(fd, "HTTP/1.1 " + std::to_string(response.status) +
                         " X\r\nContent-Type: application/json\r\n"
                         "Content-Length: " +
                         std::to_string(response.body.size()) + "\r\n\r\n" +
                         response.body)) {
      break;
    }
  }
  close(fd);
}

}  // namespace

int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

int FreePort() {
  // Below the ports that the kernel gives to outgoing connections, and apart
  // from those of another run beside this one.
  static int next = kFirstPort + getpid() * kPortsPerRun % kPortSpan;
  while (true) {
    const int port = next;
    next = port + 1 < kFirstPort + kPortSpan ? port + 1 : kFirstPort;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(port);
    const bool is_free = bind(fd, reinterpret_cast<const sockaddr*>(&address),
                              sizeof(address)) == 0;
    close(fd);
    if (is_free) {
      return port;
    }
  }
}

int Serve(Handler handler) {
  int port = 0;
  const int listener = BoundSocket(&port);
  listen(listener, 256);
  {
    const std::lock_guard<std::mutex> lock(listeners_mutex);
    listeners[port] = listener;
  }
  const auto shared = std::make_shared<Handler>(std::move(handler));
  std::thread([listener, shared] {
    int fd = 0;
    while ((fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC)) >= 0) {
      std::thread([fd, shared] { ServeConnection(fd, *shared); }).detach();
    }
  }).detach();
  return port;
}

void StopServing(int port) {
  const std::lock_guard<std::mutex> lock(listeners_mutex);
  const auto listener = listeners.find(port);
  if (listener != listeners.end()) {
    shutdown(listener->second, SHUT_RDWR);
    close(listener->second);
    listeners.erase(listener);
  }
}

Response Call(int port,
              const std::string& method,
              const std::string& target,
              const std::map<std::string, std::string>& headers,
              const std::string& body,
              int timeout_ms) {
  Response response;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval limit{timeout_ms / 1000, (timeout_ms % 1000) * 1000};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const sockaddr_in address = Loopback(port);
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  if (method == "POST") {
    text += "Content-Type: application/json\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n";
  }
  text += "\r\n" + body;
  std::string buffer;
  std::string first;
  std::map<std::string, std::string> answered;
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0 &&
      SendAll(fd, text) &&
      ReadMessage(fd, &buffer, &first, &answered, &response.body)) {
    response.status = std::stoi(first.substr(first.find(' ') + 1));
  }
  close(fd);
  return response;
}

std::string Base64(const std::string& bytes) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t k = 0; k < 3; ++k) {
      group = group << 8U |
              (i + k < bytes.size() ? static_cast<uint8_t>(bytes[i + k]) : 0U);
    }
    for (size_t k = 0; k < 4; ++k) {
      text.push_back(
          i + k > bytes.size() ? '=' : kDigits[group >> (18 - 6 * k) & 63]);
    }
  }
  return text;
}

}  // namespace review
