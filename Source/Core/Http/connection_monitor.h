#ifndef HTTP_CONNECTION_MONITOR_H_
#define HTTP_CONNECTION_MONITOR_H_

#include <cstddef>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "Common/clock.h"
#include "Common/metrics.h"
#include "Http/byte_budget.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

struct MHD_Connection;

namespace figflow {

// Applies one ByteBudget to the connections of several servers: pauses and
// resumes reading, and closes connections. Thread-safe; must outlive the
// servers.
class ConnectionMonitor {
 public:
  using Id = ByteBudget::Id;

  ConnectionMonitor(size_t capacity, MetricsRegistry& metrics);
  ~ConnectionMonitor();
  ConnectionMonitor(const ConnectionMonitor&) = delete;
  ConnectionMonitor& operator=(const ConnectionMonitor&) = delete;

  // `name` is for the log.
  int AddGroup(const std::string& name, const ByteBudget::Group& group);
  void SetLimits(int group, const ArrivalLimits& limits);
  // From now on no connection of the group is paused.
  void StopGroup(int group);

  // `fd` stays open until Close.
  Id Open(int group, size_t base, MHD_Connection* connection, int fd);
  void Close(Id id);

  // As in ByteBudget.
  bool Enter(Id id, ByteBudget::Phase phase);
  void Progress(Id id);
  void Charge(Id id, size_t bytes);
  void Release(Id id);
  // Returns false if the connection has been suspended instead. On the thread
  // of the connection, in the access handler.
  bool ReserveOrPause(Id id, size_t bytes);

 private:
  struct Connection {
    MHD_Connection* connection = nullptr;
    int fd = -1;
    int group = 0;
    bool suspended = false;
  };
  struct GroupState {
    std::string name;
    bool stopped = false;
  };

  void Run();
  void Apply(const ByteBudget::Decisions& decisions)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Resume(Connection* connection) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const SystemClock clock_;
  MetricsRegistry& metrics_;
  Gauge& reserved_;
  Gauge& paused_now_;
  Counter& pauses_;
  absl::Mutex mutex_;
  absl::CondVar wake_;
  ByteBudget budget_ ABSL_GUARDED_BY(mutex_);
  std::vector<GroupState> groups_ ABSL_GUARDED_BY(mutex_);
  std::map<Id, Connection> connections_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread thread_;
};

}  // namespace figflow

#endif  // HTTP_CONNECTION_MONITOR_H_
