#ifndef ROUTING_TARGET_HEALTH_H_
#define ROUTING_TARGET_HEALTH_H_

#include <cstdint>

#include "Common/clock.h"
#include "Routing/dispatcher.h"
#include "absl/strings/string_view.h"

namespace figflow {

// Decides whether one target may be granted requests. A target that is leaving
// or on probation stays so at most until its boot number increases. Not
// thread-safe.
class TargetHealth {
 public:
  // Resets the state if the boot number is higher than the current one;
  // otherwise it is ignored.
  void SetBoot(uint64_t boot);
  uint64_t boot() const { return boot_; }

  // Records that the target is leaving. Ignored if `boot` is lower than the
  // current boot number.
  void MarkLeaving(uint64_t boot);
  bool leaving() const { return leaving_; }

  // Returns whether a request may be granted now. On probation, one probe at a
  // time is allowed once the probe delay has passed.
  bool CanGrant(MonoTime now) const;
  // Returns whether requests may be queued for the target. True during the
  // first second of probation, which covers a short restart.
  bool AcceptsQueuedWork(MonoTime now) const;
  // Must be called for each grant. Returns true if the request is a probe.
  bool OnGrant();
  // Records the outcome of a request. `boot` and `probe` are those of its
  // grant.
  void OnFinish(uint64_t boot, bool probe, AttemptOutcome end, MonoTime now);

  // Returns "ok", "leaving", "probation" or "probing".
  absl::string_view StateName() const;

 private:
  void StartProbation(MonoTime now);

  uint64_t boot_ = 0;
  bool leaving_ = false;
  bool probation_ = false;
  bool probing_ = false;
  MonoTime probation_since_{};
  MonoTime probe_at_{};
  std::chrono::milliseconds probe_delay_{0};
  int consecutive_failures_ = 0;
};

}  // namespace figflow

#endif  // ROUTING_TARGET_HEALTH_H_
