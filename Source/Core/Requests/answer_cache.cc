#include "Requests/answer_cache.h"

#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

// Rough cost of the map and the queue for one entry.
constexpr size_t kEntryBytes = 256;

// A project name holds no space.
std::string CacheKey(const ProjectId& project, const std::string& key) {
  return absl::StrCat(project.value(), " ", key);
}

size_t SizeOf(const std::string& key, const HttpResponse& response) {
  size_t bytes = kEntryBytes + 2 * key.size() + response.body.size();
  for (const auto& [name, value] : response.headers) {
    bytes += name.size() + value.size();
  }
  return bytes;
}

}  // namespace

void AnswerCache::Put(const ProjectId& project,
                      const std::string& key,
                      const HttpResponse& response) {
  std::string cache_key = CacheKey(project, key);
  const size_t bytes = SizeOf(cache_key, response);
  if (bytes > max_bytes_) {
    return;
  }
  absl::MutexLock lock(&mutex_);
  if (!responses_.emplace(cache_key, response).second) {
    return;
  }
  bytes_ += bytes;
  order_.push_back(std::move(cache_key));
  while (bytes_ > max_bytes_) {
    auto oldest = responses_.find(order_.front());
    bytes_ -= SizeOf(oldest->first, oldest->second);
    responses_.erase(oldest);
    order_.pop_front();
  }
}

absl::optional<HttpResponse> AnswerCache::Get(const ProjectId& project,
                                              const std::string& key) const {
  absl::MutexLock lock(&mutex_);
  auto it = responses_.find(CacheKey(project, key));
  if (it == responses_.end()) {
    return absl::nullopt;
  }
  return it->second;
}

}  // namespace figflow
