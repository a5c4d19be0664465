#include "Instances/instance_controller.h"

#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>

#include "Common/log.h"
#include "Instances/wave_record.h"
#include "Ownership/owner_record.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

constexpr std::chrono::milliseconds kReadTimeout{1'000};
// Interval between two reports of a pool. A peak is detected within it, and
// each step of a move (choose, evacuate, move) waits for a report. Shorter
// intervals gain nothing against the 1.5 s that a move takes. Each partition of
// the pools adds as much, so that the controller's load does not grow with the
// fleet.
constexpr std::chrono::milliseconds kSyncInterval{50};
constexpr std::chrono::milliseconds kMaxSyncInterval{250};
// How long an end is reported after the last list that shows it; the registry
// drops a worker that has ended within this time.
constexpr std::chrono::seconds kEndedWorkerRetention{10};

}  // namespace

InstanceController::InstanceController(PlatformAdapter& platform,
                                       const Clock& clock,
                                       MetricsRegistry& metrics,
                                       InstanceControllerOptions options,
                                       SyncPool sync_pool,
                                       std::function<void()> wake)
    : platform_(platform),
      clock_(clock),
      metrics_(metrics),
      options_(std::move(options)),
      sync_pool_(std::move(sync_pool)),
      wake_(std::move(wake)),
      created_at_(clock.Now()),
      plan_(std::make_shared<FleetPlan>()),
      customer_grants_(options_.fence) {}

void InstanceController::Start() {
  {
    absl::MutexLock lock(&mutex_);
    reading_ = true;
  }
  platform_.store().Get(
      SequenceKey(kInstancesScope), kReadTimeout,
      [self =
           shared_from_this()](const Result<std::optional<StoreItem>>& item) {
        if (item) {
          self->ReadHandOverRecord(*item ? (*item)->revision : 0);
          return;
        }
        {
          absl::MutexLock lock(&self->mutex_);
          self->reading_ = false;
        }
        self->wake_();
      });
}

void InstanceController::ReadHandOverRecord(uint64_t sequence_revision) {
  platform_.store().Get(HandOverKey(), kReadTimeout,
                        [self = shared_from_this(), sequence_revision](
                            const Result<std::optional<StoreItem>>& item) {
                          {
                            absl::MutexLock lock(&self->mutex_);
                            self->reading_ = false;
                          }
                          if (item) {
                            self->InitializeWriter(sequence_revision, *item);
                          }
                          self->wake_();
                        });
}

void InstanceController::InitializeWriter(
    uint64_t sequence_revision,
    const std::optional<StoreItem>& handover) {
  absl::MutexLock lock(&mutex_);
  if (started_) {
    return;
  }
  started_ = true;
  // Without a record there was no earlier controller.
  after_crash_ = false;
  if (handover) {
    const Result<HandOverRecord> record = ParseHandOverRecord(handover->value);
    after_crash_ = !record || record->active;
    if (record) {
      for (const auto& [instance, blocked_for] : record->recently_ordered) {
        blocked_until_[instance] =
            created_at_ +
            std::min<MonoTime::duration>(blocked_for, options_.holder_interval);
      }
    }
  }
  RecordWriter::Ownership ownership;
  ownership.pool = kInstancesScope;
  ownership.nonce = options_.nonce;
  ownership.owner_revision = options_.fence;
  ownership.sequence_revision = sequence_revision;
  writer_ = std::make_shared<RecordWriter>(platform_.store(), clock_, metrics_,
                                           ownership, wake_);
}

void InstanceController::Stop() {
  absl::MutexLock lock(&mutex_);
  stopped_ = true;
  ResetCustomerMetrics();
  if (writer_) {
    writer_->Stop();
  }
}

void InstanceController::SetPlan(std::shared_ptr<const FleetPlan> plan) {
  absl::MutexLock lock(&mutex_);
  plan_ = std::move(plan);
  SetCustomerScopes();
}

void InstanceController::SetLayout(const PoolLayout& layout) {
  absl::MutexLock lock(&mutex_);
  layout_ = layout;
  SetCustomerScopes();
  move_planners_.resize(layout.partitions);
}

void InstanceController::OnWaveRequested(const MaintenanceWave& requested,
                                         MonoTime seen_at) {
  {
    absl::MutexLock lock(&mutex_);
    if (waves_.count(requested.number) > 0) {
      return;
    }
    Wave& wave = waves_[requested.number];
    wave.requested = requested;
    wave.state.number = requested.number;
    wave.state.max_down = requested.max_down;
    wave.state.deadline = seen_at + requested.complete_within;
    wave.due =
        clock_.WallNow() + std::chrono::duration_cast<WallTime::duration>(
                               wave.state.deadline - clock_.Now());
    for (const std::string& instance : requested.instances) {
      wave.state.instances[instance] = MaintenanceStep::kWaiting;
    }
  }
  wake_();
}

void InstanceController::SetLeaseValidUntil(MonoTime until) {
  absl::MutexLock lock(&mutex_);
  lease_valid_until_ = until;
}

