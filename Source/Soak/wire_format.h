#ifndef SOAK_WIRE_FORMAT_H_
#define SOAK_WIRE_FORMAT_H_

#include <string>
#include <vector>

#include "Adapter/instance_gateway.h"
#include "Common/json.h"
#include "Http/http_message.h"
#include "Platform/transactional_store.h"
#include "Scheduling/fleet_plan.h"
#include "Scheduling/job_spec.h"
#include "Scheduling/worker_gateway.h"
#include "absl/strings/string_view.h"

namespace figflow::soak {

// The platform's side of the wire that platform/ speaks.

inline constexpr char kPlanKey[] = "op/config";
inline constexpr char kRegistryPrefix[] = "servers/";

std::string WaveKey(uint64_t wave);
std::string FormatPlan(const FleetPlan& plan);
std::string FormatWave(const MaintenanceWave& wave);
std::string FormatWorker(const WorkerReport& report);
std::string FormatJob(const JobSpec& spec);

nlohmann::json FormatItem(const StoreItem& item);
nlohmann::json FormatItems(const std::vector<StoreItem>& items);
Transaction ParseTransaction(const nlohmann::json& body);

nlohmann::json FormatInstances(const std::vector<Instance>& instances);
HttpResponse FormatInstanceAnswer(InstanceAnswer answer);

// False for text of another form.
bool ParseTask(absl::string_view text, TaskName* task);
HttpResponse FormatOrderAnswer(const OrderResponse& answer);
HttpResponse FormatHoldAnswer(const HoldResponse& answer);

HttpResponse JsonResponse(int status, const nlohmann::json& body);
// Value of one parameter of a request target, decoded; empty if absent.
std::string QueryValue(absl::string_view target, absl::string_view name);

}  // namespace figflow::soak

#endif  // SOAK_WIRE_FORMAT_H_
