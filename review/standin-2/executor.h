#ifndef REVIEW_STANDIN_2_EXECUTOR_H_
#define REVIEW_STANDIN_2_EXECUTOR_H_

#include <condition_variable>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "http.h"
#include "store.h"

namespace standin {

// Lines of record.txt, each with the time in milliseconds.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

// What one run did, for the checks after the play.
struct RunSeen {
  std::string task;
  uint32_t run = 0;
  std::string executor;
  std::string checkpoint;
  int64_t began = 0;
  // -1 while the run is at work.
  int64_t ended = -1;
  std::string how;
  // When an acknowledgement reached the end; -1 if none did.
  int64_t noted = -1;
};

// How a task behaves.
struct Behaviour {
  int64_t work_ms = 1000;
  int gang = 0;
  bool saves = false;
  bool fails = false;
  // At work until it is stopped.
  bool lasts = false;
};

struct ExecutorOptions {
  std::string id;
  std::string service;
  std::string machine;
  int64_t cpu = 64000;
  int64_t mem_mb = 262144;
  std::string rack = "r1-1";
  // Where the registry says that it is; empty for its own address.
  std::string address;
};

struct Platform;

// One life of an executor that guards its capacity.
class Executor {
 public:
  Executor(Platform* platform, ExecutorOptions options);

  std::string address() const { return server_.address(); }
  const ExecutorOptions& options() const { return options_; }
  // Ends at once; the registry drops the entry after three heartbeats.
  void Crash();
  // Reports that it drains; its runs go on.
  void Drain();
  // Handles a request that came by another way than its own address.
  Response Deliver(const Request& request) { return Handle(request); }
  size_t CountRunning();

 private:
  struct Run {
    uint32_t run = 0;
    size_t seen = 0;
    int64_t ends = 0;
    bool stopping = false;
    bool fails = false;
    bool waits_for_gang = false;
    std::string checkpoint;
    int64_t next_checkpoint = 0;
  };
  struct End {
    uint64_t number = 0;
    std::string task;
    uint32_t run = 0;
    std::string how;
    std::string saved;
    size_t seen = 0;
  };

  Response Handle(const Request& request);
  Response Start(const json& body);
  Response Stop(const json& body);
  Response Hold(const json& body, std::unique_lock<std::mutex>& lock);
  Response Answer(int status, const char* reason = nullptr) const;
  int64_t Clock() const;
  void ExtendLease(const json& body);
  void EndRun(const std::string& task, const std::string& how);
  void Loop();
  void Heartbeat();

  Platform* const platform_;
  const ExecutorOptions options_;
  const int64_t born_at_;
  const int64_t born_;
  std::condition_variable ended_;
  bool alive_ = true;
  bool draining_ = false;
  uint64_t sequence_ = 0;
  uint64_t fence_ = 0;
  int64_t lease_ = 0;
  uint64_t last_end_ = 0;
  std::map<std::string, Run> running_;
  std::map<std::string, uint32_t> highest_ended_;
  std::vector<End> ends_;
  Server server_;

  friend struct Platform;
};

// What all executors share. One lock guards them all.
struct Platform {
  Platform(Store* store_in, Record* record_in)
      : store(store_in), record(record_in) {}
  Executor* Add(ExecutorOptions options);
  // The present run of a task fails.
  void Fail(const std::string& task);
  // Begins the work of a gang's run if all members are present.
  void CheckGang(const std::string& step, uint32_t run, int count);
  // The other members of a gang's run end, too.
  void EndGang(const std::string& step, uint32_t run, const std::string& how);

  Store* const store;
  Record* const record;
  std::function<Behaviour(const std::string& task)> behaviour;
  std::function<int64_t(const std::string& task)> cpu_of;
  // Whether a ticket allows a start; unset where there is no policy.
  std::function<bool(const std::string& executor, const std::string& ticket)>
      ticket_holds;
  std::mutex mutex;
  std::vector<std::unique_ptr<Executor>> executors;
  std::vector<RunSeen> runs;
};

// "job.occurrence.step" of a task's name.
std::string StepOf(const std::string& task);

}  // namespace standin

#endif  // REVIEW_STANDIN_2_EXECUTOR_H_
