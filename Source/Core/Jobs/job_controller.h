#ifndef JOBS_JOB_CONTROLLER_H_
#define JOBS_JOB_CONTROLLER_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "Common/clock.h"
#include "Common/error.h"
#include "Common/metrics.h"
#include "Common/strong_id.h"
#include "Jobs/failure_attribution.h"
#include "Jobs/job_store.h"
#include "Jobs/placement.h"
#include "Platform/fleet_service.h"

namespace figflow {

struct JobControllerOptions {
  DataCentreId data_centre;
  // Timeout of one platform call.
  std::chrono::milliseconds timeout{500};
  std::chrono::milliseconds lease_ttl{10'000};
};

// What the controller needs to know for one step.
struct JobPolicy {
  // Pool of each instance, from the ownership document. Instances that are
  // missing here get no jobs.
  std::map<InstanceId, PoolId> pools;
  // Instances that get no new jobs: draining or in maintenance.
  std::set<InstanceId> closed;
  std::map<TeamId, TaskSize> quotas;
  // Workers of the same pools in other data centres. They get no jobs from
  // here, but a job that fits one of them is not refused.
  std::vector<PlacementWorker> elsewhere;
};

// Advances the jobs of one data centre. Any number of daemons may run it: each
// change is a compare-and-swap on the record, made before the platform call
// that follows from it, and platform calls carry the fencing token. Job ids are
// unique over all projects, as the platform's task calls name the id only.
class JobController {
 public:
  // Asked once for each worker found bad. Returns whether the availability
  // budget allows taking it out of service; false: it is asked again later.
  using QuarantineGate = std::function<bool(const InstanceId&)>;

  // All references must outlive the controller.
  JobController(JobControllerOptions options,
                JobStore& jobs,
                FleetService& fleet,
                MetricsRegistry& metrics,
                std::unique_ptr<PlacementStrategy> strategy,
                QuarantineGate may_quarantine);

  // Reads the state, follows up on running jobs and places waiting ones.
  // Blocks; not thread-safe. Call it every 500 ms: urgent work that needs a
  // preemption takes up to four steps. Fails without effect if the records or
  // the platform's lists cannot be read.
  Result<void> Step(const JobPolicy& policy, WallTime now);

  const std::set<InstanceId>& quarantined() const { return quarantined_; }

 private:
  using Reports = std::map<JobId, TaskReport>;

  // Has running jobs checkpointed whose worker drains or goes into maintenance.
  void LeaveClosedWorkers(std::vector<StoredJob>& jobs,
                          const JobPolicy& policy,
                          std::chrono::milliseconds now);
  void Quarantine(const std::vector<RunEnd>& ends);
  // Follows up on a job that has a worker.
  void FollowUp(StoredJob& job, const Reports& reports);
  void FollowReport(StoredJob& job, const TaskReport& report);
  void StartTask(StoredJob& job);
  void StopTask(StoredJob& job);
  void Renew(StoredJob& job);
  // Gives up the placement; the job waits for another worker.
  void Requeue(StoredJob& job);
  void Execute(const PlacementDecision& decision,
               StoredJob& job,
               std::chrono::milliseconds now);
  // Writes the record. Returns false if another party was first.
  bool Replace(StoredJob& job, JobRecord record);
  PlacementInput MakeInput(const std::vector<StoredJob>& jobs,
                           const std::vector<ListedInstance>& instances,
                           const JobPolicy& policy) const;

  const JobControllerOptions options_;
  JobStore& jobs_;
  FleetService& fleet_;
  std::unique_ptr<PlacementStrategy> strategy_;
  QuarantineGate may_quarantine_;
  Counter& lost_races_;
  Counter& unreadable_;
  std::set<InstanceId> quarantined_;
  // When this controller last renewed the lease of a job.
  std::map<JobId, WallTime> renewed_;
  // Of the current step.
  WallTime now_;
  std::set<JobId> bad_jobs_;
  std::vector<RunEnd> ends_;
  std::set<InstanceId> gone_;
};

}  // namespace figflow

#endif  // JOBS_JOB_CONTROLLER_H_
