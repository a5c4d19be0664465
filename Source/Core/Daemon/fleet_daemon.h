#ifndef DAEMON_FLEET_DAEMON_H_
#define DAEMON_FLEET_DAEMON_H_

#include <memory>

#include "Common/clock.h"
#include "Common/error.h"
#include "Settings/settings.h"

namespace figflow {

// The daemon on a platform of kind "fleet": takes callers' jobs, places their
// tasks on workers and maintains instances. State that must last is in the
// platform's store.
class FleetDaemon {
 public:
  FleetDaemon(Settings settings, const Clock& clock);
  ~FleetDaemon();
  FleetDaemon(const FleetDaemon&) = delete;
  FleetDaemon& operator=(const FleetDaemon&) = delete;

  // Errors: kUnavailable, a listener cannot be bound.
  Result<void> Start();
  // Hands the pools over, answers the calls in flight and ends.
  void Stop();
  // Takes over new settings as far as they can change in a running process.
  void Reload(const Settings& settings);

 private:
  struct Parts;
  Result<void> Listen();

  Settings settings_;
  const Clock& clock_;
  std::unique_ptr<Parts> parts_;
};

}  // namespace figflow

#endif  // DAEMON_FLEET_DAEMON_H_
