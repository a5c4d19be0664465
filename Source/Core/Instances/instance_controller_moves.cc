// Moves instances between pools, based on the pools' reports and the list of
// instances.
#include <algorithm>
#include <iterator>
#include <utility>

#include "Common/log.h"
#include "Instances/instance_controller.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

// Interval between two lists of the instances.
constexpr std::chrono::milliseconds kListInterval{1'000};
// Interval while instances are moving or a wave is open.
constexpr std::chrono::milliseconds kActiveListInterval{500};
// A move without a visible effect after this time is dropped, and may be
// planned again.
constexpr std::chrono::milliseconds kMoveTimeout{6'000};
// Interval between two log lines on the load of a pool.
constexpr std::chrono::milliseconds kPoolLogInterval{2'000};
// An older report is not reliable enough on what runs.
constexpr std::chrono::milliseconds kMaxReportAge{700};

}  // namespace

void InstanceController::RefreshInstances(MonoTime now) {
  {
    absl::MutexLock lock(&mutex_);
    if (listing_ || now < next_list_at_) {
      return;
    }
    listing_ = true;
    next_list_at_ =
        now + (pending_moves_.empty() && !HasOpenWave() ? kListInterval
                                                        : kActiveListInterval);
  }
  platform_.instances().List([self = shared_from_this(),
                              now](const Result<std::vector<Instance>>& list) {
    self->OnInstancesListed(now, list);
  });
}

void InstanceController::OnInstancesListed(
    MonoTime sent_at,
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
  RecordEndedWorkers(sent_at);
  for (auto it = pending_moves_.begin(); it != pending_moves_.end();) {
    const auto known = instances_.find(it->first);
    const bool arrived = sent_at > it->second.ordered_at &&
                         known != instances_.end() &&
                         known->second.state == InstanceStatus::kUp &&
                         known->second.pool == layout_.PoolOf(it->second.pool);
    const bool timed_out = sent_at - it->second.ordered_at > kMoveTimeout;
    it = arrived || timed_out ? pending_moves_.erase(it) : std::next(it);
  }
  // An instance is up again once a list that was requested after the response
  // to its order shows it up.
  for (auto& [number, wave] : waves_) {
    for (auto& [instance, step] : wave.state.instances) {
      if (step != MaintenanceStep::kDown) {
        continue;
      }
      const auto responded = wave.responded_at.find(instance);
      if (responded != wave.responded_at.end() &&
          sent_at <= responded->second) {
        continue;
      }
      const auto known = instances_.find(instance);
      if (known == instances_.end() ||
          known->second.state == InstanceStatus::kUp) {
        step = MaintenanceStep::kCompleted;
        wave.changed = true;
      }
    }
  }
}

bool InstanceController::IsFresh(const std::string& scope, MonoTime now) const {
  const auto reported = report_times_.find(scope);
  return reported != report_times_.end() &&
         now - reported->second < kMaxReportAge;
}

std::map<std::string, PoolReport> InstanceController::FreshReports(
    MonoTime now) const {
  std::map<std::string, int64_t> latest_incarnations;
  for (const auto& [scope, report] : reports_) {
    for (const WorkerLoad& load : report.workers) {
      int64_t& latest = latest_incarnations[load.instance];
      latest = std::max(latest, load.incarnation);
    }
  }
  const auto has_ended = [&](const WorkerLoad& load) {
    mutex_.AssertHeld();
    return ended_workers_.count(load.Key()) > 0 ||
           (!load.instance.empty() && load.incarnation != 0 &&
            load.incarnation < latest_incarnations[load.instance]);
  };
  std::map<std::string, PoolReport> pools;
  for (const auto& [pool, report] : reports_) {
    if (!IsFresh(pool, now)) {
      continue;
    }
    std::vector<WorkerLoad>& workers = (pools[pool] = report).workers;
    workers.erase(std::remove_if(workers.begin(), workers.end(), has_ended),
                  workers.end());
  }
  return pools;
}

std::set<std::string> InstanceController::InstancesInOtherPools(
    const std::map<std::string, PoolReport>& reports) const {
  std::set<std::string> elsewhere;
  for (const auto& [scope, report] : reports) {
    const std::string pool = layout_.PoolOf(scope);
    for (const WorkerLoad& load : report.workers) {
      const auto listed = instances_.find(load.instance);
      if (listed != instances_.end() && listed->second.pool != pool) {
        elsewhere.insert(load.instance);
      }
    }
  }
  return elsewhere;
}

std::set<std::string> InstanceController::InstancesInUse(MonoTime now) const {
  std::set<std::string> in_use;
  for (const auto& [scope, report] : FreshReports(now)) {
    for (const WorkerLoad& load : report.workers) {
      if (load.tasks > 0) {
        in_use.insert(load.instance);
      }
    }
  }
  // Without a recent report, tasks may run there: they outlive the owner of
  // their pool.
  for (const auto& [id, instance] : instances_) {
    const bool runs_worker = instance.state == InstanceStatus::kUp &&
                             !instance.worker.empty() &&
                             plan_->HasActivePool(instance.pool);
    if (runs_worker &&
        !IsFresh(layout_.ScopeOfInstance(instance.pool, id), now)) {
      in_use.insert(id);
    }
  }
  return in_use;
}

bool InstanceController::OrdersAllowed(MonoTime now) const {
  return !stopped_ && !deposed_ && !handing_over_ && active_written_ &&
         now < lease_valid_until_;
}

void InstanceController::PlanMoves(MonoTime now) {
  MoveInput input;
  input.pools = FreshReports(now);
  input.blocked = InstancesInOtherPools(input.pools);
  input.pending = pending_moves_;
  for (const PoolConfig& pool : plan_->pools) {
    if (pool.spare) {
      input.spare_pool = pool.name;
    }
  }
  for (const auto& [number, wave] : waves_) {
    for (const auto& [instance, step] : wave.state.instances) {
      if (!wave.completed && (step == MaintenanceStep::kOrdered ||
                              step == MaintenanceStep::kDown ||
                              wave.evacuating.count(instance) > 0)) {
        input.blocked.insert(instance);
      }
    }
  }
  input.instance_count = static_cast<int>(instances_.size());
  for (const auto& [id, instance] : instances_) {
    if (HasRecentEarlierOrder(id, now)) {
      input.blocked.insert(id);
    }
    if (instance.pool == input.spare_pool && instance.worker.empty() &&
        instance.state == InstanceStatus::kUp) {
      input.spare[id] = 0;
    }
  }
  LogPools(input, now);
  evacuating_for_moves_.clear();
  lending_.clear();
  moves_to_send_.clear();
  for (int partition = 0; partition < layout_.partitions; ++partition) {
    MovePlan plan =
        move_planners_[partition].Plan(InputOfPartition(input, partition), now);
    evacuating_for_moves_.merge(plan.evacuate);
    lending_.merge(plan.lend);
    std::move(plan.moves.begin(), plan.moves.end(),
              std::back_inserter(moves_to_send_));
  }
}

MoveInput InstanceController::InputOfPartition(const MoveInput& all,
                                               int partition) const {
  if (layout_.partitions == 1) {
    return all;
  }
  MoveInput input;
  input.spare_pool = all.spare_pool;
  input.blocked = all.blocked;
  for (const PoolConfig& pool : plan_->pools) {
    const auto report =
        all.pools.find(layout_.ScopeOfPartition(pool.name, partition));
    if (report != all.pools.end()) {
      input.pools.insert(*report);
    }
  }
  const auto belongs = [&](const auto& entry) {
    return layout_.PartitionOfInstance(entry.first) == partition;
  };
  std::copy_if(all.spare.begin(), all.spare.end(),
               std::inserter(input.spare, input.spare.end()), belongs);
  std::copy_if(all.pending.begin(), all.pending.end(),
               std::inserter(input.pending, input.pending.end()), belongs);
  input.instance_count = static_cast<int>(
      std::count_if(instances_.begin(), instances_.end(), belongs));
  return input;
}

void InstanceController::LogPools(const MoveInput& input, MonoTime now) {
  if (now < next_pool_log_at_) {
    return;
  }
  next_pool_log_at_ = now + kPoolLogInterval;
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
         {"late_backlog_millicore_ms",
          absl::StrCat(report.late_backlog_millicore_ms)},
         {"offered_millicores", absl::StrCat(report.offered_millicores)},
         {"unplaced", absl::StrCat(report.unplaced_tasks)},
         {"spread", absl::StrCat(report.min_perpetual_workers)},
         {"further", absl::StrCat(report.further_workers)},
         {"spare", absl::StrCat(input.spare.size())},
         {"pending", absl::StrCat(input.pending.size())},
         {"age_ms",
          absl::StrCat(
              WholeMilliseconds(now - report_times_.at(name)).count())}});
  }
}

