#include "Jobs/placement.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

// A throttled task keeps this part of its cores, and all its memory and
// accelerators.
constexpr double kThrottledCores = 0.5;
// Urgent work has to start within 4 s; a second each for the checkpoint, the
// stop and two steps of the controller fits in that.
constexpr std::chrono::milliseconds kCheckpointPatience{1000};

bool Fits(const TaskSize& size, const TaskSize& room) {
  return size.cores <= room.cores && size.memory_mb <= room.memory_mb &&
         size.accelerators <= room.accelerators;
}

TaskSize Plus(const TaskSize& a, const TaskSize& b) {
  return TaskSize{a.cores + b.cores, a.memory_mb + b.memory_mb,
                  a.accelerators + b.accelerators};
}

TaskSize Minus(const TaskSize& a, const TaskSize& b) {
  return TaskSize{a.cores - b.cores, a.memory_mb - b.memory_mb,
                  a.accelerators - b.accelerators};
}

std::string Text(const TaskSize& size) {
  return absl::StrCat(size.cores, " cores, ", size.memory_mb, " MB, ",
                      size.accelerators, " accelerators");
}

// What a job with a worker takes up there.
TaskSize HeldSize(const JobRecord& job) {
  TaskSize size = EffectiveSize(job);
  if (job.preemption == Preemption::kThrottled) {
    size.cores *= kThrottledCores;
  }
  return size;
}

bool HasWorker(const JobRecord& job) {
  return job.state == JobState::kPlaced || job.state == JobState::kRunning ||
         job.state == JobState::kStopping;
}

// One step's planning. Free sizes and team usage follow the decisions made.
class Planner {
 public:
  Planner(const PlacementInput& input,
          const PlacementStrategy& strategy,
          std::chrono::milliseconds now)
      : input_(input), strategy_(strategy), now_(now) {
    for (const PlacementWorker& worker : input.workers) {
      free_[worker.id] = worker.capacity;
    }
    for (const JobRecord& job : input.jobs) {
      if (HasWorker(job)) {
        free_[job.worker] = Minus(free_[job.worker], HeldSize(job));
        used_[job.team] = Plus(used_[job.team], EffectiveSize(job));
      }
    }
  }

  std::vector<PlacementDecision> Plan() {
    for (const JobRecord& job : input_.jobs) {
      if (job.state == JobState::kRunning &&
          job.preemption == Preemption::kCheckpointing &&
          now_ - job.preempted_at >= kCheckpointPatience) {
        Decide(PlacementAction::kStop, job, "no checkpoint in time");
      }
    }
    for (const JobRecord* job : WaitingJobs()) {
      PlanJob(*job);
    }
    return std::move(decisions_);
  }

 private:
  void Decide(PlacementAction action,
              const JobRecord& job,
              std::string reason,
              const InstanceId& worker = InstanceId()) {
    decisions_.push_back(
        PlacementDecision{action, job.id, worker, std::move(reason)});
  }

  std::vector<const JobRecord*> WaitingJobs() const {
    std::vector<const JobRecord*> waiting;
    for (const JobRecord& job : input_.jobs) {
      if (WaitsForWorker(job.state)) {
        waiting.push_back(&job);
      }
    }
    std::stable_sort(waiting.begin(), waiting.end(),
                     [](const JobRecord* a, const JobRecord* b) {
                       return a->urgent != b->urgent
                                  ? a->urgent
                                  : a->submitted_at < b->submitted_at;
                     });
    return waiting;
  }

  void PlanJob(const JobRecord& job) {
    const TaskSize size = EffectiveSize(job);
    const std::string refusal = WhyImpossible(job, size);
    if (!refusal.empty()) {
      Decide(PlacementAction::kRefuse, job, refusal);
      return;
    }
    const auto quota = input_.quotas.find(job.team);
    if (quota != input_.quotas.end() &&
        !Fits(Plus(used_[job.team], size), quota->second)) {
      return;
    }
    if (const PlacementWorker* worker = Choose(job, size)) {
      Decide(PlacementAction::kPlace, job, "", worker->id);
      free_[worker->id] = Minus(free_[worker->id], size);
      used_[job.team] = Plus(used_[job.team], size);
    } else if (job.urgent) {
      Preempt(job, size);
    }
  }

  // Empty if the job can be placed at some time.
  std::string WhyImpossible(const JobRecord& job, const TaskSize& size) const {
    const auto quota = input_.quotas.find(job.team);
    if (quota != input_.quotas.end() && !Fits(size, quota->second)) {
      return absl::StrCat("needs ", Text(size), "; the quota of team ",
                          job.team.value(), " is ", Text(quota->second));
    }
    const PlacementWorker* largest = nullptr;
    for (const PlacementWorker& worker : input_.workers) {
      if (worker.pool != job.pool) {
        continue;
      }
      if (Fits(size, worker.capacity)) {
        return "";
      }
      if (largest == nullptr ||
          worker.capacity.cores > largest->capacity.cores) {
        largest = &worker;
      }
    }
    // The list may omit workers; without any there is no reason to give.
    if (largest == nullptr) {
      return "";
    }
    return absl::StrCat("needs ", Text(size), "; no worker of pool ",
                        job.pool.value(), " has that, the largest has ",
                        Text(largest->capacity));
  }

