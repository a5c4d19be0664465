#ifndef PROCESS_TCP_RELAY_H_
#define PROCESS_TCP_RELAY_H_

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

namespace figflow::test {

// Passes TCP connections on to another port of 127.0.0.1. Cut simulates a
// network partition: open connections stay open and carry nothing, new ones are
// accepted and carry nothing; Heal closes them, so that both sides notice.
class TcpRelay {
 public:
  TcpRelay(uint16_t listen_port, uint16_t target_port);
  TcpRelay(const TcpRelay&) = delete;
  TcpRelay& operator=(const TcpRelay&) = delete;
  ~TcpRelay();

  void Cut() { cut_ = true; }
  void Heal() { cut_ = false; }

 private:
  void Run();

  const uint16_t target_port_;
  int listener_ = -1;
  std::atomic<bool> cut_{false};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace figflow::test

#endif  // PROCESS_TCP_RELAY_H_
