#include "FleetConfig/config_documents.h"

#include <algorithm>
#include <utility>

#include "Common/json.h"

#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

tl::unexpected<Error> Malformed(const char* step, std::string message) {
  return Fail(ErrorCode::kInvalid, step, "", std::move(message));
}

// Parses `text` and runs `parse`, which throws on malformed members.
template <typename T>
Result<T> Parsed(const char* step,
                 absl::string_view text,
                 T (*parse)(const json&)) {
  try {
    return parse(json::parse(text.begin(), text.end()));
  } catch (const json::exception& error) {
    return Malformed(step, error.what());
  }
}

json RowsToJson(const SheetRows& rows) {
  json list = json::array();
  for (const SheetRow& row : rows) {
    list.push_back(RowToCompactJson(row));
  }
  return list;
}

SheetRows RowsFromJson(const json& list) {
  SheetRows rows;
  for (const json& item : list) {
    Result<SheetRow> row = RowFromCompactJson(item);
    if (!row) {
      throw json::other_error::create(501, row.error().message, &item);
    }
    rows.push_back(std::move(*row));
  }
  return rows;
}

json StepToJson(const ConfigStep& step) {
  json removed = json::array();
  for (const auto& [project, data_centre] : step.removed) {
    removed.push_back({project.value(), data_centre.value()});
  }
  return {{"revision", step.revision},
          {"base_hash", step.base_hash},
          {"hash", step.hash},
          {"apply_id", step.apply_id},
          {"applied_at_ms", SinceEpoch(step.applied_at).count()},
          {"set", RowsToJson(step.set)},
          {"removed", std::move(removed)}};
}

WallTime TimeAt(const json& object) {
  return FromEpoch(milliseconds(object.at("applied_at_ms").get<int64_t>()));
}

ConfigStep StepFromJson(const json& object) {
  ConfigStep step;
  step.revision = object.at("revision").get<uint64_t>();
  step.base_hash = object.at("base_hash").get<std::string>();
  step.hash = object.at("hash").get<std::string>();
  step.apply_id = object.at("apply_id").get<std::string>();
  step.applied_at = TimeAt(object);
  step.set = RowsFromJson(object.at("set"));
  for (const json& key : object.at("removed")) {
    step.removed.emplace_back(ProjectId(key.at(0).get<std::string>()),
                              DataCentreId(key.at(1).get<std::string>()));
  }
  return step;
}

json StepsToJson(const std::vector<ConfigStep>& steps) {
  json list = json::array();
  for (const ConfigStep& step : steps) {
    list.push_back(StepToJson(step));
  }
  return list;
}

std::vector<ConfigStep> StepsFromJson(const json& list) {
  std::vector<ConfigStep> steps;
  for (const json& item : list) {
    steps.push_back(StepFromJson(item));
  }
  return steps;
}

json AppliesToJson(const std::vector<ApplyRecord>& applies) {
  json list = json::array();
  for (const ApplyRecord& record : applies) {
    list.push_back({record.id, record.revision, record.hash});
  }
  return list;
}

std::vector<ApplyRecord> AppliesFromJson(const json& list) {
  std::vector<ApplyRecord> applies;
  for (const json& item : list) {
    applies.push_back({item.at(0).get<std::string>(),
                       item.at(1).get<uint64_t>(),
                       item.at(2).get<std::string>()});
  }
  return applies;
}

json ConfigurationToJson(const FleetConfiguration& configuration) {
  return {{"revision", configuration.revision},
          {"hash", configuration.hash},
          {"apply_id", configuration.apply_id},
          {"applied_at_ms", SinceEpoch(configuration.applied_at).count()},
          {"rows", RowsToJson(configuration.rows)},
          {"applies", AppliesToJson(configuration.applies)}};
}

