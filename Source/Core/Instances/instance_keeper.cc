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
// Time between two reports of a pool: a peak is noticed after this time.
constexpr std::chrono::milliseconds kAskInterval{150};
// Time between two lists of the instances.
constexpr std::chrono::milliseconds kListInterval{1'000};
// And while instances are on their way or down.
constexpr std::chrono::milliseconds kBusyListInterval{500};
// A move that has not shown by then is forgotten, and may be planned again.
constexpr std::chrono::milliseconds kMoveForgotten{6'000};
// A report older than this says too little about what runs.
constexpr std::chrono::milliseconds kReportAge{700};
// The registry drops a worker that has ended within this time.
constexpr std::chrono::seconds kEndedKept{10};
// An order that was turned away or not answered is repeated after this time.
constexpr std::chrono::milliseconds kRepeat{300};

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
  platform_.store().Get(
      SequenceKey(kInstancesScope), kReadTimeout,
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
  platform_.store().Get(
      HandOverKey(), kReadTimeout,
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
    wave.due = clock_.WallNow() +
               std::chrono::duration_cast<WallTime::duration>(
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
  for (const auto& [pool, report] : reports_) {
    for (const WorkerLoad& load : report.workers) {
      if (load.instance == instance) {
        return load.worker;
      }
    }
  }
  return "";
}

WorkerOrders InstanceKeeper::OrdersForPools(MonoTime now) const {
  WorkerOrders orders;
  for (const auto& [worker, since] : ended_) {
    if (now - since < kEndedKept) {
      orders.ended.insert(worker);
    }
  }
  std::set<std::string> instances = emptying_for_moves_;
  std::set<std::string>& workers = orders.evacuate;
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
  for (const auto& [pool, report] : reports_) {
    for (const WorkerLoad& load : report.workers) {
      if (instances.count(load.instance) > 0) {
        workers.insert(load.worker);
      }
    }
  }
  return orders;
}

bool InstanceKeeper::AskPools(MonoTime now) {
  std::set<std::string> to_ask;
  WorkerOrders orders;
  {
    absl::MutexLock lock(&mutex_);
    if (now < next_ask_) {
      return false;
    }
    next_ask_ = now + kAskInterval;
    orders = OrdersForPools(now);
    for (const PoolConfig& pool : plan_->pools) {
      if (!pool.spare && asking_.insert(pool.name).second) {
        to_ask.insert(pool.name);
      }
    }
  }
  for (const std::string& pool : to_ask) {
    ask_pool_(pool, orders,
              [self = shared_from_this(), pool](Result<PoolReport> report) {
                self->OnReport(pool, std::move(report));
              });
  }
  return true;
}

void InstanceKeeper::OnReport(const std::string& pool,
                              Result<PoolReport> report) {
  absl::MutexLock lock(&mutex_);
  asking_.erase(pool);
  if (report) {
    reports_[pool] = std::move(*report);
    report_times_[pool] = clock_.Now();
  }
}

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
  platform_.instances().List(
      [self = shared_from_this(),
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
                         known->second.state == InstanceState::kUp;
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
          known->second.state == InstanceState::kUp) {
        step = MaintenanceStep::kOver;
        wave.changed = true;
      }
    }
  }
}

std::map<std::string, PoolReport> InstanceKeeper::FreshReports(
    MonoTime now) const {
  std::map<std::string, PoolReport> pools;
  for (const auto& [pool, report] : reports_) {
    if (now - report_times_.at(pool) < kReportAge) {
      pools[pool] = report;
    }
  }
  return pools;
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
        instance.state == InstanceState::kUp) {
      input.spare[id] = 0;
    }
  }
  MovePlan plan = move_planner_.Plan(input, now);
  emptying_for_moves_ = std::move(plan.evacuate);
  moves_to_send_ = std::move(plan.moves);
}

