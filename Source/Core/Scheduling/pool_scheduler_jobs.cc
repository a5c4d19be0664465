// Loads, submits, cancels and completes jobs.
#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "Common/log.h"
#include "Scheduling/pool_scheduler.h"
#include "Scheduling/record_size.h"
#include "Scheduling/scheduler_metrics.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

// Time constant of the decay of the offered load: short enough to detect the
// start of a peak.
constexpr std::chrono::milliseconds kOfferedLoadWindow{1'000};
// Maximum number of lost runs kept for each task. Each one has cost a lease, so
// more of them take longer than a caller waits.
constexpr size_t kMaxLostRuns = 8;
// How long a job is known to be submitted to another pool: longer than a caller
// waits, and than daemons decide by different plans.
constexpr std::chrono::seconds kSubmittedElsewhereRetention{30};
// Tasks of the occurrences that are open beside the first one of each job. They
// keep a large pool busy while the next ones are opened.
constexpr int64_t kMaxOverlappingTasks = 5'000;

}  // namespace

PoolScheduler::PoolScheduler(Options options,
                             MetricsRegistry& metrics,
                             MonoTime now)
    : options_(std::move(options)),
      stats_(std::make_unique<SchedulerMetrics>(metrics)),
      plan_(std::make_shared<FleetPlan>()),
      max_inherited_lease_(options_.bounds.max_lease),
      work_memory_(std::make_shared<WorkMemory>(kPoolWorkMemory,
                                                options_.process_memory)),
      limits_(options_.fence),
      activated_at_(now) {}

PoolScheduler::~PoolScheduler() = default;

void PoolScheduler::Load(std::map<std::string, JobRecords> records,
                         MonoTime now,
                         WallTime wall) {
  while (!records.empty()) {
    auto record = records.extract(records.begin());
    LoadJob(record.key(), std::move(record.mapped()), now, wall);
  }
}

void PoolScheduler::LoadJob(const std::string& id,
                            JobRecords record,
                            MonoTime now,
                            WallTime wall) {
  std::shared_ptr<Job> job;
  std::string progress = std::move(record.progress);
  if (record.accepted.empty()) {
    // The store holds only the final progress of a finished job.
    job = std::make_shared<Job>();
    job->spec.id = id;
  } else {
    Result<AcceptedJob> accepted = ParseAcceptedJob(record.accepted);
    if (!accepted) {
      LogEvent(LogLevel::kError, LogCategory::kJobs, "record_unreadable",
               {{"job", id}, {"error", ToString(accepted.error())}});
      return;
    }
    job = std::move(accepted->job);
    if (progress.empty()) {
      progress = std::move(accepted->progress);
    }
  }
  // Age of the job, at least 0 because the clocks of two daemons may disagree.
  const auto age = std::max(wall - job->submitted, WallTime::duration(0));
  job->arrived =
      record.accepted.empty()
          ? now
          : now - std::chrono::duration_cast<MonoTime::duration>(age);
  Result<std::vector<RecordedAssignment>> assignments =
      ApplyProgress(progress, *job);
  if (!assignments) {
    LogEvent(LogLevel::kError, LogCategory::kJobs, "record_unreadable",
             {{"job", id}, {"error", ToString(assignments.error())}});
    return;
  }
  job->durable_version = job->version;
  job->durable_status = job->status;
  job->spec_bytes = std::string();
  if (!job->live()) {
    job->spec.payload = std::string();
  }
  job->memory = MemoryCharge(work_memory_);
  CountMemory(*job);
  jobs_[id] = job;
  if (!job->live()) {
    job->finished_at = now;
    finished_jobs_.push_back(job);
    return;
  }
  open_jobs_[id] = job;
  for (const auto& [number, occurrence] : job->occurrences) {
    for (const Stage& stage : occurrence.stages) {
      job->started =
          job->started || std::any_of(stage.tasks.begin(), stage.tasks.end(),
                                      [](const Task& task) {
                                        return task.run > 0 ||
                                               task.phase == TaskPhase::kDone;
                                      });
    }
  }
  for (const RecordedAssignment& assignment : *assignments) {
    const TaskName& name = assignment.task;
    const TaskRef ref{job, name.occurrence, name.stage, name.index};
    WorkerState* worker = FindWorker(assignment.worker);
    if (worker == nullptr) {
      worker = &AddWorker(assignment.worker, now);
    }
    AttachTask(ref, *worker);
    ref.Get().since = now;
    ref.Get().inherited = true;
    ref.Get().pace = -1;
  }
}

