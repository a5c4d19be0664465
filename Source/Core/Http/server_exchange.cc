#include "Http/server_exchange.h"

#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "Http/http_headers.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

// Read after a body was refused: the kernel drops a response that a caller has
// not read yet when the connection closes with unread bytes.
constexpr size_t kDiscardLimit = size_t{1} << 20;
constexpr size_t kFirstBodyBytes = size_t{4} << 10;

MHD_Result AppendHeader(void* headers,
                        MHD_ValueKind /*kind*/,
                        const char* key,
                        size_t key_size,
                        const char* value,
                        size_t value_size) {
  static_cast<HttpHeaders*>(headers)->emplace_back(
      std::string(key, key_size),
      value == nullptr ? std::string() : std::string(value, value_size));
  return MHD_YES;
}

void FreeBody(void* body) {
  delete static_cast<std::string*>(body);
}

// Framing that two parsers could read differently would let one caller's body
// be taken for another request further on.
const char* FramingFault(const HttpHeaders& headers) {
  int lengths = 0;
  int encodings = 0;
  for (const auto& [name, value] : headers) {
    if (absl::EqualsIgnoreCase(name, "content-length")) {
      uint64_t length = 0;
      if (!absl::SimpleAtoi(value, &length)) {
        return "Content-Length is not a number";
      }
      ++lengths;
    } else if (absl::EqualsIgnoreCase(name, "transfer-encoding")) {
      if (!absl::EqualsIgnoreCase(value, "chunked")) {
        return "Transfer-Encoding other than chunked is not supported";
      }
      ++encodings;
    }
  }
  if (lengths + encodings > 1) {
    return "more than one field sets the body length";
  }
  return nullptr;
}

FigflowAnswer RefuseHead(int status, std::string reason, std::string message) {
  return FigflowAnswer{
      status, Disposition::kNotRun, std::move(reason), "http.read_request",
      "",     std::move(message)};
}

}  // namespace

ServerExchange::ServerExchange(MHD_Connection* connection,
                               const ConnectionContext* context,
                               std::string target)
    : connection_(connection), context_(context) {
  request_.target = std::move(target);
  if (context_ != nullptr) {
    watched_ = context_->watched;
  }
}

void ServerExchange::Respond(HttpResponse response) {
  bool resume = false;
  {
    absl::MutexLock lock(&mutex_);
    if (state_ == State::kResponded) {
      return;
    }
    resume = state_ == State::kSuspended;
    state_ = State::kResponded;
    response_ = std::move(response);
  }
  // Only this call ends the suspension, so the connection still exists.
  if (resume) {
    MHD_resume_connection(connection_);
  }
}

void ServerExchange::SetCloseListener(std::function<void()> listener) {
  if (watched_ == nullptr) {
    return;
  }
  {
    // After Release the connection may serve its next request.
    absl::MutexLock lock(&mutex_);
    if (state_ == State::kResponded || watched_->SetListener(listener)) {
      return;
    }
  }
  listener();
}

void ServerExchange::KeepAlive(std::shared_ptr<ServerExchange> self) {
  self_ = std::move(self);
}

void ServerExchange::Release() {
  if (watched_ != nullptr) {
    watched_->SetListener(nullptr);
  }
  {
    absl::MutexLock lock(&mutex_);
    state_ = State::kResponded;
  }
  const std::shared_ptr<ServerExchange> self = std::move(self_);
}

