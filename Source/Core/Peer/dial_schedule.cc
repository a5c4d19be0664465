#include "Peer/dial_schedule.h"

#include <algorithm>

namespace figflow {
namespace {

constexpr std::chrono::milliseconds kFirstPause{200};
// Bounds the time until a healed partition is noticed.
constexpr std::chrono::milliseconds kLongestPause{6'400};
constexpr unsigned kMaxDoublings = 5;

}  // namespace

bool DialSchedule::Begin(const std::string& address, MonoTime now) {
  Target& target = targets_[address];
  if (target.busy || target.excluded || now < target.not_before) {
    return false;
  }
  target.busy = true;
  return true;
}

void DialSchedule::OnEnded(const std::string& address,
                           bool was_useful,
                           MonoTime now,
                           Random& random) {
  Target& target = targets_[address];
  target.busy = false;
  target.failures = was_useful ? 0 : target.failures + 1;
  const auto pause =
      std::min(kLongestPause,
               kFirstPause * (1U << std::min(target.failures, kMaxDoublings)));
  // Half of the pause is random, so that daemons that lost the same peer do
  // not return at the same moment.
  std::uniform_int_distribution<int64_t> jitter(0, pause.count() / 2);
  target.not_before =
      now + pause / 2 + std::chrono::milliseconds(jitter(random));
}

void DialSchedule::Exclude(const std::string& address) {
  targets_[address].excluded = true;
}

void DialSchedule::Forget(const std::string& address) {
  const auto it = targets_.find(address);
  if (it != targets_.end() && !it->second.busy) {
    targets_.erase(it);
  }
}

}  // namespace figflow
