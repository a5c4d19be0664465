#ifndef PEER_DIAL_SCHEDULE_H_
#define PEER_DIAL_SCHEDULE_H_

#include <chrono>
#include <map>
#include <random>
#include <string>

#include "Common/clock.h"

namespace figflow {

// Decides when an address may be dialled, with exponential backoff and jitter.
// Holds no clock and is not thread-safe.
class DialSchedule {
 public:
  using Random = std::mt19937_64;

  // Returns true and marks the address as being dialled if no link to it is
  // open or being opened and its backoff has elapsed.
  bool TryStartDial(const std::string& address, MonoTime now);
  // Records that a link could not be opened or was closed, and sets the next
  // backoff. If `was_established`, the backoff restarts at its initial value.
  void OnLinkEnded(const std::string& address,
                   bool was_established,
                   MonoTime now,
                   Random& random);
  // Excludes the address from dialling, because it belongs to this daemon.
  void ExcludeAddress(const std::string& address);
  // Discards the state of an address that has no link open or being opened.
  void RemoveAddress(const std::string& address);

 private:
  struct AddressState {
    // A link is open or being opened.
    bool active = false;
    bool excluded = false;
    // Consecutive failed or rejected links.
    unsigned failures = 0;
    // Earliest time of the next dial.
    MonoTime not_before;
  };

  std::map<std::string, AddressState> addresses_;
};

}  // namespace figflow

#endif  // PEER_DIAL_SCHEDULE_H_
