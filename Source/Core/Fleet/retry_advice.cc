#include "Fleet/retry_advice.h"

#include <algorithm>

#include <xxhash.h>

namespace figflow {
namespace {

using std::chrono::seconds;

// A take-over after a crash takes 1.5 s at most, most of it the lease.
constexpr seconds kShortest{1};
// A caller that waited longer would be late for certain when the outage ends
// early: most objectives are shorter than this.
constexpr seconds kLongest{4};
// Tries that should still fit into the caller's patience.
constexpr int kTriesLeft = 3;

}  // namespace

seconds ComeBackAfter(std::chrono::milliseconds outage,
                      std::chrono::milliseconds patience,
                      absl::string_view job) {
  const auto affordable =
      std::chrono::duration_cast<seconds>(patience / kTriesLeft);
  const seconds longest = std::clamp(affordable, kShortest, kLongest);
  const seconds pause = std::clamp(std::chrono::duration_cast<seconds>(outage),
                                   kShortest, longest);
  // Callers are spread over half of the pause.
  const uint64_t steps = static_cast<uint64_t>(pause.count()) / 2 + 1;
  const uint64_t step = XXH64(job.data(), job.size(), 0) % steps;
  return std::min(longest, pause + seconds(step));
}

}  // namespace figflow
