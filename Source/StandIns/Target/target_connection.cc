#include "StandIns/Target/target_connection.h"

#include <sys/socket.h>

#include <cerrno>
#include <thread>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace figflow {
namespace {

constexpr size_t kReadBytes = size_t{64} << 10;
constexpr size_t kMaxHeadBytes = size_t{64} << 10;
constexpr size_t kMaxBodyBytes = size_t{64} << 20;
// Long enough for the client to take the first response as complete.
constexpr std::chrono::milliseconds kLateDelay{20};
constexpr char kEndOfHead[] = "\r\n\r\n";
constexpr size_t kEndOfHeadBytes = 4;

// The number after `prefix` in the target; 0 if the target is another one.
int64_t NumberAfter(absl::string_view target, absl::string_view prefix) {
  int64_t number = 0;
  if (!absl::ConsumePrefix(&target, prefix) ||
      !absl::SimpleAtoi(target.substr(0, target.find_first_of("/?")),
                        &number) ||
      number < 0) {
    return 0;
  }
  return number;
}

}  // namespace

TargetConnection::TargetConnection(int fd, StandInState& state)
    : fd_(fd), state_(state) {}

void TargetConnection::Serve() {
  Request request;
  while (!stopping_ && ReadRequest(&request)) {
    if (!Answer(request) || request.close) {
      return;
    }
    request = Request();
  }
}

void TargetConnection::Stop() {
  stopping_ = true;
  // Ends a read that waits for the next request; a response can still go out.
  shutdown(fd_, SHUT_RD);
}

bool TargetConnection::ClosedByPeer() const {
  char byte = 0;
  const ssize_t count = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  // A client that closes with bytes unacknowledged resets the connection.
  return count == 0 || (count < 0 && errno != EAGAIN);
}

bool TargetConnection::ReadMore() {
  char data[kReadBytes];
  const ssize_t count = recv(fd_, data, sizeof(data), 0);
  if (count <= 0) {
    return false;
  }
  buffer_.append(data, static_cast<size_t>(count));
  return true;
}

bool TargetConnection::ReadRequest(Request* request) {
  size_t end = 0;
  while ((end = buffer_.find(kEndOfHead)) == std::string::npos) {
    if (buffer_.size() > kMaxHeadBytes || !ReadMore()) {
      return false;
    }
  }
  const std::string head = buffer_.substr(0, end);
  buffer_.erase(0, end + kEndOfHeadBytes);
  size_t length = 0;
  bool chunked = false;
  bool first = true;
  for (const absl::string_view line : absl::StrSplit(head, "\r\n")) {
    if (first) {
      first = false;
      const std::vector<std::string> parts = absl::StrSplit(line, ' ');
      if (parts.size() != 3) {
        return false;
      }
      request->method = parts[0];
      request->target = parts[1];
      request->close = parts[2] == "HTTP/1.0";
      continue;
    }
    const std::pair<absl::string_view, absl::string_view> field =
        absl::StrSplit(line, absl::MaxSplits(':', 1));
    const absl::string_view value = absl::StripAsciiWhitespace(field.second);
    if (absl::EqualsIgnoreCase(field.first, "content-length")) {
      if (!absl::SimpleAtoi(value, &length) || length > kMaxBodyBytes) {
        return false;
      }
    } else if (absl::EqualsIgnoreCase(field.first, "transfer-encoding")) {
      chunked = absl::EqualsIgnoreCase(value, "chunked");
    } else if (absl::EqualsIgnoreCase(field.first, "idempotency-key")) {
      request->key = std::string(value);
    } else if (absl::EqualsIgnoreCase(field.first, "connection")) {
      request->close = absl::EqualsIgnoreCase(value, "close");
    }
  }
  return chunked ? ReadChunks(&request->body)
                 : ReadBody(length, &request->body);
}

