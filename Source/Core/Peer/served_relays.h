#ifndef PEER_SERVED_RELAYS_H_
#define PEER_SERVED_RELAYS_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "Common/clock.h"
#include "Peer/peer_transport.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace figflow {

// Holds the relays that this daemon runs for its peers, by link. Thread-safe.
class ServedRelays {
 public:
  enum class Admission { kAdmitted, kDuplicate, kFull };

  explicit ServedRelays(size_t max_per_link) : max_per_link_(max_per_link) {}

  // Adds a relay unless the link already has this id or `max_per_link` relays.
  Admission Admit(LinkId link, uint64_t id);
  // Returns false if the link has closed or the relay has ended.
  bool IsServed(LinkId link, uint64_t id) const;
  void Remove(LinkId link, uint64_t id);
  // Removes all relays of a closed link and returns their ids.
  std::vector<uint64_t> RemoveLink(LinkId link);
  bool UsesLink(LinkId link) const;
  // Waits until no relay is left or the deadline passes. Returns false on
  // timeout.
  bool WaitUntilEmpty(MonoTime deadline, MonoTime now) const;

 private:
  const size_t max_per_link_;
  mutable absl::Mutex mutex_;
  std::map<LinkId, std::set<uint64_t>> served_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace figflow

#endif  // PEER_SERVED_RELAYS_H_
