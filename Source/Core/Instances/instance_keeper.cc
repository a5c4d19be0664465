#include "Instances/instance_keeper.h"

#include <algorithm>
#include <utility>

#include "Common/log.h"
#include "Instances/wave_record.h"
#include "Ownership/owner_record.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

constexpr std::chrono::milliseconds kReadTimeout{1'000};
// Time between two reports of a pool: a peak is noticed after this time, and
// each step of a move (choose, empty, move) waits for a report. Shorter times
// gain nothing more against the 1.5 s that a move takes. Each part of the pools
// adds as much, so that the keeper's work does not grow with the fleet.
constexpr std::chrono::milliseconds kAskInterval{50};
constexpr std::chrono::milliseconds kLongestAskInterval{250};
// The registry drops a worker that has ended within this time.
constexpr std::chrono::seconds kEndedKept{10};

}  // namespace

InstanceKeeper::InstanceKeeper(PlatformAdapter& platform,
                               const Clock& clock,
                               MetricsRegistry& metrics,
                               InstanceKeeperOptions options,
                               AskPool ask_pool,
                               std::function<void()> wake)
    : platform_(platform),
      clock_(clock),
      metrics_(metrics),
      options_(std::move(options)),
      ask_pool_(std::move(ask_pool)),
      wake_(std::move(wake)),
      since_(clock.Now()),
      plan_(std::make_shared<FleetPlan>()) {}

void InstanceKeeper::Start() {
  {
    absl::MutexLock lock(&mutex_);
    reading_ = true;
  }
  platform_.store().Get(SequenceKey(kInstancesScope), kReadTimeout,
                        [self = shared_from_this()](
                            const Result<std::optional<StoreItem>>& item) {
                          if (item) {
                            self->ReadHandOver(*item ? (*item)->revision : 0);
                            return;
                          }
                          {
                            absl::MutexLock lock(&self->mutex_);
                            self->reading_ = false;
                          }
                          self->wake_();
                        });
}

void InstanceKeeper::ReadHandOver(uint64_t sequence_revision) {
  platform_.store().Get(HandOverKey(), kReadTimeout,
                        [self = shared_from_this(), sequence_revision](
                            const Result<std::optional<StoreItem>>& item) {
                          {
                            absl::MutexLock lock(&self->mutex_);
                            self->reading_ = false;
                          }
                          if (item) {
                            self->Begin(sequence_revision, *item);
                          }
                          self->wake_();
                        });
}

