// Maintenance waves: plans the next instances, writes the records that make the
// plan durable, and sends the orders.
#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "Common/log.h"
#include "Instances/instance_controller.h"
#include "Instances/wave_record.h"
#include "Ownership/owner_record.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

// Delay before a rejected or lost order is repeated.
constexpr std::chrono::milliseconds kOrderRetryDelay{300};
// Delay before a record that the store has refused is written again.
constexpr std::chrono::seconds kRefusedRecordDelay{5};
// Each wave has a record and a status; the hand-over record may come first.
constexpr size_t kMaxWavesInWrite = (RecordWriter::kMaxRecords - 1) / 2;

}  // namespace

void InstanceController::PlanWaves(MonoTime now) {
  std::map<std::string, PoolReport> pools = FreshReports(now);
  const std::set<std::string> elsewhere = InstancesInOtherPools(pools);
  for (auto& [scope, report] : pools) {
    std::vector<WorkerLoad>& workers = report.workers;
    workers.erase(std::remove_if(workers.begin(), workers.end(),
                                 [&](const WorkerLoad& load) {
                                   return elsewhere.count(load.instance) > 0;
                                 }),
                  workers.end());
  }
  std::set<std::string> without_worker;
  for (const auto& [id, instance] : instances_) {
    if (instance.state == InstanceStatus::kUp && instance.worker.empty() &&
        pending_moves_.count(id) == 0) {
      without_worker.insert(id);
    }
  }
  WavePlannerOptions options;
  options.maintenance_duration = options_.maintenance_duration;
  for (auto& [number, wave] : waves_) {
    if (!wave.loaded || wave.completed) {
      continue;
    }
    // Instances that no longer exist need no maintenance.
    for (auto& [instance, step] : wave.state.instances) {
      if (step == MaintenanceStep::kWaiting && !instances_.empty() &&
          instances_.count(instance) == 0) {
        step = MaintenanceStep::kCompleted;
        wave.changed = true;
      }
    }
    const WavePlan plan = PlanWave(wave.state, pools, without_worker,
                                   wave.evacuating, options, now);
    wave.evacuating = plan.evacuate;
    for (const auto& [instance, step] : wave.state.instances) {
      const bool old_worker = step == MaintenanceStep::kDown &&
                              wave.worker_before.count(instance) > 0;
      if (step == MaintenanceStep::kOrdered || old_worker) {
        wave.evacuating.insert(instance);
      }
    }
    if (OrdersAllowed(now)) {
      for (const std::string& instance : plan.to_maintain) {
        wave.state.instances[instance] = MaintenanceStep::kOrdered;
        wave.changed = true;
        wave.evacuating.insert(instance);
        wave.worker_before[instance] = WorkerOn(instance);
        wave.to_order.push_back(instance);
      }
    }
    const bool all_completed =
        std::all_of(wave.state.instances.begin(), wave.state.instances.end(),
                    [](const auto& item) {
                      return item.second == MaintenanceStep::kCompleted ||
                             item.second == MaintenanceStep::kDown;
                    });
    if (all_completed) {
      wave.completed = true;
      wave.changed = true;
    }
  }
}

nlohmann::json InstanceController::DumpWaves(MonoTime now) const {
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
      held_by = "the record of the wave is being read";
    } else if (!OrdersAllowed(now)) {
      held_by = "orders are not allowed: the ownership is not confirmed";
    } else if (count[MaintenanceStep::kOrdered] +
                   count[MaintenanceStep::kDown] >=
               wave.state.max_down) {
      held_by = "max_down is reached";
    } else if (!wave.evacuating.empty()) {
      held_by = "instances are being evacuated";
    }
    rows.push_back({{"wave", number},
                    {"max_down", wave.state.max_down},
                    {"waiting", count[MaintenanceStep::kWaiting]},
                    {"emptying", wave.evacuating.size()},
                    {"ordered", count[MaintenanceStep::kOrdered]},
                    {"down", count[MaintenanceStep::kDown]},
                    {"over", count[MaintenanceStep::kCompleted]},
                    {"left_ms", left.count()},
                    {"held_by", held_by}});
  }
  return rows;
}

void InstanceController::WriteRecords(MonoTime now) {
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
      writes.push_back({HandOverKey(), FormatHandOverRecord(record), 0});
    }
    const size_t limit = single_writes_ ? 1 : kMaxWavesInWrite;
    for (auto& [number, wave] : waves_) {
      if (!wave.changed || now < wave.write_at) {
        continue;
      }
      if (written.size() == limit) {
        break;
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
        self->OnRecordsWritten(written, outcome);
      });
}

