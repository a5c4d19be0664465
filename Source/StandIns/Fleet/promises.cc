#include "StandIns/Fleet/promises.h"

#include <algorithm>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace figflow::model {
namespace {

// Time after the acknowledgement of a cancellation in which a task may still
// start (platform contract).
constexpr std::chrono::seconds kCancelTime{3};
// Time after the acceptance of a job until which a daemon may not know it
// (platform contract).
constexpr std::chrono::seconds kVisibleTime{3};
// Time without disruption after which a daemon counts as in touch (platform
// contract).
constexpr std::chrono::seconds kStableWindow{3};

}  // namespace

std::string Promises::Text(const TaskName& task) {
  return absl::StrCat(task.job, ".", task.occurrence, ".", task.stage, ".",
                      task.index);
}

void Promises::Break(const std::string& what) {
  broken_.push_back(what);
}

void Promises::SetPlan(const FleetPlan& plan) {
  plan_ = plan;
  for (const QueueConfig& queue : plan.queues) {
    pools_of_queue_[queue.name].insert(queue.pool);
  }
}

void Promises::OnSubmitted(const JobSpec& spec) {
  jobs_[spec.id].spec = spec;
}

void Promises::OnAccepted(const std::string& job, MonoTime now) {
  JobRecord& record = jobs_[job];
  if (!record.accepted) {
    record.accepted = true;
    record.accepted_at = now;
  }
}

void Promises::OnRefused(const std::string& job) {
  jobs_[job].refused = true;
}

void Promises::OnCancelAsked(const std::string& job) {
  jobs_[job].cancel_asked = true;
}

void Promises::OnCancelAcknowledged(const std::string& job, MonoTime now) {
  JobRecord& record = jobs_[job];
  if (!record.cancelled) {
    record.cancelled = true;
    record.cancelled_at = now;
  }
}

void Promises::OnShown(const std::string& job, const std::string& state) {
  JobRecord& record = jobs_[job];
  if (state == "completed") {
    size_t tasks = 0;
    for (const StageSpec& stage : record.spec.stages) {
      tasks += static_cast<size_t>(stage.count);
    }
    tasks *= static_cast<size_t>(std::max(1, record.spec.occurrences));
    if (record.done.size() < tasks) {
      Break(absl::StrCat("job ", job, " is shown as completed with ",
                         record.done.size(), " of ", tasks, " tasks done"));
    }
  }
  if (state == "failed" && !IsHopeless(record)) {
    Break(absl::StrCat("job ", job, " is shown as failed without cause"));
  }
  const bool final_state = record.shown == "completed" ||
                           record.shown == "failed" ||
                           record.shown == "cancelled";
  if (final_state && state != record.shown) {
    Break(absl::StrCat("job ", job, " was ", record.shown, " and is ", state));
  }
  record.shown = state;
}

void Promises::OnUnknownJobAnswer(const std::string& job, MonoTime now) {
  const JobRecord& record = jobs_[job];
  // A daemon may have the plan before, which routes the queue to another pool.
  // RULES.md, LOST: "later than `visible_ms` after the acknowledgement".
  const bool may_be_invisible = pools_of_queue_[record.spec.queue].size() > 1 &&
                                now <= record.accepted_at + kVisibleTime;
  if (record.accepted && !may_be_invisible) {
    Break(absl::StrCat("accepted job ", job, " is said not to exist"));
  }
}

int Promises::Beside(const std::string& worker, const TaskName& task) const {
  const std::string stage =
      absl::StrCat(task.job, ".", task.occurrence, ".", task.stage, ".");
  int beside = 0;
  for (auto it = running_.lower_bound(stage);
       it != running_.end() && absl::StartsWith(it->first, stage); ++it) {
    const bool here =
        std::any_of(it->second.begin(), it->second.end(),
                    [&](const auto& run) { return run.first == worker; });
    beside += here && it->first != Text(task) ? 1 : 0;
  }
  return beside;
}

bool Promises::IsHopeless(const JobRecord& job) const {
  const QueueConfig* queue = plan_.FindQueueByName(job.spec.queue);
  if (queue == nullptr) {
    return true;
  }
  // A gang's members share their run numbers.
  std::map<std::string, std::set<uint32_t>> failed;
  for (const auto& [task, runs] : job.failed) {
    const std::vector<std::string> parts = absl::StrSplit(task, '.');
    const bool gang = job.spec.stages.at(std::stoul(parts[2])).gang;
    const std::string unit =
        gang ? absl::StrCat(parts[1], ".", parts[2]) : task;
    failed[unit].insert(runs.begin(), runs.end());
  }
  return std::any_of(failed.begin(), failed.end(), [&](const auto& unit) {
    return static_cast<int>(unit.second.size()) >= queue->max_attempts;
  });
}

void Promises::CheckAttempts(const JobRecord& job, const std::string& task) {
  const QueueConfig* queue = plan_.FindQueueByName(job.spec.queue);
  const auto starts = job.failed_before.find(task);
  const auto noted = job.failures_noted.find(task);
  if (queue == nullptr || starts == job.failed_before.end() ||
      noted == job.failures_noted.end()) {
    return;
  }
  for (const std::set<uint32_t>& failed : starts->second) {
    const auto attempts = std::count_if(
        failed.begin(), failed.end(),
        [&](uint32_t run) { return noted->second.count(run) > 0; });
    if (attempts >= queue->max_attempts) {
      Break(
          absl::StrCat("task ", task, " starts after ", attempts, " failures"));
    }
  }
}

