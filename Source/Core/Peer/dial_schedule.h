#ifndef PEER_DIAL_SCHEDULE_H_
#define PEER_DIAL_SCHEDULE_H_

#include <chrono>
#include <map>
#include <random>
#include <string>

#include "Common/clock.h"

namespace figflow {

// When an address may be dialled: exponential backoff with jitter. Holds no
// clock or lock.
class DialSchedule {
 public:
  using Random = std::mt19937_64;

  // True if no link to the address is open or being opened and its pause is
  // over; the address then counts as being opened.
  bool TryStartDial(const std::string& address, MonoTime now);
  // The link failed to open or closed. A link that was useful restarts the
  // backoff from its first step.
  void OnLinkEnded(const std::string& address,
                   bool was_established,
                   MonoTime now,
                   Random& random);
  // The address leads to this daemon itself.
  void ExcludeAddress(const std::string& address);
  void RemoveAddress(const std::string& address);

 private:
  struct AddressState {
    bool active = false;
    bool excluded = false;
    unsigned failures = 0;
    MonoTime not_before;
  };

  std::map<std::string, AddressState> addresses_;
};

}  // namespace figflow

#endif  // PEER_DIAL_SCHEDULE_H_
