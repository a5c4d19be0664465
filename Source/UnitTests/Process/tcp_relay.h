#ifndef PROCESS_TCP_RELAY_H_
#define PROCESS_TCP_RELAY_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

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

  struct Faults {
    // Bytes in each direction take this much longer.
    std::chrono::milliseconds delay{0};
    // One direction carries nothing; what was sent meanwhile arrives later.
    bool hold_requests = false;
    bool hold_answers = false;
  };
  void SetFaults(const Faults& faults);
  // Closes the open connections with a reset.
  void Reset() { reset_ = true; }
  // The open connections carry nothing any more and stay open; new ones work.
  void Silence() { silence_ = true; }

 private:
  struct Link;
  void Run();
  void Accept(bool cut);

  const uint16_t target_port_;
  int listener_ = -1;
  std::atomic<bool> cut_{false};
  std::atomic<bool> reset_{false};
  std::atomic<bool> silence_{false};
  std::mutex mutex_;
  Faults faults_;
  // Used by the thread only.
  std::vector<Link> links_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace figflow::test

#endif  // PROCESS_TCP_RELAY_H_