void Promises::OnStarted(const WorkerReport& on,
                         const TaskName& task,
                         uint32_t run,
                         MonoTime now) {
  const std::string& worker = on.key.id;
  const std::string text = Text(task);
  const auto known = jobs_.find(task.job);
  if (known == jobs_.end()) {
    Break(absl::StrCat("task ", text, " of a job that nobody handed in"));
    return;
  }
  JobRecord& job = known->second;
  job.started = true;
  const StageSpec& stage = job.spec.stages.at(task.stage);
  if (!stage.speculative && !running_[text].empty()) {
    Break(absl::StrCat("task ", text, " run ", run, " on ", worker,
                       " while it runs on ", running_[text].begin()->first));
  }
  if (!stage.speculative && job.done.count(text) > 0 && job.done[text] > 1) {
    Break(absl::StrCat("task ", text, " run ", run,
                       " after its end was noted as done"));
  }
  if (job.cancelled && now > job.cancelled_at + kCancelTime &&
      (disturbed_until_ == MonoTime::min() ||
       now > disturbed_until_ + kStableWindow)) {
    Break(absl::StrCat("task ", text, " of a cancelled job"));
  }
  for (const int earlier : stage.after) {
    for (int i = 0; i < job.spec.stages[earlier].count; ++i) {
      if (job.done.count(Text({task.job, task.occurrence, earlier, i})) == 0) {
        Break(absl::StrCat("task ", text, " before stage ", earlier,
                           " was done"));
        break;
      }
    }
  }
  const int beside = Beside(worker, task);
  if (stage.max_per_worker > 0 && beside >= stage.max_per_worker) {
    Break(absl::StrCat("task ", text, " on ", worker, " beside ", beside,
                       " others of its stage"));
  }
  if (pools_of_queue_[job.spec.queue].count(on.pool) == 0) {
    Break(absl::StrCat("task ", text, " on ", worker, " of pool ", on.pool));
  }
  if (!stage.speculative && !stage.perpetual) {
    job.failed_before[text].push_back(job.failed[text]);
    CheckAttempts(job, text);
  }
  if (!stage.speculative && !stage.perpetual) {
    job.done_before[text].insert(job.done_runs[text].begin(),
                                 job.done_runs[text].end());
  }
  running_[text].insert({worker, run});
}

void Promises::OnEnded(const std::string& worker,
                       const TaskName& task,
                       uint32_t run,
                       RunResult end,
                       MonoTime /*now*/) {
  const std::string text = Text(task);
  running_[text].erase({worker, run});
  JobRecord& job = jobs_[task.job];
  if (end == RunResult::kDone) {
    int& level = job.done[text];
    level = std::max(level, 1);
    job.done_runs[text].insert(run);
  }
  if (end == RunResult::kFailed) {
    job.failed[text].insert(run);
  }
}

void Promises::OnNoted(const TaskName& task, uint32_t run, RunResult end) {
  if (end == RunResult::kFailed) {
    JobRecord& job = jobs_[task.job];
    job.failures_noted[Text(task)].insert(run);
    CheckAttempts(job, Text(task));
  }
  if (end == RunResult::kDone) {
    // From now on the task must not start again.
    jobs_[task.job].done[Text(task)] = 2;
    if (jobs_[task.job].done_before[Text(task)].count(run) > 0) {
      Break(absl::StrCat("task ", Text(task), " started after run ", run,
                         " was done, whose end was noted later"));
    }
  }
}

void Promises::OnWorkerGone(const std::string& worker, MonoTime /*now*/) {
  for (auto& [task, runs] : running_) {
    for (auto it = runs.begin(); it != runs.end();) {
      it = it->first == worker ? runs.erase(it) : std::next(it);
    }
  }
}

void Promises::OnAlone(const TaskName& task) {
  if (lone_members_allowed_) {
    return;
  }
  Break(absl::StrCat("task ", Text(task), " waited for its gang in vain"));
}

void Promises::OnInstanceOrder(const std::string& instance, uint64_t fence) {
  uint64_t& highest = instance_fences_[instance];
  if (fence < highest) {
    Break(absl::StrCat("order for instance ", instance, " with fence ", fence,
                       " after ", highest));
  }
  highest = std::max(highest, fence);
}

void Promises::OnMaintenance(uint64_t wave, int down, int max_down) {
  if (down > max_down) {
    Break(absl::StrCat("wave ", wave, " has ", down, " instances down, ",
                       max_down, " are allowed"));
  }
}

std::vector<std::string> Promises::Unfinished() const {
  std::vector<std::string> left;
  for (const auto& [id, job] : jobs_) {
    if (job.refused && job.started && !job.accepted) {
      left.push_back(absl::StrCat(id, " refused, but started"));
    }
    if (job.accepted && !job.cancelled && !job.spec.perpetual() &&
        job.shown != "completed" && job.shown != "failed" &&
        !(job.cancel_asked && job.shown == "cancelled")) {
      left.push_back(absl::StrCat(id, " is ", job.shown));
    }
  }
  return left;
}

std::vector<std::string> Promises::Running() const {
  std::vector<std::string> running;
  for (const auto& [task, runs] : running_) {
    for (const auto& [worker, run] : runs) {
      running.push_back(absl::StrCat(task, " run ", run, " on ", worker));
    }
  }
  return running;
}

int Promises::completed() const {
  int count = 0;
  for (const auto& [id, job] : jobs_) {
    count += job.shown == "completed" ? 1 : 0;
  }
  return count;
}

}  // namespace figflow::model