bool ServerExchange::ReadHead(const char* method,
                              size_t max_header_bytes,
                              size_t max_body_bytes,
                              FigflowAnswer* refusal) {
  head_read_ = true;
  max_body_bytes_ = max_body_bytes;
  if (context_ != nullptr) {
    context_->Enter(ByteBudget::Phase::kBody);
  }
  request_.method = method;
  head_request_ = request_.method == "HEAD";
  const MHD_ConnectionInfo* info = MHD_get_connection_info(
      connection_, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
  if (info != nullptr && info->header_size > max_header_bytes) {
    *refusal = RefuseHead(
        431, "header-too-large",
        absl::StrCat("the header fields exceed ", max_header_bytes, " bytes"));
    return false;
  }
  MHD_get_connection_values_n(connection_, MHD_HEADER_KIND, &AppendHeader,
                              &request_.headers);
  if (const char* fault = FramingFault(request_.headers)) {
    *refusal = RefuseHead(400, "malformed-request", fault);
    return false;
  }
  if (request_.target.empty() || request_.target.front() != '/') {
    *refusal = RefuseHead(400, "malformed-request",
                          "the request target does not start with \"/\"");
    return false;
  }
  uint64_t length = 0;
  const std::string* field = FindHeader(request_.headers, "content-length");
  if (field != nullptr && absl::SimpleAtoi(*field, &length)) {
    if (length > max_body_bytes) {
      *refusal = RefuseHead(
          413, "body-too-large",
          absl::StrCat("the body exceeds ", max_body_bytes, " bytes"));
      return false;
    }
    expected_ = length;
  }
  return true;
}

bool ServerExchange::Grow(size_t size) {
  const size_t needed = request_.body.size() + size;
  const size_t present = request_.body.capacity();
  if (needed <= present) {
    return true;
  }
  // In steps, so that a caller is charged for what it sends and not for what it
  // says that it will send.
  const size_t most = expected_ >= needed ? expected_ : max_body_bytes_;
  const size_t capacity =
      std::max(needed, std::min(most, std::max(2 * present, kFirstBodyBytes)));
  const size_t wanted = capacity - present;
  if (wanted > granted_) {
    const size_t missing = wanted - granted_;
    granted_ = wanted;
    if (context_ != nullptr && !context_->ReserveOrPause(missing)) {
      return false;
    }
  }
  // A string that grows in place takes twice its size at least.
  std::string grown;
  grown.reserve(present + std::exchange(granted_, 0));
  grown.append(request_.body);
  request_.body.swap(grown);
  return true;
}

void ServerExchange::RefuseBody() {
  body_too_large_ = true;
  request_.body = std::string();
  if (context_ == nullptr) {
    return;
  }
  context_->Release();
  const HttpResponse refusal = MakeFigflowResponse(
      RefuseHead(413, "body-too-large",
                 absl::StrCat("the body exceeds ", max_body_bytes_, " bytes")));
  std::string text = absl::StrCat(
      "HTTP/1.1 413 Content Too Large\r\n",
      "Connection: close\r\nContent-Length: ", refusal.body.size(), "\r\n");
  for (const auto& [name, value] : refusal.headers) {
    absl::StrAppend(&text, name, ": ", value, "\r\n");
  }
  absl::StrAppend(&text, "\r\n", refusal.body);
  // Nothing has been sent for this request, so the kernel takes it whole unless
  // earlier responses have not been read.
  (void)send(context_->fd, text.data(), text.size(),
             MSG_NOSIGNAL | MSG_DONTWAIT);
  shutdown(context_->fd, SHUT_WR);
}

ServerExchange::BodyRead ServerExchange::ReadBody(const char* data,
                                                  size_t size) {
  if (body_too_large_) {
    discarded_ += size;
    return discarded_ <= kDiscardLimit ? BodyRead::kTaken : BodyRead::kClose;
  }
  if (request_.body.size() + size > max_body_bytes_) {
    RefuseBody();
    return BodyRead::kRefused;
  }
  if (!Grow(size)) {
    return BodyRead::kPaused;
  }
  request_.body.append(data, size);
  if (context_ != nullptr) {
    context_->Progress();
  }
  return BodyRead::kTaken;
}

bool ServerExchange::MayHandle() const {
  return context_ == nullptr || context_->Enter(ByteBudget::Phase::kHandled);
}

MHD_Result ServerExchange::Dispatch(const HttpHandler& handler,
                                    bool close_after) {
  dispatched_ = true;
  handler(std::move(request_), self_);
  {
    absl::MutexLock lock(&mutex_);
    if (state_ == State::kOpen) {
      // Inside the lock, so that Respond cannot resume before the suspension.
      MHD_suspend_connection(connection_);
      state_ = State::kSuspended;
      return MHD_YES;
    }
  }
  return SendStored(close_after);
}

MHD_Result ServerExchange::SendStored(bool close_after) {
  HttpResponse response;
  {
    absl::MutexLock lock(&mutex_);
    if (state_ != State::kResponded) {
      return MHD_NO;
    }
    response = std::move(response_);
  }
  return Send(std::move(response), close_after);
}

MHD_Result ServerExchange::Send(HttpResponse response, bool close_after) {
  if (context_ != nullptr) {
    context_->Enter(ByteBudget::Phase::kResponse);
    context_->Charge(response.body.size());
  }
  auto* body = new std::string(std::move(response.body));
  MHD_Response* answer = MHD_create_response_from_buffer_with_free_callback_cls(
      body->size(), body->data(), &FreeBody, body);
  if (answer == nullptr) {
    delete body;
    return MHD_NO;
  }
  if (head_request_) {
    MHD_set_response_options(answer, MHD_RF_INSANITY_HEADER_CONTENT_LENGTH,
                             MHD_RO_END);
  }
  for (const auto& [name, value] : response.headers) {
    if (!head_request_ && absl::EqualsIgnoreCase(name, "content-length")) {
      continue;
    }
    MHD_add_response_header(answer, name.c_str(), value.c_str());
  }
  if (close_after) {
    MHD_add_response_header(answer, "Connection", "close");
  }
  const MHD_Result result = MHD_queue_response(
      connection_, static_cast<unsigned>(response.status), answer);
  MHD_destroy_response(answer);
  return result;
}

}  // namespace figflow
