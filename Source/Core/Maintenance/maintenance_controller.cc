#include "Maintenance/maintenance_controller.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "Common/log.h"
#include "Pools/instance_ownership.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

const ListedInstance* FindListed(const std::vector<ListedInstance>& listed,
                                 const InstanceId& id) {
  const auto it =
      std::find_if(listed.begin(), listed.end(),
                   [&](const ListedInstance& l) { return l.id == id; });
  return it == listed.end() ? nullptr : &*it;
}

const InstanceRecord* FindRecord(const DataCentreDocument& document,
                                 const InstanceId& id) {
  const auto it = document.instances.find(id);
  return it == document.instances.end() ? nullptr : &it->second;
}

// True if the list shows the instance in service after a restart.
bool HasRestarted(const ListedInstance* listed, const WaveInstance& instance) {
  return listed != nullptr && listed->state == InstanceState::kLive &&
         listed->boot > instance.boot_before;
}

std::string OperationPrefix(const ProjectId& project) {
  return absl::StrCat("maintenance/", project.value(), "/");
}

}  // namespace

MaintenanceController::MaintenanceController(KeyValueStore& store,
                                             DataCentreStore& pools,
                                             const BudgetStore& budget,
                                             FleetService& fleet,
                                             MaintenanceOptions options)
    : pools_(pools),
      budget_(budget),
      fleet_(fleet),
      options_(std::move(options)),
      waves_(store, options_.project, options_.writer, options_.call_timeout),
      lease_(store,
             absl::StrCat("lease/wave/",
                          options_.project.value(),
                          "/",
                          options_.data_centre.value()),
             options_.writer,
             options_.lease_ttl,
             options_.call_timeout),
      waits_(options_.request_bound) {}

MaintenanceStatus MaintenanceController::Step(const MaintenanceInput& input) {
  MaintenanceStatus status;
  const Result<bool> holder = Run(input, status);
  if (holder) {
    status.holder = *holder;
  } else {
    status.error = holder.error();
  }
  return status;
}

Result<bool> MaintenanceController::Run(const MaintenanceInput& input,
                                        MaintenanceStatus& status) {
  Round round;
  round.now = input.now;
  round.wall = steady_.Advance(input.wall, input.now);
  if (!input.listed) {
    return false;
  }
  round.listed = &*input.listed;
  if (Result<bool> held = lease_.Hold(); !held || !*held) {
    return held;
  }
  // The data centre document is read before the wave document. A daemon that
  // cancels an operation writes the wave document first and then this one, see
  // OnCancelling, so a drain of a cancelled operation meets a conflict.
  // The known one may be older still; writing over it then fails.
  std::optional<DataCentreStore::Versioned> pools = pools_.CurrentVersioned();
  if (!pools) {
    return false;
  }
  round.pools = std::move(*pools);
  waits_.Observe(round.pools.document.entries, input.now);
  Result<WaveStore::Versioned> base = waves_.ReadChanged();
  if (!base) {
    return tl::unexpected<Error>(base.error());
  }
  round.base = std::move(*base);
  round.next = round.base.document;
  status.state = round.next.state;
  if (round.next.state == RolloutState::kNone) {
    return true;
  }
  std::string& holder = round.next.holders[options_.data_centre];
  if (holder != options_.writer) {
    // Makes a paused former holder fail with its next write.
    holder = options_.writer;
    Result<WaveStore::Versioned> taken =
        waves_.WriteOnce(round.base, round.next);
    if (!taken) {
      return tl::unexpected<Error>(taken.error());
    }
    return true;
  }
  if (const auto advanced = AdvanceInstances(round); !advanced) {
    return tl::unexpected<Error>(advanced.error());
  }
  DropDeparted(round);
  AdvanceRollout(round.next);
  if (const auto planned = PlanNewStarts(round); !planned) {
    return tl::unexpected<Error>(planned.error());
  }
  if (FormatWaveDocument(round.next) !=
      FormatWaveDocument(round.base.document)) {
    const auto written = waves_.WriteOnce(round.base, round.next);
    if (!written) {
      return tl::unexpected<Error>(written.error());
    }
    if (round.next.state != status.state) {
      LogEvent(LogLevel::kInfo, LogCategory::kMaintenance, "rollout",
               {{"project", options_.project.value()},
                {"state", std::string(RolloutStateName(round.next.state))},
                {"reason", round.next.reason}});
    }
  }
  status.state = round.next.state;
  // Only reboots whose stage is durable.
  if (const auto called = CallReboots(round.next, round); !called) {
    return tl::unexpected<Error>(called.error());
  }
  if (const auto returned = ReturnRecovered(round); !returned) {
    return tl::unexpected<Error>(returned.error());
  }
  return true;
}

