#include "Routing/target_health.h"

#include <algorithm>

namespace figflow {
namespace {

constexpr std::chrono::milliseconds kFirstDelay{250};
constexpr std::chrono::milliseconds kLongestDelay{4000};
constexpr std::chrono::seconds kQueueDuringProbation{1};
// Without this limit, a target that fails every request immediately would
// appear least loaded and be chosen for all requests.
constexpr int kFailuresUntilProbation = 3;

}  // namespace

void TargetHealth::SetBoot(uint64_t boot) {
  if (boot <= boot_) {
    return;
  }
  *this = TargetHealth();
  boot_ = boot;
}

void TargetHealth::MarkLeaving(uint64_t boot) {
  if (boot >= boot_) {
    leaving_ = true;
  }
}

bool TargetHealth::CanGrant(MonoTime now) const {
  if (leaving_) {
    return false;
  }
  return !probation_ || (!probing_ && now >= probe_at_);
}

bool TargetHealth::AcceptsQueuedWork(MonoTime now) const {
  return CanGrant(now) || (!leaving_ && probation_ &&
                           now - probation_since_ < kQueueDuringProbation);
}

bool TargetHealth::OnGrant() {
  probing_ = probation_;
  return probing_;
}

void TargetHealth::StartProbation(MonoTime now) {
  if (!probation_) {
    probation_ = true;
    probation_since_ = now;
    probe_delay_ = kFirstDelay;
  } else {
    probe_delay_ = std::min(2 * probe_delay_, kLongestDelay);
  }
  probe_at_ = now + probe_delay_;
}

void TargetHealth::OnFinish(uint64_t boot,
                            bool probe,
                            AttemptOutcome end,
                            MonoTime now) {
  if (boot < boot_) {
    return;
  }
  if (probe) {
    probing_ = false;
  }
  switch (end) {
    case AttemptOutcome::kAnswered:
      // Only a probe ends probation: the response to an older request may have
      // been sent before the target closed its listener.
      if (probe) {
        probation_ = false;
      }
      consecutive_failures_ = 0;
      return;
    case AttemptOutcome::kRefused:
      // Requests that were granted together are refused together, so only the
      // first refusal and those of probes count.
      if (probe || !probation_) {
        StartProbation(now);
      }
      return;
    case AttemptOutcome::kTimedOut:
      // A timeout may be due to a caller's short deadline and is no sign of a
      // fault, but a probe must receive a response.
      if (probe) {
        StartProbation(now);
      }
      return;
    case AttemptOutcome::kFailed:
      if (probe ||
          (!probation_ && ++consecutive_failures_ >= kFailuresUntilProbation)) {
        StartProbation(now);
        consecutive_failures_ = 0;
      }
      return;
    case AttemptOutcome::kCancelled:
      return;
  }
}

absl::string_view TargetHealth::StateName() const {
  if (leaving_) {
    return "leaving";
  }
  if (!probation_) {
    return "ok";
  }
  return probing_ ? "probing" : "probation";
}

}  // namespace figflow
