#include "Platform/platform_client.h"

#include <algorithm>
#include <atomic>
#include <utility>

#include <curl/curl.h>

#include "Common/clock.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

// A whole data centre's values in one list stay far below this.
constexpr size_t kMaxAnswerBytes = 64'000'000;
// Idle handles beyond this are closed; concurrent calls are not limited.
constexpr size_t kMaxIdleHandles = 16;
// Shorter than the platform's idle timeout, so that a connection is seldom
// closed by the platform while a write is on its way.
constexpr long kMaxIdleSeconds = 5;

void InitCurl() {
  static const CURLcode code = curl_global_init(CURL_GLOBAL_DEFAULT);
  (void)code;
}

}  // namespace

ErrorCode LostCallCode(CallEffect effect, bool sent) {
  return effect == CallEffect::kWrite && sent ? ErrorCode::kUnknownOutcome
                                              : ErrorCode::kUnavailable;
}

ErrorCode StatusCode(CallEffect effect, long status) {
  switch (status) {
    case 400:
    case 413:
      return ErrorCode::kInvalid;
    case 404:
      return ErrorCode::kNotFound;
    case 409:
      return ErrorCode::kConflict;
    case 412:
      return ErrorCode::kDeadlineExceeded;
    case 429:
    case 503:
      // The platform sends these only for calls that it did not execute.
      return ErrorCode::kUnavailable;
    case 507:
      return ErrorCode::kResourceExhausted;
    default:
      return LostCallCode(effect, true);
  }
}

std::string QueryEscape(absl::string_view value) {
  char* escaped =
      curl_easy_escape(nullptr, value.data(), static_cast<int>(value.size()));
  std::string text = escaped == nullptr ? "" : escaped;
  curl_free(escaped);
  return text;
}

// One libcurl easy handle with its connection and the state of one call.
class PlatformClient::Handle {
 public:
  Handle() : curl_(curl_easy_init()) {
    headers_ = curl_slist_append(headers_, "Content-Type: application/json");
    // Without this libcurl waits up to a second for "100 Continue" before it
    // sends a body of more than 1 MB.
    headers_ = curl_slist_append(headers_, "Expect:");
  }
  ~Handle() {
    curl_easy_cleanup(curl_);
    curl_slist_free_all(headers_);
  }
  Handle(const Handle&) = delete;
  Handle& operator=(const Handle&) = delete;

  // `cancel_reads` must outlive the call.
  CURLcode Run(const std::string& url,
               const PlatformCall& call,
               const std::string& body,
               const std::atomic<bool>& cancel_reads) {
    cancel_reads_ = &cancel_reads;
    effect_ = call.effect;
    sent_ = false;
    status_ = 0;
    answer_.clear();
    error_[0] = '\0';
    // Keeps connections; clears all options of the previous call.
    curl_easy_reset(curl_);
    Set(CURLOPT_URL, url.c_str());
    Set(CURLOPT_HTTPHEADER, headers_);
    Set(CURLOPT_NOSIGNAL, 1L);
    Set(CURLOPT_PROXY, "");
    Set(CURLOPT_PROTOCOLS_STR, "http");
    Set(CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    Set(CURLOPT_TIMEOUT_MS,
        std::max(1L, static_cast<long>(call.timeout.count())));
    Set(CURLOPT_TCP_NODELAY, 1L);
    Set(CURLOPT_MAXCONNECTS, 1L);
    Set(CURLOPT_MAXAGE_CONN, kMaxIdleSeconds);
    Set(CURLOPT_ERRORBUFFER, error_);
    Set(CURLOPT_WRITEFUNCTION, &Handle::OnData);
    Set(CURLOPT_WRITEDATA, this);
    Set(CURLOPT_PREREQFUNCTION, &Handle::OnBeforeRequest);
    Set(CURLOPT_PREREQDATA, this);
    Set(CURLOPT_XFERINFOFUNCTION, &Handle::OnProgress);
    Set(CURLOPT_XFERINFODATA, this);
    Set(CURLOPT_NOPROGRESS, 0L);
    if (!call.body.is_null()) {
      Set(CURLOPT_POST, 1L);
      Set(CURLOPT_POSTFIELDS, body.data());
      Set(CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body.size()));
    }
    const CURLcode code = curl_easy_perform(curl_);
    curl_easy_getinfo(curl_, CURLINFO_RESPONSE_CODE, &status_);
    return code;
  }

  bool sent() const { return sent_; }
  long status() const { return status_; }
  const std::string& answer() const { return answer_; }
  std::string ErrorText(CURLcode code) const {
    return error_[0] != '\0' ? error_ : curl_easy_strerror(code);
  }

 private:
  template <typename Value>
  void Set(CURLoption option, Value value) {
    curl_easy_setopt(curl_, option, value);
  }

