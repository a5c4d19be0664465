#include "Ownership/store_session.h"

#include <algorithm>
#include <utility>

#include "Common/log.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

constexpr int kRenewalsPerTtl = 4;
// Pause after a failed call, so that a store that turns this daemon away is
// not asked in a loop.
constexpr std::chrono::milliseconds kLeaseRetry{100};
// Time between two probes of a silent store, which may swallow each of them.
constexpr std::chrono::milliseconds kProbeInterval{150};
// Without an answer for longer than this, what else waits for one is lost as
// well: a renewal that is repeated once takes less.
constexpr std::chrono::milliseconds kSilence{900};
// No such key exists; any answer will do.
constexpr char kProbeKey[] = "figflow/probe";

}  // namespace

StoreSession::StoreSession(TransactionalStore& store, Options options)
    : store_(store), options_(options) {}

MonoTime StoreSession::Step(MonoTime now) {
  LeaseId lease = 0;
  bool probe = false;
  MonoTime next;
  {
    absl::MutexLock lock(&mutex_);
    if (closed_ || (calling_ && !unanswered_)) {
      return now + options_.call_timeout;
    }
    if (now < next_call_) {
      return next_call_;
    }
    lease = lease_;
    probe = unanswered_;
    calling_ = !probe;
    next_call_ =
        now + (probe ? kProbeInterval : options_.ttl / kRenewalsPerTtl);
    next = next_call_;
  }
  Call(lease, probe, now);
  return next;
}

void StoreSession::Call(LeaseId lease, bool probe, MonoTime now) {
  const auto self = shared_from_this();
  if (probe) {
    store_.Get(kProbeKey, options_.call_timeout,
               [self, now](const Result<std::optional<StoreItem>>& item) {
                 self->OnProbed(item.has_value(), now);
               });
  } else if (lease == 0) {
    store_.GrantLease(options_.ttl, options_.call_timeout,
                      [self, now](const Result<LeaseId>& granted) {
                        self->OnGranted(now, granted);
                      });
  } else {
    store_.KeepLease(
        lease, options_.call_timeout,
        [self, lease, now](const Result<std::chrono::milliseconds>& ttl) {
          self->OnKept(lease, now, ttl);
        });
  }
}

void StoreSession::OnProbed(bool answered, MonoTime sent_at) {
  absl::MutexLock lock(&mutex_);
  // Several probes may be under way; the first answer counts.
  if (!answered || !unanswered_) {
    return;
  }
  unanswered_ = false;
  OnAnswered(sent_at);
  next_call_ = sent_at;
}

void StoreSession::OnAnswered(MonoTime sent_at) {
  const bool first = answered_at_ == MonoTime();
  regained_ = regained_ || (!first && sent_at - answered_at_ > kSilence);
  answered_at_ = std::max(answered_at_, sent_at);
}

bool StoreSession::TakeRegained() {
  absl::MutexLock lock(&mutex_);
  return std::exchange(regained_, false);
}

void StoreSession::OnGranted(MonoTime sent_at, const Result<LeaseId>& lease) {
  absl::MutexLock lock(&mutex_);
  calling_ = false;
  if (!lease) {
    next_call_ = sent_at + kLeaseRetry;
    return;
  }
  lease_ = *lease;
  OnAnswered(sent_at);
  certain_until_ = sent_at + options_.ttl;
}

void StoreSession::OnKept(LeaseId lease,
                          MonoTime sent_at,
                          const Result<std::chrono::milliseconds>& ttl) {
  absl::MutexLock lock(&mutex_);
  calling_ = false;
  if (lease_ != lease) {
    return;
  }
  if (ttl) {
    OnAnswered(sent_at);
    certain_until_ = std::max(certain_until_, sent_at + *ttl);
    return;
  }
  next_call_ = sent_at + kLeaseRetry;
  unanswered_ = ttl.error().code != ErrorCode::kNotFound &&
                ttl.error().code != ErrorCode::kUnavailable;
  if (ttl.error().code == ErrorCode::kNotFound) {
    LogEvent(LogLevel::kWarning, LogCategory::kPlatform, "lease_ended",
             {{"lease", absl::StrCat(lease)}});
    lease_ = 0;
    certain_until_ = MonoTime::min();
  }
}

LeaseId StoreSession::lease() const {
  absl::MutexLock lock(&mutex_);
  return lease_;
}

MonoTime StoreSession::certain_until() const {
  absl::MutexLock lock(&mutex_);
  return certain_until_;
}

MonoTime::duration StoreSession::Silence(MonoTime now) const {
  absl::MutexLock lock(&mutex_);
  return now - answered_at_;
}

void StoreSession::Close() {
  LeaseId lease = 0;
  {
    absl::MutexLock lock(&mutex_);
    closed_ = true;
    lease = std::exchange(lease_, 0);
    certain_until_ = MonoTime::min();
  }
  if (lease != 0) {
    store_.EndLease(lease, options_.call_timeout, [](const Result<bool>&) {});
  }
}

}  // namespace figflow
