#ifndef COMMON_LOG_SINK_H_
#define COMMON_LOG_SINK_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>

#include "absl/synchronization/mutex.h"

namespace figflow {

// Writes lines to a descriptor that may be a pipe whose reader is slow. A line
// that cannot be written at once is dropped: a decision must never wait for its
// log. Thread-safe.
class LogSink {
 public:
  // A pipe that is ready takes this many bytes without blocking (PIPE_BUF).
  static constexpr size_t kLongestLine = 4096;

  explicit LogSink(int fd) : fd_(fd) {}

  // Cuts a line that is too long. Returns false if the line was dropped.
  bool Write(std::string line);
  uint64_t dropped() const { return dropped_.load(std::memory_order_relaxed); }

 private:
  const int fd_;
  // Two writers could both find the room that is left for one.
  absl::Mutex mutex_;
  std::atomic<uint64_t> dropped_{0};
};

}  // namespace figflow

#endif  // COMMON_LOG_SINK_H_
