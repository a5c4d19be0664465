#include "Instances/move_planner.h"

#include <algorithm>
#include <cmath>

namespace figflow {
namespace {

// Time in which a backlog should be worked off once the moved instances are
// available. Together with the 1.5 s of the move it is within most objectives.
constexpr double kDrainSeconds = 1.0;
// A pool is left to work off a backlog that takes it less than this time: a
// move takes longer.
constexpr double kToleratedBacklogSeconds = 0.5;
// Share of its capacity that a pool can use in practice; the rest is lost to
// tasks that do not fit the remaining capacity of a worker.
constexpr double kUsableShare = 0.85;
// Instances that are idle for longer are returned. A move to the spare pool and
// one back cost about as much as 2.3 s in a pool.
constexpr std::chrono::milliseconds kIdleBeforeReturn{1'500};
// A pool keeps this share of an even distribution of all instances for the
// start of its next peak.
constexpr double kMinPoolShare = 0.35;
// A pool gives up instances only while its own load is below this share of the
// capacity that would remain.
constexpr double kMaxDonorLoad = 0.6;
// Maximum number of moves planned for short pools in one call.
constexpr int kMaxMovesPerPlan = 12;

// Returns the millicores of the largest instance.
double MaxInstanceCapacity(const std::map<std::string, PoolReport>& pools) {
  double size = 0;
  for (const auto& [name, report] : pools) {
    for (const WorkerLoad& load : report.workers) {
      size = std::max(size, static_cast<double>(load.capacity_millicores));
    }
  }
  return size;
}

bool IsMovable(const MoveInput& input, const std::string& instance) {
  return input.blocked.count(instance) == 0 &&
         input.pending.count(instance) == 0;
}

template <typename Value>
void RetainOnly(const std::set<std::string>& retained,
                std::map<std::string, Value>* by_instance) {
  for (auto it = by_instance->begin(); it != by_instance->end();) {
    it = retained.count(it->first) > 0 ? std::next(it) : by_instance->erase(it);
  }
}

}  // namespace

// Capacity and demand of a pool.
struct MovePlanner::PoolNeed {
  const PoolReport* report = nullptr;
  // Millicores of usable workers, and of instances that are moving to the pool.
  double capacity = 0;
  double incoming = 0;
  int size = 0;
  // Millicores that the pool needs for arriving work, and for arriving and
  // waiting work.
  double offered = 0;
  double wanted = 0;

  // Returns whether the pool can't work off its waiting work soon by itself, or
  // more work arrives than it can do.
  bool IsShort() const {
    return BacklogSeconds() >= kToleratedBacklogSeconds ||
           report->unplaced_tasks > 0 || offered > capacity;
  }

  // Returns how many workers perpetual tasks need in addition to the present
  // ones.
  int MissingWorkers() const {
    return std::max(0, report->min_perpetual_workers - size);
  }

  // Returns whether work is waiting.
  bool HasWaitingWork() const {
    return BacklogSeconds() > 0 || report->unplaced_tasks > 0;
  }

  double BacklogSeconds() const {
    const double usable = std::max(1.0, capacity * kUsableShare);
    return static_cast<double>(report->backlog_millicore_ms) / 1000.0 / usable;
  }

  void CountCapacity() {
    for (const WorkerLoad& load : report->workers) {
      if (load.usable && !load.evacuating) {
        capacity += static_cast<double>(load.capacity_millicores);
        ++size;
      }
    }
  }

  void EstimateDemand(double instance_capacity) {
    offered = static_cast<double>(report->offered_millicores +
                                  report->perpetual_millicores) /
              kUsableShare;
    wanted = offered + static_cast<double>(report->backlog_millicore_ms) /
                           1000.0 / kDrainSeconds / kUsableShare;
    // A perpetual task that no present worker can run may fit on an additional
    // one.
    if (report->unplaced_tasks > 0) {
      wanted = std::max(wanted, capacity + instance_capacity);
    }
  }
};

struct MovePlanner::PlanningRound {
  const MoveInput& input;
  const MonoTime now;
  std::map<std::string, PoolNeed> needs;
  // Millicores.
  double instance_capacity = 0;
  // Number of instances below which a pool gives none away.
  double min_pool_size = 0;
  // Idle instances by pool.
  std::map<std::string, std::vector<std::string>> idle;
  // Spare instances that are not used yet.
  std::vector<std::string> spare;
  MovePlan plan;

  // Returns whether the pool can manage with one instance less.
  bool CanDonate(const PoolNeed& need) const {
    return need.wanted < kMaxDonorLoad * (need.capacity - instance_capacity) &&
           need.size > std::max<double>(min_pool_size,
                                        need.report->min_perpetual_workers);
  }

  // Keeps the instance free of tasks and no longer counts it for its pool.
  void Evacuate(const std::string& instance, PoolNeed* need) {
    plan.evacuate.insert(instance);
    RemoveCapacity(need);
  }