bool TargetConnection::ReadBody(size_t length, std::string* body) {
  while (buffer_.size() < length) {
    if (!ReadMore()) {
      return false;
    }
  }
  body->append(buffer_, 0, length);
  buffer_.erase(0, length);
  return true;
}

bool TargetConnection::ReadLine(std::string* line) {
  size_t end = 0;
  while ((end = buffer_.find("\r\n")) == std::string::npos) {
    if (!ReadMore()) {
      return false;
    }
  }
  *line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return true;
}

bool TargetConnection::ReadChunks(std::string* body) {
  std::string line;
  while (ReadLine(&line)) {
    size_t length = 0;
    if (!absl::SimpleHexAtoi(line.substr(0, line.find(';')), &length) ||
        body->size() + length > kMaxBodyBytes) {
      return false;
    }
    if (length == 0) {
      while (ReadLine(&line)) {
        if (line.empty()) {
          return true;
        }
      }
      return false;
    }
    if (!ReadBody(length, body) || !ReadLine(&line)) {
      return false;
    }
  }
  return false;
}

bool TargetConnection::AnswerControl(const Request& request) {
  if (request.target == "/standin/stats") {
    const std::string stats = state_.StatsJson();
    return SendResponse(200, "Content-Type: application/json\r\n", stats,
                        stats.size(), false);
  }
  TargetMode mode = TargetMode::kNormal;
  if (request.target == "/standin/mode" && request.method == "POST" &&
      ParseTargetMode(absl::StripAsciiWhitespace(request.body), &mode)) {
    state_.SetMode(mode);
    return SendResponse(200, "", "ok\n", 3, false);
  }
  return SendResponse(400, "", "unknown path or mode\n", 21, false);
}

bool TargetConnection::Answer(const Request& request) {
  if (absl::StartsWith(request.target, "/standin/")) {
    return AnswerControl(request);
  }
  const TargetMode mode = state_.mode();
  const bool head = request.method == "HEAD";
  if (!state_.BeginRequest(request.key)) {
    return SendResponse(503, "", "no free slot\n", 13, head);
  }
  const auto delay =
      state_.limits().delay +
      std::chrono::milliseconds(NumberAfter(request.target, "/sleep/"));
  if (delay.count() > 0) {
    std::this_thread::sleep_for(delay);
  }
  std::string body = absl::StrCat(request.method, " ", request.target, " ",
                                  request.body.size(), "\n");
  if (const int64_t size = NumberAfter(request.target, "/size/")) {
    body.assign(static_cast<size_t>(size), 'x');
  }
  // The slot is free before the response is out: the next request may come the
  // moment the client has read it.
  state_.EndRequest();
  switch (mode) {
    case TargetMode::kDie:
      return false;
    case TargetMode::kTruncated:
      SendResponse(200, "", body, body.size() + 100, head);
      return false;
    case TargetMode::kCloseDelimited:
      Write(absl::StrCat("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", body));
      return false;
    case TargetMode::kLeaving:
      return SendResponse(200, "Figflow-Leaving: 1\r\n", body, body.size(),
                          head);
    case TargetMode::kLate:
      if (!SendResponse(200, "", body, body.size(), head)) {
        return false;
      }
      std::this_thread::sleep_for(kLateDelay);
      return SendResponse(200, "", "late\n", 5, head);
    case TargetMode::kNormal:
      break;
  }
  return SendResponse(200, "", body, body.size(), head);
}

bool TargetConnection::SendResponse(int status,
                                    const std::string& fields,
                                    const std::string& body,
                                    size_t declared,
                                    bool head) {
  return Write(absl::StrCat("HTTP/1.1 ", status, " Standin\r\n", fields,
                            "Content-Length: ", declared, "\r\n\r\n",
                            head ? "" : body));
}

bool TargetConnection::Write(const std::string& data) {
  size_t written = 0;
  while (written < data.size()) {
    const ssize_t count =
        send(fd_, data.data() + written, data.size() - written, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    written += static_cast<size_t>(count);
  }
  return true;
}

}  // namespace figflow