void InstanceController::SendMoves(MonoTime now) {
  std::vector<InstanceMove> moves;
  PoolLayout layout;
  MonoTime send_by;
  {
    absl::MutexLock lock(&mutex_);
    if (!OrdersAllowed(now)) {
      return;
    }
    layout = layout_;
    send_by = lease_valid_until_;
    for (InstanceMove& move : moves_to_send_) {
      const std::string worker = WorkerOn(move.instance).key.id;
      // Two pools may report a worker on the same instance.
      if (!pending_moves_
               .emplace(move.instance, PendingMove{move.pool, now, worker})
               .second) {
        continue;
      }
      ordered_at_[move.instance] = now;
      ++orders_in_flight_;
      moves.push_back(std::move(move));
    }
    moves_to_send_.clear();
  }
  for (const InstanceMove& move : moves) {
    InstanceOrder order;
    order.instance = move.instance;
    order.pool = layout.PoolOf(move.pool);
    order.holder = options_.holder;
    order.fence = options_.fence;
    order.send_by = send_by;
    platform_.instances().Move(order,
                               [self = shared_from_this(),
                                move](const Result<InstanceAnswer>& response) {
                                 self->OnMoveResponse(move, response);
                               });
  }
}

void InstanceController::OnMoveResponse(
    const InstanceMove& move,
    const Result<InstanceAnswer>& response) {
  {
    absl::MutexLock lock(&mutex_);
    --orders_in_flight_;
  }
  TryHandOver();
  absl::MutexLock lock(&mutex_);
  const MonoTime now = clock_.Now();
  if (response && *response == InstanceAnswer::kDone) {
    PendingMove& pending = pending_moves_[move.instance];
    pending.pool = move.pool;
    pending.ordered_at = now;
    metrics_
        .GetCounter(absl::StrCat("figflow_instance_moves_total{to=\"",
                                 move.pool, "\"}"))
        .Add();
    LogEvent(LogLevel::kInfo, LogCategory::kMaintenance, "instance_moved",
             {{"instance", move.instance},
              {"pool", move.pool},
              {"worker", pending.worker},
              {"fence", absl::StrCat(options_.fence)}});
    return;
  }
  if (response && *response == InstanceAnswer::kFenced) {
    deposed_ = true;
    return;
  }
  LogEvent(LogLevel::kInfo, LogCategory::kMaintenance, "move_not_done",
           {{"instance", move.instance},
            {"pool", move.pool},
            {"answered", response ? "yes" : "no"}});
  // Without a response the order may have been carried out; the next lists will
  // show it.
  if (response) {
    pending_moves_.erase(move.instance);
  }
}

}  // namespace figflow
