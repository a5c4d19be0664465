#ifndef STANDINS_TARGET_TARGET_SERVER_H_
#define STANDINS_TARGET_TARGET_SERVER_H_

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <thread>

#include "Common/error.h"
#include "StandIns/Target/target_connection.h"
#include "StandIns/Target/target_state.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace figflow {

// A target for tests and the demo: one thread per connection.
class TargetServer {
 public:
  // Listens on an IPv4 `ip` and `port`; port 0 picks a free one. kUnavailable
  // if that fails.
  static Result<std::unique_ptr<TargetServer>>
  Start(const std::string& ip, uint16_t port, const TargetLimits& limits);
  // Calls Stop.
  ~TargetServer();
  TargetServer(const TargetServer&) = delete;
  TargetServer& operator=(const TargetServer&) = delete;

  // "ip:port"
  const std::string& address() const { return address_; }
  StandInState& state() { return state_; }

  // Refuses new connections, lets requests in flight finish, closes the rest.
  void Stop();

 private:
  struct Client {
    int fd = -1;
    std::unique_ptr<TargetConnection> connection;
    std::thread thread;
    bool ended = false;
  };

  TargetServer(int fd, std::string address, const TargetLimits& limits);
  void Accept();
  void Serve(Client* client);

  const int listen_fd_;
  const std::string address_;
  StandInState state_;
  absl::Mutex mutex_;
  std::list<Client> clients_ ABSL_GUARDED_BY(mutex_);
  bool stopped_ ABSL_GUARDED_BY(mutex_) = false;
  std::thread accept_thread_;
};

}  // namespace figflow

#endif  // STANDINS_TARGET_TARGET_SERVER_H_
