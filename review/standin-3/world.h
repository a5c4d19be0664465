// Stand-ins of the users' platform for review cases: the store, the registry,
// the executors and the API for machines, as PROTOCOL.md describes them, and
// daemons as child processes. Figures are those of the site vfl-beaters.
#ifndef REVIEW_STANDIN_3_WORLD_H_
#define REVIEW_STANDIN_3_WORLD_H_

#include <sys/types.h>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "http.h"

namespace review {

using nlohmann::json;

inline constexpr int kHoldMaxMs = 6'000;
inline constexpr int kStopMs = 400;
inline constexpr int kGangMs = 3'000;
inline constexpr int kCheckpointMs = 2'000;
inline constexpr int kRestoreMs = 600;
inline constexpr int kMoveMs = 1'500;
inline constexpr int kUpkeepMs = 2'000;
inline constexpr int kHeartbeatMs = 1'500;
inline constexpr int kMemoryMb = 260;
inline constexpr int kGraceMs = 6'000;
inline constexpr size_t kValueBytes = 1'048'576;
inline constexpr size_t kKeyBytes = 200;
inline constexpr size_t kTxnEntries = 32;

// Milliseconds since the start of the program.
int64_t NowMs();
int64_t UnixMs();
void SleepMs(int64_t ms);

// Lines of record.txt.
void OpenRecord(const std::string& path);
void Record(const std::string& line);
// Ends the program at once: its threads serve until then.
[[noreturn]] void Exit(int code);

class Store {
 public:
  Store();
  // The store as the daemon with this index reaches it.
  uint16_t AddPort(int daemon);
  // The daemon that committed a change; -1 if none did.
  int CommitterOf(uint64_t revision);
  // Writes of the operator and of executors.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  std::string Get(const std::string& key);
  // Calls of the system to other paths.
  Handler other;

 private:
  struct Item {
    std::string value;
    uint64_t revision = 0;
    uint64_t created = 0;
    uint64_t lease = 0;
  };
  struct Event {
    std::string key;
    std::string value;
    uint64_t revision = 0;
    uint64_t lease = 0;
    bool removed = false;
  };
  struct Lease {
    int64_t ttl = 0;
    int64_t ends = 0;
  };

  std::optional<Response> Handle(int daemon, const Request& request);
  Response Range(const Request& request);
  Response Watch(const Request& request);
  Response Commit(int daemon, const Request& request);
  void Write(const std::string& key, const std::string& value, uint64_t lease);
  void Erase(const std::string& key);
  void Expire();

  std::mutex mutex_;
  std::condition_variable changed_;
  uint64_t revision_ = 1;
  uint64_t next_lease_ = 1;
  std::map<std::string, Item> items_;
  std::deque<Event> history_;
  std::map<uint64_t, Lease> leases_;
  std::map<uint64_t, int> committers_;
};

// What a client handed in, for the executors.
struct SubmittedStep {
  int count = 1;
  bool gang = false;
  bool saves = false;
  bool perpetual = false;
  int64_t cpu = 0;
  int64_t mem = 0;
  int64_t work_ms = 1'000;
};
struct SubmittedJob {
  std::string service;
  std::string spec;
  bool accepted = false;
  // Cancelled, or not looked at.
  bool over = false;
  // Its runs are counted in the record, and not listed.
  bool brief = false;
  int starts = 0;
  int ends = 0;
  // Tasks of which a run has ended as done.
  std::set<std::string> done;
  // Since when nothing of it runs though a task's turn has come; -1 if not so.
  int64_t idle_since = -1;
  std::vector<SubmittedStep> steps;
};

class World;

struct Run {
  std::string task;
  uint32_t number = 0;
  SubmittedStep step;
  int64_t arrived = 0;
  // When its work began; -1 while a gang's other members are missing.
  int64_t begun = -1;
  int64_t stop_at = -1;
  // Work that its checkpoint at the start stood for.
  int64_t resumed = 0;
  std::string checkpoint;
  int64_t checkpoint_work = 0;
};

struct End {
  uint64_t number = 0;
  std::string task;
  uint32_t run = 0;
  std::string how;
  std::string checkpoint;
};

// One executor; `life` counts its incarnations.
struct Executor {
  std::string id;
  std::string machine;
  std::string service;
  uint16_t port = 0;
  int life = 1;
  bool up = true;
  // No call reaches it, and it goes on.
  bool cut = false;
  int64_t born_unix = 0;
  int64_t born = 0;
  int64_t cpu = 64'000;
  int64_t mem = 262'144;
  uint64_t fence = 0;
  int64_t lease = 0;
  uint64_t next_end = 1;
  uint64_t noted = 0;
  uint64_t sequence = 0;
  std::map<std::string, Run> running;
  std::map<std::string, uint32_t> refused_up_to;
  std::vector<End> ended;

