#ifndef STANDINS_PLATFORM_PLATFORM_SERVER_H_
#define STANDINS_PLATFORM_PLATFORM_SERVER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "Common/clock.h"
#include "Common/error.h"
#include "StandIns/Platform/fault_plan.h"
#include "StandIns/Platform/fleet_model.h"
#include "StandIns/Platform/http_listener.h"
#include "StandIns/Platform/key_value_model.h"
#include "StandIns/Platform/rate_limiter.h"
#include "StandIns/Platform/standin_settings.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace figflow::standin {

// The platform's HTTP API (docs/platform-api.md) and the control calls under
// /standin/.
class PlatformServer {
 public:
  PlatformServer(const StandinSettings& settings, const Clock& clock);

  Result<void> Start();
  const std::string& address() const { return listener_.address(); }
  // Ends watches, lets running requests finish and stops.
  void Stop();

  // The answer to one request; nullopt closes the connection.
  std::optional<Answer> Handle(const ApiRequest& request);

 private:
  struct Route;

  static const Route* FindRoute(const ApiRequest& request);
  // Applies rate limits and faults around the call itself.
  std::optional<Answer> HandleCall(const Route& route,
                                   const ApiRequest& request);
  Answer Run(const Route& route, const ApiRequest& request);

  Answer Get(const ApiRequest& request);
  Answer CompareAndSwap(const ApiRequest& request);
  Answer CompareAndDelete(const ApiRequest& request);
  Answer List(const ApiRequest& request);
  Answer Watch(const ApiRequest& request);
  Answer GrantLease(const ApiRequest& request);
  Answer KeepLeaseAlive(const ApiRequest& request);
  Answer ListInstances(const ApiRequest& request);
  Answer Reboot(const ApiRequest& request);
  Answer StartTask(const ApiRequest& request);
  Answer RenewTask(const ApiRequest& request);
  Answer ThrottleTask(const ApiRequest& request);
  Answer CheckpointTask(const ApiRequest& request);
  Answer StopTask(const ApiRequest& request);
  Answer ListTasks(const ApiRequest& request);
  Answer SetFault(const ApiRequest& request);
  Answer SetInstance(const ApiRequest& request);
  Answer Snapshot(const ApiRequest& request);
  Answer Restore(const ApiRequest& request);
  Answer State(const ApiRequest& request);

  const StandinSettings settings_;
  const Clock& clock_;
  FaultPlan faults_;
  KeyValueModel store_;
  FleetModel fleet_;
  RateLimiter writes_;
  RateLimiter reads_;
  absl::Mutex mutex_;
  std::map<std::string, uint64_t> calls_ ABSL_GUARDED_BY(mutex_);
  nlohmann::json snapshot_ ABSL_GUARDED_BY(mutex_);
  HttpListener listener_;
};

}  // namespace figflow::standin

#endif  // STANDINS_PLATFORM_PLATFORM_SERVER_H_
