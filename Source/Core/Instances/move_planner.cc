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
// start of its next peak, and at most this number: spare instances come within
// the time of a move, and cost nothing until then.
constexpr double kMinPoolShare = 0.35;
constexpr double kMaxReservedInstances = 8;
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
  // The same without waiting work that can't meet its objective.
  double wanted_in_time = 0;

  // Returns whether the pool can't work off its waiting work soon by itself, or
  // more work arrives than it can do. Work that is late already does not count.
  bool IsShort() const {
    return InTimeBacklogSeconds() >= kToleratedBacklogSeconds ||
           report->unplaced_tasks > 0 || offered > capacity;
  }

  // Returns whether the pool can't work off its late work soon.
  bool IsLate() const {
    return report->late_backlog_millicore_ms > 0 &&
           BacklogSeconds() >= kToleratedBacklogSeconds;
  }

  // Returns how many workers perpetual tasks need in addition to the present
  // ones.
  int MissingWorkers() const {
    return std::max(0, report->min_perpetual_workers - size);
  }

  // Returns the millicores that the pool has with the further workers that its
  // large tasks need.
  double CapacityForLargeTasks(double instance_capacity) const {
    return capacity + report->further_workers * instance_capacity;
  }

  // Returns whether work is waiting.
  bool HasWaitingWork() const {
    return BacklogSeconds() > 0 || report->unplaced_tasks > 0 ||
           report->further_workers > 0;
  }

  double BacklogSeconds() const {
    return SecondsOf(report->backlog_millicore_ms);
  }

  double InTimeBacklogSeconds() const {
    return SecondsOf(report->backlog_millicore_ms -
                     report->late_backlog_millicore_ms);
  }

  // Returns how long the pool takes for this work.
  double SecondsOf(int64_t millicore_ms) const {
    const double usable = std::max(1.0, capacity * kUsableShare);
    return static_cast<double>(millicore_ms) / 1000.0 / usable;
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
    const auto to_drain = [](int64_t millicore_ms) {
      return static_cast<double>(millicore_ms) / 1000.0 / kDrainSeconds /
             kUsableShare;
    };
    wanted = offered + to_drain(report->backlog_millicore_ms);
    wanted_in_time = wanted - to_drain(report->late_backlog_millicore_ms);
    // A perpetual task that no present worker can run may fit on an additional
    // one.
    if (report->unplaced_tasks > 0) {
      wanted = std::max(wanted, capacity + instance_capacity);
      wanted_in_time = std::max(wanted_in_time, capacity + instance_capacity);
    }
    if (report->further_workers > 0) {
      const double for_large_tasks = CapacityForLargeTasks(instance_capacity);
      wanted = std::max(wanted, for_large_tasks);
      wanted_in_time = std::max(wanted_in_time, for_large_tasks);
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
  // Instances with tasks that pools can lend, the one with the fewest tasks
  // last.
  std::map<std::string, std::vector<std::string>> lendable;
  MovePlan plan;

  // Returns whether the pool can manage with one instance less.
  bool CanDonate(const PoolNeed& need) const {
    return need.wanted < kMaxDonorLoad * (need.capacity - instance_capacity) &&
           need.size > MinSize(need);
  }

  // Returns whether the pool has late work, and can do the other work with one
  // instance less.
  bool CanLend(const PoolNeed& need) const {
    return need.IsLate() && !need.IsShort() &&
           need.wanted_in_time <= need.capacity - instance_capacity &&
           need.size > MinSize(need);
  }

  // Returns the number of instances that the pool keeps in any case.
  double MinSize(const PoolNeed& need) const {
    return std::max<double>(min_pool_size,
                            std::max(1, need.report->min_perpetual_workers));
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
  PlanningRound round{input, now, {}, MaxInstanceCapacity(input.pools), 0, {},
                      {},    {},  {}};
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
  const double even_share =
      input.instance_count / static_cast<double>(round->needs.size());
  round->min_pool_size =
      std::min(kMinPoolShare * even_share, kMaxReservedInstances);
  for (const auto& [instance, capacity] : input.spare) {
    if (IsMovable(input, instance)) {
      round->spare.push_back(instance);
    }
  }
}

void MovePlanner::FindIdleInstances(PlanningRound* round) {
  std::set<std::string> idle_now;
  std::set<std::string> movable_now;
  for (const auto& [name, report] : round->input.pools) {
    std::vector<const WorkerLoad*> lendable;
    for (const WorkerLoad& load : report.workers) {
      if (!load.usable || load.instance.empty() ||
          !IsMovable(round->input, load.instance)) {
        continue;
      }
      movable_now.insert(load.instance);
      if (lent_targets_.count(load.instance) > 0) {
        continue;
      }
      if (load.tasks == 0) {
        idle_now.insert(load.instance);
        round->idle[name].push_back(load.instance);
        idle_since_.emplace(load.instance, round->now);
      }
      if (load.tasks > 0 && load.perpetual_tasks == 0 && !load.evacuating) {
        lendable.push_back(&load);
      }
    }
    std::stable_sort(lendable.begin(), lendable.end(),
                     [](const WorkerLoad* a, const WorkerLoad* b) {
                       return a->tasks > b->tasks;
                     });
    for (const WorkerLoad* load : lendable) {
      round->lendable[name].push_back(load->instance);
    }
  }
  RetainOnly(idle_now, &idle_since_);
  RetainOnly(idle_now, &chosen_targets_);
  RetainOnly(movable_now, &lent_targets_);
}

void MovePlanner::AdvanceChosenInstances(PlanningRound* round) {
  for (const auto& [name, report] : round->input.pools) {
    for (const WorkerLoad& load : report.workers) {
      const auto lent = lent_targets_.find(load.instance);
      const auto chosen = chosen_targets_.find(load.instance);
      const bool is_lent = lent != lent_targets_.end();
      if (!is_lent && chosen == chosen_targets_.end()) {
        continue;
      }
      const auto choice = is_lent ? lent : chosen;
      const auto target = round->needs.find(choice->second);
      (is_lent ? round->plan.lend : round->plan.evacuate).insert(load.instance);
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
              return a->InTimeBacklogSeconds() > b->InTimeBacklogSeconds();
            });
  int planned = 0;
  // Perpetual tasks need few instances, and can't run at all without them.
  for (PoolNeed* need : by_need) {
    const double missing = need->MissingWorkers() * round->instance_capacity;
    AssignInstances(need, need->capacity + missing, true, round, &planned);
  }
  // Large tasks that no present worker can hold cannot run at all either. Work
  // of other pools is not interrupted for them.
  for (PoolNeed* need : by_need) {
    AssignInstances(need, need->CapacityForLargeTasks(round->instance_capacity),
                    false, round, &planned);
  }
  for (PoolNeed* need : by_need) {
    if (need->IsShort()) {
      AssignInstances(need, need->wanted_in_time, true, round, &planned);
    }
  }
  for (PoolNeed* need : by_need) {
    if (need->IsLate()) {
      AssignInstances(need, need->wanted, false, round, &planned);
    }
  }
}

void MovePlanner::AssignInstances(PoolNeed* need,
                                  double wanted,
                                  bool may_borrow,
                                  PlanningRound* round,
                                  int* planned) {
  while (need->capacity + need->incoming < wanted &&
         *planned < kMaxMovesPerPlan) {
    Source source = TakeIdleInstance(*need, round);
    if (source == Source::kNone && may_borrow) {
      source = TakeLentInstance(*need, round);
    }
    if (source == Source::kNone) {
      return;
    }
    if (source == Source::kTaken) {
      need->incoming += round->instance_capacity;
      ++*planned;
    }
  }
}

MovePlanner::Source MovePlanner::TakeIdleInstance(const PoolNeed& taker,
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

MovePlanner::Source MovePlanner::TakeLentInstance(const PoolNeed& taker,
                                                  PlanningRound* round) {
  PoolNeed* donor = FindLender(taker, round);
  if (donor == nullptr) {
    return Source::kNone;
  }
  std::vector<std::string>& from = round->lendable[donor->report->pool];
  lent_targets_[from.back()] = taker.report->pool;
  round->plan.lend.insert(from.back());
  from.pop_back();
  round->RemoveCapacity(donor);
  return Source::kTaken;
}

MovePlanner::PoolNeed* MovePlanner::FindLender(const PoolNeed& taker,
                                               PlanningRound* round) {
  PoolNeed* donor = nullptr;
  for (auto& [name, candidate] : round->needs) {
    const bool can_lend = &candidate != &taker &&
                          !round->lendable[name].empty() &&
                          round->CanLend(candidate);
    if (can_lend &&
        (donor == nullptr || candidate.capacity - candidate.wanted_in_time >
                                 donor->capacity - donor->wanted_in_time)) {
      donor = &candidate;
    }
  }
  return donor;
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
