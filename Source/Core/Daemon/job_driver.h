#ifndef DAEMON_JOB_DRIVER_H_
#define DAEMON_JOB_DRIVER_H_

#include <chrono>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "Common/json.h"

#include "Budget/budget_store.h"
#include "Common/clock.h"
#include "Common/metrics.h"
#include "FleetConfig/config_store.h"
#include "Jobs/job_controller.h"
#include "Jobs/job_store.h"
#include "Maintenance/maintenance_lease.h"
#include "Platform/fleet_service.h"
#include "Platform/key_value_store.h"
#include "Pools/data_centre_store.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace figflow {

struct JobDriverOptions {
  DataCentreId data_centre;
  // Unique among processes, such as "<entry>/<incarnation>".
  std::string writer;
  std::chrono::milliseconds call_timeout{1000};
};

// Places and follows the jobs of one data centre in a thread of its own. One
// daemon of the data centre does so at a time, by a lease that only saves work:
// JobController is safe with several.
class JobDriver {
 public:
  struct Parts {
    const Clock& clock;
    KeyValueStore& store;
    FleetService& fleet;
    ConfigStore& config;
    DataCentreStore& data_centre;
    BudgetStore& budgets;
    MetricsRegistry& metrics;
  };

  // The parts must outlive the driver.
  JobDriver(Parts parts, JobDriverOptions options);
  ~JobDriver();
  JobDriver(const JobDriver&) = delete;
  JobDriver& operator=(const JobDriver&) = delete;

  void Start();
  void Stop();

  JobStore& jobs() { return jobs_; }
  nlohmann::json DumpState() const;

 private:
  void Run();
  // One round. Returns whether this daemon places the jobs now.
  Result<bool> RunOnce();
  JobPolicy MakePolicy(const DataCentreDocument& document);
  // Workers of the other data centres in the configuration.
  void RefreshElsewhere(MonoTime now);
  // Takes a bad worker out of use if its project's budget allows it.
  bool MayQuarantine(const InstanceId& worker);

  const Parts parts_;
  const JobDriverOptions options_;
  JobStore jobs_;
  JobController controller_;
  MaintenanceLease lease_;
  std::vector<PlacementWorker> elsewhere_;
  MonoTime next_elsewhere_;

  mutable absl::Mutex mutex_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  bool holder_ ABSL_GUARDED_BY(mutex_) = false;
  std::string last_error_ ABSL_GUARDED_BY(mutex_);
  std::thread thread_;
};

}  // namespace figflow

#endif  // DAEMON_JOB_DRIVER_H_
