#include "StandIns/Platform/task_model.h"

#include <algorithm>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

namespace figflow::standin {
namespace {

using std::chrono::milliseconds;

// Share of its cores that a throttled task uses, and of its speed.
constexpr double kThrottledShare = 0.1;

double CoreShare(TaskState state) {
  return state == TaskState::kThrottled ? kThrottledShare : 1.0;
}

}  // namespace

TaskPlan ParseTaskPlan(const TaskStart& start) {
  TaskPlan plan;
  plan.actual = start.size;
  for (const absl::string_view word :
       absl::StrSplit(start.command, ' ', absl::SkipEmpty())) {
    const std::pair<absl::string_view, absl::string_view> field =
        absl::StrSplit(word, absl::MaxSplits('=', 1));
    int64_t number = 0;
    if (field.first == "run_ms" && absl::SimpleAtoi(field.second, &number)) {
      plan.run_time = milliseconds(number);
    } else if (field.first == "memory_mb" &&
               absl::SimpleAtoi(field.second, &number)) {
      plan.actual.memory_mb = number;
    } else if (field.first == "cores") {
      (void)absl::SimpleAtod(field.second, &plan.actual.cores);
    } else if (field.first == "fail") {
      plan.failure = std::string(field.second);
    }
  }
  return plan;
}

bool TaskModel::IsActive(const Task& task) {
  return task.state == TaskState::kRunning ||
         task.state == TaskState::kThrottled;
}

void TaskModel::Advance(MonoTime now) {
  for (auto& [key, task] : tasks_) {
    if (!IsActive(task)) {
      continue;
    }
    const MonoTime until = std::min(now, task.lapses_at);
    if (until > task.advanced_at) {
      const std::chrono::duration<double, std::nano> passed =
          until - task.advanced_at;
      task.progress += std::chrono::nanoseconds(
          static_cast<int64_t>(passed.count() * CoreShare(task.state)));
      task.advanced_at = until;
    }
    if (task.progress >= task.plan.run_time) {
      task.state =
          task.plan.failure.empty() ? TaskState::kDone : TaskState::kFailed;
      task.failure = task.plan.failure;
    } else if (now >= task.lapses_at) {
      task.state = TaskState::kStopped;
      task.failure = "the lease has lapsed";
    }
  }
}

bool TaskModel::Fits(const TaskStart& start,
                     const ListedInstance& worker) const {
  double cores = start.size.cores;
  int64_t memory_mb = start.size.memory_mb;
  int accelerators = start.size.accelerators;
  for (const auto& [key, task] : tasks_) {
    if (key.first == worker.id && key.second != start.job && IsActive(task)) {
      cores += task.start.size.cores * CoreShare(task.state);
      memory_mb += task.start.size.memory_mb;
      accelerators += task.start.size.accelerators;
    }
  }
  return cores <= worker.cores && memory_mb <= worker.memory_mb &&
         accelerators <= worker.accelerators;
}

Answer TaskModel::Start(const TaskStart& start,
                        const Worker& worker,
                        MonoTime now) {
  const TaskKey key{start.worker, start.job};
  uint64_t& highest = highest_token_[key];
  if (start.fencing_token < highest) {
    return Refusal(409, "a higher fencing token was seen");
  }
  const auto existing = tasks_.find(key);
  if (existing != tasks_.end() &&
      existing->second.start.fencing_token == start.fencing_token) {
    return Answer{};
  }
  if (!Fits(start, worker.instance)) {
    return Refusal(507, "the task does not fit the worker");
  }
  highest = start.fencing_token;
  Task task;
  task.start = start;
  task.plan = ParseTaskPlan(start);
  task.progress = checkpoints_[start.job];
  task.started_at = now;
  task.advanced_at = now;
  task.lapses_at = now + start.lease_ttl;
  if (worker.fails_tasks) {
    task.state = TaskState::kFailed;
    task.failure = "the worker fails every task";
  }
  CheckMemory(worker, tasks_[key] = std::move(task));
  return Answer{};
}

void TaskModel::CheckMemory(const Worker& worker, Task& started) {
  int64_t memory_mb = 0;
  for (const auto& [key, task] : tasks_) {
    if (key.first == worker.instance.id && IsActive(task)) {
      memory_mb += task.plan.actual.memory_mb;
    }
  }
  if (memory_mb > worker.instance.memory_mb) {
    started.state = TaskState::kFailed;
    started.failure = "out of memory";
  }
}

Answer TaskModel::Act(TaskAction action,
                      const JobId& job,
                      uint64_t token,
                      MonoTime now) {
  bool found = false;
  bool fenced = false;
  for (auto& [key, task] : tasks_) {
    if (key.second != job) {
      continue;
    }
    if (task.start.fencing_token > token) {
      fenced = true;
      continue;
    }
    if (action != TaskAction::kStop && !IsActive(task)) {
      continue;
    }
    found = true;
    Apply(action, now, task);
  }
  if (found) {
    return Answer{};
  }
  return fenced ? Refusal(409, "a higher fencing token was seen")
                : Refusal(404, "no such task");
}

void TaskModel::Apply(TaskAction action, MonoTime now, Task& task) {
  if (!IsActive(task)) {
    return;
  }
  switch (action) {
    case TaskAction::kRenew:
      task.lapses_at = now + task.start.lease_ttl;
      return;
    case TaskAction::kThrottle:
      task.state = TaskState::kThrottled;
      return;
    case TaskAction::kCheckpoint:
      task.state = TaskState::kCheckpointed;
      checkpoints_[task.start.job] = task.progress;
      return;
    case TaskAction::kStop:
      task.state = TaskState::kStopped;
      return;
  }
}

void TaskModel::FailWorker(const InstanceId& worker) {
  for (auto& [key, task] : tasks_) {
    if (key.first == worker && IsActive(task)) {
      task.state = TaskState::kFailed;
      task.failure = "the worker went down";
    }
  }
}

std::vector<TaskReport> TaskModel::Reports(
    const std::vector<InstanceId>& workers,
    MonoTime now,
    WallTime wall) const {
  std::vector<TaskReport> reports;
  for (const auto& [key, task] : tasks_) {
    if (std::find(workers.begin(), workers.end(), key.first) == workers.end()) {
      continue;
    }
    TaskReport report;
    report.job = key.second;
    report.worker = key.first;
    report.fencing_token = task.start.fencing_token;
    report.state = task.state;
    report.failure = task.failure;
    report.measured_at = wall - usage_lag_;
    if (IsActive(task) && now - task.started_at >= usage_lag_) {
      report.usage = task.plan.actual;
      report.usage.cores *= CoreShare(task.state);
    }
    reports.push_back(std::move(report));
  }
  return reports;
}

}  // namespace figflow::standin
