#ifndef DAEMON_MAINTENANCE_DRIVER_H_
#define DAEMON_MAINTENANCE_DRIVER_H_

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <thread>

#include "Common/json.h"

#include "Budget/budget_store.h"
#include "Common/clock.h"
#include "Daemon/control_loop.h"
#include "Maintenance/maintenance_controller.h"
#include "Platform/fleet_service.h"
#include "Platform/key_value_store.h"
#include "Pools/data_centre_store.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace figflow {

// Runs a MaintenanceController for each project that has a roll-out which has
// not ended. One watch on all wave documents tells which: reading 194 of them
// each second from each daemon would use up the store's reads.
class MaintenanceDriver {
 public:
  struct Parts {
    KeyValueStore& store;
    DataCentreStore& data_centre;
    const BudgetStore& budgets;
    FleetService& fleet;
  };

  // `options` without the project. The parts must outlive the driver.
  MaintenanceDriver(Parts parts,
                    MaintenanceOptions options,
                    std::chrono::milliseconds watch_wait);
  ~MaintenanceDriver();
  MaintenanceDriver(const MaintenanceDriver&) = delete;
  MaintenanceDriver& operator=(const MaintenanceDriver&) = delete;

  void Start();
  // After it returns no step starts an operation.
  void Stop();

  // A step of the control loop.
  void Step(const ControlRound& round);

  nlohmann::json DumpState() const;

 private:
  void RunWatch();

  const Parts parts_;
  const MaintenanceOptions options_;
  const std::chrono::milliseconds watch_wait_;
  MonoTime next_step_;
  std::map<ProjectId, std::unique_ptr<MaintenanceController>> controllers_;

  mutable absl::Mutex mutex_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  // Projects that need steps.
  std::set<ProjectId> active_ ABSL_GUARDED_BY(mutex_);
  std::map<ProjectId, MaintenanceStatus> last_status_ ABSL_GUARDED_BY(mutex_);
  std::thread watch_;
};

}  // namespace figflow

#endif  // DAEMON_MAINTENANCE_DRIVER_H_