Result<void> MaintenanceController::AdvanceInstances(Round& round) {
  const auto stage_of = [](WaveStage stage) -> Stage {
    switch (stage) {
      case WaveStage::kReserved:
        return &MaintenanceController::OnReserved;
      case WaveStage::kDraining:
        return &MaintenanceController::OnDraining;
      case WaveStage::kRebooting:
        return &MaintenanceController::OnRebooting;
      case WaveStage::kCancelling:
        return &MaintenanceController::OnCancelling;
      case WaveStage::kPending:
      case WaveStage::kDone:
      case WaveStage::kFailed:
        break;
    }
    return nullptr;
  };
  for (auto& [id, instance] : round.next.instances) {
    const Stage stage = instance.data_centre == options_.data_centre
                            ? stage_of(instance.stage)
                            : nullptr;
    if (stage == nullptr) {
      continue;
    }
    const Result<bool> changed = (this->*stage)(id, instance, round);
    if (!changed) {
      return tl::unexpected<Error>(changed.error());
    }
    if (*changed) {
      LogEvent(LogLevel::kInfo, LogCategory::kMaintenance, "stage",
               {{"instance", id.value()},
                {"stage", std::string(WaveStageName(instance.stage))},
                {"operation", instance.operation.value()},
                {"note", instance.note}});
    }
  }
  return {};
}

Result<bool> MaintenanceController::OnReserved(const InstanceId& id,
                                               WaveInstance& instance,
                                               Round& round) {
  if (round.next.state != RolloutState::kRunning) {
    return false;  // AdvanceRollout cancels it.
  }
  const Result<BudgetReservation> reservation = budget_.Reserve(
      options_.project, instance.operation, id, WorstCase(), round.wall);
  if (!reservation) {
    if (reservation.error().code == ErrorCode::kResourceExhausted) {
      return false;  // Waits for the budget.
    }
    if (reservation.error().code != ErrorCode::kConflict) {
      return tl::unexpected<Error>(reservation.error());
    }
    instance.stage = WaveStage::kCancelling;
    instance.note = reservation.error().message;
    return true;
  }
  // The change check of the round's read may lag; an operation that was
  // cancelled must not begin.
  const Result<WaveStore::Versioned> latest = waves_.Read();
  if (!latest) {
    return tl::unexpected<Error>(latest.error());
  }
  if (latest->revision != round.base.revision) {
    return Fail(ErrorCode::kConflict, "maintenance.drain",
                options_.project.value(), "another daemon changed the wave");
  }
  DataCentreDocument next = round.pools.document;
  const Result<bool> begun = BeginMaintenance(next, id, instance.operation,
                                              {round.wall, waves_.NewId()});
  if (!begun) {
    instance.stage = WaveStage::kCancelling;
    instance.note = begun.error().message;
    return true;
  }
  if (*begun) {
    // A holder that cancels the operation after the read above also writes this
    // document, and this write fails.
    Result<DataCentreStore::Versioned> written =
        pools_.WriteOnce(round.pools, std::move(next));
    if (!written) {
      return tl::unexpected<Error>(written.error());
    }
    round.pools = std::move(*written);
  }
  instance.stage = WaveStage::kDraining;
  instance.reserved_until = reservation->end;
  return true;
}