void PoolScheduler::SetPlan(std::shared_ptr<const FleetPlan> plan) {
  plan_ = std::move(plan);
  limits_.SetPlan(*plan_);
  dispatch_needed_ = true;
}

void PoolScheduler::Submit(JobSpec spec,
                           std::string spec_bytes,
                           uint64_t token,
                           MonoTime now,
                           WallTime wall) {
  const auto known = jobs_.find(spec.id);
  if (known != jobs_.end()) {
    Job& job = *known->second;
    if (!MayAccessJob({spec.customer, spec.queue}, job.owner())) {
      output_.submit_responses.push_back(
          {token, SubmitOutcome::kNoSuchJob, std::chrono::milliseconds(0), ""});
    } else if (job.durable_version > 0) {
      output_.submit_responses.push_back(
          {token, SubmitOutcome::kAccepted, std::chrono::milliseconds(0), ""});
    } else {
      job.submit_tokens.push_back(token);
    }
    return;
  }
  const size_t memory = EstimateJobMemory(spec, spec_bytes.size()) +
                        EstimateOccurrenceMemory(spec);
  if (!work_memory_->HasRoom(memory)) {
    RefuseForSize(spec, "memory-full", token, now);
    return;
  }
  if (!MayFitRecord(spec, options_.bounds.max_record_bytes)) {
    RefuseForSize(spec, "record-size", token, now);
    return;
  }
  auto job = std::make_shared<Job>();
  job->SetSpec(std::move(spec));
  job->spec_bytes = std::move(spec_bytes);
  job->memory = MemoryCharge(work_memory_);
  job->submitted = wall;
  job->arrived = now;
  job->submit_tokens.push_back(token);
  if (!job->spec.scheduled()) {
    job->OpenOccurrence(0, now);
  }
  if (!job->perpetual()) {
    double work = 0;
    for (const StageSpec& stage : job->spec.stages) {
      work += static_cast<double>(ReservedResources(stage).cpu_millicores) *
              stage.count *
              static_cast<double>(PredictedDuration(*job, stage).count());
    }
    AddOfferedLoad(work, now);
  }
  CountMemory(*job);
  jobs_[job->spec.id] = job;
  open_jobs_[job->spec.id] = job;
  records_.Add(job);
  dispatch_needed_ = true;
}

void PoolScheduler::Cancel(const std::string& id,
                           const JobParty& call,
                           uint64_t token,
                           MonoTime now) {
  const auto known = jobs_.find(id);
  if (known == jobs_.end() || !MayAccessJob(call, known->second->owner())) {
    output_.cancel_responses.push_back({token, CancelOutcome::kNotFound});
    return;
  }
  const std::shared_ptr<Job>& job = known->second;
  if (job->durable_status != JobStatus::kLive) {
    output_.cancel_responses.push_back({token, CancelOutcome::kCancelled});
    return;
  }
  job->cancel_tokens.push_back(token);
  if (job->live()) {
    Finish(job, JobStatus::kCancelled, now);
  }
}

std::optional<JobView> PoolScheduler::Query(const std::string& id) const {
  const auto known = jobs_.find(id);
  if (known == jobs_.end() || known->second->durable_version == 0) {
    return std::nullopt;
  }
  return JobView{known->second->durable_status, known->second->started,
                 known->second->owner()};
}

Result<JobView> PoolScheduler::LookUp(const std::string& id,
                                      uint64_t plan_version,
                                      MonoTime now) {
  const std::optional<JobView> view = Query(id);
  if (view) {
    return *view;
  }
  if (jobs_.count(id) > 0) {
    return Fail(ErrorCode::kUnavailable, "pool.look-up", id,
                "the job is being written");
  }
  for (auto it = submitted_elsewhere_.begin();
       it != submitted_elsewhere_.end();) {
    it = now - it->second.looked_up_at > kSubmittedElsewhereRetention
             ? submitted_elsewhere_.erase(it)
             : std::next(it);
  }
  SubmittedElsewhere& entry = submitted_elsewhere_[id];
  entry.plan_version = std::max(entry.plan_version, plan_version);
  entry.looked_up_at = now;
  return Fail(ErrorCode::kNotFound, "pool.look-up", id, "no such job");
}

