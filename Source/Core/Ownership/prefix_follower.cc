#include "Ownership/prefix_follower.h"

#include <utility>

#include "Common/log.h"
#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

constexpr std::chrono::milliseconds kWatchRetryDelay{150};
// Responses of at least this size are logged. Below it, reading the range
// instead of the changes saves nothing.
constexpr size_t kLargeResponseBytes = size_t{64} << 10;

std::string CounterName(const char* what, const std::string& prefix) {
  return absl::StrCat("figflow_follower_", what, "_total{prefix=\"", prefix,
                      "\"}");
}

// Returns only the last change of each key.
std::vector<const StoreItem*> LatestOfEachKey(
    const std::vector<StoreItem>& changes) {
  absl::flat_hash_map<absl::string_view, const StoreItem*> latest;
  for (const StoreItem& item : changes) {
    latest[item.key] = &item;
  }
  std::vector<const StoreItem*> items;
  for (const StoreItem& item : changes) {
    if (latest[item.key] == &item) {
      items.push_back(&item);
    }
  }
  return items;
}

std::string FormatMilliseconds(MonoTime::duration duration) {
  return absl::StrCat(WholeMilliseconds(duration).count());
}

}  // namespace

PrefixFollower::PrefixFollower(TransactionalStore& store,
                               const Clock& clock,
                               MetricsRegistry& metrics,
                               Options options,
                               ChangeListener on_change,
                               SyncListener on_sync)
    : store_(store),
      clock_(clock),
      options_(std::move(options)),
      on_change_(std::move(on_change)),
      on_sync_(std::move(on_sync)),
      response_bytes_(
          metrics.GetCounter(CounterName("answer_bytes", options_.prefix))),
      superseded_(
          metrics.GetCounter(CounterName("superseded", options_.prefix))),
      min_watch_interval_(options_.min_watch_interval) {}

void PrefixFollower::Start() {
  {
    absl::MutexLock lock(&mutex_);
    read_pending_ = true;
  }
  ReadPage("");
}

void PrefixFollower::Stop() {
  absl::MutexLock lock(&mutex_);
  stopped_ = true;
}

MonoTime PrefixFollower::Step(MonoTime now) {
  bool watch = false;
  {
    absl::MutexLock lock(&mutex_);
    if (stopped_ || read_pending_) {
      return MonoTime::max();
    }
    const MonoTime due =
        interval_pending_ ? watch_started_at_ + min_watch_interval_ : retry_at_;
    if (now < due) {
      return due;
    }
    retry_at_ = MonoTime::max();
    interval_pending_ = false;
    read_pending_ = true;
    watch = watching_;
  }
  if (watch) {
    Watch();
  } else {
    ReadPage("");
  }
  return MonoTime::max();
}

void PrefixFollower::SetMinWatchInterval(std::chrono::milliseconds interval) {
  absl::MutexLock lock(&mutex_);
  min_watch_interval_ = interval;
}

void PrefixFollower::StartRead(bool long_poll,
                               const std::function<uint64_t()>& read) {
  uint64_t number = 0;
  {
    absl::MutexLock lock(&mutex_);
    number = ++read_number_;
    read_id_ = 0;
    long_polling_ = long_poll;
  }
  const uint64_t call = read();
  absl::MutexLock lock(&mutex_);
  // The response may have arrived already and started another read.
  if (number == read_number_) {
    read_id_ = call;
  }
}

void PrefixFollower::ReadPage(const std::string& after) {
  if (after.empty()) {
    page_items_.clear();
    range_revision_ = 0;
    range_bytes_ = 0;
  }
  page_after_ = after;
  StartRead(/*long_poll=*/false, [this, &after, sent_at = clock_.Now()] {
    return store_.Range(
        options_.prefix, after, options_.call_timeout,
        [self = shared_from_this(), sent_at](Result<RangePage> page) {
          self->OnPageResponse(sent_at, std::move(page));
        });
  });
}

