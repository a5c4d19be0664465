#ifndef STANDINS_FLEET_MODEL_WORKERS_H_
#define STANDINS_FLEET_MODEL_WORKERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "Scheduling/worker_gateway.h"
#include "StandIns/Fleet/model_node.h"
#include "StandIns/Fleet/model_store.h"
#include "StandIns/Fleet/promises.h"
#include "StandIns/Fleet/virtual_time.h"

namespace figflow::model {

// How a task behaves.
struct TaskBehaviour {
  std::chrono::milliseconds duration{500};
  // Ends as failed instead of done.
  bool fails = false;
};

// One life of a worker.
struct ModelWorker {
  WorkerReport report;
  bool alive = true;
  // It has ended and will start again under its id.
  bool restarts = false;
  // Reached by nobody, or reached while its answers get lost.
  bool cut = false;
  bool answers_lost = false;
  // All that it starts fails at once.
  bool grey = false;
  // Its clock is this much slower than real time.
  double clock_rate = 1.0;
  MonoTime born;

  struct Run {
    uint32_t run = 0;
    TaskName name;
    Resources size;
    MonoTime started;
    TaskBehaviour behaviour;
    bool perpetual = false;
    bool filler = false;
    // Members of its gang; 0 for a task without one.
    int gang = 0;
    int pace = 100;
    uint64_t serial = 0;
  };
  uint64_t fence = 0;
  std::chrono::milliseconds lease{0};
  std::map<std::string, Run> running;
  std::map<std::string, uint32_t> highest_ended;
  std::vector<EndedRun> ended;
  uint64_t next_end = 1;
  uint64_t acknowledged = 0;
  // The lease ran out after these ends: noting them has no meaning any more.
  uint64_t void_ends = 0;
  // Holds that wait for an end.
  std::vector<std::function<void()>> waiting;
};

struct WorkerFaults {
  // Share of the orders that get no answer and are carried out 2 to 12 s later.
  double late_share = 0;
  // Share of the orders whose answer is lost.
  double answer_lost_share = 0;
  std::chrono::milliseconds latency{2};
};

// The platform's workers in memory, as their contract says: fences, leases on
// their own clocks, ends that are listed until they are acknowledged, room.
class ModelWorkers {
 public:
  using Behaviour = std::function<TaskBehaviour(const TaskName&)>;

  ModelWorkers(VirtualTime& time,
               ModelStore& store,
               Promises& promises,
               uint64_t seed);

  std::unique_ptr<WorkerGateway> ViewOf(NodePtr node);

  // A new life of a worker, which enters itself in the registry.
  std::string Add(const std::string& pool,
                  const std::string& instance,
                  const Resources& capacity);
  ModelWorker* Find(const std::string& id);
  // The worker ends; the registry keeps it for three heartbeats.
  void Crash(const std::string& id);
  // The worker ends and starts again under its id after `down`, with a clock
  // and a count of ended runs of its own. The registry shows the next life
  // `unseen` after its start.
  void Restart(const std::string& id,
               std::chrono::milliseconds down,
               std::chrono::milliseconds unseen);
  void Drain(const std::string& id);
  std::vector<std::string> Ids(const std::string& pool) const;

  // How the workers enter themselves in the registry; set before the first Add.
  struct Registry {
    std::string prefix;
    std::function<std::string(const WorkerReport&)> format;
  };
  void SetRegistry(Registry registry) { registry_ = std::move(registry); }
  // Workers write their entries again at this interval, and the registry keeps
  // those of ended workers for `kept`. Without a call they write only changes.
  void StartHeartbeats(std::chrono::milliseconds interval,
                       std::chrono::milliseconds kept);
  // Workers added from now on have clocks that run at this rate.
  void SetClockRate(double rate) { clock_rate_ = rate; }

  WorkerFaults faults;
  Behaviour behaviour;
  // The placement policy's service, which handles the queries of one daemon in
  // turn. A ticket is valid from the time at which its query is handled.
  struct PolicyService {
    std::chrono::milliseconds query_time{20};
    std::chrono::milliseconds time_per_worker{2};
    std::chrono::milliseconds ticket_lifetime{3'000};
    int most_waiting = 32;
  };
  PolicyService policy;
  // Placement policy; empty for none.
  std::function<bool(const TaskName& stage, const std::string& worker)> allows;
  // What a run reports of its load; empty for nothing.
  std::function<int64_t(const ModelWorker&, const ModelWorker::Run&)> load;

 private:
  friend class WorkerView;

  std::chrono::milliseconds ClockOf(const ModelWorker& worker) const;
  OrderOutcome Start(ModelWorker& worker, const StartOrder& order);
  OrderOutcome Stop(ModelWorker& worker, const StopOrder& order);
  OrderOutcome Pace(ModelWorker& worker, const PaceOrder& order);
  void Ask(const NodePtr& node,
           const PolicyQuery& question,
           const WorkerGateway::PolicyCallback& done);
  bool TicketHolds(const ModelWorker& worker, const StartOrder& order) const;
  HoldResponse Look(ModelWorker& worker, const HoldOrder& order);
  void EndRun(ModelWorker& worker, const std::string& task, RunResult end);
  // Members of the gang's run that are present, by worker and task.
  std::vector<std::pair<ModelWorker*, std::string>> MembersOf(
      const ModelWorker::Run& run);
  void JoinGang(const std::string& worker, const ModelWorker::Run& run);
  void ScheduleEnd(const std::string& worker,
                   const ModelWorker::Run& run,
                   std::chrono::milliseconds delay,
                   RunResult end);
  void CheckLeases();
  void Enter(const ModelWorker& worker);

  VirtualTime& time_;
  ModelStore& store_;
  Promises& promises_;
  std::mt19937_64 random_;
  std::map<std::string, std::unique_ptr<ModelWorker>> workers_;
  struct Ticket {
    std::string worker;
    TaskName stage;
    MonoTime expires;
  };
  std::map<std::string, Ticket> tickets_;
  int next_id_ = 1;
  uint64_t next_serial_ = 1;
  Registry registry_;
  // Three heartbeats of 1.5 s.
  std::chrono::milliseconds registry_keeps_{4'500};
  double clock_rate_ = 1.0;
};

// The registry's entry of a worker in this model.
std::string FormatModelWorker(const WorkerReport& report);
Result<WorkerReport> ParseModelWorker(const std::string& id,
                                      absl::string_view bytes);

inline constexpr char kModelWorkerPrefix[] = "model/workers/";

}  // namespace figflow::model

#endif  // STANDINS_FLEET_MODEL_WORKERS_H_