bool InstanceController::deposed() const {
  absl::MutexLock lock(&mutex_);
  return deposed_;
}

bool InstanceController::HasOpenWave() const {
  return std::any_of(waves_.begin(), waves_.end(), [](const auto& item) {
    return item.second.loaded && !item.second.completed;
  });
}

MonoTime InstanceController::Step(MonoTime now) {
  std::vector<uint64_t> to_load;
  std::shared_ptr<RecordWriter> writer;
  bool open = false;
  bool restart = false;
  {
    absl::MutexLock lock(&mutex_);
    if (stopped_ || deposed_) {
      return MonoTime::max();
    }
    restart = !started_ && !reading_;
    for (auto& [number, wave] : waves_) {
      if (started_ && !wave.loaded && !wave.loading) {
        wave.loading = true;
        to_load.push_back(number);
      }
    }
    writer = writer_;
    open = HasOpenWave();
  }
  if (restart) {
    Start();
  }
  for (const uint64_t number : to_load) {
    LoadWave(number);
  }
  MonoTime next = MonoTime::max();
  if (writer) {
    next = writer->Step(now);
  }
  if (SyncPools(now)) {
    absl::MutexLock lock(&mutex_);
    PlanMoves(now);
  }
  RefreshInstances(now);
  SendMoves(now);
  if (open) {
    absl::MutexLock lock(&mutex_);
    PlanWaves(now);
  }
  WriteRecords(now);
  if (open) {
    SendMaintenanceOrders(now);
  }
  absl::MutexLock lock(&mutex_);
  return std::min(next, next_sync_at_);
}

void InstanceController::LoadWave(uint64_t number) {
  platform_.store().Get(
      WaveKey(number), kReadTimeout,
      [self = shared_from_this(),
       number](const Result<std::optional<StoreItem>>& item) {
        {
          absl::MutexLock lock(&self->mutex_);
          Wave& wave = self->waves_[number];
          wave.loading = false;
          if (!item) {
            return;
          }
          wave.loaded = true;
          wave.changed = !*item;
          if (*item) {
            const Result<WaveRecord> record = ParseWaveRecord((*item)->value);
            if (!record) {
              LogEvent(LogLevel::kError, LogCategory::kMaintenance,
                       "wave_record_unreadable",
                       {{"wave", absl::StrCat(number)},
                        {"error", ToString(record.error())}});
              return;
            }
            wave.completed = record->completed;
            wave.due = record->due;
            for (const auto& [instance, step] : record->instances) {
              wave.state.instances[instance] = step;
            }
            const auto left = record->due - self->clock_.WallNow();
            wave.state.deadline = std::min(
                wave.state.deadline,
                self->clock_.Now() +
                    std::chrono::duration_cast<MonoTime::duration>(left));
          }
          LogEvent(LogLevel::kInfo, LogCategory::kMaintenance, "wave_open",
                   {{"wave", absl::StrCat(number)},
                    {"instances", absl::StrCat(wave.state.instances.size())},
                    {"max_down", absl::StrCat(wave.state.max_down)}});
        }
        self->wake_();
      });
}

InstanceController::ReportedWorker InstanceController::WorkerOn(
    const std::string& instance) const {
  // The report of a pool that the instance has left may still list an earlier
  // worker.
  ReportedWorker latest;
  MonoTime latest_report = MonoTime::min();
  for (const auto& [scope, report] : reports_) {
    const MonoTime reported = report_times_.at(scope);
    for (const WorkerLoad& load : report.workers) {
      if (load.instance == instance &&
          std::tie(load.incarnation, reported) >
              std::tie(latest.key.incarnation, latest_report)) {
        latest_report = reported;
        latest = {load.Key(), scope, clock_.Now()};
      }
    }
  }
  return latest;
}

void InstanceController::RecordEndedWorkers(MonoTime sent_at) {
  for (const auto& [scope, report] : reports_) {
    for (const WorkerLoad& load : report.workers) {
      const auto listed = instances_.find(load.instance);
      if (listed == instances_.end()) {
        continue;
      }
      // An incarnation never changes its pool. One that began after the list
      // was requested may be in a pool that the list does not show yet.
      if (!listed->second.pool.empty() &&
          listed->second.pool != layout_.PoolOf(scope) &&
          listed->second.worker != load.worker &&
          reported_since_.at(scope).at(load.Key()) <= sent_at) {
        RecordEndedWorker({load.Key(), scope, sent_at}, listed->second);
      }
    }
  }
  for (const auto& [number, wave] : waves_) {
    for (const auto& [instance, worker] : wave.worker_before) {
      const auto listed = instances_.find(instance);
      if (!worker.key.id.empty() && worker.known_at <= sent_at &&
          listed != instances_.end() &&
          listed->second.state == InstanceStatus::kMaintenance) {
        RecordEndedWorker(worker, listed->second);
      }
    }
  }
}

