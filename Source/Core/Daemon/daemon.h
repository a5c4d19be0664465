#ifndef DAEMON_DAEMON_H_
#define DAEMON_DAEMON_H_

#include <memory>

#include "Common/clock.h"
#include "Common/error.h"
#include "Settings/settings.h"

namespace figflow {

// One figflowd: builds all parts from the settings, starts them in the order of
// their dependencies and stops them gracefully.
class Daemon {
 public:
  // `clock` must outlive the daemon.
  Daemon(Settings settings, const Clock& clock);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // kUnavailable if a listener's address cannot be bound.
  Result<void> Start();

  // A newer incarnation of this entry is running: this process must stop.
  bool superseded() const;

  // Turns readiness off, refuses new requests, lets those in flight finish for
  // at most the drain timeout, gives the share back and ends all threads.
  void Stop();

 private:
  struct Parts;

  // Sets the callbacks between the parts.
  void Connect();
  Result<void> ListenForCallers();
  Result<void> ListenForOperators();

  const Settings settings_;
  const Clock& clock_;
  std::unique_ptr<Parts> parts_;
};

}  // namespace figflow

#endif  // DAEMON_DAEMON_H_
