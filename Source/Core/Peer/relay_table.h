#ifndef PEER_RELAY_TABLE_H_
#define PEER_RELAY_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "Common/clock.h"
#include "Common/error.h"
#include "Common/strong_id.h"
#include "Peer/peer_message.h"
#include "Peer/peer_service.h"
#include "Peer/peer_transport.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace figflow {

// Where a relay goes.
struct RelayRoute {
  EntryId entry;
  uint64_t incarnation = 0;
  LinkId link = 0;
};

enum class ResponseOutcome {
  kDelivered,
  // The relay ended before: cancelled, timed out or its link failed.
  kLate,
  // The id was never used, or the answer is not from the asked incarnation.
  kUnmatched,
};

// A relay whose peer should be told to stop working on it.
struct RelayCancellation {
  LinkId link = 0;
  uint64_t id = 0;
};

// Relays that wait for their answer. Thread-safe; runs callbacks without its
// lock held.
class RelayTable {
 public:
  // Ids start above those of earlier incarnations of this daemon.
  RelayTable(uint64_t incarnation, size_t max_in_flight_per_peer);

  // Leaves `done` untouched and returns kResourceExhausted when too many
  // relays to the peer are in flight.
  Result<uint64_t> Add(const RelayRoute& route,
                       MonoTime deadline,
                       RelayCallback* done);

  // To be called immediately before the request may leave. False: the relay
  // has ended and must not be sent.
  bool MarkSent(uint64_t id);
  // No byte of the request has left.
  void OnNotSent(uint64_t id, const std::string& reason);

  ResponseOutcome OnResponse(const EntryId& from, RelayResponseMessage message);
  // Ends all relays of the link.
  void FailLink(LinkId link, const std::string& reason);
  void FailAll(const std::string& reason);
  // Ends the relays whose deadline has passed.
  std::vector<RelayCancellation> Expire(MonoTime now);
  // A relay that is not sent yet ends; for a sent one, returns where the
  // cancellation must go, and the answer decides.
  std::optional<RelayCancellation> Cancel(uint64_t id);

  std::optional<MonoTime> NextDeadline() const;
  // Waits until no relay is left, at most until the deadline.
  bool WaitUntilEmpty(MonoTime deadline, MonoTime now) const;
  bool UsesLink(LinkId link) const;

 private:
  struct Pending {
    RelayRoute route;
    MonoTime deadline;
    bool sent = false;
    RelayCallback done;
  };
  using Map = std::map<uint64_t, Pending>;

  // Removes a relay.
  Pending RemovePending(Map::iterator it) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Calls back with kUnknownOutcome if the request may have left, else with
  // kUnavailable.
  static void CompleteWithError(const Pending& pending,
                                const std::string& reason);

  const uint64_t id_base_;
  const size_t max_in_flight_per_peer_;
  mutable absl::Mutex mutex_;
  uint64_t last_id_ ABSL_GUARDED_BY(mutex_);
  Map pending_ ABSL_GUARDED_BY(mutex_);
  std::set<std::pair<MonoTime, uint64_t>> deadlines_ ABSL_GUARDED_BY(mutex_);
  std::map<EntryId, size_t> in_flight_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace figflow

#endif  // PEER_RELAY_TABLE_H_
