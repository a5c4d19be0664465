#include "Instances/wave_planner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace figflow {
namespace {

// Emptying an instance: tasks that end by themselves, stops, and perpetual
// tasks that move one after the other.
constexpr std::chrono::milliseconds kEmptying{2'500};
// From the order to the registry's entry of the new worker.
constexpr std::chrono::milliseconds kReturn{1'500};
// The wave is planned to be over this long before it is due.
constexpr std::chrono::milliseconds kReserve{4'000};
// Largest part of a pool that is emptied at once while time is not short.
constexpr double kPoolShare = 0.25;
// Workers with perpetual tasks that are emptied at once in a pool. Their tasks
// leave one after the other, so more of them would only wait.
constexpr int kMostPerpetual = 2;

struct Candidate {
  std::string instance;
  std::string pool;
  const WorkerLoad* load = nullptr;
  bool emptying = false;
};

// Lower goes first: what is being emptied already, what is idle, what holds no
// perpetual task, what holds few.
auto RankOf(const Candidate& candidate) {
  return std::make_tuple(!candidate.emptying, candidate.load->tasks > 0,
                         candidate.load->perpetual_tasks,
                         candidate.load->tasks);
}

}  // namespace

WavePlan PlanWave(const WaveState& wave,
                  const std::map<std::string, PoolReport>& pools,
                  const std::set<std::string>& without_worker,
                  const std::set<std::string>& emptying,
                  const WavePlannerOptions& options,
                  MonoTime now) {
  WavePlan plan;
  int down = 0;
  int left = 0;
  for (const auto& [instance, step] : wave.instances) {
    down += step == MaintenanceStep::kOrdered || step == MaintenanceStep::kDown
                ? 1
                : 0;
    left += step == MaintenanceStep::kWaiting ? 1 : 0;
  }
  if (left == 0) {
    return plan;
  }
  const int room = wave.max_down - down;
  int begun = 0;
  for (const std::string& instance : without_worker) {
    const auto member = wave.instances.find(instance);
    if (begun < room && member != wave.instances.end() &&
        member->second == MaintenanceStep::kWaiting) {
      plan.begin.push_back(instance);
      ++begun;
    }
  }
  std::vector<Candidate> candidates;
  std::map<std::string, int> emptying_in;
  // Workers that are emptied of perpetual tasks, by pool and in all.
  std::map<std::string, int> perpetual_in;
  int perpetual = 0;
  for (const auto& [name, pool] : pools) {
    for (const WorkerLoad& load : pool.workers) {
      const auto member = wave.instances.find(load.instance);
      const bool waiting = member != wave.instances.end() &&
                           member->second == MaintenanceStep::kWaiting;
      if (!waiting || !load.usable) {
        continue;
      }
      const bool chosen = emptying.count(load.instance) > 0;
      candidates.push_back({load.instance, name, &load, chosen});
    }
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Candidate& a, const Candidate& b) {
                     return RankOf(a) < RankOf(b);
                   });

  // Instances under way at once that the time left demands.
  const auto each = options.maintenance + kEmptying + kReturn;
  const auto time_left = std::chrono::duration_cast<std::chrono::milliseconds>(
                             wave.deadline - now) -
                         kReserve;
  const double rounds = std::max(1.0, static_cast<double>(time_left.count()) /
                                          static_cast<double>(each.count()));
  const int needed = static_cast<int>(std::ceil(left / rounds));
  const bool short_of_time = time_left < each;
  for (const Candidate& candidate : candidates) {
    const WorkerLoad& load = *candidate.load;
    const PoolReport& pool = pools.at(candidate.pool);
    if (load.evacuating && load.tasks == 0) {
      plan.evacuate.insert(load.instance);
      if (begun < room) {
        plan.begin.push_back(load.instance);
        ++begun;
      }
      continue;
    }
    const int under_way =
        down + static_cast<int>(plan.begin.size() + plan.evacuate.size());
    if (load.perpetual_tasks > 0) {
      const int most =
          pool.waiting_millicores > 0 && !short_of_time ? 1 : kMostPerpetual;
      if (candidate.emptying ||
          (perpetual_in[candidate.pool] < most && under_way < wave.max_down)) {
        plan.evacuate.insert(load.instance);
        ++perpetual_in[candidate.pool];
        ++perpetual;
      }
      continue;
    }
    if (candidate.emptying) {
      plan.evacuate.insert(load.instance);
      ++emptying_in[candidate.pool];
      continue;
    }
    const int limit =
        load.tasks == 0 ? wave.max_down : std::min(needed, wave.max_down);
    const int pool_limit =
        std::max(1, static_cast<int>(kPoolShare *
                                     static_cast<double>(pool.workers.size())));
    const bool crowded =
        emptying_in[candidate.pool] >= pool_limit && !short_of_time;
    const bool pool_is_full = pool.waiting_millicores > 0 && !short_of_time &&
                              load.tasks > 0 && under_way - perpetual >= needed;
    if (under_way - perpetual >= limit || crowded || pool_is_full) {
      continue;
    }
    plan.evacuate.insert(load.instance);
    ++emptying_in[candidate.pool];
  }
  return plan;
}

}  // namespace figflow
