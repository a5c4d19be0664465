#ifndef ADAPTER_PLATFORM_ADAPTER_H_
#define ADAPTER_PLATFORM_ADAPTER_H_

#include <string>

#include "Adapter/caller_call.h"
#include "Adapter/instance_gateway.h"
#include "Common/error.h"
#include "Http/http_message.h"
#include "Platform/transactional_store.h"
#include "Scheduling/fleet_plan.h"
#include "Scheduling/worker.h"
#include "Scheduling/worker_gateway.h"
#include "absl/strings/string_view.h"

namespace figflow {

// Everything that differs between platforms: how the product's terms are
// spelled on the wire and in the store.
class PlatformAdapter {
 public:
  virtual ~PlatformAdapter() = default;

  virtual TransactionalStore& store() = 0;
  virtual WorkerGateway& workers() = 0;
  virtual InstanceGateway& instances() = 0;

  // Prefix of the operators' keys: plan and waves.
  virtual std::string operator_prefix() const = 0;
  virtual bool IsPlanKey(absl::string_view key) const = 0;
  virtual Result<FleetPlan> ParsePlan(absl::string_view bytes) const = 0;
  virtual bool IsWaveKey(absl::string_view key) const = 0;
  virtual Result<MaintenanceWave> ParseWave(absl::string_view key,
                                            absl::string_view bytes) const = 0;
  virtual std::string WaveStatusKey(uint64_t wave) const = 0;
  virtual std::string FormatWaveStatus(uint64_t wave, bool completed) const = 0;

  virtual std::string worker_prefix() const = 0;
  // The worker's id that a key of the registry names.
  virtual std::string WorkerIdOf(absl::string_view key) const = 0;
  virtual Result<WorkerReport> ParseWorker(absl::string_view key,
                                           absl::string_view bytes) const = 0;

  // Errors: kNotFound, no queue at the address; kPermissionDenied, no key of a
  // customer although the queue needs one, with the name of the KeyFault as
  // message; kInvalid, malformed.
  virtual Result<CallerCall> ParseCall(const HttpRequest& request,
                                       const FleetPlan& plan) const = 0;
  virtual HttpResponse FormatReply(const CallerReply& reply) const = 0;
  // Answers the balancer's question whether this daemon takes connections.
  virtual HttpResponse AnswerProbe(const HttpRequest& request,
                                   bool ready) const = 0;
};

}  // namespace figflow

#endif  // ADAPTER_PLATFORM_ADAPTER_H_
