#include "StandIns/Platform/standin_settings.h"

#include <utility>

#include "Common/json.h"

#include "Platform/fleet_json.h"

namespace figflow::standin {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr char kStep[] = "standin.settings";

// Members that may be left out of the file.
json WithDefaults(const json& instance) {
  json complete = {{"role", "worker"}, {"state", "live"},  {"boot", 1},
                   {"slots", 0},       {"connections", 0}, {"cores", 0},
                   {"memory_mb", 0},   {"accelerators", 0}};
  complete.update(instance);
  return complete;
}

}  // namespace

Result<StandinSettings> ParseStandinSettings(absl::string_view text) {
  const json file = json::parse(text.begin(), text.end(), nullptr, false);
  if (!file.is_object()) {
    return Fail(ErrorCode::kInvalid, kStep, "", "not a JSON object");
  }
  StandinSettings settings;
  try {
    settings.listen = file.value("listen", settings.listen);
    settings.writes_per_second =
        file.value("writes_per_second", settings.writes_per_second);
    settings.reads_per_second =
        file.value("reads_per_second", settings.reads_per_second);
    settings.list_lag =
        milliseconds(file.value("list_lag_ms", settings.list_lag.count()));
    settings.usage_lag =
        milliseconds(file.value("usage_lag_ms", settings.usage_lag.count()));
    settings.reboot_time =
        milliseconds(file.value("reboot_ms", settings.reboot_time.count()));
    for (const json& object : file.value("instances", json::array())) {
      Result<ListedInstance> instance = InstanceFromJson(WithDefaults(object));
      if (!instance) {
        return tl::unexpected<Error>(instance.error());
      }
      settings.instances.push_back(std::move(*instance));
    }
  } catch (const json::exception& error) {
    return Fail(ErrorCode::kInvalid, kStep, "", error.what());
  }
  return settings;
}

}  // namespace figflow::standin
