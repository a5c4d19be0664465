#include "Jobs/job_controller.h"

#include <algorithm>
#include <utility>

namespace figflow {
namespace {

// The platform knows nothing of the task, or has seen a higher token: it does
// not run under this placement, now or later.
bool IsGone(const Error& error) {
  return error.code == ErrorCode::kNotFound ||
         error.code == ErrorCode::kConflict;
}

TaskSize Larger(const TaskSize& a, const TaskSize& b) {
  return TaskSize{std::max(a.cores, b.cores),
                  std::max(a.memory_mb, b.memory_mb),
                  std::max(a.accelerators, b.accelerators)};
}

bool Exceeds(const TaskSize& a, const TaskSize& b) {
  return a.cores > b.cores || a.memory_mb > b.memory_mb ||
         a.accelerators > b.accelerators;
}

}  // namespace

JobController::JobController(JobControllerOptions options,
                             JobStore& jobs,
                             FleetService& fleet,
                             MetricsRegistry& metrics,
                             std::unique_ptr<PlacementStrategy> strategy,
                             QuarantineGate may_quarantine)
    : options_(std::move(options)),
      jobs_(jobs),
      fleet_(fleet),
      strategy_(std::move(strategy)),
      may_quarantine_(std::move(may_quarantine)),
      lost_races_(metrics.GetCounter("figflow_jobs_lost_races_total")),
      unreadable_(metrics.GetCounter("figflow_jobs_unreadable_total")) {}

Result<void> JobController::Step(const JobPolicy& policy, WallTime now) {
  int unreadable = 0;
  Result<std::vector<StoredJob>> jobs = jobs_.List(&unreadable);
  if (!jobs) {
    return tl::make_unexpected(jobs.error());
  }
  const auto instances =
      fleet_.ListInstances(options_.data_centre, options_.timeout);
  if (!instances) {
    return tl::make_unexpected(instances.error());
  }
  const auto tasks = fleet_.ListTasks(options_.data_centre, options_.timeout);
  if (!tasks) {
    return tl::make_unexpected(tasks.error());
  }
  unreadable_.Add(static_cast<uint64_t>(unreadable));

  now_ = now;
  ends_.clear();
  for (const StoredJob& job : *jobs) {
    if (IsFinal(job.record.state)) {
      renewed_.erase(job.record.id);
    }
    const std::vector<RunEnd> ends = RunEndsOf(job.record);
    ends_.insert(ends_.end(), ends.begin(), ends.end());
  }
  Quarantine(ends_);
  gone_.clear();
  for (const ListedInstance& instance : *instances) {
    if (instance.state == InstanceState::kGone) {
      gone_.insert(instance.id);
    }
  }

  // Of several reports for a job only the newest placement's counts.
  Reports reports;
  for (const TaskReport& task : *tasks) {
    TaskReport& kept = reports[task.job];
    if (task.fencing_token >= kept.fencing_token) {
      kept = task;
    }
  }
  // Jobs of other data centres are left to their controllers.
  const auto is_local = [this, &policy](const StoredJob& job) {
    return policy.pools.count(job.record.worker) != 0 ||
           gone_.count(job.record.worker) != 0;
  };
  for (StoredJob& job : *jobs) {
    if (!IsFinal(job.record.state) && !WaitsForWorker(job.record.state) &&
        is_local(job)) {
      FollowUp(job, reports);
    }
  }
  const std::chrono::milliseconds since_epoch = SinceEpoch(now);
  LeaveClosedWorkers(*jobs, policy, since_epoch);
  std::map<JobId, StoredJob*> by_id;
  for (StoredJob& job : *jobs) {
    by_id[job.record.id] = &job;
  }
  for (const PlacementDecision& decision : PlanPlacement(
           MakeInput(*jobs, *instances, policy), *strategy_, since_epoch)) {
    Execute(decision, *by_id.at(decision.job), since_epoch);
  }
  return {};
}

void JobController::LeaveClosedWorkers(std::vector<StoredJob>& jobs,
                                       const JobPolicy& policy,
                                       std::chrono::milliseconds now) {
  for (StoredJob& job : jobs) {
    if (job.record.state != JobState::kRunning ||
        job.record.preemption == Preemption::kCheckpointing ||
        policy.closed.count(job.record.worker) == 0) {
      continue;
    }
    PlacementDecision decision;
    decision.action = PlacementAction::kCheckpoint;
    decision.job = job.record.id;
    decision.reason = "its worker is taken out of the pool";
    Execute(decision, job, now);
  }
}

void JobController::Quarantine(const std::vector<RunEnd>& ends) {
  const std::set<InstanceId> bad = BadWorkers(ends);
  for (const InstanceId& worker : bad) {
    if (quarantined_.count(worker) == 0 && may_quarantine_(worker)) {
      quarantined_.insert(worker);
    }
  }
  bad_jobs_ = BadJobs(ends);
}

bool JobController::Replace(StoredJob& job, JobRecord record) {
  Result<StoredJob> written = jobs_.Replace(job, std::move(record));
  if (written) {
    job = std::move(*written);
    return true;
  }
  if (written.error().code == ErrorCode::kConflict) {
    lost_races_.Add();
  }
  return false;
}

void JobController::FollowUp(StoredJob& job, const Reports& reports) {
  const auto report = reports.find(job.record.id);
  // A report with a lower token is about an earlier placement.
  if (report != reports.end() &&
      report->second.fencing_token == FencingToken(job) &&
      job.record.state != JobState::kPlaced) {
    FollowReport(job, report->second);
  } else if (gone_.count(job.record.worker) != 0) {
    Requeue(job);
  } else if (job.record.state == JobState::kPlaced) {
    // The start was not confirmed. Repeating it under the same token has no
    // second effect.
    StartTask(job);
  } else if (job.record.state == JobState::kStopping) {
    StopTask(job);
  } else {
    Renew(job);
  }
}

void JobController::FollowReport(StoredJob& job, const TaskReport& report) {
  JobRecord record = job.record;
  const bool stopping = record.state == JobState::kStopping;
  switch (report.state) {
    case TaskState::kRunning:
    case TaskState::kThrottled:
      if (stopping) {
        StopTask(job);
        return;
      }
      Renew(job);
      if (job.record.state == JobState::kRunning &&
          Exceeds(report.usage, record.measured)) {
        record.measured = Larger(record.measured, report.usage);
        Replace(job, std::move(record));
      }
      return;
    case TaskState::kDone:
      record.state = JobState::kFinished;
      record.reason.clear();
      Replace(job, std::move(record));
      return;
    case TaskState::kCheckpointed:
      if (!stopping) {
        record.state = JobState::kCheckpointed;
        record.preemption = Preemption::kNone;
        Replace(job, std::move(record));
        return;
      }
      Requeue(job);
      return;
    case TaskState::kStopped:
      Requeue(job);
      return;
    case TaskState::kFailed:
      if (stopping) {
        Requeue(job);
        return;
      }
      record.failures.push_back(JobFailure{record.worker, report.failure});
      ends_.push_back(RunEnd{record.id, record.worker, true});
      Quarantine(ends_);
      record.state = JobState::kPending;
      record.preemption = Preemption::kNone;
      if (bad_jobs_.count(record.id) != 0) {
        record.state = JobState::kFailed;
        record.reason =
            "failed on 3 workers that run other jobs: " + report.failure;
      }
      Replace(job, std::move(record));
      return;
  }
}

void JobController::Requeue(StoredJob& job) {
  JobRecord record = job.record;
  record.state = record.state == JobState::kStopping ? record.after_stop
                                                     : JobState::kPending;
  record.preemption = Preemption::kNone;
  Replace(job, std::move(record));
}

void JobController::StartTask(StoredJob& job) {
  const JobRecord& record = job.record;
  const Result<void> started = fleet_.StartTask(
      TaskStart{record.id, record.worker, FencingToken(job),
                EffectiveSize(record), record.command, options_.lease_ttl},
      options_.timeout);
  if (!started) {
    // Another outcome than a clear refusal is settled by the next step.
    if (IsGone(started.error()) ||
        started.error().code == ErrorCode::kInvalid ||
        started.error().code == ErrorCode::kResourceExhausted) {
      Requeue(job);
    }
    return;
  }
  renewed_[record.id] = now_;
  JobRecord running = record;
  running.state = JobState::kRunning;
  Replace(job, std::move(running));
}

void JobController::StopTask(StoredJob& job) {
  const Result<void> stopped =
      fleet_.StopTask(job.record.id, FencingToken(job), options_.timeout);
  if (!stopped && IsGone(stopped.error())) {
    Requeue(job);
  }
}

void JobController::Renew(StoredJob& job) {
  // A third of the time leaves two more chances before the lease lapses.
  WallTime& renewed = renewed_[job.record.id];
  if (now_ - renewed < options_.lease_ttl / 3 && renewed <= now_) {
    return;
  }
  renewed = now_;
  const Result<void> result =
      fleet_.RenewTask(job.record.id, FencingToken(job), options_.timeout);
  if (!result && IsGone(result.error())) {
    Requeue(job);
  }
}

void JobController::Execute(const PlacementDecision& decision,
                            StoredJob& job,
                            std::chrono::milliseconds now) {
  JobRecord record = job.record;
  record.preempted_at = now;
  switch (decision.action) {
    case PlacementAction::kPlace:
      record.state = JobState::kPlaced;
      record.worker = decision.worker;
      record.preemption = Preemption::kNone;
      if (Replace(job, std::move(record))) {
        StartTask(job);
      }
      return;
    case PlacementAction::kRefuse:
      record.state = JobState::kRefused;
      record.reason = decision.reason;
      Replace(job, std::move(record));
      return;
    case PlacementAction::kThrottle:
      // The record follows the call: it must not show cores as free that the
      // task still uses.
      if (fleet_.ThrottleTask(record.id, FencingToken(job), options_.timeout)) {
        record.preemption = Preemption::kThrottled;
        Replace(job, std::move(record));
      }
      return;
    case PlacementAction::kCheckpoint:
      record.preemption = Preemption::kCheckpointing;
      if (Replace(job, std::move(record))) {
        (void)fleet_.CheckpointTask(job.record.id, FencingToken(job),
                                    options_.timeout);
      }
      return;
    case PlacementAction::kStop:
      record.state = JobState::kStopping;
      record.after_stop = JobState::kPending;
      if (Replace(job, std::move(record))) {
        StopTask(job);
      }
      return;
  }
}

PlacementInput JobController::MakeInput(
    const std::vector<StoredJob>& jobs,
    const std::vector<ListedInstance>& instances,
    const JobPolicy& policy) const {
  PlacementInput input;
  input.quotas = policy.quotas;
  for (const ListedInstance& instance : instances) {
    const auto pool = policy.pools.find(instance.id);
    if (instance.role != InstanceRole::kWorker || pool == policy.pools.end()) {
      continue;
    }
    input.workers.push_back(
        PlacementWorker{instance.id, pool->second,
                        TaskSize{static_cast<double>(instance.cores),
                                 instance.memory_mb, instance.accelerators},
                        instance.state == InstanceState::kLive &&
                            policy.closed.count(instance.id) == 0 &&
                            quarantined_.count(instance.id) == 0});
  }
  for (PlacementWorker worker : policy.elsewhere) {
    worker.usable = false;
    input.workers.push_back(std::move(worker));
  }
  for (const StoredJob& job : jobs) {
    if (!IsFinal(job.record.state)) {
      input.jobs.push_back(job.record);
    }
  }
  return input;
}

}  // namespace figflow
