#include "Http/server_exchange.h"

#include <algorithm>
#include <utility>

#include "Http/http_headers.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

// A caller that sends more than this beyond the body limit is cut off: reading
// on only to answer 413 would cost more than the answer is worth.
constexpr size_t kDiscardLimit = size_t{16} << 20;

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

ServerExchange::ServerExchange(MHD_Connection* connection, std::string target)
    : connection_(connection) {
  request_.target = std::move(target);
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  if (info != nullptr && info->socket_context != nullptr) {
    watched_ =
        *static_cast<std::shared_ptr<WatchedConnection>*>(info->socket_context);
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
    request_.body.reserve(length);
  }
  return true;
}

bool ServerExchange::ReadBody(const char* data,
                              size_t size,
                              size_t max_body_bytes) {
  if (!body_too_large_ && request_.body.size() + size <= max_body_bytes) {
    request_.body.append(data, size);
    return true;
  }
  // libmicrohttpd accepts a response only after it has read the whole body.
  body_too_large_ = true;
  request_.body = std::string();
  discarded_ += size;
  return discarded_ <= kDiscardLimit;
}

MHD_Result ServerExchange::Dispatch(const HttpHandler& handler,
                                    bool close_after) {
  dispatched_ = true;
  if (body_too_large_) {
    return Send(MakeFigflowResponse(
                    RefuseHead(413, "body-too-large", "the body is too large")),
                true);
  }
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
