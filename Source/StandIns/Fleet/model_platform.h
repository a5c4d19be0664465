#ifndef STANDINS_FLEET_MODEL_PLATFORM_H_
#define STANDINS_FLEET_MODEL_PLATFORM_H_

#include <memory>
#include <string>

#include "Adapter/platform_adapter.h"
#include "StandIns/Fleet/model_instances.h"
#include "StandIns/Fleet/model_store.h"
#include "StandIns/Fleet/model_workers.h"

namespace figflow::model {

inline constexpr char kModelPlanKey[] = "model/op/plan";
// Header with the key of the caller's customer.
inline constexpr char kModelKeyHeader[] = "Model-Key";

std::string FormatModelPlan(const FleetPlan& plan);
std::string ModelWaveKey(uint64_t wave);
std::string ModelWaveStatusKey(uint64_t wave);
std::string FormatModelWave(const MaintenanceWave& wave);

// A request as ModelPlatform reads it: "/<queue>/<job>" with the spec's bytes
// as body.
HttpRequest ModelRequest(const std::string& method,
                         const std::string& queue,
                         const std::string& job,
                         const std::string& body);

// The platform as one daemon reaches it, with plain encodings of its own.
std::unique_ptr<PlatformAdapter> MakeModelPlatform(ModelStore& store,
                                                   ModelWorkers& workers,
                                                   ModelInstances& instances,
                                                   const NodePtr& node);

}  // namespace figflow::model

#endif  // STANDINS_FLEET_MODEL_PLATFORM_H_
