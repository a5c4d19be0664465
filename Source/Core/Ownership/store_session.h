#ifndef OWNERSHIP_STORE_SESSION_H_
#define OWNERSHIP_STORE_SESSION_H_

#include <chrono>
#include <functional>
#include <memory>

#include "Common/clock.h"
#include "Platform/transactional_store.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace figflow {

struct StoreSessionOptions {
  // Time to live of the lease: the time after which other daemons take over
  // from one that has stopped without a word. Renewed four times within it, so
  // that single lost calls do no harm.
  std::chrono::milliseconds ttl{1'500};
  std::chrono::milliseconds call_timeout{500};
};

// Keeps one lease of the store alive, to which the daemon ties its keys.
// Thread-safe.
class StoreSession : public std::enable_shared_from_this<StoreSession> {
 public:
  using Options = StoreSessionOptions;

  StoreSession(TransactionalStore& store, Options options);

  // Grants or renews the lease if that is due. Returns when to call again.
  MonoTime Step(MonoTime now);

  // The lease, 0 while there is none.
  LeaseId lease() const;
  // Until when the lease certainly lasts. Counted from the sending of the last
  // renewal that was answered, so a delayed answer extends nothing.
  MonoTime lease_valid_until() const;
  // How long the store has not answered this daemon with success.
  MonoTime::duration TimeSinceResponse(MonoTime now) const;
  // The store has answered again after a silence, since the last call of this.
  bool TakeStoreRegained();
  // Ends the lease and grants no other.
  void Close();

 private:
  void SendRequest(LeaseId lease, bool probe, MonoTime now);
  void RecordResponse(MonoTime sent_at) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void OnLeaseGranted(MonoTime sent_at, const Result<LeaseId>& lease);
  void OnProbeResponse(bool responded, MonoTime sent_at);
  void OnRenewalResponse(LeaseId lease,
                         MonoTime sent_at,
                         const Result<std::chrono::milliseconds>& ttl);

  TransactionalStore& store_;
  const Options options_;
  mutable absl::Mutex mutex_;
  LeaseId lease_ ABSL_GUARDED_BY(mutex_) = 0;
  MonoTime lease_valid_until_ ABSL_GUARDED_BY(mutex_) = MonoTime::min();
  // When the last call that was answered with success was sent.
  MonoTime last_response_sent_at_ ABSL_GUARDED_BY(mutex_);
  bool store_regained_ ABSL_GUARDED_BY(mutex_) = false;
  MonoTime next_request_at_ ABSL_GUARDED_BY(mutex_) = MonoTime::min();
  bool request_in_flight_ ABSL_GUARDED_BY(mutex_) = false;
  // The last renewal got no answer. Another one might reach the store without
  // an answer as well and keep the lease of a daemon that cannot use it, so
  // the next call only asks whether the store answers.
  bool probing_ ABSL_GUARDED_BY(mutex_) = false;
  bool closed_ ABSL_GUARDED_BY(mutex_) = false;
};

}  // namespace figflow

#endif  // OWNERSHIP_STORE_SESSION_H_
