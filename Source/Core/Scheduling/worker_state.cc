#include "Scheduling/worker_state.h"

#include "absl/strings/str_cat.h"

namespace figflow {

std::string TaskText(const TaskName& name) {
  return absl::StrCat(name.job, ".", name.occurrence, ".", name.stage, ".",
                      name.index);
}

bool WorkerState::HasStop(const TaskName& task, uint32_t run) const {
  return stops.count({TaskText(task), run}) > 0;
}

Resources WorkerState::FreeCapacity() const {
  Resources free_capacity = report.capacity;
  free_capacity -= used;
  return free_capacity;
}

MonoTime WorkerState::AllLeasesExpiredAt() const {
  if (!fenced || !clock.known()) {
    return inherited_leases_until;
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