  static size_t OnData(char* data, size_t size, size_t count, void* self) {
    std::string& answer = static_cast<Handle*>(self)->answer_;
    if (answer.size() + size * count > kMaxAnswerBytes) {
      return 0;
    }
    answer.append(data, size * count);
    return size * count;
  }

  // libcurl calls this about once a second while it waits. A write is never
  // cancelled: its outcome would be unknown.
  static int OnProgress(void* self,
                        curl_off_t /*download_total*/,
                        curl_off_t /*downloaded*/,
                        curl_off_t /*upload_total*/,
                        curl_off_t /*uploaded*/) {
    const auto* handle = static_cast<Handle*>(self);
    const bool cancel =
        handle->effect_ == CallEffect::kRead && handle->cancel_reads_->load();
    return cancel ? 1 : 0;
  }

  // Runs when a connection is ready and no byte of the request has left. A
  // second run means that libcurl resends the request because a reused
  // connection died; the first copy of a write may have taken effect.
  static int OnBeforeRequest(void* self,
                             char* /*remote_ip*/,
                             char* /*local_ip*/,
                             int /*remote_port*/,
                             int /*local_port*/) {
    auto* handle = static_cast<Handle*>(self);
    if (handle->sent_ && handle->effect_ == CallEffect::kWrite) {
      return CURL_PREREQFUNC_ABORT;
    }
    handle->sent_ = true;
    return CURL_PREREQFUNC_OK;
  }

  CURL* curl_;
  curl_slist* headers_ = nullptr;
  const std::atomic<bool>* cancel_reads_ = nullptr;
  CallEffect effect_ = CallEffect::kRead;
  bool sent_ = false;
  long status_ = 0;
  std::string answer_;
  char error_[CURL_ERROR_SIZE] = {};
};

PlatformClient::PlatformClient(std::string address, MetricsRegistry& metrics)
    : address_(std::move(address)), metrics_(metrics) {
  InitCurl();
}

PlatformClient::~PlatformClient() = default;

std::unique_ptr<PlatformClient::Handle> PlatformClient::TakeHandle() {
  absl::MutexLock lock(&mutex_);
  if (idle_.empty()) {
    return std::make_unique<Handle>();
  }
  std::unique_ptr<Handle> handle = std::move(idle_.back());
  idle_.pop_back();
  return handle;
}

void PlatformClient::ReturnHandle(std::unique_ptr<Handle> handle) {
  absl::MutexLock lock(&mutex_);
  if (idle_.size() < kMaxIdleHandles) {
    idle_.push_back(std::move(handle));
  }
}

Result<nlohmann::json> PlatformClient::Call(const PlatformCall& call) {
  metrics_
      .GetCounter(absl::StrCat("figflow_platform_calls_total{kind=\"",
                               call.kind, "\"}"))
      .Add();
  const auto start = SystemClock().Now();
  Result<nlohmann::json> answer = Perform(call);
  if (call.kind != "kv.watch") {
    metrics_
        .GetHistogram(call.effect == CallEffect::kRead
                          ? "figflow_platform_read"
                          : "figflow_platform_write")
        .Record(SystemClock().Now() - start);
  }
  if (!answer) {
    metrics_
        .GetCounter(absl::StrCat("figflow_platform_errors_total{kind=\"",
                                 call.kind, "\",code=\"",
                                 ErrorCodeName(answer.error().code), "\"}"))
        .Add();
  }
  return answer;
}

Result<nlohmann::json> PlatformClient::Perform(const PlatformCall& call) {
  const auto fail = [&](ErrorCode code, std::string message) {
    return Fail(code, std::string(call.kind), address_, std::move(message));
  };
  std::string body;
  if (!call.body.is_null()) {
    try {
      body = call.body.dump();
    } catch (const nlohmann::json::exception&) {
      return fail(ErrorCode::kInvalid, "the value is not UTF-8 text");
    }
  }
  std::unique_ptr<Handle> handle = TakeHandle();
  const CURLcode code = handle->Run(
      absl::StrCat("http://", address_, call.path), call, body, cancel_reads_);
  if (code != CURLE_OK) {
    const bool sent = handle->sent();
    std::string text = handle->ErrorText(code);
    // The handle is dropped with its connection, which may still deliver the
    // answer of this call.
    return fail(LostCallCode(call.effect, sent), std::move(text));
  }
  const long status = handle->status();
  nlohmann::json answer =
      nlohmann::json::parse(handle->answer(), nullptr, /*allow_exceptions=*/
                            false);
  ReturnHandle(std::move(handle));
  if (status != 200) {
    std::string message = absl::StrCat("status ", status);
    if (answer.is_object() && answer.contains("error") &&
        answer["error"].is_string()) {
      absl::StrAppend(&message, ": ", answer["error"].get<std::string>());
    }
    return fail(StatusCode(call.effect, status), std::move(message));
  }
  if (!answer.is_object()) {
    return fail(LostCallCode(call.effect, true), "the answer is not JSON");
  }
  return answer;
}

}  // namespace figflow
