#ifndef PLATFORM_FLEET_JSON_H_
#define PLATFORM_FLEET_JSON_H_

#include "Common/json.h"

#include "Common/error.h"
#include "Platform/fleet_service.h"

namespace figflow {

// JSON forms of the fleet API. The parse functions return kInvalid for a
// missing member or an unknown name.
nlohmann::json ToJson(const ListedInstance& instance);
Result<ListedInstance> InstanceFromJson(const nlohmann::json& json);

nlohmann::json ToJson(const RebootRequest& request);
Result<RebootRequest> RebootFromJson(const nlohmann::json& json);

nlohmann::json ToJson(const TaskStart& start);
Result<TaskStart> TaskStartFromJson(const nlohmann::json& json);

nlohmann::json ToJson(const TaskReport& report);
Result<TaskReport> TaskReportFromJson(const nlohmann::json& json);

}  // namespace figflow

#endif  // PLATFORM_FLEET_JSON_H_
