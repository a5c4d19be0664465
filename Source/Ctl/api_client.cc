#include "Ctl/api_client.h"

#include <memory>

#include <curl/curl.h>

#include "absl/strings/str_cat.h"

namespace figflow::ctl {
namespace {

// Bounds the memory that a wrong server can make this program use.
constexpr size_t kMaxAnswerBytes = 256'000'000;

struct CurlDeleter {
  void operator()(CURL* curl) const { curl_easy_cleanup(curl); }
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

size_t AppendBody(char* data, size_t size, size_t count, void* body) {
  auto* text = static_cast<std::string*>(body);
  if (text->size() + size * count > kMaxAnswerBytes) {
    return 0;
  }
  text->append(data, size * count);
  return size * count;
}

// Called after the connection is established and before the request is
// written. A second call means that libcurl resends the request on a new
// connection, which would perform a change twice.
int MarkSent(void* sent, char*, char*, int, int) {
  bool& flag = *static_cast<bool*>(sent);
  if (flag) {
    return CURL_PREREQFUNC_ABORT;
  }
  flag = true;
  return CURL_PREREQFUNC_OK;
}

}  // namespace

Result<ApiAnswer> CallApi(const std::string& server,
                          const std::string& token,
                          const ApiCall& call,
                          std::chrono::milliseconds timeout) {
  static const CURLcode global = curl_global_init(CURL_GLOBAL_DEFAULT);
  const std::unique_ptr<CURL, CurlDeleter> curl(curl_easy_init());
  if (global != CURLE_OK || !curl) {
    return Fail(ErrorCode::kUnavailable, "ctl.call", server,
                "libcurl cannot be initialised");
  }
  curl_slist* list = nullptr;
  const auto add = [&list](const std::string& header) {
    list = curl_slist_append(list, header.c_str());
  };
  if (!token.empty()) {
    add(absl::StrCat("Authorization: Bearer ", token));
  }
  if (!call.content_type.empty()) {
    add(absl::StrCat("Content-Type: ", call.content_type));
  }
  // Waiting for "100 Continue" would delay sheets by up to a second.
  add("Expect:");
  const std::unique_ptr<curl_slist, CurlDeleter> headers(list);

  ApiAnswer answer;
  bool sent = false;
  const std::string url = absl::StrCat(server, call.target);
  CURL* handle = curl.get();
  curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http,https");
  // A proxy from the environment would receive the credential.
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
  if (call.method == "POST") {
    curl_easy_setopt(handle, CURLOPT_POST, 1L);
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.data());
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(call.body.size()));
  }
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(timeout.count()));
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, AppendBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &answer.body);
  curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, MarkSent);
  curl_easy_setopt(handle, CURLOPT_PREREQDATA, &sent);
  const CURLcode code = curl_easy_perform(handle);
  if (code != CURLE_OK) {
    return Fail(sent ? ErrorCode::kUnknownOutcome : ErrorCode::kUnavailable,
                "ctl.call", server, curl_easy_strerror(code));
  }
  long status = 0;
  curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
  answer.status = static_cast<int>(status);
  return answer;
}

}  // namespace figflow::ctl