bool PoolScheduler::IsSubmittedElsewhere(const std::string& id,
                                         uint64_t plan_version,
                                         MonoTime now) const {
  const auto entry = submitted_elsewhere_.find(id);
  return jobs_.count(id) == 0 && entry != submitted_elsewhere_.end() &&
         plan_version < entry->second.plan_version &&
         now - entry->second.looked_up_at <= kSubmittedElsewhereRetention;
}

int64_t PoolScheduler::CountPending(const std::string& queue) const {
  return std::count_if(
      open_jobs_.begin(), open_jobs_.end(), [&](const auto& item) {
        const Job& job = *item.second;
        return job.live() && !job.started && job.durable_version > 0 &&
               !job.spec.scheduled() && job.spec.queue == queue;
      });
}

void PoolScheduler::MarkChanged(const std::shared_ptr<Job>& job) {
  ++job->version;
  records_.Add(job);
}

void PoolScheduler::Finish(const std::shared_ptr<Job>& job,
                           JobStatus status,
                           MonoTime now) {
  job->status = status;
  job->finished_at = now;
  // The last record of a job is far smaller than the refused one.
  if (job->record_held_until) {
    job->record_held_until = now;
  }
  MarkChanged(job);
  open_jobs_.erase(job->spec.id);
  finished_jobs_.push_back(job);
}

void PoolScheduler::OpenDueOccurrences(MonoTime now, WallTime wall) {
  int64_t overlapping_tasks = 0;
  for (const auto& [id, job] : open_jobs_) {
    if (!job->spec.scheduled()) {
      continue;
    }
    job->CloseFinishedOccurrences();
    if (job->occurrences.size() > 1) {
      overlapping_tasks += static_cast<int64_t>(job->occurrences.size() - 1) *
                           job->spec.task_count();
    }
  }
  for (const auto& [id, job] : open_jobs_) {
    if (!job->spec.scheduled() || job->durable_version == 0) {
      continue;
    }
    const int64_t tasks = job->spec.task_count();
    const size_t memory = EstimateOccurrenceMemory(job->spec);
    while (job->next_occurrence < job->spec.occurrences) {
      const WallTime due =
          job->spec.first_due + job->next_occurrence * job->spec.interval;
      if (due > wall) {
        Wake(now + std::chrono::duration_cast<MonoTime::duration>(due - wall));
        break;
      }
      if (!job->occurrences.empty()) {
        if (overlapping_tasks + tasks > kMaxOverlappingTasks ||
            !work_memory_->HasRoom(memory)) {
          break;
        }
        overlapping_tasks += tasks;
      }
      job->OpenOccurrence(job->next_occurrence, now);
      CountMemory(*job);
      MarkChanged(job);
      dispatch_needed_ = true;
    }
    CountMemory(*job);
  }
}

void PoolScheduler::RemoveFinishedJobs(MonoTime now) {
  while (!finished_jobs_.empty()) {
    const std::shared_ptr<Job>& job = finished_jobs_.front();
    if (now - job->finished_at < options_.bounds.status_retention ||
        job->durable_status == JobStatus::kLive) {
      return;
    }
    records_.AddRemoval(job->spec.id);
    jobs_.erase(job->spec.id);
    finished_jobs_.pop_front();
  }
}

std::chrono::milliseconds PoolScheduler::PredictedDuration(
    const Job& job,
    const StageSpec& stage) const {
  const auto model = durations_.find(job.spec.queue);
  return model == durations_.end() ? DurationModel().Predict(stage.estimate)
                                   : model->second.Predict(stage.estimate);
}

void PoolScheduler::AddOfferedLoad(double millicore_ms, MonoTime now) {
  const auto passed =
      std::chrono::duration<double, std::milli>(now - offered_updated_at_);
  offered_millicore_ms_ *= std::exp(
      -passed.count() / static_cast<double>(kOfferedLoadWindow.count()));
  offered_updated_at_ = now;
  offered_millicore_ms_ += millicore_ms;
}

int PoolScheduler::MaxAttempts(const Job& job) const {
  const QueueConfig* queue = plan_->FindQueueByName(job.spec.queue);
  return std::max(
      1, queue == nullptr ? job.spec.max_attempts : queue->max_attempts);
}

