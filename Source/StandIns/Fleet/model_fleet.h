#ifndef STANDINS_FLEET_MODEL_FLEET_H_
#define STANDINS_FLEET_MODEL_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Common/metrics.h"
#include "Fleet/call_router.h"
#include "Fleet/fleet_engine.h"
#include "StandIns/Fleet/model_instances.h"
#include "StandIns/Fleet/model_platform.h"
#include "StandIns/Fleet/model_store.h"
#include "StandIns/Fleet/model_workers.h"
#include "StandIns/Fleet/promises.h"
#include "StandIns/Fleet/virtual_time.h"

namespace figflow::model {

// Several daemons, their platform and their callers in virtual time: the
// product's engine and router unchanged, without threads and connections.
class ModelFleet {
 public:
  explicit ModelFleet(uint64_t seed);
  ~ModelFleet();

  // The operators' plan.
  void SetPlan(const FleetPlan& plan);
  // Bounds of the daemons that start later.
  void SetBounds(const ExecutionBounds& bounds) { bounds_ = bounds; }
  // Adds `count` daemons with a processor share in thousandths of a core.
  void AddDaemons(int count, int64_t millicores = 1'000);
  void Run(VirtualTime::Duration duration) { time.RunFor(duration); }

  // The process ends without a word and starts again after `down`.
  void Kill(int daemon, VirtualTime::Duration down);
  void Suspend(int daemon, VirtualTime::Duration duration);
  // The process is asked to stop, hands over and starts again.
  void Restart(int daemon);
  NodePtr Node(int daemon) const;
  // Of a process that is running.
  FleetEngine& Engine(int daemon) const;
  // Of all daemons together.
  MetricsRegistry& metrics() { return metrics_; }
  int daemons() const { return static_cast<int>(daemons_.size()); }
  // The daemon that owns the pool by the store; -1 if there is none.
  int OwnerOf(const std::string& scope) const;

  // Hands a job in at a daemon, again at others when there is no certain
  // answer, and asks for its state until it has ended.
  void Submit(const JobSpec& spec, int daemon);
  void Cancel(const std::string& queue, const std::string& job, int daemon);
  // One request; `done` gets the status and the body.
  void Call(
      int daemon,
      const HttpRequest& request,
      const std::function<void(int status, const std::string& body)>& done);

  VirtualTime time;
  Promises promises;
  ModelStore store;
  ModelWorkers workers;
  ModelInstances instances;

  // How submissions were answered at first, by status.
  std::map<int, int> first_answers;
  // Time from the first submission to the answer, longest by status.
  std::map<int, VirtualTime::Duration> longest_answer;

 private:
  struct Daemon;
  class Peers;

  void Start(int daemon);
  void StepLoop(int daemon, uint64_t epoch);
  void SubmitAttempt(const JobSpec& spec, int daemon, int attempt);
  void Poll(const std::string& queue, const std::string& job, int daemon);

  std::mt19937_64 random_;
  MetricsRegistry metrics_;
  ExecutionBounds bounds_;
  uint64_t next_process_ = 1;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  // Jobs whose state is asked for.
  std::set<std::string> polled_;
};

// A job of one stage after the other, each with `tasks` tasks.
JobSpec SimpleJob(const std::string& id,
                  const std::string& queue,
                  int stages,
                  int tasks,
                  int64_t millicores);

// A plan of queue "q<i>" for pool "p<i>", and the spare pool "spare".
FleetPlan SimplePlan(int pools);

}  // namespace figflow::model

#endif  // STANDINS_FLEET_MODEL_FLEET_H_