  static bool FailedOn(const JobRecord& job, const InstanceId& worker) {
    return std::any_of(
        job.failures.begin(), job.failures.end(),
        [&worker](const JobFailure& f) { return f.worker == worker; });
  }

  bool MayUse(const PlacementWorker& worker, const JobRecord& job) const {
    return worker.usable && worker.pool == job.pool &&
           !FailedOn(job, worker.id);
  }

  const PlacementWorker* Choose(const JobRecord& job, const TaskSize& size) {
    const PlacementWorker* best = nullptr;
    double best_cost = 0;
    for (const PlacementWorker& worker : input_.workers) {
      const TaskSize& free = free_[worker.id];
      if (!MayUse(worker, job) || !Fits(size, free)) {
        continue;
      }
      const double cost = strategy_.Cost(worker, free, size);
      if (best == nullptr || cost < best_cost) {
        best = &worker;
        best_cost = cost;
      }
    }
    return best;
  }

  // Jobs on the worker that may be preempted, largest first.
  std::vector<const JobRecord*> Victims(const InstanceId& worker) const {
    std::vector<const JobRecord*> victims;
    for (const JobRecord& job : input_.jobs) {
      if (job.worker == worker && job.state == JobState::kRunning &&
          !job.urgent && taken_.count(job.id) == 0) {
        victims.push_back(&job);
      }
    }
    std::stable_sort(victims.begin(), victims.end(),
                     [](const JobRecord* a, const JobRecord* b) {
                       return HeldSize(*a).cores > HeldSize(*b).cores;
                     });
    return victims;
  }

  // What the worker will have free once running preemptions are done.
  TaskSize ExpectedFree(const InstanceId& worker) {
    TaskSize free = free_[worker];
    for (const JobRecord& job : input_.jobs) {
      if (job.worker == worker &&
          (job.state == JobState::kStopping ||
           (job.state == JobState::kRunning &&
            job.preemption == Preemption::kCheckpointing))) {
        free = Plus(free, HeldSize(job));
      }
    }
    return free;
  }

  struct Choice {
    InstanceId worker;
    PlacementAction action = PlacementAction::kThrottle;
    std::vector<const JobRecord*> victims;
  };

  static bool Better(const Choice& a, const std::optional<Choice>& b) {
    return !b || a.action < b->action ||
           (a.action == b->action && a.victims.size() < b->victims.size());
  }

  // Fewest victims whose throttling or checkpoint makes room on the worker.
  std::optional<Choice> RoomOn(const PlacementWorker& worker,
                               const TaskSize& size,
                               PlacementAction action) {
    Choice choice{worker.id, action, {}};
    TaskSize room = ExpectedFree(worker.id);
    if (Fits(size, room)) {
      return choice;
    }
    for (const JobRecord* victim : Victims(worker.id)) {
      TaskSize freed = HeldSize(*victim);
      if (victim->preemption == Preemption::kCheckpointing ||
          (action == PlacementAction::kThrottle &&
           victim->preemption != Preemption::kNone)) {
        continue;
      }
      if (action == PlacementAction::kThrottle) {
        freed = TaskSize{freed.cores * (1 - kThrottledCores), 0, 0};
      }
      room = Plus(room, freed);
      choice.victims.push_back(victim);
      if (Fits(size, room)) {
        return choice;
      }
    }
    return std::nullopt;
  }

  void Preempt(const JobRecord& job, const TaskSize& size) {
    std::optional<Choice> best;
    for (const PlacementWorker& worker : input_.workers) {
      if (!MayUse(worker, job)) {
        continue;
      }
      for (const PlacementAction action :
           {PlacementAction::kThrottle, PlacementAction::kCheckpoint}) {
        std::optional<Choice> choice = RoomOn(worker, size, action);
        if (choice && Better(*choice, best)) {
          best = std::move(choice);
        }
      }
    }
    if (!best) {
      return;
    }
    for (const JobRecord* victim : best->victims) {
      taken_.insert(victim->id);
      Decide(best->action, *victim,
             absl::StrCat("preempted by urgent job ", job.id.value()));
    }
    // The room is kept for this job: later ones must not count on it.
    free_[best->worker] = Minus(free_[best->worker], size);
    used_[job.team] = Plus(used_[job.team], size);
  }

  const PlacementInput& input_;
  const PlacementStrategy& strategy_;
  const std::chrono::milliseconds now_;
  std::map<InstanceId, TaskSize> free_;
  std::map<TeamId, TaskSize> used_;
  std::set<JobId> taken_;
  std::vector<PlacementDecision> decisions_;
};

}  // namespace

double BestFit::Cost(const PlacementWorker& worker,
                     const TaskSize& free,
                     const TaskSize& size) const {
  const auto left = [](double free_part, double part, double capacity) {
    return capacity > 0 ? (free_part - part) / capacity : 0;
  };
  // An accelerator left unused costs more than cores.
  return left(free.cores, size.cores, worker.capacity.cores) +
         left(static_cast<double>(free.memory_mb),
              static_cast<double>(size.memory_mb),
              static_cast<double>(worker.capacity.memory_mb)) +
         4 * left(free.accelerators, size.accelerators,
                  worker.capacity.accelerators);
}

std::vector<PlacementDecision> PlanPlacement(
    const PlacementInput& input,
    const PlacementStrategy& strategy,
    std::chrono::milliseconds now_since_epoch) {
  return Planner(input, strategy, now_since_epoch).Plan();
}

}  // namespace figflow
