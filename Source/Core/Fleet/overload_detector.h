#ifndef FLEET_OVERLOAD_DETECTOR_H_
#define FLEET_OVERLOAD_DETECTOR_H_

#include "Common/clock.h"

namespace figflow {

// Decides when a daemon that cannot keep up hands over what it owns.
//
// Load pattern: a daemon gets a fraction of its processor for some seconds, or
// owns more than its share of the processor carries at a peak. Its orders leave
// late, its pools stand half idle while tasks wait, and callers at all daemons
// wait for it. The measure is how late the thread that sends its calls begins
// them. Other daemons take over within a fraction of a second, so a hand-over
// pays off after less than a second of that.
class OverloadDetector {
 public:
  // The next sample is due.
  bool SampleDue(MonoTime now) const { return now >= next_sample_; }
  // Mean lateness of the calls begun since the last sample.
  void OnSample(MonoTime::duration lag, MonoTime now);
  // This daemon has taken something over. The burst of that says nothing about
  // what follows, and what overloaded one owner may overload the next.
  void OnScopeClaimed(MonoTime now);

  // All scopes should be handed over now.
  bool ShouldShedLoad(MonoTime now) const;
  void OnLoadShed(MonoTime now);
  // Others should claim first.
  bool InBackoff(MonoTime now) const { return now < backoff_until_; }

  MonoTime::duration smoothed_lag() const { return smoothed_lag_; }

 private:
  MonoTime next_sample_ = MonoTime::min();
  MonoTime sampled_at_ = MonoTime::min();
  MonoTime::duration smoothed_lag_{0};
  // Since when the lag is too long; max while it is not.
  MonoTime late_since_ = MonoTime::max();
  MonoTime settled_at_ = MonoTime::min();
  MonoTime backoff_until_ = MonoTime::min();
};

}  // namespace figflow

#endif  // FLEET_OVERLOAD_DETECTOR_H_
