#ifndef STANDINS_FLEET_PROMISES_H_
#define STANDINS_FLEET_PROMISES_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "Common/clock.h"
#include "Scheduling/fleet_plan.h"
#include "Scheduling/job_spec.h"
#include "Scheduling/worker.h"

namespace figflow::model {

// Watches what workers, callers and the platform see, and lists what breaks a
// promise of figflow.
class Promises {
 public:
  // The queues' attempts and pools from now on.
  void SetPlan(const FleetPlan& plan);
  // Gangs may lose a member by a fault: one that waits in vain breaks nothing.
  void AllowLoneMembers() { lone_members_allowed_ = true; }

  // Not all daemons are in touch before `until`: tasks of cancelled jobs may
  // still start.
  void SetDisturbed(MonoTime until) { disturbed_until_ = until; }

  // A caller handed the job in, for the first time or again.
  void OnSubmitted(const JobSpec& spec);
  // An attempt was answered: taken, or refused for good.
  void OnAccepted(const std::string& job, MonoTime now);
  void OnRefused(const std::string& job);
  void OnCancelAsked(const std::string& job);
  void OnCancelAcknowledged(const std::string& job, MonoTime now);
  void OnShown(const std::string& job, const std::string& state);
  void OnUnknownJobAnswer(const std::string& job, MonoTime now);

  void OnStarted(const WorkerReport& worker,
                 const TaskName& task,
                 uint32_t run,
                 MonoTime now);
  void OnEnded(const std::string& worker,
               const TaskName& task,
               uint32_t run,
               RunResult end,
               MonoTime now);
  // The worker was told to forget this end.
  void OnNoted(const TaskName& task, uint32_t run, RunResult end);
  // The worker and all that it ran are gone.
  void OnWorkerGone(const std::string& worker, MonoTime now);

  // A member of a gang ended because the others did not come.
  void OnAlone(const TaskName& task);

  void OnInstanceOrder(const std::string& instance, uint64_t fence);
  void OnMaintenance(uint64_t wave, int down, int max_down);

  const std::vector<std::string>& broken() const { return broken_; }
  // Jobs that were accepted and neither completed, failed nor were cancelled.
  std::vector<std::string> Unfinished() const;
  int completed() const;
  // Tasks that run, with their workers.
  std::vector<std::string> Running() const;

 private:
  struct JobRecord {
    JobSpec spec;
    bool accepted = false;
    MonoTime accepted_at;
    bool refused = false;
    bool started = false;
    bool cancel_asked = false;
    bool cancelled = false;
    MonoTime cancelled_at;
    std::string shown;
    std::map<std::string, int> done;
    // Runs that ended as done, by task, and those of them that had done so
    // before a later start of the task.
    std::map<std::string, std::set<uint32_t>> done_runs;
    std::map<std::string, std::set<uint32_t>> done_before;
    // Runs that ended as failed, by task, and those of them that were noted.
    std::map<std::string, std::set<uint32_t>> failed;
    std::map<std::string, std::set<uint32_t>> failures_noted;
    // Runs that had failed before each start of a task.
    std::map<std::string, std::vector<std::set<uint32_t>>> failed_before;
  };

  // Other tasks of the task's stage that run on the worker.
  int Beside(const std::string& worker, const TaskName& task) const;
  // Whether a task, or a gang, has failed as often as the queue allows.
  bool IsHopeless(const JobRecord& job) const;
  void CheckAttempts(const JobRecord& job, const std::string& task);
  void Break(const std::string& what);
  static std::string Text(const TaskName& task);

  std::map<std::string, JobRecord> jobs_;
  // Runs under way, by task: worker and run.
  std::map<std::string, std::set<std::pair<std::string, uint32_t>>> running_;
  std::map<std::string, uint64_t> instance_fences_;
  FleetPlan plan_;
  // Pools to which any plan sends a queue. RULES.md, ROUTE: "a service to which
  // no configuration sends the queue".
  std::map<std::string, std::set<std::string>> pools_of_queue_;
  bool lone_members_allowed_ = false;
  MonoTime disturbed_until_ = MonoTime::min();
  std::vector<std::string> broken_;
};

}  // namespace figflow::model

#endif  // STANDINS_FLEET_PROMISES_H_
