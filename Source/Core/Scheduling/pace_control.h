#ifndef SCHEDULING_PACE_CONTROL_H_
#define SCHEDULING_PACE_CONTROL_H_

#include <optional>

#include "Common/clock.h"

namespace figflow {

// Controls the percentage of their processor time that the fillers on one
// worker may use.
//
// Fillers disturb the serving tasks beside them by amounts that differ by image
// and change within seconds. The pace is halved as soon as a serving task comes
// close to its latency target, well before the time after which that counts as
// harm, and raised in small steps while there is slack.
class PaceControl {
 public:
  // `load_ratio` is the highest ratio of tail latency to latency target among
  // the serving tasks on the worker; negative if none was reported. Returns the
  // pace to set, in percent, or none if it does not change.
  std::optional<int> OnLoadReported(double load_ratio, MonoTime now);

  int percent() const { return percent_; }

 private:
  int percent_ = 100;
  MonoTime changed_at_ = MonoTime::min();
};

}  // namespace figflow

#endif  // SCHEDULING_PACE_CONTROL_H_