  int64_t Clock() const { return 5'000 + NowMs() - born; }
};

struct Daemon {
  std::string name;
  uint16_t front = 0;
  uint16_t admin = 0;
  uint16_t peers = 0;
  uint16_t metrics = 0;
  std::string settings;
  std::string log;
  pid_t pid = 0;
  int ended_by_itself = 0;
  int over_memory = 0;
  int64_t peak_kb = 0;
  // When it gets SIGKILL after a SIGTERM; 0 without one.
  int64_t kill_at = 0;
};

class World {
 public:
  World(const std::string& program, const std::string& directory);
  ~World();

  void AddExecutor(const std::string& service, const std::string& machine);
  void AddDaemon(const std::string& name);
  void Configure(const std::vector<std::string>& services);
  // Runs heartbeats, tasks and the watch over the daemons.
  void Start();
  void Stop();

  void StartDaemon(Daemon& daemon);
  // SIGTERM, SIGKILL after kGraceMs, and a new start.
  void Terminate(size_t daemon);
  // The daemon that has given the last order to an executor of the service; -1
  // if none has.
  int LastGiver(const std::string& service);
  // An executor ends and starts again under its id, with a clock of its own.
  void Restart(const std::string& id, int64_t down_ms);
  void SetCut(const std::string& id, bool cut);

  // Answer of a client's call to the daemon with this index.
  Response Client(size_t daemon,
                  const std::string& method,
                  const std::string& service,
                  const std::string& job,
                  const std::string& body);
  // Hands a job in as PROTOCOL.md says: again with the same id after no
  // answer, a 502 or a 504; after a 503 or 429 as a new attempt. Returns
  // whether it was accepted in time.
  bool Submit(const std::string& service,
              const std::string& job,
              const json& body,
              int64_t within_ms);
  // Counts accepted jobs of which nothing has run for `idle_ms` though a task's
  // turn has come and there is capacity, and those that are not known or get no
  // answer (RULES.md, LOST).
  int CountLost(int64_t idle_ms);
  std::string State(const std::string& service,
                    const std::string& job,
                    int64_t within_ms);

  // All access with `mutex` held.
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, std::unique_ptr<Executor>> executors;
  std::map<std::string, SubmittedJob> jobs;
  std::vector<Daemon> daemons;
  // Executors reject what does not fit (`RejectsOverload`).
  bool guards = true;
  // Called with the mutex held.
  std::function<
      void(const Executor&, const Run&, const std::string& checkpoint)>
      on_start;
  // A start brings an executor over its capacity, with this much in use.
  std::function<void(const Executor&, const Run&, int64_t cpu)> on_overload;
  // Returns the delay of a hold that gets no answer and is carried out late;
  // 0 for an ordinary one.
  std::function<int64_t(const Executor&, const json& hold)> late_hold;
  bool enforce_memory = true;
  Store store;

 private:
  std::optional<Response> HandleExecutor(const std::string& id,
                                         const Request& request);
  Response StartRun(Executor& executor, const json& body);
  Response StopRun(Executor& executor, const json& body);
  Response Hold(Executor& executor,
                const json& body,
                std::unique_lock<std::mutex>& lock);
  std::optional<Response> HandleMachines(const Request& request);
  void Enter(Executor& executor);
  void EndRun(Executor& executor,
              const std::string& task,
              const std::string& how);
  void BreakGang(const std::string& task, uint32_t run);
  std::vector<std::pair<Executor*, std::string>> Members(
      const std::string& task,
      uint32_t run);
  void Tick();
  void CheckIdle();
  void Crash(Executor& executor);
  void StartDaemons();
  void WatchDaemons();

  const std::string program_;
  const std::string directory_;
  std::map<std::string, std::set<int>> waves_done_;
  struct Away {
    int64_t until = 0;
    bool upkeep = false;
  };
  // Machines on the move or in upkeep, by the executor that has ended.
  std::map<std::string, Away> back_at_;
  uint32_t next_executor_ = 0;
  bool stopped_ = false;
};

}  // namespace review

#endif  // REVIEW_STANDIN_3_WORLD_H_
