#ifndef OWNERSHIP_PREFIX_FOLLOWER_H_
#define OWNERSHIP_PREFIX_FOLLOWER_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Common/clock.h"
#include "Common/metrics.h"
#include "Platform/transactional_store.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace figflow {

// Longest time that a watch waits for a change. A store outage can lose a
// waiting watch while its connection stays open, so this bounds how long
// changes can go undetected afterwards.
inline constexpr std::chrono::milliseconds kMaxWatchWait{2'000};
// Time within which a healthy store responds, not counting the time that a
// watch waits.
inline constexpr std::chrono::milliseconds kMaxStoreLatency{300};
// Upper bound of PrefixFollower::Staleness while the store is healthy and the
// interval between watches is no longer than a watch: the staleness counts from
// the start of the last completed watch, which waited for its full time, until
// the next one has waited as well.
inline constexpr std::chrono::milliseconds kMaxHealthyStaleness =
    2 * (kMaxWatchWait + kMaxStoreLatency);

struct PrefixFollowerOptions {
  std::string prefix;
  std::chrono::milliseconds call_timeout{1'500};
  std::chrono::milliseconds max_watch_wait = kMaxWatchWait;
  // Minimum time between the starts of two watches. A watch ends at the first
  // change, so keys that change in turn would cause a continuous series of
  // watches, and the store charges for each HTTP request.
  std::chrono::milliseconds min_watch_interval{0};
};

// Follows the keys under a prefix: reads the range, then watches it.
//
// The range is read again when the store no longer has the history since the
// last read, or when the changes are larger than the state. The cost of
// catching up therefore doesn't grow with the number of missed changes. For
// each key, only the latest state in a response is reported. Keys are reported
// in the sequence of their changes, and a key whose removal was missed is
// reported as removed. Thread-safe.
class PrefixFollower : public std::enable_shared_from_this<PrefixFollower> {
 public:
  using Options = PrefixFollowerOptions;
  // Called without locks held. Items that are `removed` have no value.
  using ChangeListener = std::function<void(const StoreItem&)>;
  // Called after each complete read of the range.
  using SyncListener = std::function<void()>;

  PrefixFollower(TransactionalStore& store,
                 const Clock& clock,
                 MetricsRegistry& metrics,
                 Options options,
                 ChangeListener on_change,
                 SyncListener on_sync);

  void Start();
  void Stop();
  // Retries a failed read, or starts the next watch, if its time has come.
  // Returns when to call again.
  MonoTime Step(MonoTime now);
  // Changes the minimum time between two watches. Takes effect at the next
  // Step.
  void SetMinWatchInterval(std::chrono::milliseconds interval);

  // Aborts the pending read and repeats it, unless its response is already
  // arriving. To be called when the store is available again after an outage,
  // in which a pending response may have been lost.
  void Resync();

  // Checks with the store without delay whether the keys have changed.
  // Staleness shows when the store has responded.
  void ConfirmCurrent();

  // Returns the time since the sending of the last request that succeeded, an
  // upper bound of how old the keys can be. Returns the maximum duration before
  // the first response.
  MonoTime::duration Staleness(MonoTime now) const;
  // Returns when the last request that succeeded was sent: the keys reported by
  // then were current at some time since. Returns the minimum before the first
  // response.
  MonoTime CurrentAsOf() const;
  bool synced() const;

 private:
  // Starts the next read from the store. `read` sends it and returns its id.
  // `long_poll` is true if it waits for a change.
  void StartRead(bool long_poll, const std::function<uint64_t()>& read);
  void ReadPage(const std::string& after);
  void OnPageResponse(MonoTime sent_at, Result<RangePage> page);
  void Watch();
  void OnWatchResponse(MonoTime sent_at, Result<StoreChanges> changes);
  // Starts the next watch as soon as the minimum interval has passed.
  void ScheduleWatch();
  // Reads the range because the changes are not available; `event` is the log
  // event that names the reason.
  void RereadRange(const char* event);
  // Aborts the pending read unless its response is already arriving.
  void AbortUnresponsiveRead();
  void OnReadFailed(const Error& error, MonoTime now);
  bool stopped() const;
  void ApplyItem(const StoreItem& item);
  // Counts the bytes of a response and its superseded items, and logs a large
  // response.
  void RecordChanges(const StoreChanges& changes,
                     size_t superseded,
                     MonoTime::duration apply_time);

  TransactionalStore& store_;
  const Clock& clock_;
  const Options options_;
  const ChangeListener on_change_;
  const SyncListener on_sync_;
  Counter& response_bytes_;
  Counter& superseded_;

  mutable absl::Mutex mutex_;
  bool stopped_ ABSL_GUARDED_BY(mutex_) = false;
  bool synced_ ABSL_GUARDED_BY(mutex_) = false;
  bool failing_ ABSL_GUARDED_BY(mutex_) = false;
  std::chrono::milliseconds min_watch_interval_ ABSL_GUARDED_BY(mutex_);
  // When the last watch started.
  MonoTime watch_started_at_ ABSL_GUARDED_BY(mutex_) = MonoTime::min();
  // True if the next watch waits for the minimum interval and not for a retry
  // after a failure.
  bool interval_pending_ ABSL_GUARDED_BY(mutex_) = false;
  // True if the next watch is to return without waiting for a change.
  bool confirmation_requested_ ABSL_GUARDED_BY(mutex_) = false;
  // True if a read is in flight or about to be sent.
  bool read_pending_ ABSL_GUARDED_BY(mutex_) = false;
  bool watching_ ABSL_GUARDED_BY(mutex_) = false;
  // True if the read in flight is a watch that waits for a change.
  bool long_polling_ ABSL_GUARDED_BY(mutex_) = false;
  // Number of the read in flight, and its id at the store; 0 if there is none.
  uint64_t read_number_ ABSL_GUARDED_BY(mutex_) = 0;
  uint64_t read_id_ ABSL_GUARDED_BY(mutex_) = 0;
  MonoTime retry_at_ ABSL_GUARDED_BY(mutex_) = MonoTime::max();
  MonoTime current_as_of_ ABSL_GUARDED_BY(mutex_) = MonoTime::min();

  // Used only by the read in flight.
  std::map<std::string, uint64_t> revisions_;
  std::map<std::string, StoreItem> page_items_;
  std::string page_after_;
  uint64_t next_revision_ = 0;
  uint64_t range_revision_ = 0;
  // Size of the responses that held the whole range; while the range is being
  // read, of the pages so far.
  size_t range_bytes_ = 0;
};

}  // namespace figflow

#endif  // OWNERSHIP_PREFIX_FOLLOWER_H_
