#include "Process/background_load.h"

#include <utility>

#include "Process/http_call.h"
#include "absl/strings/str_cat.h"

namespace figflow::test {

BackgroundLoad::BackgroundLoad(const std::vector<std::string>& urls,
                               int threads,
                               std::vector<std::string> headers)
    : headers_(std::move(headers)) {
  for (const std::string& url : urls) {
    for (int i = 0; i < threads; ++i) {
      threads_.emplace_back([this, url] { Run(url); });
    }
  }
}

BackgroundLoad::~BackgroundLoad() {
  Stop();
}

std::map<std::string, int> BackgroundLoad::Stop() {
  stopping_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
  absl::MutexLock lock(&mutex_);
  return outcomes_;
}

void BackgroundLoad::Run(const std::string& url) {
  while (!stopping_) {
    const CallResult result = Call("GET", url, headers_);
    const std::string disposition = result.Header("figflow-disposition");
    const std::string outcome =
        disposition.empty() ? absl::StrCat(result.status)
                            : absl::StrCat(result.status, " ", disposition);
    absl::MutexLock lock(&mutex_);
    ++outcomes_[outcome];
  }
}

}  // namespace figflow::test
