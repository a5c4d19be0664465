#ifndef COMMON_CLOCK_H_
#define COMMON_CLOCK_H_

#include <chrono>

namespace figflow {

// Time that only moves forward within one process and counts the time during
// which the instance is suspended. Used for deadlines and waits; never stored
// or sent to another process. To be read from a Clock only: the standard
// library's steady clock leaves suspensions out.
using MonoTime = std::chrono::steady_clock::time_point;

// Time of day in UTC. Used in durable documents and logs.
using WallTime = std::chrono::system_clock::time_point;

// The only reader of the system's clocks. Deciding functions take `now` as an
// argument instead of a Clock.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual MonoTime Now() const = 0;
  virtual WallTime WallNow() const = 0;
};

class SystemClock : public Clock {
 public:
  MonoTime Now() const override;
  WallTime WallNow() const override;
};

// Rounded towards zero, for log fields and dumps that end in "_ms".
std::chrono::milliseconds WholeMilliseconds(std::chrono::nanoseconds duration);

// Whole milliseconds since the Unix epoch, the form in durable documents.
std::chrono::milliseconds SinceEpoch(WallTime time);
WallTime FromEpoch(std::chrono::milliseconds since_epoch);

}  // namespace figflow

#endif  // COMMON_CLOCK_H_
