#ifndef STANDINS_TARGET_TARGET_STATE_H_
#define STANDINS_TARGET_TARGET_STATE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"

namespace figflow {

// How the stand-in answers requests outside /standin/.
enum class TargetMode {
  kNormal,
  // Declares more body than it sends, then closes the connection.
  kTruncated,
  // Sends a body without a length, ended by closing the connection.
  kCloseDelimited,
  // Reads and counts the request, then closes the connection without a
  // response.
  kDie,
  // Answers normally with Figflow-Leaving: 1.
  kLeaving,
  // Sends a second, unasked response shortly after each response.
  kLate,
};

// "normal", "truncated", "close-delimited", "die", "leaving" or "late".
bool ParseTargetMode(absl::string_view name, TargetMode* mode);

struct TargetLimits {
  // Requests executed at once; more are answered with 503.
  int slots = 8;
  // Open connections; more are counted and served.
  int connections = 64;
  // Added to the time of each request.
  std::chrono::milliseconds delay{0};
};

// Counters and mode of one stand-in target. Thread-safe.
class StandInState {
 public:
  explicit StandInState(const TargetLimits& limits) : limits_(limits) {}

  const TargetLimits& limits() const { return limits_; }
  TargetMode mode() const;
  void SetMode(TargetMode mode);

  // Takes a slot and counts an execution of `key` (may be empty). Returns
  // false, and counts a violation, if no slot is free.
  bool BeginRequest(const std::string& key);
  void EndRequest();
  // `open` includes the new connection.
  void CountConnection(int open);

  int executions(const std::string& key) const;
  int requests() const;
  int slot_violations() const;
  int connection_violations() const;
  // All counters as JSON.
  std::string StatsJson() const;

 private:
  const TargetLimits limits_;
  mutable absl::Mutex mutex_;
  TargetMode mode_ ABSL_GUARDED_BY(mutex_) = TargetMode::kNormal;
  std::chrono::steady_clock::time_point leaving_since_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, int> executions_ ABSL_GUARDED_BY(mutex_);
  int requests_ ABSL_GUARDED_BY(mutex_) = 0;
  int running_ ABSL_GUARDED_BY(mutex_) = 0;
  int max_concurrent_ ABSL_GUARDED_BY(mutex_) = 0;
  int max_connections_ ABSL_GUARDED_BY(mutex_) = 0;
  int accepted_ ABSL_GUARDED_BY(mutex_) = 0;
  int slot_violations_ ABSL_GUARDED_BY(mutex_) = 0;
  int connection_violations_ ABSL_GUARDED_BY(mutex_) = 0;
  int leaving_requests_ ABSL_GUARDED_BY(mutex_) = 0;
  int64_t last_leaving_request_ms_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace figflow

#endif  // STANDINS_TARGET_TARGET_STATE_H_
