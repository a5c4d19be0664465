#include "Common/log_limiter.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace figflow {

std::optional<uint64_t> LogLimiter::Admit(absl::string_view event,
                                          MonoTime now) {
  absl::MutexLock lock(&mutex_);
  const auto [entry, added] = kinds_.try_emplace(std::string(event));
  Kind& kind = entry->second;
  if (!added) {
    const std::chrono::duration<double> passed = now - kind.filled_at;
    kind.tokens =
        std::min(kBurst, kind.tokens + passed.count() * kLinesPerSecond);
  }
  kind.filled_at = now;
  if (kind.tokens < 1) {
    ++kind.omitted;
    ++omitted_;
    return std::nullopt;
  }
  kind.tokens -= 1;
  return std::exchange(kind.omitted, 0);
}

uint64_t LogLimiter::omitted() const {
  absl::MutexLock lock(&mutex_);
  return omitted_;
}

}  // namespace figflow
