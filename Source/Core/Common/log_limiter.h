#ifndef COMMON_LOG_LIMITER_H_
#define COMMON_LOG_LIMITER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "Common/clock.h"
#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"

namespace figflow {

// Bounds how many lines of each kind are logged. Under load thousands of calls
// a second may end alike; some of them tell as much as all. Thread-safe.
class LogLimiter {
 public:
  // Lines of one kind in a second in the long run, and at once after a pause.
  static constexpr double kLinesPerSecond = 50;
  static constexpr double kBurst = 200;

  // Lines of this kind that were left out since the last one; none if this line
  // is to be left out as well.
  std::optional<uint64_t> Admit(absl::string_view event, MonoTime now);
  // Lines left out so far, of all kinds.
  uint64_t omitted() const;

 private:
  struct Kind {
    double tokens = kBurst;
    MonoTime filled_at;
    uint64_t omitted = 0;
  };

  mutable absl::Mutex mutex_;
  absl::flat_hash_map<std::string, Kind> kinds_ ABSL_GUARDED_BY(mutex_);
  uint64_t omitted_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace figflow

#endif  // COMMON_LOG_LIMITER_H_