void InstanceController::RecordEndedWorker(const ReportedWorker& worker,
                                           const Instance& instance) {
  const auto [ended, added] = ended_workers_.emplace(
      worker.key, EndedWorker{clock_.Now(), worker.scope});
  ended->second.since = clock_.Now();
  if (added) {
    LogEvent(LogLevel::kInfo, LogCategory::kMaintenance, "worker_ended",
             {{"worker", worker.key.id},
              {"incarnation", absl::StrCat(worker.key.incarnation)},
              {"scope", worker.scope},
              {"instance", instance.id},
              {"listed_pool", instance.pool},
              {"listed_worker", instance.worker}});
  }
}

std::set<std::string> InstanceController::WorkersToEvacuate() const {
  std::set<std::string> instances = evacuating_for_moves_;
  std::set<std::string> workers;
  for (const auto& [number, wave] : waves_) {
    for (const std::string& instance : wave.evacuating) {
      const auto before = wave.worker_before.find(instance);
      if (before != wave.worker_before.end()) {
        workers.insert(before->second.key.id);
      }
      // Once the maintenance has begun, a later worker may be used.
      if (before == wave.worker_before.end() ||
          wave.state.instances.at(instance) != MaintenanceStep::kDown) {
        instances.insert(instance);
      }
    }
  }
  for (const auto& [instance, move] : pending_moves_) {
    instances.erase(instance);
    workers.insert(move.worker);
  }
  workers.merge(WorkersOn(instances));
  return workers;
}

std::set<std::string> InstanceController::WorkersOn(
    const std::set<std::string>& instances) const {
  std::set<std::string> workers;
  for (const auto& [scope, report] : reports_) {
    for (const WorkerLoad& load : report.workers) {
      if (instances.count(load.instance) > 0) {
        workers.insert(load.worker);
      }
    }
  }
  return workers;
}

bool InstanceController::AwaitsMaintenance(const std::string& instance) const {
  return std::any_of(waves_.begin(), waves_.end(), [&](const auto& entry) {
    const Wave& wave = entry.second;
    const auto step = wave.state.instances.find(instance);
    return !wave.completed && step != wave.state.instances.end() &&
           step->second == MaintenanceStep::kWaiting;
  });
}

WorkerOrders InstanceController::OrdersFor(
    const std::string& scope,
    const std::set<std::string>& to_evacuate,
    const std::set<std::string>& to_lend) const {
  WorkerOrders orders;
  for (const auto& [worker, ended] : ended_workers_) {
    if (ended.scope == scope) {
      orders.ended.insert(worker);
    }
  }
  orders.evacuate = to_evacuate;
  orders.lend = to_lend;
  for (const auto& [other, report] : reports_) {
    for (const WorkerLoad& load : report.workers) {
      if (other != scope) {
        orders.evacuate.erase(load.worker);
        orders.lend.erase(load.worker);
      } else if (AwaitsMaintenance(load.instance)) {
        orders.later.insert(load.worker);
      }
    }
  }
  return orders;
}

bool InstanceController::SyncPools(MonoTime now) {
  std::map<std::string, WorkerOrders> to_sync;
  {
    absl::MutexLock lock(&mutex_);
    if (now < next_sync_at_) {
      return false;
    }
    next_sync_at_ =
        now + std::min(kSyncInterval * layout_.partitions, kMaxSyncInterval);
    for (auto it = ended_workers_.begin(); it != ended_workers_.end();) {
      it = now - it->second.since < kEndedWorkerRetention
               ? std::next(it)
               : ended_workers_.erase(it);
    }
    const std::set<std::string> to_evacuate = WorkersToEvacuate();
    const std::set<std::string> to_lend = WorkersOn(lending_);
    for (const PoolConfig& pool : plan_->pools) {
      if (pool.spare) {
        continue;
      }
      for (const std::string& scope : layout_.ScopesOfPool(pool.name)) {
        if (syncing_.insert(scope).second) {
          to_sync[scope] = OrdersFor(scope, to_evacuate, to_lend);
        }
      }
    }
    AddCustomerGrants(&to_sync, now);
  }
  for (const auto& [scope, orders] : to_sync) {
    sync_pool_(
        scope, orders,
        [self = shared_from_this(), scope = scope](Result<PoolReport> report) {
          self->OnPoolReport(scope, std::move(report));
        });
  }
  return true;
}

void InstanceController::OnPoolReport(const std::string& scope,
                                      Result<PoolReport> report) {
  absl::MutexLock lock(&mutex_);
  syncing_.erase(scope);
  if (!report) {
    return;
  }
  const MonoTime now = clock_.Now();
  customer_grants_.OnReport(scope, report->customers, sync_prepared_at_[scope],
                            now);
  std::map<WorkerKey, MonoTime>& known = reported_since_[scope];
  std::map<WorkerKey, MonoTime> reported;
  for (const WorkerLoad& load : report->workers) {
    const auto since = known.find(load.Key());
    reported.emplace(load.Key(), since == known.end() ? now : since->second);
  }
  known = std::move(reported);
  reports_[scope] = std::move(*report);
  report_times_[scope] = now;
}

}  // namespace figflow
