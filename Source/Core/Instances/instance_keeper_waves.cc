// Maintenance waves: which instances go next, the records that make a decision
// last, and the orders.
#include <algorithm>
#include <utility>

#include "Common/log.h"
#include "Instances/instance_keeper.h"
#include "Instances/wave_record.h"
#include "Ownership/owner_record.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

// An order that was turned away or not answered is repeated after this time.
constexpr std::chrono::milliseconds kRepeat{300};

}  // namespace

void InstanceKeeper::PlanWaves(MonoTime now) {
  const std::map<std::string, PoolReport> pools = FreshReports(now);
  std::set<std::string> without_worker;
  for (const auto& [id, instance] : instances_) {
    if (instance.state == InstanceStatus::kUp && instance.worker.empty() &&
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
    const bool over =
        std::all_of(wave.state.instances.begin(), wave.state.instances.end(),
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

nlohmann::json InstanceKeeper::DumpWaves(MonoTime now) const {
  absl::MutexLock lock(&mutex_);
  nlohmann::json rows = nlohmann::json::array();
  for (const auto& [number, wave] : waves_) {
    if (wave.completed) {
      continue;
    }
    std::map<MaintenanceStep, int> count;
    for (const auto& [instance, step] : wave.state.instances) {
      ++count[step];
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        wave.state.deadline - now);
    const char* held_by = "nothing";
    if (!wave.loaded) {
      held_by = "its record is being read";
    } else if (!MayOrder(now)) {
      held_by = "ownership is not certain";
    } else if (count[MaintenanceStep::kOrdered] +
                   count[MaintenanceStep::kDown] >=
               wave.state.max_down) {
      held_by = "max_down is reached";
    } else if (!wave.emptying.empty()) {
      held_by = "instances are being emptied";
    }
    rows.push_back({{"wave", number},
                    {"max_down", wave.state.max_down},
                    {"waiting", count[MaintenanceStep::kWaiting]},
                    {"emptying", wave.emptying.size()},
                    {"ordered", count[MaintenanceStep::kOrdered]},
                    {"down", count[MaintenanceStep::kDown]},
                    {"over", count[MaintenanceStep::kOver]},
                    {"left_ms", left.count()},
                    {"held_by", held_by}});
  }
  return rows;
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
  writer->Write(
      std::move(writes), {},
      [self = shared_from_this(), written](RecordWriter::Outcome outcome) {
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
    const std::set<std::string> in_use = InstancesInUse(now);
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
        const bool due =
            repeat == wave.repeat_at.end() || repeat->second <= now;
        // A new owner of the pool may have placed tasks there since.
        if (recorded && due && in_use.count(instance) == 0 &&
            !TooRecent(instance, now) &&
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
      NoteEnded(wave.worker_before[instance], now);
      wave.changed = true;
      metrics_.GetCounter("figflow_maintenances_begun_total").Add();
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
