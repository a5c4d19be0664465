#ifndef PLATFORM_FLEET_SERVICE_H_
#define PLATFORM_FLEET_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "Common/clock.h"
#include "Common/error.h"
#include "Common/strong_id.h"

namespace figflow {

enum class InstanceState { kLive, kLeaving, kGone };

enum class InstanceRole { kEntry, kWorker };

struct ListedInstance {
  InstanceId id;
  InstanceRole role = InstanceRole::kWorker;
  InstanceState state = InstanceState::kLive;
  DataCentreId data_centre;
  RackId rack;
  // "ip:port" where the target, or the entry's peer listener, accepts.
  std::string address;
  // Grows with each restart of the instance.
  uint64_t boot = 0;
  int slots = 0;
  int connections = 0;
  int cores = 0;
  int64_t memory_mb = 0;
  int accelerators = 0;
};

struct TaskSize {
  double cores = 0;
  int64_t memory_mb = 0;
  int accelerators = 0;
};

struct TaskStart {
  JobId job;
  InstanceId worker;
  // The worker refuses a token lower than the highest it has seen for the job.
  uint64_t fencing_token = 0;
  TaskSize size;
  std::string command;
  // The task is stopped by the platform when its lease is not renewed in time.
  std::chrono::milliseconds lease_ttl{0};
};

enum class TaskState {
  kRunning,
  kThrottled,
  kCheckpointed,
  kStopped,
  kDone,
  kFailed
};

struct TaskReport {
  JobId job;
  InstanceId worker;
  uint64_t fencing_token = 0;
  TaskState state = TaskState::kRunning;
  // Measured by the platform; lags by seconds.
  TaskSize usage;
  WallTime measured_at;
  std::string failure;
};

struct RebootRequest {
  InstanceId instance;
  // A repeated call with the same id has no further effect.
  OperationId operation;
  // The platform refuses to begin the reboot after this time.
  WallTime not_after;
};

// The platform's calls for instances and tasks. Blocking, thread-safe; error
// codes as for KeyValueStore.
class FleetService {
 public:
  virtual ~FleetService() = default;

  // The list lags, may be stale, and may omit instances.
  virtual Result<std::vector<ListedInstance>> ListInstances(
      const DataCentreId& data_centre,
      std::chrono::milliseconds timeout) = 0;

  virtual Result<void> Reboot(const RebootRequest& request,
                              std::chrono::milliseconds timeout) = 0;

  virtual Result<void> StartTask(const TaskStart& start,
                                 std::chrono::milliseconds timeout) = 0;
  virtual Result<void> RenewTask(const JobId& job,
                                 uint64_t fencing_token,
                                 std::chrono::milliseconds timeout) = 0;
  virtual Result<void> ThrottleTask(const JobId& job,
                                    uint64_t fencing_token,
                                    std::chrono::milliseconds timeout) = 0;
  virtual Result<void> CheckpointTask(const JobId& job,
                                      uint64_t fencing_token,
                                      std::chrono::milliseconds timeout) = 0;
  virtual Result<void> StopTask(const JobId& job,
                                uint64_t fencing_token,
                                std::chrono::milliseconds timeout) = 0;
  virtual Result<std::vector<TaskReport>> ListTasks(
      const DataCentreId& data_centre,
      std::chrono::milliseconds timeout) = 0;
};

}  // namespace figflow

#endif  // PLATFORM_FLEET_SERVICE_H_
