#ifndef BUDGET_STEADY_WALL_TIME_H_
#define BUDGET_STEADY_WALL_TIME_H_

#include <algorithm>
#include <chrono>

#include "Common/clock.h"

namespace figflow {

// Wall time that does not go back within this process when the clock is set
// back: it then advances with the monotonic clock until the wall clock has
// caught up. Not thread-safe.
class SteadyWallTime {
 public:
  WallTime Advance(WallTime wall, MonoTime now) {
    if (started_) {
      wall = std::max(
          wall,
          wall_ + std::chrono::duration_cast<WallTime::duration>(now - at_));
    }
    started_ = true;
    wall_ = wall;
    at_ = now;
    return wall;
  }

 private:
  bool started_ = false;
  WallTime wall_;
  MonoTime at_;
};

}  // namespace figflow

#endif  // BUDGET_STEADY_WALL_TIME_H_
