#ifndef STANDINS_FLEET_VIRTUAL_TIME_H_
#define STANDINS_FLEET_VIRTUAL_TIME_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "Common/clock.h"

namespace figflow::model {

// A clock that jumps from event to event. Events at the same time run in the
// order in which they were added, so a run depends on nothing but its seed.
class VirtualTime : public Clock {
 public:
  using Duration = MonoTime::duration;

  MonoTime Now() const override { return now_; }
  WallTime WallNow() const override;

  void At(MonoTime time, std::function<void()> event);
  void After(Duration delay, std::function<void()> event) {
    At(now_ + delay, std::move(event));
  }
  void RunFor(Duration duration);
  // Time of the next event; a far future if there is none.
  MonoTime NextEvent() const;

 private:
  MonoTime now_ = MonoTime(std::chrono::hours(1));
  uint64_t next_ = 0;
  std::map<std::pair<MonoTime, uint64_t>, std::function<void()>> events_;
};

}  // namespace figflow::model

#endif  // STANDINS_FLEET_VIRTUAL_TIME_H_