std::optional<TaskRef> PoolScheduler::FindTask(const TaskName& name) const {
  const auto known = jobs_.find(name.job);
  if (known == jobs_.end()) {
    return std::nullopt;
  }
  const std::shared_ptr<Job>& job = known->second;
  const auto occurrence = job->occurrences.find(name.occurrence);
  if (occurrence == job->occurrences.end() || name.stage < 0 ||
      name.stage >= static_cast<int>(occurrence->second.stages.size())) {
    return std::nullopt;
  }
  const Stage& stage = occurrence->second.stages[name.stage];
  if (name.index < 0 || name.index >= static_cast<int>(stage.tasks.size())) {
    return std::nullopt;
  }
  return TaskRef{job, name.occurrence, name.stage, name.index};
}

Resources PoolScheduler::SizeOfTask(const TaskName& name) const {
  const auto known = jobs_.find(name.job);
  if (known == jobs_.end() || name.stage < 0 ||
      name.stage >= static_cast<int>(known->second->spec.stages.size())) {
    return {};
  }
  return ReservedResources(known->second->spec.stages[name.stage]);
}

void PoolScheduler::AttachTask(const TaskRef& ref, WorkerState& worker) {
  ref.Get().worker = &worker;
  worker.tasks.insert(ref);
  worker.used += ReservedResources(ref.Spec());
  usage_.Add(ref.job->spec.customer, ReservedResources(ref.Spec()));
  ++ref.GetStage().on_worker[&worker];
}

void PoolScheduler::DetachTask(const TaskRef& ref) {
  Task& task = ref.Get();
  WorkerState* worker = task.worker;
  if (worker == nullptr) {
    return;
  }
  worker->tasks.erase(ref);
  worker->used -= ReservedResources(ref.Spec());
  usage_.Remove(ref.job->spec.customer, ReservedResources(ref.Spec()));
  std::map<const WorkerState*, int>& counts = ref.GetStage().on_worker;
  const auto count = counts.find(worker);
  if (count != counts.end() && --count->second == 0) {
    counts.erase(count);
  }
  task.worker = nullptr;
  task.order_in_flight = false;
  task.order_outcome_unknown = false;
  task.listed_by_worker = false;
  task.confirmed = false;
  task.order_outdated = false;
  task.order_deadline = std::chrono::milliseconds(0);
  task.inherited = false;
}

void PoolScheduler::ReturnTask(const TaskRef& ref, MonoTime now) {
  Task& task = ref.Get();
  DetachTask(ref);
  if (task.phase != TaskPhase::kWaiting && task.phase != TaskPhase::kDone) {
    task.phase = TaskPhase::kWaiting;
    ++ref.GetStage().waiting;
  }
  task.percent = 0;
  task.pace = 100;
  task.since = now;
  dispatch_needed_ = true;
  if (ref.job->live()) {
    MarkChanged(ref.job);
  }
}

void PoolScheduler::ReturnLostTask(const TaskRef& ref, MonoTime now) {
  Task& task = ref.Get();
  const bool may_have_run =
      task.phase == TaskPhase::kStarting || task.phase == TaskPhase::kRunning;
  if (may_have_run && !ref.Spec().perpetual) {
    task.lost_runs.push_back(task.run);
    if (task.lost_runs.size() > kMaxLostRuns) {
      task.lost_runs.erase(task.lost_runs.begin());
    }
  }
  ReturnTask(ref, now);
}

void PoolScheduler::CompleteTask(const TaskRef& ref, MonoTime now) {
  Task& task = ref.Get();
  DetachTask(ref);
  if (task.phase == TaskPhase::kDone) {
    return;
  }
  Stage& stage = ref.GetStage();
  if (task.phase == TaskPhase::kWaiting) {
    --stage.waiting;
  }
  task.phase = TaskPhase::kDone;
  ref.job->SetCheckpoint(task, "");
  task.failed_on.clear();
  task.lost_runs.clear();
  stage.failed_on.clear();
  ++stage.done;
  dispatch_needed_ = true;
  if (!ref.job->live()) {
    return;
  }
  MarkChanged(ref.job);
  Occurrence& occurrence = ref.job->occurrences.at(ref.occurrence);
  if (!occurrence.finished()) {
    return;
  }
  if (ref.job->AllDone()) {
    Finish(ref.job, JobStatus::kCompleted, now);
  }
}

}  // namespace figflow
