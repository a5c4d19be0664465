#ifndef STANDINS_PLATFORM_TASK_MODEL_H_
#define STANDINS_PLATFORM_TASK_MODEL_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "Common/clock.h"
#include "Platform/fleet_service.h"
#include "StandIns/Platform/answer.h"

namespace figflow::standin {

// What a task does, from its command such as
// "run_ms=5000 cores=2 memory_mb=900 fail=reason". Sizes default to the
// declared ones, the run time to 10 s; `fail` makes it fail at its end.
struct TaskPlan {
  std::chrono::milliseconds run_time{10'000};
  TaskSize actual;
  std::string failure;
};

TaskPlan ParseTaskPlan(const TaskStart& start);

enum class TaskAction { kRenew, kThrottle, kCheckpoint, kStop };

struct Worker {
  ListedInstance instance;
  // Every task started here fails at once.
  bool fails_tasks = false;
};

// Tasks of all workers. Not thread-safe; time moves with Advance.
class TaskModel {
 public:
  explicit TaskModel(std::chrono::milliseconds usage_lag)
      : usage_lag_(usage_lag) {}

  // Brings all tasks forward to `now`: progress, ends, lapsed leases.
  void Advance(MonoTime now);
  Answer Start(const TaskStart& start, const Worker& worker, MonoTime now);
  // Applies to the job's tasks with a token of at most `token`; 409 if there
  // are only tasks with a higher one.
  Answer Act(TaskAction action, const JobId& job, uint64_t token, MonoTime now);
  // Ends all tasks of a worker that went down.
  void FailWorker(const InstanceId& worker);
  // Tasks on `workers`, ended ones included.
  std::vector<TaskReport> Reports(const std::vector<InstanceId>& workers,
                                  MonoTime now,
                                  WallTime wall) const;

 private:
  struct Task {
    TaskStart start;
    TaskPlan plan;
    TaskState state = TaskState::kRunning;
    std::string failure;
    std::chrono::nanoseconds progress{0};
    MonoTime started_at;
    MonoTime advanced_at;
    MonoTime lapses_at;
  };
  using TaskKey = std::pair<InstanceId, JobId>;

  static bool IsActive(const Task& task);
  bool Fits(const TaskStart& start, const ListedInstance& worker) const;
  // Actual memory beyond the worker's ends the task, as on a real worker.
  void CheckMemory(const Worker& worker, Task& started);
  void Apply(TaskAction action, MonoTime now, Task& task);

  const std::chrono::milliseconds usage_lag_;
  std::map<TaskKey, Task> tasks_;
  std::map<TaskKey, uint64_t> highest_token_;
  // Work done before the last checkpoint of a job.
  std::map<JobId, std::chrono::nanoseconds> checkpoints_;
};

}  // namespace figflow::standin

#endif  // STANDINS_PLATFORM_TASK_MODEL_H_
