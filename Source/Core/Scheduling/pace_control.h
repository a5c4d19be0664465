#ifndef SCHEDULING_PACE_CONTROL_H_
#define SCHEDULING_PACE_CONTROL_H_

#include <optional>

#include "Common/clock.h"

namespace figflow {

// Decides how much of their processor time the fillers on one worker may use.
//
// Load pattern: fillers disturb the serving tasks beside them by amounts that
// differ by image and change within seconds. The pace is halved as soon as a
// serving task comes near its target, well before the time after which that
// counts as harm, and raised in small steps while there is slack.
class PaceControl {
 public:
  // `load_share` is the highest tail latency of a serving task on the worker as
  // a share of its target; negative if none was reported. Returns the pace to
  // set, in percent, if it changes.
  std::optional<int> OnLoad(double load_share, MonoTime now);

  int percent() const { return percent_; }

 private:
  int percent_ = 100;
  MonoTime changed_at_ = MonoTime::min();
};

}  // namespace figflow

#endif  // SCHEDULING_PACE_CONTROL_H_
