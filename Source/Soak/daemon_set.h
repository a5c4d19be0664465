#ifndef SOAK_DAEMON_SET_H_
#define SOAK_DAEMON_SET_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Process/child_process.h"
#include "Process/tcp_relay.h"
#include "Soak/wire_front.h"
#include "StandIns/Fleet/model_node.h"

namespace figflow::soak {

struct DaemonSetOptions {
  std::string program;
  // For settings and logs.
  std::string directory;
  int count = 3;
  // Each daemon uses the next kPortsPerDaemon ports.
  int first_port = 0;
};

inline constexpr int kPortsPerDaemon = 5;

// The figflowd processes of a run, each with a relay of its own to the store.
// Used on the thread of `time`.
class DaemonSet {
 public:
  using Report = std::function<void(const std::string& what)>;

  // `report` takes ends that nobody asked for.
  DaemonSet(model::VirtualTime& time,
            WireFront& front,
            DaemonSetOptions options,
            Report report);
  ~DaemonSet();
  DaemonSet(const DaemonSet&) = delete;
  DaemonSet& operator=(const DaemonSet&) = delete;

  void StartAll();
  // SIGKILL, and a start after `down`.
  void Kill(int daemon, std::chrono::milliseconds down);
  // SIGTERM, and a start after its end and `down`; SIGKILL after the grace.
  void Stop(int daemon, std::chrono::milliseconds down);
  // SIGSTOP, and SIGCONT after `duration`.
  void Pause(int daemon, std::chrono::milliseconds duration);
  // Writes other settings and sends SIGHUP.
  void Reload(int daemon);
  // Lets paused processes go on and starts those that are down.
  void Settle();

  int count() const { return options_.count; }
  std::string CallerAddress(int daemon) const;
  test::TcpRelay& StoreRelay(int daemon) { return *daemons_[daemon].relay; }
  model::ModelNode& Node(int daemon) { return *daemons_[daemon].node; }

 private:
  struct Daemon {
    model::NodePtr node;
    std::unique_ptr<test::TcpRelay> relay;
    std::unique_ptr<test::ChildProcess> process;
    // Changes with each process.
    uint64_t life = 0;
    // Size of the log when this process started.
    uintmax_t log_begin = 0;
    int settings_written = 0;
    bool paused = false;
    bool stopping = false;
    MonoTime kill_at;
    std::chrono::milliseconds down{0};
  };

  void Start(int daemon);
  void StartLater(int daemon, std::chrono::milliseconds delay);
  void Watch();
  void CheckEnd(int daemon, int code);
  // What the present process has logged.
  std::string LogOfLife(int daemon) const;
  std::string LogPath(int daemon) const;
  int Port(int daemon, int which) const;
  std::string WriteSettings(int daemon);

  model::VirtualTime& time_;
  WireFront& front_;
  const DaemonSetOptions options_;
  const Report report_;
  std::vector<Daemon> daemons_;
};

}  // namespace figflow::soak

#endif  // SOAK_DAEMON_SET_H_
