#ifndef DAEMON_CONTROL_LOOP_H_
#define DAEMON_CONTROL_LOOP_H_

#include <chrono>
#include <functional>
#include <optional>
#include <set>
#include <thread>
#include <vector>

#include "Common/clock.h"
#include "Common/metrics.h"
#include "FleetConfig/config_store.h"
#include "Platform/fleet_service.h"
#include "Pools/pools_controller.h"
#include "Routing/dispatcher.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace figflow {

struct ControlOptions {
  DataCentreId data_centre;
  std::chrono::milliseconds interval{250};
  // The platform's list changes slowly and lags by itself; a call a second
  // keeps a leaving target's mark within the bound of 3 s.
  std::chrono::milliseconds list_interval{1000};
  std::chrono::milliseconds call_timeout{1000};
  std::chrono::milliseconds watch_wait{10000};
};

// What one control round is given.
struct ControlRound {
  MonoTime now;
  WallTime wall;
  std::shared_ptr<const FleetConfiguration> configuration;
  PoolsStatus pools;
  // The list as last read; nullopt while the platform does not answer.
  std::optional<std::vector<ListedInstance>> listed;
};

struct ControlParts {
  const Clock& clock;
  ConfigStore& config;
  DataCentreStore& data_centre;
  PoolsController& pools;
  Dispatcher& dispatcher;
  FleetService& fleet;
  MetricsRegistry& metrics;
};

// The threads that drive decisions that are not made per request: the data
// centre document, maintenance and jobs, and the dispatcher's time-driven
// state. Requests never wait for them.
class ControlLoop {
 public:
  // The parts must outlive the loop.
  ControlLoop(ControlParts parts, ControlOptions options);
  ~ControlLoop();
  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;

  // Adds a step that runs after the pools step of each round. Call before
  // Start.
  void AddStep(std::function<void(const ControlRound&)> step);

  void Start();
  // Runs the next round at once.
  void Wake();
  // Gives this daemon's share back; returns whether that was done in time.
  bool Release(std::chrono::milliseconds bound);
  void Stop();

  PoolsStatus LastStatus() const;
  // Removes a member on behalf of an operator.
  Result<void> RemoveEntry(const EntryId& entry);

 private:
  void RunRounds();
  void RunWatch();
  void RunTicks();
  void RunRound();
  void RefreshList(MonoTime now);
  // Instances that still run a task. Asks the platform only while an instance
  // drains; nullopt if it does not answer.
  std::optional<std::set<InstanceId>> BusyInstances();
  // Waits until `until`, a wake-up or the stop. Returns false on stop.
  bool WaitForRound(MonoTime until);

  const ControlParts parts_;
  const ControlOptions options_;
  std::vector<std::function<void(const ControlRound&)>> steps_;
  Counter& rounds_;
  LatencyHistogram& round_time_;

  mutable absl::Mutex mutex_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  bool woken_ ABSL_GUARDED_BY(mutex_) = false;
  PoolsStatus status_ ABSL_GUARDED_BY(mutex_);

  // Held during a round: PoolsController is not thread-safe.
  absl::Mutex round_mutex_;
  std::optional<std::vector<ListedInstance>> listed_
      ABSL_GUARDED_BY(round_mutex_);
  MonoTime next_list_ ABSL_GUARDED_BY(round_mutex_);

  std::vector<std::thread> threads_;
};

}  // namespace figflow

#endif  // DAEMON_CONTROL_LOOP_H_
