#include "Process/http_call.h"

#include <curl/curl.h>

#include "absl/strings/ascii.h"
#include "absl/strings/str_split.h"

namespace figflow::test {
namespace {

size_t AppendBody(char* data, size_t size, size_t count, void* user) {
  static_cast<CallResult*>(user)->body.append(data, size * count);
  return size * count;
}

size_t AddHeader(char* data, size_t size, size_t count, void* user) {
  const std::pair<std::string, std::string> field = absl::StrSplit(
      absl::string_view(data, size * count), absl::MaxSplits(':', 1));
  static_cast<CallResult*>(user)->headers[absl::AsciiStrToLower(field.first)] =
      std::string(absl::StripAsciiWhitespace(field.second));
  return size * count;
}

}  // namespace

std::string CallResult::Header(const std::string& name) const {
  auto it = headers.find(name);
  return it == headers.end() ? "" : it->second;
}

CallResult Call(const std::string& method,
                const std::string& url,
                const std::vector<std::string>& headers,
                const std::string& body,
                std::chrono::milliseconds timeout) {
  CallResult result;
  CURL* easy = curl_easy_init();
  curl_slist* list = nullptr;
  for (const std::string& header : headers) {
    list = curl_slist_append(list, header.c_str());
  }
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method.c_str());
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(timeout.count()));
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, AppendBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &result);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, AddHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &result);
  if (!body.empty() || method == "POST") {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body.c_str());
  }
  if (curl_easy_perform(easy) == CURLE_OK) {
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    result.status = static_cast<int>(status);
  }
  double seconds = 0;
  curl_easy_getinfo(easy, CURLINFO_TOTAL_TIME, &seconds);
  result.elapsed =
      std::chrono::milliseconds(static_cast<int64_t>(seconds * 1000));
  curl_slist_free_all(list);
  curl_easy_cleanup(easy);
  return result;
}

}  // namespace figflow::test
