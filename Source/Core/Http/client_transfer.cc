#include "Http/client_transfer.h"

#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "Http/client_loop.h"
#include "Http/http_headers.h"
#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

constexpr absl::string_view kLineBreaks("\r\n\0", 3);
// Larger declared bodies are not reserved in advance: the declaration may be
// wrong.
constexpr int64_t kReserveLimit = int64_t{1} << 20;
// Reads of a response past its deadline. Each takes what the socket holds, so
// this is more than any socket buffer.
constexpr int kLateReads = 8;
constexpr int kLowestStatus = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

bool HasLineBreak(absl::string_view text) {
  return text.find_first_of(kLineBreaks) != absl::string_view::npos;
}

bool IsToken(absl::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return absl::ascii_isgraph(static_cast<unsigned char>(c));
  });
}

}  // namespace

ClientTransfer::ClientTransfer(const HttpClientOptions& options)
    : easy_(curl_easy_init()), options_(options) {
  curl_easy_setopt(easy_, CURLOPT_PRIVATE, this);
  curl_easy_setopt(easy_, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy_, CURLOPT_PROXY, "");
  curl_easy_setopt(easy_, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy_, CURLOPT_HTTP_VERSION,
                   static_cast<long>(CURL_HTTP_VERSION_1_1));
  curl_easy_setopt(easy_, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(easy_, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy_, CURLOPT_MAXAGE_CONN,
                   static_cast<long>(options.idle_timeout.count()));
  curl_easy_setopt(easy_, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(easy_, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(easy_, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(easy_, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(easy_, CURLOPT_OPENSOCKETFUNCTION, &AddressPool::OnOpen);
  curl_easy_setopt(easy_, CURLOPT_CLOSESOCKETFUNCTION, &AddressPool::OnClose);
  curl_easy_setopt(easy_, CURLOPT_PREREQFUNCTION, &OnRequest);
  curl_easy_setopt(easy_, CURLOPT_PREREQDATA, this);
}

ClientTransfer::~ClientTransfer() {
  curl_easy_cleanup(easy_);
  curl_slist_free_all(headers_);
}

void ClientTransfer::Assign(uint64_t id,
                            TransferRequest request,
                            TransferCallback done) {
  id_ = id;
  request_ = std::move(request);
  done_ = std::move(done);
  sent_ = false;
  stale_ = false;
  too_late_ = false;
  resend_refused_ = false;
  use_fresh_ = request_.fresh_connection;
}

bool ClientTransfer::Prepare(MonoTime now) {
  head_ended_ = false;
  too_large_ = false;
  head_bytes_ = 0;
  length_ = -1;
  chunked_ = false;
  framing_fault_ = nullptr;
  response_ = HttpResponse();
  attempt_at_ = now;
  bytes_seen_ = 0;
  late_reads_ = 0;

  const HttpRequest& message = *request_.message;
  if (!IsToken(message.method) || !IsToken(message.target)) {
    return false;
  }
  curl_slist_free_all(std::exchange(headers_, nullptr));
  // An empty value makes libcurl leave out a field that it adds by itself.
  for (const char* field : {"Expect:", "Accept:"}) {
    headers_ = curl_slist_append(headers_, field);
  }
  std::string line;
  for (const auto& [name, value] : message.headers) {
    if (!IsToken(name) || HasLineBreak(value)) {
      return false;
    }
    line.clear();
    absl::StrAppend(&line, name, value.empty() ? ";" : ": ", value);
    headers_ = curl_slist_append(headers_, line.c_str());
  }
  const bool has_body = !message.body.empty();
  if (has_body && FindHeader(message.headers, "content-type") == nullptr) {
    headers_ = curl_slist_append(headers_, "Content-Type:");
  }
  curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, headers_);
  curl_easy_setopt(easy_, CURLOPT_OPENSOCKETDATA, pool);
  curl_easy_setopt(easy_, CURLOPT_CLOSESOCKETDATA, pool);
  // The target is passed on as received; libcurl would rewrite it in a URL.
  curl_easy_setopt(easy_, CURLOPT_URL,
                   absl::StrCat("http://", request_.address, "/").c_str());
  curl_easy_setopt(easy_, CURLOPT_REQUEST_TARGET, message.target.c_str());

  // HTTPGET resets what an earlier request left of NOBODY and of the body.
  curl_easy_setopt(easy_, CURLOPT_HTTPGET, 1L);
  if (message.method == "HEAD") {
    curl_easy_setopt(easy_, CURLOPT_NOBODY, 1L);
  } else if (has_body || message.method == "POST" || message.method == "PUT" ||
             message.method == "PATCH") {
    curl_easy_setopt(easy_, CURLOPT_POST, 1L);
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(message.body.size()));
    curl_easy_setopt(easy_, CURLOPT_POSTFIELDS, message.body.data());
  }
  curl_easy_setopt(easy_, CURLOPT_CUSTOMREQUEST, message.method.c_str());

  curl_easy_setopt(easy_, CURLOPT_FRESH_CONNECT, use_fresh_ ? 1L : 0L);
  curl_easy_setopt(easy_, CURLOPT_FORBID_REUSE,
                   request_.fresh_connection ? 1L : 0L);
  return true;
}

int ClientTransfer::OnRequest(void* self,
                              char* /*remote_ip*/,
                              char* /*local_ip*/,
                              int /*remote_port*/,
                              int local_port) {
  auto* transfer = static_cast<ClientTransfer*>(self);
  if (transfer->sent_) {
    // libcurl is about to send the request a second time.
    transfer->resend_refused_ = true;
    return CURL_PREREQFUNC_ABORT;
  }
  // Bytes or an end of stream before the request belong to no request of ours:
  // a late response to an earlier one, or a target that closed the connection.
  char byte = 0;
  const curl_socket_t fd = transfer->pool->FindSocket(local_port);
  if (fd == CURL_SOCKET_BAD ||
      recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0) {
    transfer->stale_ = true;
    return CURL_PREREQFUNC_ABORT;
  }
  const MonoTime now = SystemClock().Now();
  if (now >= transfer->request_.send_by) {
    transfer->too_late_ = true;
    return CURL_PREREQFUNC_ABORT;
  }
  transfer->sent_ = true;
  transfer->sent_at_ = now;
  transfer->pool->loop->OnSent(*transfer, transfer->sent_at_);
  return CURL_PREREQFUNC_OK;
}

MonoTime ClientTransfer::AttemptDeadline() const {
  return sent_ ? request_.deadline
               : std::min(request_.deadline,
                          attempt_at_ + options_.connect_timeout);
}

bool ClientTransfer::TakeProgress() {
  const size_t bytes = head_bytes_ + response_.body.size();
  const bool progress =
      bytes > bytes_seen_ && (streams() || late_reads_ < kLateReads);
  bytes_seen_ = bytes;
  ++late_reads_;
  return progress;
}

bool ClientTransfer::TakeStaleConnection() {
  // Only one more try: a fresh connection with bytes on it is a fault.
  if (!stale_ || sent_ || use_fresh_) {
    return false;
  }
  stale_ = false;
  use_fresh_ = true;
  return true;
}

size_t ClientTransfer::OnHeader(char* data,
                                size_t size,
                                size_t count,
                                void* self) {
  // A short count makes libcurl end the transfer and close the connection.
  return static_cast<ClientTransfer*>(self)->ReadHeaderLine(
             absl::string_view(data, size * count))
             ? size * count
             : 0;
}

bool ClientTransfer::ReadHeaderLine(absl::string_view line) {
  if (head_ended_) {
    return true;  // Trailer fields are not passed on.
  }
  head_bytes_ += line.size();
  if (head_bytes_ > kMaxResponseHeadBytes) {
    too_large_ = true;
    return false;
  }
  line = absl::StripTrailingAsciiWhitespace(line);
  if (response_.headers.empty() && absl::StartsWith(line, "HTTP/")) {
    const size_t space = line.find(' ');
    if (space == absl::string_view::npos ||
        !absl::SimpleAtoi(line.substr(space + 1, 3), &response_.status)) {
      framing_fault_ = "malformed status line";
      return false;
    }
    return true;
  }
  if (line.empty()) {
    if (response_.status < kLowestStatus) {
      // An interim response; the final one follows.
      response_ = HttpResponse();
      return true;
    }
    head_ended_ = true;
    head_at_ = SystemClock().Now();
    pool->loop->OnHead(*this, head_at_);
    return CheckFraming();
  }
  const size_t colon = line.find(':');
  if (colon == absl::string_view::npos || colon == 0 ||
      absl::ascii_isspace(static_cast<unsigned char>(line.front()))) {
    framing_fault_ = "malformed header field";
    return false;
  }
  response_.headers.emplace_back(
      std::string(line.substr(0, colon)),
      std::string(absl::StripAsciiWhitespace(line.substr(colon + 1))));
  return true;
}

bool ClientTransfer::BodyAllowed() const {
  return request_.message->method != "HEAD" && response_.status != kNoContent &&
         response_.status != kNotModified;
}

bool ClientTransfer::CheckFraming() {
  for (const auto& [name, value] : response_.headers) {
    if (absl::EqualsIgnoreCase(name, "content-length")) {
      int64_t length = -1;
      if (!absl::SimpleAtoi(value, &length) || length < 0 ||
          (length_ >= 0 && length_ != length)) {
        framing_fault_ = "invalid Content-Length";
        return false;
      }
      length_ = length;
    } else if (absl::EqualsIgnoreCase(name, "transfer-encoding")) {
      if (chunked_ || !absl::EqualsIgnoreCase(value, "chunked")) {
        framing_fault_ = "unsupported Transfer-Encoding";
        return false;
      }
      chunked_ = true;
    }
  }
  if (!BodyAllowed()) {
    return true;
  }
  if (chunked_ && length_ >= 0) {
    framing_fault_ = "both Content-Length and Transfer-Encoding";
    return false;
  }
  if (!chunked_ && length_ < 0) {
    framing_fault_ =
        "the response ends with its connection and may be truncated";
    return false;
  }
  if (length_ > static_cast<int64_t>(request_.max_answer_bytes)) {
    too_large_ = true;
    return false;
  }
  if (length_ > 0) {
    response_.body.reserve(std::min(length_, kReserveLimit));
  }
  return true;
}

size_t ClientTransfer::OnBody(char* data,
                              size_t size,
                              size_t count,
                              void* self) {
  auto* transfer = static_cast<ClientTransfer*>(self);
  const size_t bytes = size * count;
  if (transfer->response_.body.size() + bytes >
      transfer->request_.max_answer_bytes) {
    transfer->too_large_ = true;
    return 0;
  }
  transfer->response_.body.append(data, bytes);
  return bytes;
}

TransferResult ClientTransfer::MakeFailure(ErrorCode code,
                                           absl::string_view message) {
  TransferResult result;
  result.sent = sent_;
  result.response = Fail(code, sent_ ? "http.transfer" : "http.connect",
                         request_.address, std::string(message));
  return result;
}

void ClientTransfer::AddTimes(TransferResult* result, MonoTime now) const {
  if (sent_) {
    result->service_time = now - sent_at_;
  }
  if (head_ended_) {
    result->head_time = head_at_ - sent_at_;
  }
}

TransferResult ClientTransfer::MakeTimeout(MonoTime now) {
  TransferResult result =
      sent_ || now >= request_.deadline
          ? MakeFailure(ErrorCode::kDeadlineExceeded,
                        absl::StrCat("no whole response before the deadline, ",
                                     head_bytes_ + response_.body.size(),
                                     " bytes of it came"))
          : MakeFailure(ErrorCode::kUnavailable,
                        "no connection within the connect timeout");
  AddTimes(&result, now);
  return result;
}

TransferResult ClientTransfer::MakeResult(CURLcode code, MonoTime now) {
  TransferResult result;
  if (too_large_) {
    result = MakeFailure(ErrorCode::kResourceExhausted,
                         "the response exceeds the size limit");
  } else if (framing_fault_ != nullptr) {
    result = MakeFailure(ErrorCode::kUnknownOutcome, framing_fault_);
  } else if (too_late_) {
    result = MakeFailure(ErrorCode::kDeadlineExceeded,
                         "it is too late to send the request");
  } else if (resend_refused_) {
    result = MakeFailure(ErrorCode::kUnknownOutcome,
                         "the connection closed before the response");
  } else if (code != CURLE_OK) {
    result = MakeFailure(
        sent_ ? ErrorCode::kUnknownOutcome : ErrorCode::kUnavailable,
        curl_easy_strerror(code));
  } else if (!head_ended_ ||
             (BodyAllowed() && !chunked_ &&
              length_ != static_cast<int64_t>(response_.body.size()))) {
    result =
        MakeFailure(ErrorCode::kUnknownOutcome, "the response is incomplete");
  } else {
    result.sent = sent_;
    result.response = std::move(response_);
  }
  AddTimes(&result, now);
  return result;
}

TransferCallback ClientTransfer::TakeCallback() {
  TransferCallback done = std::move(done_);
  done_ = nullptr;
  request_.message.reset();
  return done;
}

}  // namespace figflow
