#ifndef ROUTING_TARGET_HEALTH_H_
#define ROUTING_TARGET_HEALTH_H_

#include <cstdint>

#include "Common/clock.h"
#include "Routing/dispatcher.h"
#include "absl/strings/string_view.h"

namespace figflow {

// Whether one target may be given work: leaving marks and probation, both bound
// to the target's boot number. Not thread-safe.
class TargetHealth {
 public:
  // A higher boot number clears all marks; a lower one is ignored.
  void SetBoot(uint64_t boot);
  uint64_t boot() const { return boot_; }

  // Ignored if `boot` is lower than the current one.
  void MarkLeaving(uint64_t boot);
  bool leaving() const { return leaving_; }

  // May a request be granted now? On probation: one probe after the delay.
  bool CanGrant(MonoTime now) const;
  // Is it worth queueing work for the target? True during the first second of
  // probation, which covers a short restart.
  bool TakesWork(MonoTime now) const;
  // To be called for each grant. Returns true if the request is a probe.
  bool OnGrant();
  // `boot` and `probe` as at the grant.
  void OnFinish(uint64_t boot, bool probe, AttemptEnd end, MonoTime now);

  // "ok", "leaving", "probation" or "probing".
  absl::string_view StateName() const;

 private:
  void StartProbation(MonoTime now);

  uint64_t boot_ = 0;
  bool leaving_ = false;
  bool probation_ = false;
  bool probing_ = false;
  MonoTime probation_since_{};
  MonoTime probe_at_{};
  std::chrono::milliseconds delay_{0};
  int failures_in_a_row_ = 0;
};

}  // namespace figflow

#endif  // ROUTING_TARGET_HEALTH_H_
