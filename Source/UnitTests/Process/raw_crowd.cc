#include "Process/raw_crowd.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <stdexcept>
#include <utility>

#include "absl/strings/str_cat.h"

namespace figflow::test {
namespace {

constexpr std::chrono::milliseconds kPollTime{100};
// Lets connections take turns, so that all are half-way at once.
constexpr size_t kMostPerTurn = size_t{16} << 10;

}  // namespace

std::string ChunkedRequest(const std::string& host,
                           const std::string& target,
                           size_t bytes,
                           size_t chunk,
                           bool ends) {
  std::string text = absl::StrCat("POST ", target, " HTTP/1.1\r\nHost: ", host,
                                  "\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (size_t done = 0; done < bytes;) {
    const size_t size = std::min(chunk, bytes - done);
    absl::StrAppend(&text, absl::Hex(size), "\r\n", std::string(size, 'a'),
                    "\r\n");
    done += size;
  }
  if (ends) {
    text += "0\r\n\r\n";
  }
  return text;
}

std::string EndlessHeader(const std::string& host, size_t bytes, size_t field) {
  std::string text = absl::StrCat("GET / HTTP/1.1\r\nHost: ", host, "\r\n");
  for (int i = 0; text.size() < bytes; ++i) {
    absl::StrAppend(&text, "F", i, ": ", std::string(field, 'a'), "\r\n");
  }
  return text;
}

RawCrowd::~RawCrowd() {
  for (const Connection& connection : connections_) {
    if (connection.fd >= 0) {
      close(connection.fd);
    }
  }
}

void RawCrowd::Add(int count, const std::string& data) {
  const auto shared = std::make_shared<const std::string>(data);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port_);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  for (int i = 0; i < count; ++i) {
    const int fd =
        socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (fd < 0) {
      throw std::runtime_error("no socket for the crowd");
    }
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0 &&
        errno != EINPROGRESS) {
      close(fd);
      continue;
    }
    connections_.push_back({fd, shared, 0});
  }
}

bool RawCrowd::SendSome(Connection& connection) {
  const size_t left = connection.data->size() - connection.sent;
  const ssize_t count =
      send(connection.fd, connection.data->data() + connection.sent,
           std::min(left, kMostPerTurn), MSG_NOSIGNAL);
  if (count > 0) {
    connection.sent += static_cast<size_t>(count);
    bytes_sent_ += static_cast<size_t>(count);
    return true;
  }
  if (errno != EAGAIN && errno != EINTR) {
    close(std::exchange(connection.fd, -1));
  }
  return false;
}

void RawCrowd::Send(std::chrono::milliseconds stall,
                    std::chrono::milliseconds bound) {
  using Clock = std::chrono::steady_clock;
  const auto begun = Clock::now();
  auto moved = begun;
  while (Clock::now() - begun < bound && Clock::now() - moved < stall) {
    std::vector<pollfd> waiting;
    std::vector<Connection*> owners;
    for (Connection& connection : connections_) {
      if (connection.fd >= 0 && connection.sent < connection.data->size()) {
        waiting.push_back({connection.fd, POLLOUT, 0});
        owners.push_back(&connection);
      }
    }
    if (waiting.empty()) {
      return;
    }
    poll(waiting.data(), waiting.size(), static_cast<int>(kPollTime.count()));
    for (size_t i = 0; i < waiting.size(); ++i) {
      if (waiting[i].revents != 0 && SendSome(*owners[i])) {
        moved = Clock::now();
      }
    }
  }
}

}  // namespace figflow::test
