#ifndef PLATFORM_HTTP_FLEET_SERVICE_H_
#define PLATFORM_HTTP_FLEET_SERVICE_H_

#include <vector>

#include "Platform/fleet_service.h"
#include "Platform/platform_client.h"

namespace figflow {

// Client of the platform's fleet API. Besides the codes of KeyValueStore:
// kNotFound for an unknown instance or task, kConflict for a fencing token that
// is too low, kDeadlineExceeded for a reboot after its `not_after`,
// kResourceExhausted for a task that does not fit its worker.
class HttpFleetService : public FleetService {
 public:
  // `client` must outlive this object and may be shared.
  explicit HttpFleetService(PlatformClient& client) : client_(client) {}

  Result<std::vector<ListedInstance>> ListInstances(
      const DataCentreId& data_centre,
      std::chrono::milliseconds timeout) override;
  Result<void> Reboot(const RebootRequest& request,
                      std::chrono::milliseconds timeout) override;
  Result<void> StartTask(const TaskStart& start,
                         std::chrono::milliseconds timeout) override;
  Result<void> RenewTask(const JobId& job,
                         uint64_t fencing_token,
                         std::chrono::milliseconds timeout) override;
  Result<void> ThrottleTask(const JobId& job,
                            uint64_t fencing_token,
                            std::chrono::milliseconds timeout) override;
  Result<void> CheckpointTask(const JobId& job,
                              uint64_t fencing_token,
                              std::chrono::milliseconds timeout) override;
  Result<void> StopTask(const JobId& job,
                        uint64_t fencing_token,
                        std::chrono::milliseconds timeout) override;
  Result<std::vector<TaskReport>> ListTasks(
      const DataCentreId& data_centre,
      std::chrono::milliseconds timeout) override;

 private:
  Result<void> Write(absl::string_view kind,
                     const char* path,
                     nlohmann::json body,
                     std::chrono::milliseconds timeout);
  // A GET of `path` for one data centre; parses each member of array `name`.
  template <typename T>
  Result<std::vector<T>> ReadList(absl::string_view kind,
                                  const char* path,
                                  const char* name,
                                  const DataCentreId& data_centre,
                                  std::chrono::milliseconds timeout,
                                  Result<T> (*parse)(const nlohmann::json&));

  PlatformClient& client_;
};

}  // namespace figflow

#endif  // PLATFORM_HTTP_FLEET_SERVICE_H_
