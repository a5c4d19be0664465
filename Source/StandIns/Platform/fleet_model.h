#ifndef STANDINS_PLATFORM_FLEET_MODEL_H_
#define STANDINS_PLATFORM_FLEET_MODEL_H_

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "Common/json.h"

#include "Common/clock.h"
#include "StandIns/Platform/answer.h"
#include "StandIns/Platform/standin_settings.h"
#include "StandIns/Platform/task_model.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace figflow::standin {

// Instances and tasks in memory. Thread-safe; nothing blocks.
class FleetModel {
 public:
  FleetModel(const StandinSettings& settings, const Clock& clock);

  // Instances of a data centre, all with an empty one. As of `frozen_at` if
  // set, otherwise as of the list lag ago.
  Answer ListInstances(const std::string& data_centre,
                       std::optional<MonoTime> frozen_at);
  // {"instance", "operation", "not_after_ms"}
  Answer Reboot(const nlohmann::json& body);
  Answer StartTask(const nlohmann::json& body);
  // {"job", "fencing_token"}
  Answer ActOnTask(TaskAction action, const nlohmann::json& body);
  Answer ListTasks(const std::string& data_centre);

  // Control of the stand-in: {"id", "state", "reboot": true, "fails_tasks"}.
  Answer SetInstance(const nlohmann::json& body);
  // Number of reboots begun, by instance.
  nlohmann::json Reboots();

 private:
  struct Record {
    Worker worker;
    // Time of each change and the state from then on, oldest first.
    std::deque<std::pair<MonoTime, ListedInstance>> history;
    std::optional<MonoTime> back_at;
    int reboots = 0;
  };

  void Advance(MonoTime now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void SetState(InstanceState state, MonoTime now, Record& record)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void BeginReboot(MonoTime now, Record& record)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  Record* Find(const InstanceId& id) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const std::chrono::milliseconds list_lag_;
  const std::chrono::milliseconds reboot_time_;
  const Clock& clock_;
  absl::Mutex mutex_;
  std::map<InstanceId, Record> records_ ABSL_GUARDED_BY(mutex_);
  // Instance rebooted by each operation.
  std::map<OperationId, InstanceId> operations_ ABSL_GUARDED_BY(mutex_);
  TaskModel tasks_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace figflow::standin

#endif  // STANDINS_PLATFORM_FLEET_MODEL_H_
