#ifndef FLEET_PEER_HEALTH_H_
#define FLEET_PEER_HEALTH_H_

#include <optional>
#include <string>

#include "Common/clock.h"
#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"

namespace figflow {

// Which other daemons answer, and which of them the store answers.
//
// Load pattern: single daemons or a whole data centre are cut off without a
// sign for some seconds. A job sent to one of them is in doubt: its caller can
// neither be refused nor hand it in again. So a daemon that has not answered
// lately is pinged first, which may get lost without harm.
//
// A daemon that the store does not answer pings all others at once: one that
// the store answers can help, and if there is none, jobs are refused without
// further calls, at a time when all callers come back again and again.
// Thread-safe.
class PeerHealth {
 public:
  enum class State {
    kResponsive,
    // Has not answered for a while, or has not been asked.
    kUnknown,
    // Left a call unanswered a moment ago.
    kUnresponsive,
  };

  // These return whether what is known of the daemon has changed.
  bool OnResponse(const std::string& address, MonoTime now);
  bool OnRequestFailed(const std::string& address, MonoTime now);
  // The daemon has told whether the store answers it.
  void OnStoreStateReported(const std::string& address,
                            bool store_reachable,
                            MonoTime now);
  State StateOf(const std::string& address, MonoTime now) const;
  // How long ago the daemon answered last; none if it never has.
  std::optional<MonoTime::duration> TimeSinceResponse(
      const std::string& address,
      MonoTime now) const;
  // The daemon has told lately that the store answers it.
  bool HasStoreAccess(const std::string& address, MonoTime now) const;

  // True if all daemons are to be pinged now; `peers` pings then begin.
  bool StartPingRound(int peers, MonoTime now);
  // One of these pings has ended.
  void OnPingFinished();
  // Some of them have not ended.
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
