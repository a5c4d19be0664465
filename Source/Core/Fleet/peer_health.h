#ifndef FLEET_PEER_HEALTH_H_
#define FLEET_PEER_HEALTH_H_

#include <optional>
#include <string>

#include "Common/clock.h"
#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"

namespace figflow {

// Tracks which other daemons respond, and which of them the store responds to.
//
// Single daemons or a whole data centre are cut off by network partitions of
// some seconds. The outcome of a job sent to one of them is unknown: its caller
// can neither be refused nor submit it again. A daemon that has not responded
// recently is therefore pinged first, because a ping may get lost without harm.
//
// A daemon that the store does not respond to pings its peers at once. A peer
// that the store responds to can help; if there is none, jobs are refused
// without further requests, at a time when all callers retry repeatedly.
// Thread-safe.
class PeerHealth {
 public:
  enum class State {
    kResponsive,
    // Has not responded recently, or has not been contacted.
    kUnknown,
    // Did not respond to a recent request.
    kUnresponsive,
  };

  // These return whether the daemon changed between responsive and
  // unresponsive.
  bool OnResponse(const std::string& address, MonoTime now);
  bool OnRequestFailed(const std::string& address, MonoTime now);
  // Records whether the daemon reported that the store responds to it.
  void OnStoreStateReported(const std::string& address,
                            bool store_reachable,
                            MonoTime now);
  State StateOf(const std::string& address, MonoTime now) const;
  // Returns the time since the daemon last responded, or none if it never has.
  std::optional<MonoTime::duration> TimeSinceResponse(
      const std::string& address,
      MonoTime now) const;
  // Returns whether the daemon reported recently that the store responds to it.
  bool HasStoreAccess(const std::string& address, MonoTime now) const;

  // Returns true, and starts a round of `peers` pings, if one is due and none
  // is in progress.
  bool StartPingRound(int peers, MonoTime now);
  // Records that one ping of the round has finished.
  void OnPingFinished();
  // Returns whether some pings of the round have not finished.
  bool PingRoundActive() const;

 private:
  struct Peer {
    MonoTime responded_at = MonoTime::min();
    MonoTime failed_at = MonoTime::min();
    MonoTime store_reachable_at = MonoTime::min();
  };

  mutable absl::Mutex mutex_;
  absl::flat_hash_map<std::string, Peer> peers_ ABSL_GUARDED_BY(mutex_);
  MonoTime next_ping_round_ ABSL_GUARDED_BY(mutex_) = MonoTime::min();
  int pending_pings_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace figflow

#endif  // FLEET_PEER_HEALTH_H_
