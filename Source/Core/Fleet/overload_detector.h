#ifndef FLEET_OVERLOAD_DETECTOR_H_
#define FLEET_OVERLOAD_DETECTOR_H_

#include "Common/clock.h"

namespace figflow {

// Decides when an overloaded daemon hands over its scopes, based on how late
// the thread that sends its calls begins them.
//
// A daemon is overloaded when it gets a fraction of its processor for some
// seconds, or when its scopes need more than its processor share at a peak. Its
// orders are sent late, its workers are idle while tasks wait, and callers of
// all daemons wait for it. Other daemons take over within a fraction of a
// second, so a hand-over pays off after less than a second of overload.
class OverloadDetector {
 public:
  // Returns whether the next sample is due.
  bool SampleDue(MonoTime now) const { return now >= next_sample_; }
  // Records the mean lateness of the calls begun since the last sample.
  void OnSample(MonoTime::duration lag, MonoTime now);
  // Suppresses hand-overs for a while after this daemon claimed a scope. The
  // burst of work after a claim does not predict the later load, and a load
  // that overloaded one owner may overload the next.
  void OnScopeClaimed(MonoTime now);

  // Returns whether all scopes should be handed over now.
  bool ShouldShedLoad(MonoTime now) const;
  void OnLoadShed(MonoTime now);
  // Returns whether this daemon handed over recently, so that other daemons
  // should claim first.
  bool InBackoff(MonoTime now) const { return now < backoff_until_; }

  MonoTime::duration smoothed_lag() const { return smoothed_lag_; }

 private:
  MonoTime next_sample_ = MonoTime::min();
  MonoTime sampled_at_ = MonoTime::min();
  MonoTime::duration smoothed_lag_{0};
  // Since when the lag exceeds the threshold; max while it does not.
  MonoTime late_since_ = MonoTime::max();
  MonoTime settled_at_ = MonoTime::min();
  MonoTime backoff_until_ = MonoTime::min();
};

}  // namespace figflow

#endif  // FLEET_OVERLOAD_DETECTOR_H_
