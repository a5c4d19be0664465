#ifndef SOAK_FAULTS_H_
#define SOAK_FAULTS_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "Process/tcp_relay.h"
#include "Soak/callers.h"
#include "Soak/daemon_set.h"
#include "Soak/wire_front.h"
#include "StandIns/Fleet/promises.h"

namespace figflow::soak {

// What faults act on.
struct FaultTargets {
  Models models;
  model::Promises& promises;
  DaemonSet& daemons;
  std::vector<std::unique_ptr<test::TcpRelay>>& worker_relays;
  std::vector<std::string> pools;
  std::vector<std::string> instances;
  FleetPlan plan;
  Disturbance& disturbance;
  std::function<void(const std::string& line)> trace;
  // Kinds that the default shape does not have are drawn, too.
  bool other_shape = false;
};

// Injects faults at random times, in series and overlapping. Used on the
// thread of the models.
class FaultInjector {
 public:
  FaultInjector(FaultTargets targets,
                std::chrono::milliseconds mean_gap,
                uint64_t seed);

  // Planned work only: stops, reloads, changes of the plan.
  void StartPlanned();
  // All kinds.
  void StartAll();
  // No further faults; those under way end. Returns when the last one has.
  void Stop();
  const std::map<std::string, int>& counts() const { return counts_; }

 private:
  using Duration = std::chrono::milliseconds;
  struct Kind {
    const char* name;
    int weight;
    bool planned;
    // Returns for how long it disturbs.
    Duration (FaultInjector::*inject)();
    // In other shapes than the default only, whose seeds stay as they are.
    bool other_shape = false;
  };
  static const Kind kKinds[];

  void ScheduleNext();
  void InjectOne();
  // The weight of the kind among those that may be drawn now.
  int WeightOf(const Kind& kind) const;

  Duration StopOne();
  Duration StopSeveral();
  Duration ReloadSettings();
  Duration ChangePlan();
  Duration KillOne();
  Duration KillSeries();
  Duration KillAll();
  Duration PauseOne();
  Duration PauseAndStop();
  Duration DelayStoreLink();
  Duration ResetStoreLink();
  Duration ResetAllStoreLinks();
  Duration LoseController();
  Duration SilenceStoreLink();
  Duration CutStoreLink();
  Duration CutStoreLinkOneWay();
  Duration DelayWorkerLink();
  Duration ResetWorkerLink();
  Duration SilenceWorkerLink();
  Duration CutWorkerLink();
  Duration CutWorkerLinkOneWay();
  Duration SlowStore();
  Duration SilentStore();
  Duration LostWrites();
  Duration ForgetHistory();
  Duration SwallowWatches();
  Duration TurnAwayDaemon();
  Duration LoseDaemonsAnswers();
  Duration CrashWorker();
  Duration LoseWorkerAnswers();
  Duration LateOrders();
  Duration SickWorker();
  Duration RequestMaintenance();

  Duration Cut(test::TcpRelay& relay);
  Duration CutOneWay(test::TcpRelay& relay);
  Duration Delay(test::TcpRelay& relay);
  model::ModelWorker* RandomWorker();
  test::TcpRelay& RandomWorkerRelay();
  // Runs `undo` after `duration`, or at the end of all faults.
  void Undo(Duration duration, const std::function<void()>& undo);
  // The daemon that owns the instances by the store; -1 if there is none.
  int Controller() const;
  int RandomDaemon() { return Random(0, targets_.daemons.count() - 1); }
  int Random(int low, int high);
  Duration RandomTime(int low_ms, int high_ms) {
    return Duration(Random(low_ms, high_ms));
  }

  FaultTargets targets_;
  const Duration mean_gap_;
  // Of the store.
  const Duration usual_latency_;
  std::mt19937_64 random_;
  bool running_ = false;
  bool planned_only_ = true;
  bool scheduled_ = false;
  uint64_t next_wave_ = 1;
  std::map<std::string, int> counts_;
};

}  // namespace figflow::soak

#endif  // SOAK_FAULTS_H_
