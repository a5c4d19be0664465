#include "Instances/move_planner.h"

#include <algorithm>
#include <cmath>

namespace figflow {
namespace {

// Time in which a backlog should be worked off once the moved instances are
// there. With the 1.5 s of the move it is within most objectives.
constexpr double kDrainSeconds = 1.0;
// A backlog that the pool works off within this time by itself is left to it:
// a move takes longer.
constexpr double kToleratedBacklogSeconds = 0.5;
// Part of its capacity that a pool can use in practice: the rest is lost to
// tasks that do not fit in the gaps.
constexpr double kUsableShare = 0.85;
// Instances that idle for longer are given back. A move there and one back cost
// about as much as 2.3 s in a pool.
constexpr std::chrono::milliseconds kIdleBeforeReturn{1'500};
// A pool keeps this part of an even share of all instances, for the start of
// its next peak.
constexpr double kKeptShare = 0.35;
// A pool gives instances to another one only while its own load is below this
// part of what would remain.
constexpr double kDonorLoad = 0.6;
// A choice that has not become empty by then is dropped: a task came first.
constexpr int kMostAtOnce = 12;

}  // namespace

struct MovePlanner::PoolNeed {
  const PoolReport* report = nullptr;
  // Millicores of usable workers, and on the way.
  double capacity = 0;
  double incoming = 0;
  int size = 0;
  // Millicores that the pool should have for what arrives, and for what waits
  // as well.
  double offered = 0;
  double wanted = 0;

  // Work waits that the pool cannot do soon by itself.
  // Or more work arrives than it can do.
  bool Short() const {
    return BacklogSeconds() >= kToleratedBacklogSeconds ||
           report->unplaced_tasks > 0 || offered > capacity;
  }

  // Work waits.
  bool Busy() const {
    return BacklogSeconds() > 0 || report->unplaced_tasks > 0;
  }