FleetConfiguration ConfigurationFromJson(const json& object) {
  FleetConfiguration configuration;
  configuration.revision = object.at("revision").get<uint64_t>();
  configuration.hash = object.at("hash").get<std::string>();
  configuration.apply_id = object.at("apply_id").get<std::string>();
  configuration.applied_at = TimeAt(object);
  configuration.rows = RowsFromJson(object.at("rows"));
  configuration.applies = AppliesFromJson(object.at("applies"));
  if (RowsHash(configuration.rows) != configuration.hash) {
    throw json::other_error::create(501, "the rows do not have the hash given",
                                    &object);
  }
  return configuration;
}

HeadDocument HeadFromJson(const json& object) {
  HeadDocument head;
  head.revision = object.at("revision").get<uint64_t>();
  head.hash = object.at("hash").get<std::string>();
  head.apply_id = object.at("apply_id").get<std::string>();
  head.applied_at = TimeAt(object);
  head.snapshot_revision = object.at("snapshot_revision").get<uint64_t>();
  head.snapshot_key = object.at("snapshot_key").get<std::string>();
  head.steps = StepsFromJson(object.at("steps"));
  head.applies = AppliesFromJson(object.at("applies"));
  return head;
}

// True if each step leads to the next and the last to `last`.
bool Consecutive(const std::vector<ConfigStep>& steps, uint64_t last) {
  for (size_t i = 0; i < steps.size(); ++i) {
    if (steps[i].revision + (steps.size() - 1 - i) != last) {
      return false;
    }
  }
  return true;
}

}  // namespace

HeadDocument EmptyHead() {
  HeadDocument head;
  head.hash = EmptyConfiguration().hash;
  return head;
}

std::string EncodeHead(const HeadDocument& head) {
  return json{{"revision", head.revision},
              {"hash", head.hash},
              {"apply_id", head.apply_id},
              {"applied_at_ms", SinceEpoch(head.applied_at).count()},
              {"snapshot_revision", head.snapshot_revision},
              {"snapshot_key", head.snapshot_key},
              {"steps", StepsToJson(head.steps)},
              {"applies", AppliesToJson(head.applies)}}
      .dump();
}

Result<HeadDocument> DecodeHead(absl::string_view text) {
  Result<HeadDocument> head = Parsed("config.decode_head", text, HeadFromJson);
  if (!head) {
    return head;
  }
  const uint64_t covered_from =
      head->revision - std::min<uint64_t>(head->steps.size(), head->revision);
  if (!Consecutive(head->steps, head->revision) ||
      head->snapshot_revision < covered_from ||
      head->snapshot_revision > head->revision ||
      head->snapshot_key.empty() != (head->snapshot_revision == 0)) {
    return Malformed("config.decode_head",
                     "the snapshot and the steps do not lead to the revision");
  }
  return head;
}

std::string EncodeConfiguration(const FleetConfiguration& configuration) {
  return ConfigurationToJson(configuration).dump();
}

Result<FleetConfiguration> DecodeConfiguration(absl::string_view text) {
  return Parsed("config.decode_snapshot", text, ConfigurationFromJson);
}

ConfigDelta EncodeSteps(const std::vector<ConfigStep>& steps) {
  ConfigDelta delta;
  if (steps.empty()) {
    return delta;
  }
  delta.from_revision = steps.front().revision - 1;
  delta.to_revision = steps.back().revision;
  delta.payload = json{{"steps", StepsToJson(steps)}}.dump();
  return delta;
}

ConfigDelta EncodeWhole(const FleetConfiguration& configuration) {
  return ConfigDelta{
      0, configuration.revision,
      json{{"whole", ConfigurationToJson(configuration)}}.dump()};
}

Result<PeerPayload> DecodePayload(absl::string_view payload) {
  return Parsed<PeerPayload>(
      "config.decode_delta", payload, [](const json& object) {
        PeerPayload decoded;
        if (object.contains("whole")) {
          decoded.whole = ConfigurationFromJson(object["whole"]);
        } else {
          decoded.steps = StepsFromJson(object.at("steps"));
        }
        return decoded;
      });
}

size_t EncodedSize(const ConfigStep& step) {
  return StepToJson(step).dump().size();
}

}  // namespace figflow
