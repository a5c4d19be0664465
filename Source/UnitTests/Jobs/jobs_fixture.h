#ifndef JOBS_JOBS_FIXTURE_H_
#define JOBS_JOBS_FIXTURE_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "Jobs/job_record.h"
#include "Platform/fleet_service.h"

namespace figflow::test {

inline JobRecord MakeJob(const std::string& id,
                         double cores,
                         bool urgent = false) {
  JobRecord job;
  job.id = JobId(id);
  job.project = ProjectId("project");
  job.team = TeamId("team");
  job.pool = PoolId("pool");
  job.urgent = urgent;
  job.command = "run";
  job.declared = TaskSize{cores, 100, 0};
  return job;
}

// The platform's tasks in memory. A token below the highest seen for the job is
// refused with kConflict.
class MockFleet : public FleetService {
 public:
  using Ms = std::chrono::milliseconds;

  struct Task {
    InstanceId worker;
    uint64_t token = 0;
    TaskState state = TaskState::kRunning;
    TaskSize usage;
  };

  void AddWorker(const std::string& id, int cores) {
    ListedInstance instance;
    instance.id = InstanceId(id);
    instance.cores = cores;
    instance.memory_mb = 1000;
    instances.push_back(instance);
  }

  Result<std::vector<ListedInstance>> ListInstances(const DataCentreId& /*id*/,
                                                    Ms /*timeout*/) override {
    return instances;
  }
  Result<void> Reboot(const RebootRequest& /*request*/,
                      Ms /*timeout*/) override {
    return {};
  }
  Result<void> StartTask(const TaskStart& start, Ms /*timeout*/) override {
    ++starts;
    if (const auto action = std::exchange(before_start, nullptr)) {
      action();
    }
    Task& task = tasks[start.job];
    if (start.fencing_token < task.token) {
      return Fail(ErrorCode::kConflict, "start", "", "lower token");
    }
    if (start.fencing_token > task.token) {
      task = Task{start.worker, start.fencing_token,
                  failing.count(start.worker.value()) != 0 ||
                          failing.count(start.job.value()) != 0
                      ? TaskState::kFailed
                      : TaskState::kRunning,
                  start.size};
    }
    if (std::exchange(lose_start_answer, false)) {
      return Fail(ErrorCode::kUnknownOutcome, "start", "", "answer lost");
    }
    return {};
  }
  Result<void> RenewTask(const JobId& job,
                         uint64_t token,
                         Ms /*timeout*/) override {
    return Change(job, token, nullptr);
  }
  Result<void> ThrottleTask(const JobId& job,
                            uint64_t token,
                            Ms /*timeout*/) override {
    return Change(job, token,
                  [](Task& task) { task.state = TaskState::kThrottled; });
  }
  Result<void> CheckpointTask(const JobId& job,
                              uint64_t token,
                              Ms /*timeout*/) override {
    return Change(job, token, [this](Task& task) {
      if (can_checkpoint) {
        task.state = TaskState::kCheckpointed;
      }
    });
  }
  Result<void> StopTask(const JobId& job,
                        uint64_t token,
                        Ms /*timeout*/) override {
    return Change(job, token,
                  [](Task& task) { task.state = TaskState::kStopped; });
  }
  Result<std::vector<TaskReport>> ListTasks(const DataCentreId& /*id*/,
                                            Ms /*timeout*/) override {
    std::vector<TaskReport> reports;
    for (const auto& [job, task] : tasks) {
      reports.push_back(TaskReport{job, task.worker, task.token, task.state,
                                   task.usage, WallTime(), "exit 1"});
    }
    return reports;
  }

  std::vector<ListedInstance> instances;
  std::map<JobId, Task> tasks;
  // Workers, or jobs, whose tasks fail at once.
  std::map<std::string, bool> failing;
  std::function<void()> before_start;
  bool lose_start_answer = false;
  bool can_checkpoint = true;
  int starts = 0;

 private:
  Result<void> Change(const JobId& job,
                      uint64_t token,
                      const std::function<void(Task&)>& change) {
    const auto it = tasks.find(job);
    if (it == tasks.end()) {
      return Fail(ErrorCode::kNotFound, "task", "", "no such task");
    }
    if (token < it->second.token) {
      return Fail(ErrorCode::kConflict, "task", "", "lower token");
    }
    if (change && (it->second.state == TaskState::kRunning ||
                   it->second.state == TaskState::kThrottled)) {
      change(it->second);
    }
    return {};
  }
};

}  // namespace figflow::test

#endif  // JOBS_JOBS_FIXTURE_H_
