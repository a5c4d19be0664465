#include "Maintenance/wave_planner.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

struct WaveCounts {
  // Of the current wave.
  int members = 0;
  int failed = 0;
  int unfinished = 0;
  // Of all instances.
  int pending = 0;
  int in_flight = 0;
};

WaveCounts Count(const WaveDocument& document) {
  WaveCounts counts;
  for (const auto& [id, instance] : document.instances) {
    const bool in_flight = IsInFlight(instance.stage);
    counts.pending += instance.stage == WaveStage::kPending ? 1 : 0;
    counts.in_flight += in_flight ? 1 : 0;
    if (instance.wave == document.wave) {
      ++counts.members;
      counts.failed += instance.stage == WaveStage::kFailed ? 1 : 0;
      counts.unfinished += in_flight ? 1 : 0;
    }
  }
  return counts;
}

bool CancelOperations(WaveDocument& document) {
  bool changed = false;
  for (auto& [id, instance] : document.instances) {
    const bool stops = instance.stage == WaveStage::kReserved ||
                       (instance.stage == WaveStage::kDraining &&
                        document.state == RolloutState::kHalted);
    if (stops) {
      instance.stage = WaveStage::kCancelling;
      changed = true;
    }
  }
  return changed;
}

Error WrongState(const WaveDocument& document, const std::string& step) {
  return Error{
      ErrorCode::kConflict, step, document.project.value(),
      absl::StrCat("the roll-out is ", RolloutStateName(document.state))};
}

}  // namespace

Result<bool> StartRollout(WaveDocument& document,
                          const std::string& rollout,
                          const std::vector<RolloutInstance>& instances) {
  if (rollout.empty()) {
    return Fail(ErrorCode::kInvalid, "maintenance.start",
                document.project.value(), "the roll-out has no name");
  }
  if (document.rollout == rollout) {
    return false;
  }
  const bool over = document.state == RolloutState::kNone ||
                    document.state == RolloutState::kFinished ||
                    document.state == RolloutState::kHalted;
  // Operations of a halted roll-out end before their ids are forgotten.
  if (!over || Count(document).in_flight > 0) {
    return tl::unexpected<Error>(WrongState(document, "maintenance.start"));
  }
  document.rollout = rollout;
  document.state = RolloutState::kRunning;
  document.reason.clear();
  document.wave = 1;
  document.wave_size = 1;
  document.instances.clear();
  for (const RolloutInstance& instance : instances) {
    WaveInstance& added = document.instances[instance.id];
    added.data_centre = instance.data_centre;
    added.rack = instance.rack;
  }
  return true;
}

Result<bool> PauseRollout(WaveDocument& document) {
  if (document.state == RolloutState::kPaused) {
    return false;
  }
  if (document.state != RolloutState::kRunning) {
    return tl::unexpected<Error>(WrongState(document, "maintenance.pause"));
  }
  document.state = RolloutState::kPaused;
  return true;
}

Result<bool> ResumeRollout(WaveDocument& document) {
  if (document.state == RolloutState::kRunning) {
    return false;
  }
  if (document.state == RolloutState::kHalted) {
    ++document.wave;
    document.wave_size = 1;
  } else if (document.state != RolloutState::kPaused) {
    return tl::unexpected<Error>(WrongState(document, "maintenance.resume"));
  }
  document.state = RolloutState::kRunning;
  document.reason.clear();
  return true;
}

bool AdvanceRollout(WaveDocument& document) {
  const bool active = document.state == RolloutState::kRunning ||
                      document.state == RolloutState::kPaused;
  const WaveCounts counts = Count(document);
  const int tolerated = document.wave_size == 1 ? 0 : kFailuresToHalt - 1;
  bool changed = false;
  if (active && counts.failed > tolerated) {
    document.state = RolloutState::kHalted;
    document.reason = absl::StrCat(counts.failed, " of ", counts.members,
                                   " instances failed in wave ", document.wave);
    changed = true;
  }
  if (document.state == RolloutState::kPaused ||
      document.state == RolloutState::kHalted) {
    changed |= CancelOperations(document);
  }
  if (document.state != RolloutState::kRunning || counts.unfinished > 0) {
    return changed;
  }
  if (counts.pending == 0 && counts.in_flight == 0) {
    document.state = RolloutState::kFinished;
    return true;
  }
  if (counts.members >= document.wave_size) {
    ++document.wave;
    // A roll-out has fewer instances than this.
    document.wave_size =
        std::min(document.wave_size, std::numeric_limits<int>::max() / 4) * 2;
    return true;
  }
  return changed;
}

std::vector<InstanceId> PlanStarts(const WaveDocument& document,
                                   const DataCentreId& data_centre,
                                   const StartLimits& limits) {
  std::vector<InstanceId> starts;
  if (document.state != RolloutState::kRunning ||
      limits.worst_case <= std::chrono::milliseconds(0)) {
    return starts;
  }
  using Place = std::pair<DataCentreId, RackId>;
  std::set<Place> busy_racks;
  // Reserved instances may not have their budget yet.
  int without_budget = 0;
  std::vector<std::tuple<int, RackId, InstanceId>> candidates;
  for (const auto& [id, instance] : document.instances) {
    if (IsInFlight(instance.stage)) {
      busy_racks.emplace(instance.data_centre, instance.rack);
      without_budget += instance.stage == WaveStage::kReserved ? 1 : 0;
    } else if (instance.stage == WaveStage::kPending &&
               instance.data_centre == data_centre &&
               limits.startable.count(id) != 0) {
      candidates.emplace_back(instance.starts, instance.rack, id);
    }
  }
  std::sort(candidates.begin(), candidates.end());
  const WaveCounts counts = Count(document);
  const int64_t affordable = limits.budget.remaining / limits.worst_case;
  const int64_t allowed = std::min<int64_t>(
      {document.wave_size - counts.members,
       limits.budget.max_down - limits.budget.down - without_budget,
       affordable - without_budget, limits.budget.max_down - counts.in_flight});
  for (const auto& [begun, rack, id] : candidates) {
    if (static_cast<int64_t>(starts.size()) >= allowed) {
      break;
    }
    if (busy_racks.emplace(data_centre, rack).second) {
      starts.push_back(id);
    }
  }
  return starts;
}

void BeginOperation(WaveDocument& document,
                    const InstanceId& instance,
                    const std::string& unique) {
  WaveInstance& begun = document.instances[instance];
  begun.stage = WaveStage::kReserved;
  begun.wave = document.wave;
  ++begun.starts;
  begun.note.clear();
  begun.operation =
      OperationId(absl::StrCat("maintenance/", document.project.value(), "/",
                               instance.value(), "/", unique));
}

}  // namespace figflow
