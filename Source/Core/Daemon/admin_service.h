#ifndef DAEMON_ADMIN_SERVICE_H_
#define DAEMON_ADMIN_SERVICE_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "Admin/admin_backend.h"
#include "Budget/budget_store.h"
#include "Common/clock.h"
#include "Common/metrics.h"
#include "Daemon/control_loop.h"
#include "FleetConfig/config_store.h"
#include "Jobs/job_store.h"
#include "Maintenance/wave_store.h"
#include "Peer/peer_service.h"
#include "Platform/key_value_store.h"
#include "Pools/data_centre_store.h"
#include "Routing/sharded_dispatcher.h"

namespace figflow {

struct AdminParts {
  const Clock& clock;
  MetricsRegistry& metrics;
  KeyValueStore& store;
  ConfigStore& config;
  DataCentreStore& data_centre;
  BudgetStore& budgets;
  JobStore& jobs;
  ControlLoop& control;
  ShardedDispatcher& dispatcher;
  PeerService& peers;
  PeerHandler& local;
};

// The administration API's operations on this daemon and the durable
// documents.
class AdminService : public AdminBackend {
 public:
  // The parts must outlive the service.
  AdminService(AdminParts parts, std::chrono::milliseconds store_timeout);

  void SetStopping() { stopping_ = true; }
  // Adds a section to State.
  void AddDump(std::string name, std::function<nlohmann::json()> dump);

  Result<void> Ready() override;
  std::string Metrics() override;
  nlohmann::json State() override;

  Result<SheetInForce> GetSheet() override;
  Result<SheetCheck> CheckSheet(absl::string_view csv) override;
  Result<SheetDiffView> DiffSheet(absl::string_view csv) override;
  Result<SheetApplied> ApplySheet(absl::string_view csv,
                                  const std::string& apply_id) override;

  Result<StatusReport> Status() override;
  Result<std::vector<ProjectRow>> Projects(const AdminFilter& filter) override;
  Result<std::vector<PoolRow>> Pools(const AdminFilter& filter) override;
  Result<std::vector<InstanceRow>> Instances(
      const AdminFilter& filter) override;
  Result<std::vector<LedgerRow>> Ledger(const AdminFilter& filter) override;

  Result<JobRow> SubmitJob(const JobSubmission& job) override;
  Result<std::vector<JobRow>> Jobs(const AdminFilter& filter) override;
  Result<JobRow> GetJob(const ProjectId& project, const JobId& id) override;
  Result<JobRow> CancelJob(const ProjectId& project, const JobId& id) override;

  Result<RolloutRow> StartMaintenance(const RolloutStart& start) override;
  Result<RolloutRow> PauseMaintenance(const ProjectId& project) override;
  Result<RolloutRow> ResumeMaintenance(const ProjectId& project) override;
  Result<std::vector<RolloutRow>> Maintenance(
      const AdminFilter& filter) override;

  Result<EntryRemoval> RemoveEntry(const EntryId& entry) override;

 private:
  // All data centres' documents. While the store is down, only this data
  // centre's last known one.
  std::vector<DataCentreDocument> Documents();
  // All data centres' documents, or why the store did not answer.
  Result<std::vector<DataCentreDocument>> ReadDocuments();
  // Name of this process in durable documents.
  std::string WriterName();
  Result<RolloutRow> ChangeRollout(
      const ProjectId& project,
      const std::function<Result<void>(WaveStore&)>& change);

  const AdminParts parts_;
  const std::chrono::milliseconds store_timeout_;
  std::map<std::string, std::function<nlohmann::json()>> dumps_;
  std::atomic<bool> stopping_{false};
};

}  // namespace figflow

#endif  // DAEMON_ADMIN_SERVICE_H_
