#include "StandIns/Platform/http_listener.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <unistd.h>

#include <memory>
#include <thread>
#include <utility>

#include "Common/clock.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace figflow::standin {
namespace {

using std::chrono::milliseconds;

// A value of 1 MB doubles at most when it is quoted as JSON.
constexpr size_t kMaxBodyBytes = 4'000'000;
constexpr unsigned kMaxConnections = 1'000;
// Longer than clients keep idle connections.
constexpr unsigned kIdleSeconds = 60;

MHD_Result AddQuery(void* query,
                    MHD_ValueKind /*kind*/,
                    const char* name,
                    const char* value) {
  (*static_cast<std::map<std::string, std::string>*>(query))[name] =
      value == nullptr ? "" : value;
  return MHD_YES;
}

Result<sockaddr_in> ParseAddress(const std::string& listen) {
  const std::pair<std::string, std::string> parts = absl::StrSplit(listen, ':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  uint32_t port = 0;
  if (inet_pton(AF_INET, parts.first.c_str(), &address.sin_addr) != 1 ||
      !absl::SimpleAtoi(parts.second, &port) || port > 65'535) {
    return Fail(ErrorCode::kInvalid, "standin.listen", listen,
                "not an address of the form ip:port");
  }
  address.sin_port = htons(static_cast<uint16_t>(port));
  return address;
}

}  // namespace

HttpListener::HttpListener(ApiHandler handler) : handler_(std::move(handler)) {}

HttpListener::~HttpListener() {
  Stop(milliseconds(0));
}

Result<void> HttpListener::Start(const std::string& listen) {
  const Result<sockaddr_in> address = ParseAddress(listen);
  if (!address) {
    return tl::unexpected<Error>(address.error());
  }
  daemon_ = MHD_start_daemon(
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
          MHD_USE_ITC,
      0, nullptr, nullptr, &HttpListener::OnRequest, this, MHD_OPTION_SOCK_ADDR,
      &*address, MHD_OPTION_CONNECTION_LIMIT, kMaxConnections,
      MHD_OPTION_CONNECTION_TIMEOUT, kIdleSeconds,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_NOTIFY_COMPLETED,
      &HttpListener::OnCompleted, this, MHD_OPTION_END);
  if (daemon_ == nullptr) {
    return Fail(ErrorCode::kUnavailable, "standin.listen", listen,
                "cannot listen");
  }
  const MHD_DaemonInfo* info =
      MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT);
  address_ = absl::StrCat(listen.substr(0, listen.find(':')), ":", info->port);
  return {};
}

void HttpListener::Stop(milliseconds grace) {
  if (daemon_ == nullptr) {
    return;
  }
  const MHD_socket socket = MHD_quiesce_daemon(daemon_);
  const SystemClock clock;
  const MonoTime deadline = clock.Now() + grace;
  while (running_ > 0 && clock.Now() < deadline) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  MHD_stop_daemon(daemon_);
  if (socket != MHD_INVALID_SOCKET) {
    close(socket);
  }
  daemon_ = nullptr;
}

MHD_Result HttpListener::OnRequest(void* self,
                                   MHD_Connection* connection,
                                   const char* url,
                                   const char* method,
                                   const char* /*version*/,
                                   const char* data,
                                   size_t* data_size,
                                   void** state) {
  auto* listener = static_cast<HttpListener*>(self);
  if (*state == nullptr) {
    auto request = std::make_unique<ApiRequest>();
    request->method = method;
    request->path = url;
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &AddQuery,
                              &request->query);
    *state = request.release();
    ++listener->running_;
    return MHD_YES;
  }
  auto* request = static_cast<ApiRequest*>(*state);
  if (*data_size > 0) {
    if (request->body.size() + *data_size > kMaxBodyBytes) {
      return MHD_NO;
    }
    request->body.append(data, *data_size);
    *data_size = 0;
    return MHD_YES;
  }
  return listener->Respond(connection, *request);
}

MHD_Result HttpListener::Respond(MHD_Connection* connection,
                                 const ApiRequest& request) {
  const std::optional<Answer> answer = handler_(request);
  if (!answer) {
    return MHD_NO;
  }
  std::string text = answer->body.dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
  MHD_Response* response = MHD_create_response_from_buffer(
      text.size(), text.data(), MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(response, "Content-Type", "application/json");
  const MHD_Result result = MHD_queue_response(
      connection, static_cast<unsigned>(answer->status), response);
  MHD_destroy_response(response);
  return result;
}

void HttpListener::OnCompleted(void* self,
                               MHD_Connection* /*connection*/,
                               void** state,
                               MHD_RequestTerminationCode /*code*/) {
  if (*state != nullptr) {
    delete static_cast<ApiRequest*>(*state);
    *state = nullptr;
    --static_cast<HttpListener*>(self)->running_;
  }
}

}  // namespace figflow::standin
