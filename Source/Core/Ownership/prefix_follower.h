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

// Longest wait of one watch. An outage of the store may swallow a waiting watch
// while its connection stays open, so this bounds how long changes can go
// unnoticed after it.
inline constexpr std::chrono::milliseconds kMaxWatchWait{2'000};
// Time in which a store in order answers a call, without a watch's wait.
inline constexpr std::chrono::milliseconds kMaxStoreLatency{300};
// Longest PrefixFollower::Age while the store is in order and the gap between
// watches is no longer than a watch: the age counts from the start of the last
// answered watch, which waited in full, until the next one has waited as well.
inline constexpr std::chrono::milliseconds kMaxHealthyStaleness =
    2 * (kMaxWatchWait + kMaxStoreLatency);

struct PrefixFollowerOptions {
  std::string prefix;
  std::chrono::milliseconds call_timeout{1'500};
  std::chrono::milliseconds max_watch_wait = kMaxWatchWait;
  // Least time between the starts of two watches. A watch ends at the first
  // change; many keys that change by turns would have the daemon ask again all
  // the time, and each call is paid for.
  std::chrono::milliseconds min_watch_interval{0};
};

// Follows the keys under a prefix: reads the range, then watches. Where the
// store has lost the history in between, or the changes are larger than the
// state, it reads the range again: what catching up costs does not grow with
// what was missed. Of each key only the latest state in an answer is reported;
// the keys are reported in the order of their changes, and a key that vanished
// unseen as removed. Thread-safe.
class PrefixFollower : public std::enable_shared_from_this<PrefixFollower> {
 public:
  using Options = PrefixFollowerOptions;
  // Called without locks held. `removed` items have no value.
  using ChangeListener = std::function<void(const StoreItem&)>;
  // The keys have been read as a whole.
  using SyncListener = std::function<void()>;

  PrefixFollower(TransactionalStore& store,
                 const Clock& clock,
                 MetricsRegistry& metrics,
                 Options options,
                 ChangeListener on_change,
                 SyncListener on_sync);

  void Start();
  void Stop();
  // Retries a failed call, or watches again, if the pause is over. Returns when
  // to call again.
  MonoTime Step(MonoTime now);
  // Changes the least time between two watches, from the next Step on.
  void SetMinWatchInterval(std::chrono::milliseconds interval);

  // The store has answered again after a silence: what waits for an answer may
  // be lost and is asked for again. An answer that arrives is waited for.
  void Resync();

  // Asks the store at once whether the keys have changed; Age tells when it has
  // answered.
  void ConfirmCurrent();

  // How long ago the last call that was answered began: the keys are at least
  // that new. The longest duration before the first answer.
  MonoTime::duration Staleness(MonoTime now) const;
  bool synced() const;

 private:
  // The next call to the store, which waits for a change or is answered at
  // once: `read` makes it and returns its id.
  void StartRead(bool long_poll, const std::function<uint64_t()>& read);
  void ReadPage(const std::string& after);
  void OnPageResponse(MonoTime sent_at, Result<RangePage> page);
  void Watch();
  void OnWatchResponse(MonoTime sent_at, Result<StoreChanges> changes);
  // Watches again, after the rest of the gap.
  void ScheduleWatch();
  // Reads the range because the changes cannot be had; `event` tells why.
  void RereadRange(const char* event);
  // Ends the call under way if it waits for an answer.
  void AbortUnresponsiveRead();
  void OnReadFailed(const Error& error, MonoTime now);
  bool stopped() const;
  void ApplyItem(const StoreItem& item);
  // Counts an answer, and logs a large one.
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
  // When the last watch began.
  MonoTime watch_started_at_ ABSL_GUARDED_BY(mutex_) = MonoTime::min();
  // The next watch waits for the gap to pass, not for a failure.
  bool interval_pending_ ABSL_GUARDED_BY(mutex_) = false;
  // The next watch is answered at once.
  bool confirmation_requested_ ABSL_GUARDED_BY(mutex_) = false;
  // A call is under way or about to be made.
  bool read_pending_ ABSL_GUARDED_BY(mutex_) = false;
  bool watching_ ABSL_GUARDED_BY(mutex_) = false;
  // The call under way is a watch that waits for a change.
  bool long_polling_ ABSL_GUARDED_BY(mutex_) = false;
  // Number of the call under way, and its id at the store; 0 if there is none.
  uint64_t read_number_ ABSL_GUARDED_BY(mutex_) = 0;
  uint64_t read_id_ ABSL_GUARDED_BY(mutex_) = 0;
  MonoTime retry_at_ ABSL_GUARDED_BY(mutex_) = MonoTime::max();
  MonoTime current_as_of_ ABSL_GUARDED_BY(mutex_) = MonoTime::min();

  // Used by the call under way only.
  std::map<std::string, uint64_t> revisions_;
  std::map<std::string, StoreItem> page_items_;
  std::string page_after_;
  uint64_t next_revision_ = 0;
  uint64_t range_revision_ = 0;
  // Size of the answers that hold all keys; of the pages so far during a read.
  size_t range_bytes_ = 0;
};

}  // namespace figflow

#endif  // OWNERSHIP_PREFIX_FOLLOWER_H_