Result<bool> MaintenanceController::OnDraining(const InstanceId& id,
                                               WaveInstance& instance,
                                               Round& round) {
  const InstanceRecord* record = FindRecord(round.pools.document, id);
  if (record == nullptr || record->operation != instance.operation) {
    instance.stage = WaveStage::kCancelling;
    instance.note = "the instance left the pool while draining";
    return true;
  }
  if (round.wall >= NotAfter(instance)) {
    instance.stage = WaveStage::kCancelling;
    instance.note = "the drain took too long";
    ++instance.drain_timeouts;
    return true;
  }
  if (!round.confirmations) {
    Result<Confirmations> read = pools_.ReadConfirmations();
    if (!read) {
      return tl::unexpected<Error>(read.error());
    }
    round.confirmations = std::move(*read);
  }
  if (!IsDrained(round.pools.document, id, *round.confirmations, waits_,
                 round.now)) {
    return false;
  }
  const ListedInstance* listed = FindListed(*round.listed, id);
  instance.boot_before =
      std::max(record->boot, listed == nullptr ? 0 : listed->boot);
  instance.stage = WaveStage::kRebooting;
  return true;
}

Result<bool> MaintenanceController::OnRebooting(const InstanceId& id,
                                                WaveInstance& instance,
                                                Round& round) {
  const ListedInstance* listed = FindListed(*round.listed, id);
  // Without the platform's acceptance a restart may have another cause, and
  // the reboot could still begin after the instance is back in use.
  const bool settled_reboot = accepted_.count(instance.operation) != 0 ||
                              round.wall >= NotAfter(instance);
  if (settled_reboot && HasRestarted(listed, instance)) {
    if (const auto ended = EndMaintenanceOf(id, instance.operation); !ended) {
      return tl::unexpected<Error>(ended.error());
    }
    const auto settled =
        budget_.Settle(options_.project, instance.operation, round.wall);
    if (!settled) {
      return tl::unexpected<Error>(settled.error());
    }
    // A holder that gave the reboot up may not have written its stage.
    const auto failure = budget_.EndFailure(options_.project, id, round.wall);
    if (!failure) {
      return tl::unexpected<Error>(failure.error());
    }
    accepted_.erase(instance.operation);
    instance.stage = WaveStage::kDone;
    return true;
  }
  if (round.wall >= instance.reserved_until ||
      FindRecord(round.pools.document, id) == nullptr) {
    return FailReboot(id, instance, listed, round);
  }
  return false;
}

Result<bool> MaintenanceController::FailReboot(const InstanceId& id,
                                               WaveInstance& instance,
                                               const ListedInstance* listed,
                                               Round& round) {
  const bool in_service = listed != nullptr &&
                          listed->state == InstanceState::kLive &&
                          round.wall >= instance.reserved_until;
  if (in_service) {
    if (const auto ended = EndMaintenanceOf(id, instance.operation); !ended) {
      return tl::unexpected<Error>(ended.error());
    }
  }
  const auto settled =
      in_service
          ? budget_.Settle(options_.project, instance.operation, round.wall)
          : budget_.SettleAsFailed(options_.project, instance.operation,
                                   round.wall);
  if (!settled) {
    return tl::unexpected<Error>(settled.error());
  }
  accepted_.erase(instance.operation);
  instance.stage = WaveStage::kFailed;
  instance.note =
      in_service ? "did not restart" : "did not come back after the reboot";
  return true;
}

Result<bool> MaintenanceController::OnCancelling(const InstanceId& id,
                                                 WaveInstance& instance,
                                                 Round& round) {
  // Written even if the instance is not in maintenance: a paused holder that
  // read both documents before this write can no longer begin the drain.
  const OperationId operation = instance.operation;
  const auto undone = pools_.Update(
      [&](DataCentreDocument& next, const std::string&) -> Result<bool> {
        EndMaintenance(next, id, operation);
        return true;
      });
  if (!undone) {
    return tl::unexpected<Error>(undone.error());
  }
  const auto settled = budget_.Settle(options_.project, operation, round.wall);
  if (!settled) {
    return tl::unexpected<Error>(settled.error());
  }
  if (instance.drain_timeouts >= options_.max_drain_timeouts) {
    instance.stage = WaveStage::kFailed;
  } else {
    instance.stage = WaveStage::kPending;
    instance.wave = 0;
  }
  instance.operation = OperationId();
  return true;
}