void PrefixFollower::OnPageResponse(MonoTime sent_at, Result<RangePage> page) {
  if (!page) {
    if (page.error().code == ErrorCode::kCancelled && !stopped()) {
      ReadPage(std::string(page_after_));
      return;
    }
    OnReadFailed(page.error(), clock_.Now());
    return;
  }
  // The pages are not a snapshot: the watch starts at the revision of the first
  // page to cover later changes.
  if (range_revision_ == 0) {
    range_revision_ = page->store_revision;
  }
  range_bytes_ += page->cost.bytes;
  response_bytes_.Add(page->cost.bytes);
  std::string last;
  for (StoreItem& item : page->items) {
    last = item.key;
    page_items_[last] = std::move(item);
  }
  if (page->truncated && !last.empty()) {
    ReadPage(last);
    return;
  }
  for (auto it = revisions_.begin(); it != revisions_.end();) {
    if (page_items_.count(it->first) > 0) {
      ++it;
      continue;
    }
    StoreItem removed_item;
    removed_item.key = it->first;
    removed_item.revision = range_revision_;
    removed_item.removed = true;
    it = revisions_.erase(it);
    on_change_(removed_item);
  }
  const std::map<std::string, StoreItem> items = std::move(page_items_);
  page_items_.clear();
  const MonoTime arrived_at = clock_.Now();
  for (const auto& [key, item] : items) {
    ApplyItem(item);
  }
  LogEvent(LogLevel::kInfo, LogCategory::kPlatform, "range_read",
           {{"prefix", options_.prefix},
            {"revision", absl::StrCat(range_revision_)},
            {"items", absl::StrCat(items.size())},
            {"bytes", absl::StrCat(range_bytes_)},
            {"head_ms", absl::StrCat(page->cost.head.count())},
            {"call_ms", absl::StrCat(page->cost.whole.count())},
            {"apply_ms", FormatMilliseconds(clock_.Now() - arrived_at)}});
  next_revision_ = range_revision_;
  bool regained = false;
  {
    absl::MutexLock lock(&mutex_);
    synced_ = true;
    watching_ = true;
    current_as_of_ = sent_at;
    regained = std::exchange(failing_, false);
  }
  if (regained) {
    LogEvent(LogLevel::kInfo, LogCategory::kPlatform, "store_regained",
             {{"prefix", options_.prefix}});
  }
  on_sync_();
  ScheduleWatch();
}

void PrefixFollower::ApplyItem(const StoreItem& item) {
  uint64_t& known = revisions_[item.key];
  if (item.revision <= known) {
    return;
  }
  known = item.revision;
  if (item.removed) {
    revisions_.erase(item.key);
  }
  on_change_(item);
}

void PrefixFollower::Resync() {
  AbortUnresponsiveRead();
}

void PrefixFollower::ConfirmCurrent() {
  {
    absl::MutexLock lock(&mutex_);
    // Any other read returns without waiting for a change.
    if (read_pending_ && !long_polling_) {
      return;
    }
    confirmation_requested_ = true;
  }
  AbortUnresponsiveRead();
}

void PrefixFollower::AbortUnresponsiveRead() {
  uint64_t call = 0;
  {
    absl::MutexLock lock(&mutex_);
    if (stopped_ || !read_pending_) {
      return;
    }
    call = read_id_;
  }
  if (call != 0) {
    store_.EndIfSilent(call);
  }
}

void PrefixFollower::Watch() {
  const MonoTime sent_at = clock_.Now();
  WatchCall call;
  {
    absl::MutexLock lock(&mutex_);
    if (stopped_) {
      return;
    }
    watch_started_at_ = sent_at;
    call.wait = std::exchange(confirmation_requested_, false)
                    ? std::chrono::milliseconds(0)
                    : options_.max_watch_wait;
  }
  call.prefix = options_.prefix;
  call.after_revision = next_revision_;
  call.max_answer_bytes =
      std::max(kLargeResponseBytes, range_bytes_ + range_bytes_ / 2);
  StartRead(call.wait.count() > 0, [this, &call, sent_at] {
    return store_.Watch(call, [self = shared_from_this(),
                               sent_at](Result<StoreChanges> changes) {
      self->OnWatchResponse(sent_at, std::move(changes));
    });
  });
}

