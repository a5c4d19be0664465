#ifndef REQUESTS_ANSWER_CACHE_H_
#define REQUESTS_ANSWER_CACHE_H_

#include <deque>
#include <string>

#include "Common/strong_id.h"
#include "Http/http_message.h"
#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "absl/types/optional.h"

namespace figflow {

// Responses of targets to requests with a caller's key, kept for a repeat of
// the same key. The oldest are dropped beyond the size limit. Thread-safe.
class AnswerCache {
 public:
  explicit AnswerCache(size_t max_bytes) : max_bytes_(max_bytes) {}

  void Put(const ProjectId& project,
           const std::string& key,
           const HttpResponse& response);
  absl::optional<HttpResponse> Get(const ProjectId& project,
                                   const std::string& key) const;

 private:
  const size_t max_bytes_;
  mutable absl::Mutex mutex_;
  size_t bytes_ ABSL_GUARDED_BY(mutex_) = 0;
  std::deque<std::string> order_ ABSL_GUARDED_BY(mutex_);
  absl::flat_hash_map<std::string, HttpResponse> responses_
      ABSL_GUARDED_BY(mutex_);
};

}  // namespace figflow

#endif  // REQUESTS_ANSWER_CACHE_H_
