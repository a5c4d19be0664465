#include "StandIns/Fleet/virtual_time.h"

#include <algorithm>

namespace figflow::model {
namespace {

// Any date will do.
constexpr std::chrono::hours kEpoch{24 * 365 * 50};

}  // namespace

WallTime VirtualTime::WallNow() const {
  return WallTime(kEpoch + std::chrono::duration_cast<WallTime::duration>(
                               now_.time_since_epoch()));
}

void VirtualTime::At(MonoTime time, std::function<void()> event) {
  events_.emplace(std::make_pair(std::max(time, now_), next_++),
                  std::move(event));
}

void VirtualTime::RunFor(Duration duration) {
  const MonoTime end = now_ + duration;
  while (!events_.empty() && events_.begin()->first.first <= end) {
    auto event = events_.extract(events_.begin());
    now_ = std::max(now_, event.key().first);
    event.mapped()();
  }
  now_ = end;
}

MonoTime VirtualTime::NextEvent() const {
  return events_.empty() ? MonoTime::max() : events_.begin()->first.first;
}

}  // namespace figflow::model