void PrefixFollower::OnWatchResponse(MonoTime sent_at,
                                     Result<StoreChanges> changes) {
  if (!changes) {
    if (changes.error().code == ErrorCode::kCancelled) {
      Watch();
      return;
    }
    OnReadFailed(changes.error(), clock_.Now());
    return;
  }
  if (changes->history_lost || changes->too_large) {
    RereadRange(changes->history_lost ? "store_history_lost"
                                      : "changes_too_large");
    return;
  }
  const MonoTime arrived_at = clock_.Now();
  const std::vector<const StoreItem*> latest =
      LatestOfEachKey(changes->changes);
  for (const StoreItem* item : latest) {
    ApplyItem(*item);
  }
  RecordChanges(*changes, changes->changes.size() - latest.size(),
                clock_.Now() - arrived_at);
  next_revision_ = std::max(next_revision_, changes->store_revision);
  bool regained = false;
  {
    absl::MutexLock lock(&mutex_);
    current_as_of_ = sent_at;
    regained = std::exchange(failing_, false);
  }
  if (regained) {
    LogEvent(LogLevel::kInfo, LogCategory::kPlatform, "store_regained",
             {{"prefix", options_.prefix}});
  }
  ScheduleWatch();
}

void PrefixFollower::RereadRange(const char* event) {
  {
    absl::MutexLock lock(&mutex_);
    watching_ = false;
    if (stopped_) {
      return;
    }
  }
  LogEvent(LogLevel::kInfo, LogCategory::kPlatform, event,
           {{"prefix", options_.prefix},
            {"bytes_of_range", absl::StrCat(range_bytes_)}});
  ReadPage("");
}

void PrefixFollower::RecordChanges(const StoreChanges& changes,
                                   size_t superseded,
                                   MonoTime::duration apply_time) {
  response_bytes_.Add(changes.cost.bytes);
  superseded_.Add(superseded);
  if (changes.cost.bytes < kLargeResponseBytes) {
    return;
  }
  LogEvent(LogLevel::kInfo, LogCategory::kPlatform, "changes_read",
           {{"prefix", options_.prefix},
            {"revision", absl::StrCat(changes.store_revision)},
            {"changes", absl::StrCat(changes.changes.size())},
            {"superseded", absl::StrCat(superseded)},
            {"bytes", absl::StrCat(changes.cost.bytes)},
            {"head_ms", absl::StrCat(changes.cost.head.count())},
            {"call_ms", absl::StrCat(changes.cost.whole.count())},
            {"apply_ms", FormatMilliseconds(apply_time)}});
}

void PrefixFollower::ScheduleWatch() {
  {
    absl::MutexLock lock(&mutex_);
    if (clock_.Now() < watch_started_at_ + min_watch_interval_) {
      // The next Step that is due starts the watch.
      interval_pending_ = true;
      read_pending_ = false;
      return;
    }
  }
  Watch();
}

void PrefixFollower::OnReadFailed(const Error& error, MonoTime now) {
  bool lost = false;
  {
    absl::MutexLock lock(&mutex_);
    read_pending_ = false;
    retry_at_ = now + kWatchRetryDelay;
    lost = !std::exchange(failing_, true) && !stopped_;
  }
  if (lost) {
    LogEvent(LogLevel::kWarning, LogCategory::kPlatform, "store_lost",
             {{"prefix", options_.prefix}, {"error", ToString(error)}});
  }
}

MonoTime::duration PrefixFollower::Staleness(MonoTime now) const {
  absl::MutexLock lock(&mutex_);
  return current_as_of_ == MonoTime::min() ? MonoTime::duration::max()
                                           : now - current_as_of_;
}

MonoTime PrefixFollower::CurrentAsOf() const {
  absl::MutexLock lock(&mutex_);
  return current_as_of_;
}

bool PrefixFollower::stopped() const {
  absl::MutexLock lock(&mutex_);
  return stopped_;
}

bool PrefixFollower::synced() const {
  absl::MutexLock lock(&mutex_);
  return synced_;
}

}  // namespace figflow