  double BacklogSeconds() const {
    const double usable = std::max(1.0, capacity * kUsableShare);
    return static_cast<double>(report->backlog_millicore_ms) / 1000.0 / usable;
  }
};

MovePlan MovePlanner::Plan(const MoveInput& input, MonoTime now) {
  MovePlan plan;
  std::map<std::string, PoolNeed> needs;
  double instance_size = 0;
  for (const auto& [name, report] : input.pools) {
    PoolNeed& need = needs[name];
    need.report = &report;
    for (const WorkerLoad& load : report.workers) {
      instance_size = std::max(instance_size,
                               static_cast<double>(load.capacity_millicores));
      if (load.usable && !load.evacuating) {
        need.capacity += static_cast<double>(load.capacity_millicores);
        ++need.size;
      }
    }
  }
  for (const auto& [instance, move] : input.pending) {
    const auto need = needs.find(move.pool);
    if (need != needs.end()) {
      need->second.incoming += instance_size;
    }
  }
  // Without the list of all instances nothing is known of the pools' shares.
  if (instance_size <= 0 || input.all_instances == 0) {
    return plan;
  }
  const double floor =
      kKeptShare * input.all_instances / static_cast<double>(needs.size());
  for (auto& [name, need] : needs) {
    const PoolReport& report = *need.report;
    need.offered = static_cast<double>(report.offered_millicores +
                                       report.perpetual_millicores) /
                   kUsableShare;
    need.wanted =
        need.offered + static_cast<double>(report.backlog_millicore_ms) /
                           1000.0 / kDrainSeconds / kUsableShare;
    // Whatever keeps a perpetual task from the present workers, one more may
    // take it.
    if (report.unplaced_tasks > 0) {
      need.wanted = std::max(need.wanted, need.capacity + instance_size);
    }
  }

  // Idle instances by pool, and since when.
  std::set<std::string> idle_now;
  std::map<std::string, std::vector<std::string>> idle;
  for (const auto& [name, report] : input.pools) {
    for (const WorkerLoad& load : report.workers) {
      if (load.usable && load.tasks == 0 && !load.instance.empty() &&
          input.blocked.count(load.instance) == 0 &&
          input.pending.count(load.instance) == 0) {
        idle_now.insert(load.instance);
        idle[name].push_back(load.instance);
        idle_since_.emplace(load.instance, now);
      }
    }
  }
  for (auto it = idle_since_.begin(); it != idle_since_.end();) {
    it = idle_now.count(it->first) > 0 ? std::next(it) : idle_since_.erase(it);
  }
  for (auto it = chosen_.begin(); it != chosen_.end();) {
    it = idle_now.count(it->first) > 0 ? std::next(it) : chosen_.erase(it);
  }

  // Chosen instances that are empty and get no tasks any more can move.
  for (const auto& [name, report] : input.pools) {
    for (const WorkerLoad& load : report.workers) {
      const auto target = chosen_.find(load.instance);
      if (target == chosen_.end()) {
        continue;
      }
      plan.evacuate.insert(load.instance);
      if (load.evacuating && load.tasks == 0) {
        plan.moves.push_back({load.instance, target->second});
      } else if (needs.count(target->second) > 0) {
        needs[target->second].incoming += instance_size;
      }
      // The report may be older than the choice.
      if (!load.evacuating) {
        needs[name].capacity -= instance_size;
        --needs[name].size;
      }
    }
  }

  std::vector<std::string> spare;
  for (const auto& [instance, capacity] : input.spare) {
    if (input.blocked.count(instance) == 0 &&
        input.pending.count(instance) == 0) {
      spare.push_back(instance);
    }
  }
  // The pool with the longest backlog first.
  std::vector<PoolNeed*> by_need;
  by_need.reserve(needs.size());
  for (auto& [name, need] : needs) {
    by_need.push_back(&need);
  }
  std::sort(by_need.begin(), by_need.end(),
            [](const PoolNeed* a, const PoolNeed* b) {
              return a->BacklogSeconds() > b->BacklogSeconds();
            });
  int planned = 0;
  for (PoolNeed* need : by_need) {
    if (!need->Short()) {
      continue;
    }
    const std::string& name = need->report->pool;
    while (need->capacity + need->incoming < need->wanted &&
           planned < kMostAtOnce) {
      if (!spare.empty()) {
        plan.moves.push_back({spare.back(), name});
        spare.pop_back();
      } else {
        // From the pool that has most to spare.
        PoolNeed* donor = nullptr;
        for (auto& [other, candidate] : needs) {
          const bool gives =
              &candidate != need && !idle[other].empty() && !candidate.Busy() &&
              candidate.wanted <
                  kDonorLoad * (candidate.capacity - instance_size) &&
              candidate.size > floor;
          if (gives &&
              (donor == nullptr || candidate.capacity - candidate.wanted >
                                       donor->capacity - donor->wanted)) {
            donor = &candidate;
          }
        }
        if (donor == nullptr) {
          break;
        }
        std::vector<std::string>& from = idle[donor->report->pool];
        const std::string instance = from.back();
        from.pop_back();
        if (chosen_.emplace(instance, name).second) {
          plan.evacuate.insert(instance);
          donor->capacity -= instance_size;
          --donor->size;
        } else {
          continue;
        }
      }
      need->incoming += instance_size;
      ++planned;
    }
  }

  if (input.spare_pool.empty()) {
    return plan;
  }
  for (auto& [name, need] : needs) {
    if (need.Busy()) {
      continue;
    }
    for (const std::string& instance : idle[name]) {
      const bool returns =
          chosen_.count(instance) == 0 &&
          now - idle_since_[instance] >= kIdleBeforeReturn &&
          need.size > floor &&
          need.wanted < kDonorLoad * (need.capacity - instance_size);
      if (returns) {
        chosen_[instance] = input.spare_pool;
        plan.evacuate.insert(instance);
        need.capacity -= instance_size;
        --need.size;
      }
    }
  }
  return plan;
}

}  // namespace figflow
