#include "Scheduling/worker_state.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace figflow {

std::string FormatTaskName(const TaskName& name) {
  return absl::StrCat(name.job, ".", name.occurrence, ".", name.stage, ".",
                      name.index);
}

bool WorkerState::HasStop(const TaskName& task, uint32_t run) const {
  return stops.count({FormatTaskName(task), run}) > 0;
}

int WorkerState::CountPerpetualTasks() const {
  return static_cast<int>(
      std::count_if(tasks.begin(), tasks.end(),
                    [](const TaskRef& ref) { return ref.Spec().perpetual; }));
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
  return clock.DeadlinePassedBy(latest_deadline);
}

MonoTime WorkerState::AllOrdersExpiredAt() const {
  const bool next_may_run = std::any_of(
      tasks.begin(), tasks.end(),
      [](const TaskRef& ref) { return !EndsWithThisIncarnation(ref.Get()); });
  return next_may_run
             ? std::max(AllLeasesExpiredAt(), next_incarnation_leases_until)
             : AllLeasesExpiredAt();
}

bool WorkerState::EndsWithThisIncarnation(const Task& task) {
  const bool ordered =
      task.phase != TaskPhase::kPlanned && task.order_deadline.count() > 0;
  return !ordered || task.inherited || task.confirmed;
}

Resources ReservedResources(const StageSpec& spec) {
  Resources size = spec.per_task;
  if (spec.filler) {
    size.cpu_millicores = 0;
  }
  return size;
}

}  // namespace figflow
