#include "Fleet/retry_advice.h"

#include <algorithm>

#include <xxhash.h>

namespace figflow {
namespace {

using std::chrono::seconds;

// A take-over after a crash takes at most 1.5 s, most of it the remaining
// lease.
constexpr seconds kMinRetryDelay{1};
// A caller with a longer delay would certainly be late when the outage ends
// early, because most objectives are shorter than this.
constexpr seconds kMaxRetryDelay{4};
// Number of attempts that should still fit into the caller's remaining time.
constexpr int kMinRemainingAttempts = 3;

}  // namespace

seconds ComputeRetryDelay(std::chrono::milliseconds outage,
                          std::chrono::milliseconds patience,
                          absl::string_view job) {
  const auto affordable =
      std::chrono::duration_cast<seconds>(patience / kMinRemainingAttempts);
  const seconds max_delay =
      std::clamp(affordable, kMinRetryDelay, kMaxRetryDelay);
  const seconds delay = std::clamp(std::chrono::duration_cast<seconds>(outage),
                                   kMinRetryDelay, max_delay);
  // Spreads callers over half of the delay.
  const uint64_t steps = static_cast<uint64_t>(delay.count()) / 2 + 1;
  const uint64_t step = XXH64(job.data(), job.size(), 0) % steps;
  return std::min(max_delay, delay + seconds(step));
}

}  // namespace figflow
