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

// Destination of a relay.
struct RelayRoute {
  EntryId entry;
  uint64_t incarnation = 0;
  LinkId link = 0;
};

enum class ResponseOutcome {
  kDelivered,
  // The relay had already ended: it completed, was cancelled or timed out, or
  // its link failed.
  kLate,
  // The id was never used, or the response is not from the peer and incarnation
  // that the relay was sent to.
  kUnmatched,
};

// Identifies a sent relay that the peer should stop processing.
struct RelayCancellation {
  LinkId link = 0;
  uint64_t id = 0;
};

// Holds the relays that wait for a response. Thread-safe; runs callbacks
// without holding its lock.
class RelayTable {
 public:
  // Relay ids start above those of earlier incarnations of this daemon, so that
  // a response to an earlier incarnation matches no relay.
  RelayTable(uint64_t incarnation, size_t max_in_flight_per_peer);

  // Adds a relay and returns its id. Returns kResourceExhausted and leaves
  // `done` unchanged when too many relays to the peer are in flight.
  Result<uint64_t> Add(const RelayRoute& route,
                       MonoTime deadline,
                       RelayCallback* done);

  // Must be called immediately before the request is sent. Returns false if the
  // relay has ended and must not be sent.
  bool MarkSent(uint64_t id);
  // Completes a relay of which no byte was sent with kUnavailable.
  void OnNotSent(uint64_t id, const std::string& reason);

  ResponseOutcome OnResponse(const EntryId& from, RelayResponseMessage message);
  // Completes all relays of the link with an error.
  void FailLink(LinkId link, const std::string& reason);
  void FailAll(const std::string& reason);
  // Completes the relays whose deadline has passed with an error and returns
  // the sent ones, which are to be cancelled at their peers.
  std::vector<RelayCancellation> Expire(MonoTime now);
  // Completes a relay that is not sent yet with kUnavailable. For a sent relay,
  // returns the cancellation to send; the relay then still completes with its
  // response or at its deadline.
  std::optional<RelayCancellation> Cancel(uint64_t id);

  std::optional<MonoTime> NextDeadline() const;
  // Waits until no relay is left or the deadline passes. Returns false on
  // timeout.
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

  // Removes a relay and returns it.
  Pending RemovePending(Map::iterator it) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Runs the callback with kUnknownOutcome if the request may have been sent,
  // else with kUnavailable.
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
