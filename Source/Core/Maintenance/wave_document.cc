#include "Maintenance/wave_document.h"

#include <limits>
#include <utility>

#include "Common/json.h"

#include "Platform/json_fields.h"

namespace figflow {
namespace {

using nlohmann::json;

constexpr int kVersion = 1;
constexpr int kMaxInt = std::numeric_limits<int>::max();

// In the order of WaveStage.
constexpr const char* kStages[] = {"pending",   "reserved",   "draining",
                                   "rebooting", "cancelling", "done",
                                   "failed"};
// In the order of RolloutState.
constexpr const char* kStates[] = {"none", "running", "paused", "halted",
                                   "finished"};

int Count(JsonFields& fields, const char* name) {
  return static_cast<int>(fields.Integer(name, 0, kMaxInt));
}

}  // namespace

absl::string_view WaveStageName(WaveStage stage) {
  return kStages[static_cast<int>(stage)];
}

absl::string_view RolloutStateName(RolloutState state) {
  return kStates[static_cast<int>(state)];
}

bool IsInFlight(WaveStage stage) {
  return stage == WaveStage::kReserved || stage == WaveStage::kDraining ||
         stage == WaveStage::kRebooting || stage == WaveStage::kCancelling;
}

std::string FormatWaveDocument(const WaveDocument& document) {
  json holders = json::array();
  for (const auto& [data_centre, holder] : document.holders) {
    holders.push_back(
        {{"data_centre", data_centre.value()}, {"holder", holder}});
  }
  json instances = json::array();
  for (const auto& [id, instance] : document.instances) {
    instances.push_back(
        {{"id", id.value()},
         {"data_centre", instance.data_centre.value()},
         {"rack", instance.rack.value()},
         {"stage", kStages[static_cast<int>(instance.stage)]},
         {"wave", instance.wave},
         {"starts", instance.starts},
         {"drain_timeouts", instance.drain_timeouts},
         {"operation", instance.operation.value()},
         {"boot_before", instance.boot_before},
         {"reserved_until", SinceEpoch(instance.reserved_until).count()},
         {"note", instance.note}});
  }
  return DumpJson({{"version", kVersion},
                   {"project", document.project.value()},
                   {"write_id", document.write_id},
                   {"rollout", document.rollout},
                   {"state", kStates[static_cast<int>(document.state)]},
                   {"reason", document.reason},
                   {"wave", document.wave},
                   {"wave_size", document.wave_size},
                   {"holders", std::move(holders)},
                   {"instances", std::move(instances)}});
}

Result<WaveDocument> ParseWaveDocument(absl::string_view text) {
  JsonFault fault{"maintenance.parse_document", std::nullopt};
  const json root = json::parse(text.begin(), text.end(), nullptr, false);
  WaveDocument document;
  JsonFields fields(root, "$", fault);
  fields.Integer("version", kVersion, kVersion);
  if (fault.error) {
    return tl::unexpected<Error>(*fault.error);
  }
  document.project = ProjectId(fields.NonEmptyText("project"));
  document.write_id = fields.NonEmptyText("write_id");
  document.rollout = fields.Text("rollout");
  document.state = fields.OneOf<RolloutState>("state", kStates);
  document.reason = fields.Text("reason");
  document.wave = Count(fields, "wave");
  document.wave_size = Count(fields, "wave_size");
  for (JsonFields& item : fields.Objects("holders")) {
    document.holders[DataCentreId(item.NonEmptyText("data_centre"))] =
        item.Text("holder");
    item.Finish();
  }
  for (JsonFields& item : fields.Objects("instances")) {
    WaveInstance instance;
    InstanceId id(item.NonEmptyText("id"));
    instance.data_centre = DataCentreId(item.NonEmptyText("data_centre"));
    instance.rack = RackId(item.Text("rack"));
    instance.stage = item.OneOf<WaveStage>("stage", kStages);
    instance.wave = Count(item, "wave");
    instance.starts = Count(item, "starts");
    instance.drain_timeouts = Count(item, "drain_timeouts");
    instance.operation = OperationId(item.Text("operation"));
    instance.boot_before = static_cast<uint64_t>(item.Natural("boot_before"));
    instance.reserved_until = item.Time("reserved_until");
    instance.note = item.Text("note");
    item.Finish();
    if (IsInFlight(instance.stage) && instance.operation.empty()) {
      fault.Add(item.path(), "is in flight without an operation");
    }
    if (!document.instances.emplace(std::move(id), std::move(instance))
             .second) {
      fault.Add(item.path(), "repeats an instance");
    }
  }
  fields.Finish();
  if (fault.error) {
    return tl::unexpected<Error>(*fault.error);
  }
  return document;
}

}  // namespace figflow