void InstanceKeeper::Begin(uint64_t sequence_revision,
                           const std::optional<StoreItem>& handover) {
  absl::MutexLock lock(&mutex_);
  if (started_) {
    return;
  }
  started_ = true;
  // Without a record there has been no keeper before.
  after_crash_ = false;
  if (handover) {
    const Result<HandOverRecord> record = ParseHandOver(handover->value);
    after_crash_ = !record || record->active;
    if (record) {
      recent_before_ = record->recent;
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

bool InstanceKeeper::TooRecent(const std::string& instance,
                               MonoTime now) const {
  return now < since_ + options_.holder_interval &&
         (after_crash_ || recent_before_.count(instance) > 0);
}

void InstanceKeeper::HandOver(std::function<void()> done) {
  {
    absl::MutexLock lock(&mutex_);
    handing_over_ = true;
    on_handed_over_ = std::move(done);
  }
  TryHandOver();
}

void InstanceKeeper::TryHandOver() {
  std::shared_ptr<RecordWriter> writer;
  std::function<void()> done;
  HandOverRecord record;
  {
    absl::MutexLock lock(&mutex_);
    if (!handing_over_ || !on_handed_over_ || orders_in_flight_ > 0 ||
        writing_) {
      return;
    }
    done = std::move(on_handed_over_);
    on_handed_over_ = nullptr;
    if (active_written_ && writer_ != nullptr && !deposed_) {
      writing_ = true;
      writer = writer_;
      for (const auto& [instance, at] : ordered_at_) {
        if (clock_.Now() < at + options_.holder_interval) {
          record.recent.insert(instance);
        }
      }
    }
  }
  if (writer == nullptr) {
    done();
    return;
  }
  writer->Write({{HandOverKey(), FormatHandOver(record), 0}}, {},
                [done](RecordWriter::Outcome) { done(); });
}

void InstanceKeeper::Stop() {
  absl::MutexLock lock(&mutex_);
  stopped_ = true;
  if (writer_) {
    writer_->Stop();
  }
}

void InstanceKeeper::SetPlan(std::shared_ptr<const FleetPlan> plan) {
  absl::MutexLock lock(&mutex_);
  plan_ = std::move(plan);
}

void InstanceKeeper::SetLayout(const PoolLayout& layout) {
  absl::MutexLock lock(&mutex_);
  layout_ = layout;
  move_planners_.resize(layout.parts);
}

void InstanceKeeper::OnWave(const MaintenanceWave& asked, MonoTime seen_at) {
  {
    absl::MutexLock lock(&mutex_);
    if (waves_.count(asked.number) > 0) {
      return;
    }
    Wave& wave = waves_[asked.number];
    wave.asked = asked;
    wave.state.number = asked.number;
    wave.state.max_down = asked.max_down;
    wave.state.deadline = seen_at + asked.complete_within;
    wave.due =
        clock_.WallNow() + std::chrono::duration_cast<WallTime::duration>(
                               wave.state.deadline - clock_.Now());
    for (const std::string& instance : asked.instances) {
      wave.state.instances[instance] = MaintenanceStep::kWaiting;
    }
  }
  wake_();
}

void InstanceKeeper::SetCertainUntil(MonoTime until) {
  absl::MutexLock lock(&mutex_);
  certain_until_ = until;
}

bool InstanceKeeper::deposed() const {
  absl::MutexLock lock(&mutex_);
  return deposed_;
}

bool InstanceKeeper::WaveOpen() const {
  return std::any_of(waves_.begin(), waves_.end(), [](const auto& item) {
    return item.second.loaded && !item.second.completed;
  });
}

MonoTime InstanceKeeper::Step(MonoTime now) {
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
    open = WaveOpen();
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
  if (AskPools(now)) {
    absl::MutexLock lock(&mutex_);
    PlanMoves(now);
  }
  ReadList(now);
  SendMoves(now);
  if (open) {
    absl::MutexLock lock(&mutex_);
    PlanWaves(now);
  }
  WriteRecords();
  if (open) {
    SendOrders(now);
  }
  absl::MutexLock lock(&mutex_);
  return std::min(next, next_ask_);
}

void InstanceKeeper::LoadWave(uint64_t number) {
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

std::string InstanceKeeper::WorkerOn(const std::string& instance) const {
  // The report of a pool without an owner may still name an earlier worker.
  std::string worker;
  MonoTime latest = MonoTime::min();
  for (const auto& [scope, report] : reports_) {
    const MonoTime reported = report_times_.at(scope);
    for (const WorkerLoad& load : report.workers) {
      if (load.instance == instance && reported > latest) {
        latest = reported;
        worker = load.worker;
      }
    }
  }
  return worker;
}

std::string InstanceKeeper::ScopeOfWorker(const std::string& worker) const {
  for (const auto& [scope, report] : reports_) {
    for (const WorkerLoad& load : report.workers) {
      if (load.worker == worker) {
        return scope;
      }
    }
  }
  return "";
}

void InstanceKeeper::NoteEnded(const std::string& worker, MonoTime now) {
  if (!worker.empty()) {
    ended_[worker] = {now, ScopeOfWorker(worker)};
  }
}

std::set<std::string> InstanceKeeper::WorkersToEmpty() const {
  std::set<std::string> instances = emptying_for_moves_;
  std::set<std::string> workers;
  for (const auto& [number, wave] : waves_) {
    for (const std::string& instance : wave.emptying) {
      const auto before = wave.worker_before.find(instance);
      if (before != wave.worker_before.end()) {
        workers.insert(before->second);
      } else {
        instances.insert(instance);
      }
    }
  }
  for (const auto& [instance, move] : moving_) {
    instances.erase(instance);
    workers.insert(move.worker);
  }
  for (const auto& [scope, report] : reports_) {
    for (const WorkerLoad& load : report.workers) {
      if (instances.count(load.instance) > 0) {
        workers.insert(load.worker);
      }
    }
  }
  return workers;
}

bool InstanceKeeper::IsToBeMaintained(const std::string& instance) const {
  return std::any_of(waves_.begin(), waves_.end(), [&](const auto& entry) {
    const Wave& wave = entry.second;
    const auto step = wave.state.instances.find(instance);
    return !wave.completed && step != wave.state.instances.end() &&
           step->second == MaintenanceStep::kWaiting;
  });
}

WorkerOrders InstanceKeeper::OrdersFor(
    const std::string& scope,
    const std::set<std::string>& to_empty) const {
  WorkerOrders orders;
  for (const auto& [worker, ended] : ended_) {
    const bool concerns = ended.scope.empty() || ended.scope == scope;
    if (concerns) {
      orders.ended.insert(worker);
    }
  }
  orders.evacuate = to_empty;
  for (const auto& [other, report] : reports_) {
    for (const WorkerLoad& load : report.workers) {
      if (other != scope) {
        orders.evacuate.erase(load.worker);
      } else if (IsToBeMaintained(load.instance)) {
        orders.later.insert(load.worker);
      }
    }
  }
  return orders;
}

bool InstanceKeeper::AskPools(MonoTime now) {
  std::map<std::string, WorkerOrders> to_ask;
  {
    absl::MutexLock lock(&mutex_);
    if (now < next_ask_) {
      return false;
    }
    next_ask_ =
        now + std::min(kAskInterval * layout_.parts, kLongestAskInterval);
    for (auto it = ended_.begin(); it != ended_.end();) {
      it = now - it->second.since < kEndedKept ? std::next(it)
                                               : ended_.erase(it);
    }
    const std::set<std::string> to_empty = WorkersToEmpty();
    for (const PoolConfig& pool : plan_->pools) {
      if (pool.spare) {
        continue;
      }
      for (const std::string& scope : layout_.ScopesOf(pool.name)) {
        if (asking_.insert(scope).second) {
          to_ask[scope] = OrdersFor(scope, to_empty);
        }
      }
    }
  }
  for (const auto& [scope, orders] : to_ask) {
    ask_pool_(
        scope, orders,
        [self = shared_from_this(), scope = scope](Result<PoolReport> report) {
          self->OnReport(scope, std::move(report));
        });
  }
  return true;
}

void InstanceKeeper::OnReport(const std::string& scope,
                              Result<PoolReport> report) {
  absl::MutexLock lock(&mutex_);
  asking_.erase(scope);
  if (report) {
    reports_[scope] = std::move(*report);
    report_times_[scope] = clock_.Now();
  }
}

}  // namespace figflow
