#ifndef MAINTENANCE_MAINTENANCE_TEST_SUPPORT_H_
#define MAINTENANCE_MAINTENANCE_TEST_SUPPORT_H_

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Maintenance/maintenance_controller.h"
#include "Pools/pools_test_support.h"

namespace figflow::test {

inline const ProjectId kTestProject("p-project");

// The platform's reboots: accepted once per operation id and not after its
// time. A reboot takes `reboot_time`; instances in `stuck` do not come back.
class FakeFleet : public FleetService {
 public:
  Result<std::vector<ListedInstance>> ListInstances(
      const DataCentreId&,
      std::chrono::milliseconds) override {
    return listed;
  }
  Result<void> Reboot(const RebootRequest& request,
                      std::chrono::milliseconds) override {
    if (refuse) {
      return Fail(ErrorCode::kUnavailable, "fleet.reboot", "", "refused");
    }
    if (!operations.insert(request.operation).second) {
      return {};
    }
    if (wall > request.not_after) {
      return Fail(ErrorCode::kInvalid, "fleet.reboot", "", "too late");
    }
    ++reboots[request.instance];
    down[request.instance] = wall + reboot_time;
    Listed(request.instance).state = InstanceState::kLeaving;
    if (lose_answers) {
      return Fail(ErrorCode::kUnknownOutcome, "fleet.reboot", "", "lost");
    }
    return {};
  }
  Result<void> StartTask(const TaskStart&, std::chrono::milliseconds) override {
    return {};
  }
  Result<void> RenewTask(const JobId&,
                         uint64_t,
                         std::chrono::milliseconds) override {
    return {};
  }
  Result<void> ThrottleTask(const JobId&,
                            uint64_t,
                            std::chrono::milliseconds) override {
    return {};
  }
  Result<void> CheckpointTask(const JobId&,
                              uint64_t,
                              std::chrono::milliseconds) override {
    return {};
  }
  Result<void> StopTask(const JobId&,
                        uint64_t,
                        std::chrono::milliseconds) override {
    return {};
  }
  Result<std::vector<TaskReport>> ListTasks(
      const DataCentreId&,
      std::chrono::milliseconds) override {
    return std::vector<TaskReport>();
  }

  ListedInstance& Listed(const InstanceId& id) {
    for (ListedInstance& instance : listed) {
      if (instance.id == id) {
        return instance;
      }
    }
    return listed.at(0);
  }

  void AdvanceTo(WallTime now) {
    wall = now;
    for (auto it = down.begin(); it != down.end();) {
      if (it->second > now || stuck.count(it->first) != 0) {
        ++it;
        continue;
      }
      ++Listed(it->first).boot;
      Listed(it->first).state = InstanceState::kLive;
      it = down.erase(it);
    }
  }

  std::vector<ListedInstance> listed;
  std::map<InstanceId, WallTime> down;
  std::map<InstanceId, int> reboots;
  std::set<OperationId> operations;
  std::set<InstanceId> stuck;
  std::chrono::milliseconds reboot_time{20s};
  WallTime wall;
  bool refuse = false;
  bool lose_answers = false;
};

// A daemon of data centre "a" with its maintenance of one project.
struct MaintenanceDaemon : Daemon {
  MaintenanceDaemon(KeyValueStore& kv,
                    FleetService& fleet,
                    const std::string& id)
      : Daemon(kv, id, 1),
        budget(kv, id + "/budget", 50ms),
        waves(kv, kTestProject, id + "/operator", 50ms),
        maintenance(kv,
                    store,
                    budget,
                    fleet,
                    {DataCentreId("a"), kTestProject, id + "/m", 30s, 60s,
                     kBound, 15s, 50ms, 2}) {}

  BudgetStore budget;
  WaveStore waves;
  MaintenanceController maintenance;
};

}  // namespace figflow::test

#endif  // MAINTENANCE_MAINTENANCE_TEST_SUPPORT_H_