  void RemoveCapacity(PoolNeed* need) const {
    need->capacity -= instance_capacity;
    --need->size;
  }
};

MovePlan MovePlanner::Plan(const MoveInput& input, MonoTime now) {
  PlanningRound round{input, now, {}, MaxInstanceCapacity(input.pools),
                      0,     {},  {}, {}};
  // Without the list of instances the pools' shares are not known.
  if (round.instance_capacity <= 0 || input.instance_count == 0) {
    return {};
  }
  AssessPools(&round);
  FindIdleInstances(&round);
  AdvanceChosenInstances(&round);
  FillShortPools(&round);
  if (!input.spare_pool.empty()) {
    ReturnIdleInstances(&round);
  }
  return std::move(round.plan);
}

void MovePlanner::AssessPools(PlanningRound* round) {
  const MoveInput& input = round->input;
  for (const auto& [name, report] : input.pools) {
    PoolNeed& need = round->needs[name];
    need.report = &report;
    need.CountCapacity();
    need.EstimateDemand(round->instance_capacity);
  }
  for (const auto& [instance, move] : input.pending) {
    const auto need = round->needs.find(move.pool);
    if (need != round->needs.end()) {
      need->second.incoming += round->instance_capacity;
    }
  }
  round->min_pool_size = kMinPoolShare * input.instance_count /
                         static_cast<double>(round->needs.size());
  for (const auto& [instance, capacity] : input.spare) {
    if (IsMovable(input, instance)) {
      round->spare.push_back(instance);
    }
  }
}

void MovePlanner::FindIdleInstances(PlanningRound* round) {
  std::set<std::string> idle_now;
  for (const auto& [name, report] : round->input.pools) {
    for (const WorkerLoad& load : report.workers) {
      if (load.usable && load.tasks == 0 && !load.instance.empty() &&
          IsMovable(round->input, load.instance)) {
        idle_now.insert(load.instance);
        round->idle[name].push_back(load.instance);
        idle_since_.emplace(load.instance, round->now);
      }
    }
  }
  RetainOnly(idle_now, &idle_since_);
  RetainOnly(idle_now, &chosen_targets_);
}

void MovePlanner::AdvanceChosenInstances(PlanningRound* round) {
  for (const auto& [name, report] : round->input.pools) {
    for (const WorkerLoad& load : report.workers) {
      const auto choice = chosen_targets_.find(load.instance);
      if (choice == chosen_targets_.end()) {
        continue;
      }
      const auto target = round->needs.find(choice->second);
      round->plan.evacuate.insert(load.instance);
      if (load.evacuating && load.tasks == 0) {
        round->plan.moves.push_back({load.instance, choice->second});
      } else if (target != round->needs.end()) {
        target->second.incoming += round->instance_capacity;
      }
      // The report may be older than the choice.
      if (!load.evacuating) {
        round->RemoveCapacity(&round->needs[name]);
      }
    }
  }
}

void MovePlanner::FillShortPools(PlanningRound* round) {
  // The pool with the longest backlog comes first.
  std::vector<PoolNeed*> by_need;
  by_need.reserve(round->needs.size());
  for (auto& [name, need] : round->needs) {
    by_need.push_back(&need);
  }
  std::sort(by_need.begin(), by_need.end(),
            [](const PoolNeed* a, const PoolNeed* b) {
              return a->BacklogSeconds() > b->BacklogSeconds();
            });
  int planned = 0;
  // Perpetual tasks need few instances, and can't run at all without them.
  for (PoolNeed* need : by_need) {
    const double missing = need->MissingWorkers() * round->instance_capacity;
    AssignInstances(need, need->capacity + missing, round, &planned);
  }
  for (PoolNeed* need : by_need) {
    if (need->IsShort()) {
      AssignInstances(need, need->wanted, round, &planned);
    }
  }
}

void MovePlanner::AssignInstances(PoolNeed* need,
                                  double wanted,
                                  PlanningRound* round,
                                  int* planned) {
  while (need->capacity + need->incoming < wanted &&
         *planned < kMaxMovesPerPlan) {
    const Source source = TakeInstance(*need, round);
    if (source == Source::kNone) {
      return;
    }
    if (source == Source::kTaken) {
      need->incoming += round->instance_capacity;
      ++*planned;
    }
  }
}

MovePlanner::Source MovePlanner::TakeInstance(const PoolNeed& taker,
                                              PlanningRound* round) {
  const std::string& pool = taker.report->pool;
  if (!round->spare.empty()) {
    round->plan.moves.push_back({round->spare.back(), pool});
    round->spare.pop_back();
    return Source::kTaken;
  }
  PoolNeed* donor = FindDonor(taker, round);
  if (donor == nullptr) {
    return Source::kNone;
  }
  std::vector<std::string>& from = round->idle[donor->report->pool];
  const std::string instance = from.back();
  from.pop_back();
  if (!chosen_targets_.emplace(instance, pool).second) {
    return Source::kChosenBefore;
  }
  round->Evacuate(instance, donor);
  return Source::kTaken;
}

MovePlanner::PoolNeed* MovePlanner::FindDonor(const PoolNeed& taker,
                                              PlanningRound* round) {
  PoolNeed* donor = nullptr;
  for (auto& [name, candidate] : round->needs) {
    const bool can_donate =
        &candidate != &taker && !round->idle[name].empty() &&
        !candidate.HasWaitingWork() && round->CanDonate(candidate);
    if (can_donate &&
        (donor == nullptr || candidate.capacity - candidate.wanted >
                                 donor->capacity - donor->wanted)) {
      donor = &candidate;
    }
  }
  return donor;
}

void MovePlanner::ReturnIdleInstances(PlanningRound* round) {
  for (auto& [name, need] : round->needs) {
    if (need.HasWaitingWork()) {
      continue;
    }
    for (const std::string& instance : round->idle[name]) {
      if (chosen_targets_.count(instance) == 0 &&
          round->now - idle_since_[instance] >= kIdleBeforeReturn &&
          round->CanDonate(need)) {
        chosen_targets_[instance] = round->input.spare_pool;
        round->Evacuate(instance, &need);
      }
    }
  }
}

}  // namespace figflow
