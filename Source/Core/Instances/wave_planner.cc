#include "Instances/wave_planner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace figflow {
namespace {

// Time to evacuate an instance: tasks that finish, stops, and perpetual tasks
// that move one at a time.
constexpr std::chrono::milliseconds kEvacuationTime{2'500};
// Time from the order to the registry's entry of the new worker.
constexpr std::chrono::milliseconds kRejoinTime{1'500};
// The wave is planned to be completed this long before its deadline.
constexpr std::chrono::milliseconds kDeadlineMargin{4'000};
// Maximum share of a pool that is evacuated at once while enough time is left.
constexpr double kMaxEvacuatingShare = 0.25;
// Maximum number of workers with perpetual tasks that are evacuated at once in
// a pool. Their tasks leave one at a time, so more workers would only wait.
constexpr int kMaxPerpetualEvacuations = 2;

struct Candidate {
  std::string instance;
  std::string pool;
  const WorkerLoad* load = nullptr;
  bool evacuating = false;
};

// Lower ranks go first: instances that are already being evacuated, idle ones,
// those with no or few perpetual tasks, those with few tasks.
auto RankOf(const Candidate& candidate) {
  return std::make_tuple(!candidate.evacuating, candidate.load->tasks > 0,
                         candidate.load->perpetual_tasks,
                         candidate.load->tasks);
}

}  // namespace

WavePlan PlanWave(const WaveState& wave,
                  const std::map<std::string, PoolReport>& pools,
                  const std::set<std::string>& without_worker,
                  const std::set<std::string>& evacuating,
                  const WavePlannerOptions& options,
                  MonoTime now) {
  WavePlan plan;
  int down = 0;
  int waiting_count = 0;
  for (const auto& [instance, step] : wave.instances) {
    down += step == MaintenanceStep::kOrdered || step == MaintenanceStep::kDown
                ? 1
                : 0;
    waiting_count += step == MaintenanceStep::kWaiting ? 1 : 0;
  }
  if (waiting_count == 0) {
    return plan;
  }
  const int free_capacity = wave.max_down - down;
  int started = 0;
  for (const std::string& instance : without_worker) {
    const auto member = wave.instances.find(instance);
    if (started < free_capacity && member != wave.instances.end() &&
        member->second == MaintenanceStep::kWaiting) {
      plan.to_maintain.push_back(instance);
      ++started;
    }
  }
  std::vector<Candidate> candidates;
  std::map<std::string, int> evacuating_by_pool;
  // Workers that are being evacuated of perpetual tasks, by pool and in total.
  std::map<std::string, int> perpetual_by_pool;
  int perpetual_evacuations = 0;
  // Workers with perpetual tasks that still have to be evacuated, by pool.
  std::map<std::string, int> perpetual_waiting;
  for (const auto& [name, pool] : pools) {
    for (const WorkerLoad& load : pool.workers) {
      const auto member = wave.instances.find(load.instance);
      const bool waiting = member != wave.instances.end() &&
                           member->second == MaintenanceStep::kWaiting;
      if (!waiting || !load.usable) {
        continue;
      }
      const bool chosen = evacuating.count(load.instance) > 0;
      candidates.push_back({load.instance, name, &load, chosen});
      perpetual_waiting[name] += load.perpetual_tasks > 0 ? 1 : 0;
    }
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Candidate& a, const Candidate& b) {
                     return RankOf(a) < RankOf(b);
                   });

  // Number of instances to process in parallel for the wave to be completed in
  // time.
  const auto time_per_instance =
      options.maintenance_duration + kEvacuationTime + kRejoinTime;
  const auto time_left = std::chrono::duration_cast<std::chrono::milliseconds>(
                             wave.deadline - now) -
                         kDeadlineMargin;
  const double rounds =
      std::max(1.0, static_cast<double>(time_left.count()) /
                        static_cast<double>(time_per_instance.count()));
  const int needed = static_cast<int>(std::ceil(waiting_count / rounds));
  const bool short_of_time = time_left < time_per_instance;
  for (const Candidate& candidate : candidates) {
    const WorkerLoad& load = *candidate.load;
    const PoolReport& pool = pools.at(candidate.pool);
    if (load.evacuating && load.tasks == 0) {
      plan.evacuate.insert(load.instance);
      if (started < free_capacity) {
        plan.to_maintain.push_back(load.instance);
        ++started;
      }
      continue;
    }
    const int under_way =
        down + static_cast<int>(plan.to_maintain.size() + plan.evacuate.size());
    if (load.perpetual_tasks > 0) {
      // Beside waiting work, one at a time is enough only if all of them are
      // done by the deadline.
      const bool slowly =
          pool.waiting_millicores > 0 &&
          perpetual_waiting[candidate.pool] * kEvacuationTime <= time_left;
      const int max_evacuations = slowly ? 1 : kMaxPerpetualEvacuations;
      if (candidate.evacuating ||
          (perpetual_by_pool[candidate.pool] < max_evacuations &&
           under_way < wave.max_down)) {
        plan.evacuate.insert(load.instance);
        ++perpetual_by_pool[candidate.pool];
        ++perpetual_evacuations;
      }
      continue;
    }
    if (candidate.evacuating) {
      plan.evacuate.insert(load.instance);
      ++evacuating_by_pool[candidate.pool];
      continue;
    }
    const int limit =
        load.tasks == 0 ? wave.max_down : std::min(needed, wave.max_down);
    const int pool_limit =
        std::max(1, static_cast<int>(kMaxEvacuatingShare *
                                     static_cast<double>(pool.workers.size())));
    const bool pool_limit_reached =
        evacuating_by_pool[candidate.pool] >= pool_limit && !short_of_time;
    const bool pool_is_busy = pool.waiting_millicores > 0 && !short_of_time &&
                              load.tasks > 0 &&
                              under_way - perpetual_evacuations >= needed;
    if (under_way - perpetual_evacuations >= limit || pool_limit_reached ||
        pool_is_busy) {
      continue;
    }
    plan.evacuate.insert(load.instance);
    ++evacuating_by_pool[candidate.pool];
  }
  return plan;
}

}  // namespace figflow
