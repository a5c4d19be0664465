#include "Instances/wave_record.h"

#include <chrono>

#include "Common/json.h"

#include "Common/cbor.h"

namespace figflow {
namespace {

using nlohmann::json;

constexpr char kWaveRecordStep[] = "wave.record";

}  // namespace

std::string FormatWaveRecord(const WaveRecord& record) {
  json instances = json::object();
  for (const auto& [instance, step] : record.instances) {
    if (step != MaintenanceStep::kWaiting) {
      instances[instance] = static_cast<int>(step);
    }
  }
  return FormatCbor(json::array({SinceEpoch(record.due).count(),
                                 record.completed, std::move(instances)}));
}

Result<WaveRecord> ParseWaveRecord(absl::string_view bytes) {
  return ParseCbor<WaveRecord>(
      bytes, kWaveRecordStep, [](const json& row) -> Result<WaveRecord> {
        WaveRecord record;
        record.due =
            FromEpoch(std::chrono::milliseconds(row.at(0).get<int64_t>()));
        record.completed = row.at(1).get<bool>();
        for (const auto& [instance, step] : row.at(2).items()) {
          const int number = step.get<int>();
          if (number < 0 ||
              number > static_cast<int>(MaintenanceStep::kCompleted)) {
            return Fail(ErrorCode::kInvalid, kWaveRecordStep, instance,
                        "unknown maintenance step");
          }
          record.instances[instance] = static_cast<MaintenanceStep>(number);
        }
        return record;
      });
}

std::string FormatHandOverRecord(const HandOverRecord& record) {
  json ordered = json::array();
  for (const auto& [instance, blocked_for] : record.recently_ordered) {
    ordered.push_back({instance, blocked_for.count()});
  }
  return FormatCbor(json::array({record.active, std::move(ordered)}));
}

Result<HandOverRecord> ParseHandOverRecord(absl::string_view bytes) {
  return ParseCbor<HandOverRecord>(
      bytes, "handover.record", [](const json& row) {
        HandOverRecord record;
        record.active = row.at(0).get<bool>();
        for (const json& entry : row.at(1)) {
          record.recently_ordered[entry.at(0).get<std::string>()] =
              std::chrono::milliseconds(entry.at(1).get<int64_t>());
        }
        return record;
      });
}

}  // namespace figflow
