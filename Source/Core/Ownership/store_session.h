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
  // Time to live of the lease, after which other daemons take over from a
  // daemon that has stopped without handing over. The lease is renewed four
  // times within it, so that a single lost request has no effect.
  std::chrono::milliseconds ttl{1'500};
  std::chrono::milliseconds call_timeout{500};
};

// Maintains the store lease that the daemon's keys are tied to. Thread-safe.
class StoreSession : public std::enable_shared_from_this<StoreSession> {
 public:
  using Options = StoreSessionOptions;

  StoreSession(TransactionalStore& store, Options options);

  // Acquires or renews the lease if that is due. Returns when to call again.
  MonoTime Step(MonoTime now);

  // Returns the lease; 0 while there is none.
  LeaseId lease() const;
  // Returns the time until which the lease is certainly valid. It counts from
  // the sending of the last successful renewal, so a delayed response doesn't
  // extend it.
  MonoTime lease_valid_until() const;
  // Returns the time since the sending of the last request that succeeded.
  MonoTime::duration TimeSinceResponse(MonoTime now) const;
  // Returns whether the store has become available again after an outage since
  // the last call, and resets this.
  bool TakeStoreRegained();
  // Ends the lease and acquires no other.
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
  // When the last request that succeeded was sent.
  MonoTime last_response_sent_at_ ABSL_GUARDED_BY(mutex_);
  bool store_regained_ ABSL_GUARDED_BY(mutex_) = false;
  MonoTime next_request_at_ ABSL_GUARDED_BY(mutex_) = MonoTime::min();
  bool request_in_flight_ ABSL_GUARDED_BY(mutex_) = false;
  // True if the last renewal received no response. A further renewal could
  // reach the store without a response too, and extend the lease of a daemon
  // that can't use it, so the next request only checks whether the store
  // responds.
  bool probing_ ABSL_GUARDED_BY(mutex_) = false;
  bool closed_ ABSL_GUARDED_BY(mutex_) = false;
};

}  // namespace figflow

#endif  // OWNERSHIP_STORE_SESSION_H_
