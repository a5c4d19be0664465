#include "Scheduling/worker_state.h"

namespace figflow {

Resources WorkerState::Room() const {
  Resources room = report.capacity;
  room -= used;
  return room;
}

MonoTime WorkerState::DeadAt() const {
  if (!fenced || !clock.known()) {
    return inherited_until;
  }
  return clock.SurelyReached(latest_deadline);
}

Resources CountedSize(const StageSpec& spec) {
  Resources size = spec.per_task;
  if (spec.filler) {
    size.cpu_millicores = 0;
  }
  return size;
}

}  // namespace figflow
