#ifndef REVIEW_STANDIN_WORLD_H_
#define REVIEW_STANDIN_WORLD_H_

#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "net.h"
#include "store.h"

namespace review {

// Bounds of the small deployment in the users' site file vfl-beaters.
constexpr int64_t kHoldMaxMs = 6000;
constexpr int64_t kStopMs = 400;
constexpr int64_t kGangMs = 3000;
constexpr int64_t kHeartbeatMs = 1500;
constexpr int64_t kCheckpointMs = 2000;
constexpr int64_t kMoveMs = 1500;
constexpr int64_t kUpkeepMs = 2000;

// Lines of record.txt, with milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& path);
  void Line(const std::string& text);
  int64_t start() const { return start_; }

 private:
  std::mutex mutex_;
  FILE* file_;
  const int64_t start_;
};

struct Run {
  int64_t number = 0;
  std::string saved;
  // Work in milliseconds that the task needs; 0: it lasts.
  int64_t needs_ms = 0;
  int64_t cpu = 0;
  int64_t ordered_at = 0;
  // When the work began; 0 while a member of a gang waits.
  int64_t works_since = 0;
  int64_t work_before = 0;
  // When the stop is done; 0: not told to stop.
  int64_t stops_at = 0;
};

// One task that an executor has begun on an order.
struct Start {
  std::string executor;
  std::string service;
  std::string task;
  int64_t run = 0;
  int64_t at = 0;
  int64_t ended_at = 0;
  std::string how;
  std::string checkpoint;
  // Processor in use on the executor with this start, and its capacity.
  int64_t cpu_used = 0;
  int64_t capacity = 0;
};

struct Executor {
  std::string id;
  std::string machine;
  std::string service;
  int port = 0;
  int64_t born = 0;
  int64_t born_steady = 0;
  int64_t cpu = 0;
  // Rejects what does not fit.
  bool guards = true;
  bool alive = true;
  bool draining = false;
  bool hangs = false;
  int64_t beat = 0;
  uint64_t fence = 0;
  // On the steady clock.
  int64_t lease_ends = 0;
  uint64_t last_end = 0;
  std::map<std::string, Run> running;
  std::map<std::string, int64_t> highest;
  std::vector<nlohmann::json> ended;
};

// A step as its client sent it.
struct StepInfo {
  int64_t cpu = 0;
  int64_t work_ms = 0;
  bool gang = false;
  int count = 0;
  bool saves = false;
  // The queue has a policy: starts carry a ticket.
  bool ticket = false;
};

struct InstanceOrder {
  std::string machine;
  std::string holder;
  std::string what;
  int64_t at = 0;
  int status = 0;
};

// Executors, their machines, the API for machines and the advice service. What
// they do follows the users' PROTOCOL.md.
class World {
 public:
  World(Store& store, Record& record);

  // An executor on a machine. Returns its id.
  std::string AddExecutor(const std::string& service,
                          const std::string& machine,
                          int64_t cpu,
                          bool guards);
  // A machine of the spare pool.
  void AddSpare(const std::string& machine, const std::string& pool);
  // The executor's process ends, and with it what it runs.
  void Crash(const std::string& id);
  // The executor that gets the next start order crashes before it answers.
  void CrashOnNextStart();
  // The executor takes orders, and neither answers them nor carries them out.
  void Hang(const std::string& id, bool hangs);
  void Drain(const std::string& id);
  // The steps of a job, known from its client.
  void AddJob(const std::string& job, std::vector<StepInfo> steps);

  // Another writer puts an entry that names the machine of `executor`.
  void PutForeignEntry(const std::string& id,
                       const std::string& executor,
                       const std::string& service);

  // The APIs of the platform; `daemon` is the one that calls.
  Response Machines(const Request& request, const std::string& daemon);
  Response Advise(const Request& request);

  std::vector<Start> Starts();
  std::vector<InstanceOrder> Orders();
  // The daemon that listed the machines last.
  std::string LastReader();
  int Running(const std::string& job);
  // Starts rejected for want of a ticket.
  int Rejected();

 private:
  struct Machine {
    std::string pool;
    std::string state = "up";
    std::string executor;
    int64_t cpu = 0;
    bool guards = true;
    // The last order that was carried out.
    std::string done;
    int64_t back_at = 0;
  };

  Response Handle(Executor& executor, const Request& request);
  Response StartRun(Executor& executor, const nlohmann::json& body);
  Response StopRun(Executor& executor, const nlohmann::json& body);
  Response Hold(Executor& executor,
                const nlohmann::json& body,
                std::unique_lock<std::mutex>& lock);
  Response Refuse(const Executor& executor, const char* reason) const;
  bool Fenced(Executor& executor, const nlohmann::json& body);
  void TakeDeadline(Executor& executor, int64_t deadline);
  int64_t ClockOf(const Executor& executor) const;
  StepInfo StepOf(const std::string& task) const;
  std::string AddExecutorLocked(const std::string& service,
                                const std::string& machine,
                                int64_t cpu,
                                bool guards);
  void Announce(Executor& executor);
  void Leave(const std::string& id);
  void End(Executor& executor, const std::string& task, const char* how);
  void JoinGang(const std::string& task, int64_t run);
  void Tick();

  Store& store_;
  Record& record_;
  std::mutex mutex_;
  std::condition_variable ended_;
  std::map<std::string, std::unique_ptr<Executor>> executors_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, std::vector<StepInfo>> jobs_;
  std::vector<Start> starts_;
  std::vector<InstanceOrder> orders_;
  std::string last_reader_;
  // Its machines are off.
  std::string spare_pool_;
  bool crash_on_next_start_ = false;
  int next_id_ = 1;
  int rejected_ = 0;
};

}  // namespace review

#endif  // REVIEW_STANDIN_WORLD_H_