void MaintenanceController::DropDeparted(Round& round) const {
  for (auto& [id, instance] : round.next.instances) {
    if (instance.data_centre != options_.data_centre ||
        instance.stage != WaveStage::kPending) {
      continue;
    }
    const InstanceRecord* record = FindRecord(round.pools.document, id);
    if (record == nullptr || record->project != options_.project) {
      instance.stage = WaveStage::kDone;
      instance.note = "no longer in the project";
    }
  }
}

Result<void> MaintenanceController::PlanNewStarts(Round& round) {
  if (round.next.state != RolloutState::kRunning) {
    return {};
  }
  StartLimits limits;
  limits.worst_case = WorstCase();
  for (const auto& [id, record] : round.pools.document.instances) {
    const ListedInstance* listed = FindListed(*round.listed, id);
    if (record.stage == InstanceStage::kActive &&
        record.project == options_.project && listed != nullptr &&
        listed->state == InstanceState::kLive) {
      limits.startable.insert(id);
    }
  }
  // Most steps start nothing, whatever the budget, and need not read it.
  limits.budget.max_down = std::numeric_limits<int>::max();
  limits.budget.remaining = std::chrono::hours(24 * 365);
  if (PlanStarts(round.next, options_.data_centre, limits).empty()) {
    return {};
  }
  const Result<BudgetDocument> budget = budget_.Read(options_.project);
  if (!budget) {
    return tl::unexpected<Error>(budget.error());
  }
  limits.budget = StatusNow(*budget, round.wall);
  for (const InstanceId& id :
       PlanStarts(round.next, options_.data_centre, limits)) {
    BeginOperation(round.next, id, waves_.NewId());
  }
  return {};
}

Result<void> MaintenanceController::CallReboots(const WaveDocument& document,
                                                const Round& round) {
  Result<void> result;
  for (const auto& [id, instance] : document.instances) {
    if (instance.data_centre != options_.data_centre ||
        instance.stage != WaveStage::kRebooting ||
        accepted_.count(instance.operation) != 0 ||
        round.wall >= NotAfter(instance)) {
      continue;
    }
    const auto called = fleet_.Reboot(
        {id, instance.operation, NotAfter(instance)}, options_.call_timeout);
    if (called) {
      accepted_.insert(instance.operation);
    } else {
      // One refused reboot must not delay the others.
      result = called;
    }
  }
  return result;
}

Result<void> MaintenanceController::ReturnRecovered(const Round& round) {
  for (const auto& [id, record] : round.pools.document.instances) {
    if (record.stage != InstanceStage::kMaintenance ||
        !absl::StartsWith(record.operation.value(),
                          OperationPrefix(options_.project))) {
      continue;
    }
    const auto wave = round.base.document.instances.find(id);
    const bool known = wave != round.base.document.instances.end() &&
                       wave->second.operation == record.operation;
    const ListedInstance* listed = FindListed(*round.listed, id);
    if ((known && IsInFlight(wave->second.stage)) || listed == nullptr) {
      continue;
    }
    if (listed->state == InstanceState::kGone) {
      // The operation is over, so the instance is lost like any other one.
      if (auto ended = EndMaintenanceOf(id, record.operation); !ended) {
        return ended;
      }
      continue;
    }
    if (listed->state != InstanceState::kLive ||
        (known && !HasRestarted(listed, wave->second))) {
      continue;
    }
    if (auto ended = EndMaintenanceOf(id, record.operation); !ended) {
      return ended;
    }
    auto failure = budget_.EndFailure(options_.project, id, round.wall);
    if (!failure) {
      return failure;
    }
  }
  return {};
}

Result<void> MaintenanceController::EndMaintenanceOf(
    const InstanceId& id,
    const OperationId& operation) {
  const auto written = pools_.Update(
      [&](DataCentreDocument& next, const std::string&) -> Result<bool> {
        return EndMaintenance(next, id, operation);
      });
  if (!written) {
    return tl::unexpected<Error>(written.error());
  }
  return {};
}

}  // namespace figflow
