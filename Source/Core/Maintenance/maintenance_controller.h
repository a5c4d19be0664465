#ifndef MAINTENANCE_MAINTENANCE_CONTROLLER_H_
#define MAINTENANCE_MAINTENANCE_CONTROLLER_H_

#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Budget/budget_store.h"
#include "Budget/steady_wall_time.h"
#include "Common/clock.h"
#include "Common/error.h"
#include "Maintenance/maintenance_lease.h"
#include "Maintenance/wave_document.h"
#include "Maintenance/wave_planner.h"
#include "Maintenance/wave_store.h"
#include "Platform/fleet_service.h"
#include "Platform/key_value_store.h"
#include "Pools/data_centre_store.h"
#include "Pools/membership.h"

namespace figflow {

struct MaintenanceOptions {
  DataCentreId data_centre;
  ProjectId project;
  // Unique among processes, such as "<entry>/<incarnation>".
  std::string writer;
  std::chrono::milliseconds drain_timeout{120'000};
  std::chrono::milliseconds reboot_timeout{600'000};
  // As PoolsOptions::request_bound.
  std::chrono::milliseconds request_bound{60'000};
  std::chrono::milliseconds lease_ttl{15'000};
  std::chrono::milliseconds call_timeout{1'000};
  // An instance whose drain ran out of time this often counts as failed.
  int max_drain_timeouts = 3;
};

struct MaintenanceInput {
  MonoTime now;
  WallTime wall;
  // The platform's list of the data centre; nullopt while it cannot be read.
  std::optional<std::vector<ListedInstance>> listed;
};

struct MaintenanceStatus {
  // This daemon drives the roll-out in its data centre.
  bool holder = false;
  RolloutState state = RolloutState::kNone;
  // First failed call in this step.
  std::optional<Error> error;
};

// Drives the roll-out of one project in one data centre. Every stage is written
// by compare-and-swap before its effect on the platform, and every effect is
// idempotent by operation id, so a crash or a second holder at any point
// neither starts an operation twice nor loses one. Not thread-safe.
class MaintenanceController {
 public:
  MaintenanceController(KeyValueStore& store,
                        DataCentreStore& pools,
                        const BudgetStore& budget,
                        FleetService& fleet,
                        MaintenanceOptions options);

  // One round, at most one stage per instance. Nothing begins while the store
  // or the platform's list cannot be read.
  MaintenanceStatus Step(const MaintenanceInput& input);

 private:
  // What one step works on.
  struct Round {
    WaveStore::Versioned base;
    // Base with the changes of this step.
    WaveDocument next;
    DataCentreStore::Versioned pools;
    // Read when the first instance needs them.
    std::optional<Confirmations> confirmations;
    MonoTime now;
    WallTime wall;
    const std::vector<ListedInstance>* listed = nullptr;
  };
  using Stage = Result<bool> (MaintenanceController::*)(const InstanceId&,
                                                        WaveInstance&,
                                                        Round&);

  // Runs the step and returns whether this daemon is the holder.
  Result<bool> Run(const MaintenanceInput& input, MaintenanceStatus& status);
  Result<void> AdvanceInstances(Round& round);
  // Each returns whether the instance changed.
  Result<bool> OnReserved(const InstanceId& id,
                          WaveInstance& instance,
                          Round& round);
  Result<bool> OnDraining(const InstanceId& id,
                          WaveInstance& instance,
                          Round& round);
  Result<bool> OnRebooting(const InstanceId& id,
                           WaveInstance& instance,
                           Round& round);
  Result<bool> OnCancelling(const InstanceId& id,
                            WaveInstance& instance,
                            Round& round);
  // Ends a reboot that did not finish within its reservation.
  Result<bool> FailReboot(const InstanceId& id,
                          WaveInstance& instance,
                          const ListedInstance* listed,
                          Round& round);
  // Marks instances that left the project, so that the wave can end.
  void DropDeparted(Round& round) const;
  Result<void> PlanNewStarts(Round& round);
  // Brings instances back into use that came back after their operation ended,
  // and ends the maintenance of those that are gone.
  Result<void> ReturnRecovered(const Round& round);
  Result<void> CallReboots(const WaveDocument& document, const Round& round);
  Result<void> EndMaintenanceOf(const InstanceId& id,
                                const OperationId& operation);
  std::chrono::milliseconds WorstCase() const {
    return options_.drain_timeout + options_.reboot_timeout;
  }
  // Latest time for the platform to begin the reboot.
  WallTime NotAfter(const WaveInstance& instance) const {
    return instance.reserved_until - options_.reboot_timeout;
  }

  DataCentreStore& pools_;
  const BudgetStore& budget_;
  FleetService& fleet_;
  const MaintenanceOptions options_;
  WaveStore waves_;
  MaintenanceLease lease_;
  RemovalTracker waits_;
  SteadyWallTime steady_;
  // Operations that the platform accepted a reboot for.
  std::set<OperationId> accepted_;
};

}  // namespace figflow

#endif  // MAINTENANCE_MAINTENANCE_CONTROLLER_H_