void InstanceController::OnRecordsWritten(const std::vector<uint64_t>& waves,
                                          RecordWriter::Outcome outcome) {
  {
    absl::MutexLock lock(&mutex_);
    writing_ = false;
    if (outcome == RecordWriter::Outcome::kDeposed) {
      deposed_ = true;
    } else if (outcome == RecordWriter::Outcome::kRefused) {
      OnRecordsRefused(waves, clock_.Now());
    } else {
      active_written_ = true;
      single_writes_ = false;
      for (const uint64_t number : waves) {
        Wave& wave = waves_[number];
        // What was planned during this write is part of the next one.
        if (wave.changed) {
          continue;
        }
        for (const std::string& instance : wave.to_order) {
          wave.retry_at[instance] = MonoTime::min();
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

void InstanceController::OnRecordsRefused(const std::vector<uint64_t>& waves,
                                          MonoTime now) {
  for (const uint64_t number : waves) {
    waves_[number].changed = true;
  }
  single_writes_ = true;
  if (waves.size() != 1) {
    return;
  }
  Wave& wave = waves_[waves.front()];
  wave.write_at = now + kRefusedRecordDelay;
  LogEvent(LogLevel::kError, LogCategory::kMaintenance, "wave_record_refused",
           {{"wave", absl::StrCat(waves.front())},
            {"instances", absl::StrCat(wave.state.instances.size())}});
}

void InstanceController::SendMaintenanceOrders(MonoTime now) {
  std::vector<std::pair<uint64_t, std::string>> to_send;
  MonoTime send_by;
  {
    absl::MutexLock lock(&mutex_);
    if (!OrdersAllowed(now)) {
      return;
    }
    send_by = lease_valid_until_;
    // Most steps have no order to send.
    std::optional<std::set<std::string>> in_use;
    const auto is_in_use = [&](const std::string& instance) {
      mutex_.AssertHeld();
      if (!in_use) {
        in_use = InstancesInUse(now);
      }
      return in_use->count(instance) > 0;
    };
    for (auto& [number, wave] : waves_) {
      if (!wave.loaded) {
        continue;
      }
      for (const auto& [instance, step] : wave.state.instances) {
        // Orders may be repeated, so it does not matter if an earlier
        // controller has already sent this one.
        const bool recorded =
            step == MaintenanceStep::kOrdered &&
            std::find(wave.to_order.begin(), wave.to_order.end(), instance) ==
                wave.to_order.end();
        const auto retry = wave.retry_at.find(instance);
        const bool due = retry == wave.retry_at.end() || retry->second <= now;
        // A new owner of the pool may have placed tasks on the instance since.
        if (recorded && due && !is_in_use(instance) &&
            !HasRecentEarlierOrder(instance, now) &&
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
    order.send_by = send_by;
    platform_.instances().Maintain(
        order, [self = shared_from_this(), number = number,
                instance = instance](const Result<InstanceAnswer>& response) {
          self->OnMaintenanceResponse(number, instance, response);
        });
  }
}

void InstanceController::OnMaintenanceResponse(
    uint64_t number,
    const std::string& instance,
    const Result<InstanceAnswer>& response) {
  {
    absl::MutexLock lock(&mutex_);
    --orders_in_flight_;
  }
  TryHandOver();
  absl::MutexLock lock(&mutex_);
  Wave& wave = waves_[number];
  const MonoTime now = clock_.Now();
  wave.in_flight.erase(instance);
  wave.retry_at[instance] = now + kOrderRetryDelay;
  if (!response) {
    return;
  }
  switch (*response) {
    case InstanceAnswer::kDone:
      wave.state.instances[instance] = MaintenanceStep::kDown;
      wave.responded_at[instance] = now;
      wave.changed = true;
      metrics_.GetCounter("figflow_maintenances_begun_total").Add();
      LogEvent(LogLevel::kInfo, LogCategory::kMaintenance, "maintenance_begun",
               {{"wave", absl::StrCat(number)},
                {"instance", instance},
                {"worker", wave.worker_before[instance].key.id}});
      return;
    case InstanceAnswer::kFenced:
      deposed_ = true;
      return;
    case InstanceAnswer::kRefused:
      wave.state.instances[instance] = MaintenanceStep::kCompleted;
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