void InstanceKeeper::SendMoves(MonoTime now) {
  std::vector<InstanceMove> moves;
  {
    absl::MutexLock lock(&mutex_);
    if (!MayOrder(now)) {
      return;
    }
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
    order.pool = move.pool;
    order.holder = options_.holder;
    order.fence = options_.fence;
    platform_.instances().Move(
        order, [self = shared_from_this(),
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
    ended_[pending.worker] = now;
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

void InstanceKeeper::PlanWaves(MonoTime now) {
  const std::map<std::string, PoolReport> pools = FreshReports(now);
  std::set<std::string> without_worker;
  for (const auto& [id, instance] : instances_) {
    if (instance.state == InstanceState::kUp && instance.worker.empty() &&
        moving_.count(id) == 0) {
      without_worker.insert(id);
    }
  }
  WavePlannerOptions options;
  options.maintenance = options_.maintenance;
  for (auto& [number, wave] : waves_) {
    if (!wave.loaded || wave.completed) {
      continue;
    }
    // Instances that do not exist any more need no maintenance.
    for (auto& [instance, step] : wave.state.instances) {
      if (step == MaintenanceStep::kWaiting && !instances_.empty() &&
          instances_.count(instance) == 0) {
        step = MaintenanceStep::kOver;
        wave.changed = true;
      }
    }
    const WavePlan plan = PlanWave(wave.state, pools, without_worker,
                                   wave.emptying, options, now);
    wave.emptying = plan.evacuate;
    for (const auto& [instance, step] : wave.state.instances) {
      const bool old_worker = step == MaintenanceStep::kDown &&
                              wave.worker_before.count(instance) > 0;
      if (step == MaintenanceStep::kOrdered || old_worker) {
        wave.emptying.insert(instance);
      }
    }
    if (MayOrder(now)) {
      for (const std::string& instance : plan.begin) {
        wave.state.instances[instance] = MaintenanceStep::kOrdered;
        wave.changed = true;
        wave.emptying.insert(instance);
        wave.worker_before[instance] = WorkerOn(instance);
        wave.to_order.push_back(instance);
      }
    }
    const bool over = std::all_of(
        wave.state.instances.begin(), wave.state.instances.end(),
        [](const auto& item) {
          return item.second == MaintenanceStep::kOver ||
                 item.second == MaintenanceStep::kDown;
        });
    if (over) {
      wave.completed = true;
      wave.changed = true;
    }
  }
}

void InstanceKeeper::WriteRecords() {
  std::vector<StoreWrite> writes;
  std::vector<uint64_t> written;
  std::shared_ptr<RecordWriter> writer;
  {
    absl::MutexLock lock(&mutex_);
    if (writing_ || !writer_ || stopped_ || handing_over_) {
      return;
    }
    if (!active_written_) {
      HandOverRecord record;
      record.active = true;
      writes.push_back({HandOverKey(), FormatHandOver(record), 0});
    }
    for (auto& [number, wave] : waves_) {
      if (!wave.changed) {
        continue;
      }
      wave.changed = false;
      WaveRecord record;
      record.due = wave.due;
      record.completed = wave.completed;
      record.instances = wave.state.instances;
      writes.push_back({WaveKey(number), FormatWaveRecord(record), 0});
      writes.push_back({platform_.WaveStatusKey(number),
                        platform_.FormatWaveStatus(number, wave.completed), 0});
      written.push_back(number);
    }
    if (writes.empty()) {
      return;
    }
    writing_ = true;
    writer = writer_;
  }
  writer->Write(std::move(writes), {},
                [self = shared_from_this(),
                 written](RecordWriter::Outcome outcome) {
                  self->OnWritten(written, outcome);
                });
}

void InstanceKeeper::OnWritten(const std::vector<uint64_t>& waves,
                               RecordWriter::Outcome outcome) {
  {
    absl::MutexLock lock(&mutex_);
    writing_ = false;
    if (outcome == RecordWriter::Outcome::kDeposed) {
      deposed_ = true;
    } else {
      active_written_ = true;
      for (const uint64_t number : waves) {
        Wave& wave = waves_[number];
        // What was planned during the write is in the next one.
        if (wave.changed) {
          continue;
        }
        for (const std::string& instance : wave.to_order) {
          wave.repeat_at[instance] = MonoTime::min();
        }
        wave.to_order.clear();
        if (wave.completed) {
          LogEvent(LogLevel::kInfo, LogCategory::kMaintenance, "wave_completed",
                   {{"wave", absl::StrCat(number)}});
        }
      }
    }
  }
  TryHandOver();
  wake_();
}

void InstanceKeeper::SendOrders(MonoTime now) {
  std::vector<std::pair<uint64_t, std::string>> to_send;
  {
    absl::MutexLock lock(&mutex_);
    if (!MayOrder(now)) {
      return;
    }
    for (auto& [number, wave] : waves_) {
      if (!wave.loaded) {
        continue;
      }
      for (const auto& [instance, step] : wave.state.instances) {
        // An earlier keeper may have sent the order, which may be repeated.
        const bool recorded =
            step == MaintenanceStep::kOrdered &&
            std::find(wave.to_order.begin(), wave.to_order.end(), instance) ==
                wave.to_order.end();
        const auto repeat = wave.repeat_at.find(instance);
        const bool due = repeat == wave.repeat_at.end() || repeat->second <= now;
        if (recorded && due && !TooRecent(instance, now) &&
            wave.in_flight.insert(instance).second) {
          to_send.emplace_back(number, instance);
          ordered_at_[instance] = now;
          ++orders_in_flight_;
        }
      }
    }
  }
  for (const auto& [number, instance] : to_send) {
    InstanceOrder order;
    order.instance = instance;
    order.wave = number;
    order.holder = options_.holder;
    order.fence = options_.fence;
    platform_.instances().Maintain(
        order, [self = shared_from_this(), number = number,
                instance = instance](const Result<InstanceAnswer>& answer) {
          self->OnAnswer(number, instance, answer);
        });
  }
}

void InstanceKeeper::OnAnswer(uint64_t number,
                              const std::string& instance,
                              const Result<InstanceAnswer>& answer) {
  {
    absl::MutexLock lock(&mutex_);
    --orders_in_flight_;
  }
  TryHandOver();
  absl::MutexLock lock(&mutex_);
  Wave& wave = waves_[number];
  const MonoTime now = clock_.Now();
  wave.in_flight.erase(instance);
  wave.repeat_at[instance] = now + kRepeat;
  if (!answer) {
    return;
  }
  switch (*answer) {
    case InstanceAnswer::kDone:
      wave.state.instances[instance] = MaintenanceStep::kDown;
      wave.answered_at[instance] = now;
      ended_[wave.worker_before[instance]] = now;
      wave.changed = true;
      LogEvent(LogLevel::kInfo, LogCategory::kMaintenance, "maintenance_begun",
               {{"wave", absl::StrCat(number)}, {"instance", instance}});
      return;
    case InstanceAnswer::kFenced:
      deposed_ = true;
      return;
    case InstanceAnswer::kRefused:
      wave.state.instances[instance] = MaintenanceStep::kOver;
      wave.changed = true;
      LogEvent(LogLevel::kWarning, LogCategory::kMaintenance,
               "maintenance_refused",
               {{"wave", absl::StrCat(number)}, {"instance", instance}});
      return;
    case InstanceAnswer::kBusy:
    case InstanceAnswer::kTurnedAway:
      return;
  }
}

}  // namespace figflow
