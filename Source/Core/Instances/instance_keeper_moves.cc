// Moves of instances between pools, from the pools' reports and the list of
// instances.
#include <algorithm>
#include <iterator>
#include <utility>

#include "Common/log.h"
#include "Instances/instance_keeper.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

// Time between two lists of the instances.
constexpr std::chrono::milliseconds kListInterval{1'000};
// And while instances are on their way or down.
constexpr std::chrono::milliseconds kBusyListInterval{500};
// A move that has not shown by then is forgotten, and may be planned again.
constexpr std::chrono::milliseconds kMoveForgotten{6'000};
// Time between two lines on the load of the pools.
constexpr std::chrono::milliseconds kPoolLogInterval{2'000};
// A report older than this says too little about what runs.
constexpr std::chrono::milliseconds kReportAge{700};

}  // namespace

void InstanceKeeper::ReadList(MonoTime now) {
  {
    absl::MutexLock lock(&mutex_);
    if (listing_ || now < next_list_) {
      return;
    }
    listing_ = true;
    next_list_ = now + (moving_.empty() && !WaveOpen() ? kListInterval
                                                       : kBusyListInterval);
  }
  platform_.instances().List([self = shared_from_this(),
                              now](const Result<std::vector<Instance>>& list) {
    self->OnList(now, list);
  });
}

void InstanceKeeper::OnList(MonoTime sent_at,
                            const Result<std::vector<Instance>>& list) {
  absl::MutexLock lock(&mutex_);
  listing_ = false;
  if (!list) {
    return;
  }
  instances_.clear();
  for (const Instance& instance : *list) {
    instances_[instance.id] = instance;
  }
  for (auto it = moving_.begin(); it != moving_.end();) {
    const auto known = instances_.find(it->first);
    const bool arrived = sent_at > it->second.ordered_at &&
                         known != instances_.end() &&
                         known->second.state == InstanceStatus::kUp &&
                         known->second.pool == layout_.PoolOf(it->second.pool);
    const bool forgotten = sent_at - it->second.ordered_at > kMoveForgotten;
    it = arrived || forgotten ? moving_.erase(it) : std::next(it);
  }
  // An instance is back once a list that was asked for after the order's
  // answer shows it up.
  for (auto& [number, wave] : waves_) {
    for (auto& [instance, step] : wave.state.instances) {
      if (step != MaintenanceStep::kDown) {
        continue;
      }
      const auto answered = wave.answered_at.find(instance);
      if (answered != wave.answered_at.end() && sent_at <= answered->second) {
        continue;
      }
      const auto known = instances_.find(instance);
      if (known == instances_.end() ||
          known->second.state == InstanceStatus::kUp) {
        step = MaintenanceStep::kOver;
        wave.changed = true;
      }
    }
  }
}

bool InstanceKeeper::IsFresh(const std::string& scope, MonoTime now) const {
  return now - report_times_.at(scope) < kReportAge;
}

std::map<std::string, PoolReport> InstanceKeeper::FreshReports(
    MonoTime now) const {
  std::map<std::string, PoolReport> pools;
  for (const auto& [pool, report] : reports_) {
    if (IsFresh(pool, now)) {
      pools[pool] = report;
    }
  }
  return pools;
}

std::set<std::string> InstanceKeeper::InstancesInUse(MonoTime now) const {
  std::set<std::string> in_use;
  for (const auto& [scope, report] : reports_) {
    if (!IsFresh(scope, now)) {
      continue;
    }
    for (const WorkerLoad& load : report.workers) {
      if (load.tasks > 0) {
        in_use.insert(load.instance);
      }
    }
  }
  return in_use;
}

bool InstanceKeeper::MayOrder(MonoTime now) const {
  return !stopped_ && !deposed_ && !handing_over_ && active_written_ &&
         now < certain_until_;
}

void InstanceKeeper::PlanMoves(MonoTime now) {
  MoveInput input;
  input.pools = FreshReports(now);
  input.pending = moving_;
  for (const PoolConfig& pool : plan_->pools) {
    if (pool.spare) {
      input.spare_pool = pool.name;
    }
  }
  for (const auto& [number, wave] : waves_) {
    for (const auto& [instance, step] : wave.state.instances) {
      if (!wave.completed && (step == MaintenanceStep::kOrdered ||
                              step == MaintenanceStep::kDown ||
                              wave.emptying.count(instance) > 0)) {
        input.blocked.insert(instance);
      }
    }
  }
  input.all_instances = static_cast<int>(instances_.size());
  for (const auto& [id, instance] : instances_) {
    if (TooRecent(id, now)) {
      input.blocked.insert(id);
    }
    if (instance.pool == input.spare_pool && instance.worker.empty() &&
        instance.state == InstanceStatus::kUp) {
      input.spare[id] = 0;
    }
  }
  LogPools(input, now);
  emptying_for_moves_.clear();
  moves_to_send_.clear();
  for (int part = 0; part < layout_.parts; ++part) {
    MovePlan plan = move_planners_[part].Plan(InputOfPart(input, part), now);
    emptying_for_moves_.merge(plan.evacuate);
    std::move(plan.moves.begin(), plan.moves.end(),
              std::back_inserter(moves_to_send_));
  }
}

MoveInput InstanceKeeper::InputOfPart(const MoveInput& all, int part) const {
  if (layout_.parts == 1) {
    return all;
  }
  MoveInput input;
  input.spare_pool = all.spare_pool;
  input.blocked = all.blocked;
  for (const PoolConfig& pool : plan_->pools) {
    const auto report = all.pools.find(layout_.Scope(pool.name, part));
    if (report != all.pools.end()) {
      input.pools.insert(*report);
    }
  }
  const auto belongs = [&](const auto& entry) {
    return layout_.PartOfInstance(entry.first) == part;
  };
  std::copy_if(all.spare.begin(), all.spare.end(),
               std::inserter(input.spare, input.spare.end()), belongs);
  std::copy_if(all.pending.begin(), all.pending.end(),
               std::inserter(input.pending, input.pending.end()), belongs);
  input.all_instances = static_cast<int>(
      std::count_if(instances_.begin(), instances_.end(), belongs));
  return input;
}

void InstanceKeeper::LogPools(const MoveInput& input, MonoTime now) {
  if (now < next_pool_log_) {
    return;
  }
  next_pool_log_ = now + kPoolLogInterval;
  for (const auto& [name, report] : input.pools) {
    int idle = 0;
    int with_perpetual = 0;
    int64_t used = 0;
    for (const WorkerLoad& load : report.workers) {
      idle += load.usable && load.tasks == 0 ? 1 : 0;
      with_perpetual += load.perpetual_tasks > 0 ? 1 : 0;
      used += load.used_millicores;
    }
    LogEvent(
        LogLevel::kInfo, LogCategory::kPools, "pool_load",
        {{"pool", name},
         {"workers", absl::StrCat(report.workers.size())},
         {"idle", absl::StrCat(idle)},
         {"with_perpetual", absl::StrCat(with_perpetual)},
         {"used_millicores", absl::StrCat(used)},
         {"perpetual_millicores", absl::StrCat(report.perpetual_millicores)},
         {"waiting_millicores", absl::StrCat(report.waiting_millicores)},
         {"offered_millicores", absl::StrCat(report.offered_millicores)},
         {"unplaced", absl::StrCat(report.unplaced_tasks)},
         {"spread", absl::StrCat(report.spread_workers)},
         {"spare", absl::StrCat(input.spare.size())},
         {"pending", absl::StrCat(input.pending.size())},
         {"age_ms",
          absl::StrCat(
              WholeMilliseconds(now - report_times_.at(name)).count())}});
  }
}

void InstanceKeeper::SendMoves(MonoTime now) {
  std::vector<InstanceMove> moves;
  PoolLayout layout;
  {
    absl::MutexLock lock(&mutex_);
    if (!MayOrder(now)) {
      return;
    }
    layout = layout_;
    moves.swap(moves_to_send_);
    for (const InstanceMove& move : moves) {
      moving_[move.instance] = {move.pool, now, WorkerOn(move.instance)};
      ordered_at_[move.instance] = now;
      ++orders_in_flight_;
    }
  }
  for (const InstanceMove& move : moves) {
    InstanceOrder order;
    order.instance = move.instance;
    order.pool = layout.PoolOf(move.pool);
    order.holder = options_.holder;
    order.fence = options_.fence;
    platform_.instances().Move(order,
                               [self = shared_from_this(),
                                move](const Result<InstanceAnswer>& answer) {
                                 self->OnMoveAnswer(move, answer);
                               });
  }
}

void InstanceKeeper::OnMoveAnswer(const InstanceMove& move,
                                  const Result<InstanceAnswer>& answer) {
  {
    absl::MutexLock lock(&mutex_);
    --orders_in_flight_;
  }
  TryHandOver();
  absl::MutexLock lock(&mutex_);
  const MonoTime now = clock_.Now();
  if (answer && *answer == InstanceAnswer::kDone) {
    PendingMove& pending = moving_[move.instance];
    pending.pool = move.pool;
    pending.ordered_at = now;
    NoteEnded(pending.worker, now);
    metrics_
        .GetCounter(absl::StrCat("figflow_instance_moves_total{to=\"",
                                 move.pool, "\"}"))
        .Add();
    LogEvent(LogLevel::kInfo, LogCategory::kMaintenance, "instance_moved",
             {{"instance", move.instance}, {"pool", move.pool}});
    return;
  }
  if (answer && *answer == InstanceAnswer::kFenced) {
    deposed_ = true;
    return;
  }
  LogEvent(LogLevel::kInfo, LogCategory::kMaintenance, "move_not_done",
           {{"instance", move.instance},
            {"pool", move.pool},
            {"answered", answer ? "yes" : "no"}});
  // Without an answer the order may have been carried out: the list will show.
  if (answer) {
    moving_.erase(move.instance);
  }
}

}  // namespace figflow
