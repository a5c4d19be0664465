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
// No such key exists; any answer will do.
constexpr char kProbeKey[] = "figflow/probe";

}  // namespace

StoreSession::StoreSession(TransactionalStore& store, Options options)
    : store_(store), options_(options) {}

MonoTime StoreSession::Step(MonoTime now) {
  LeaseId lease = 0;
  bool probe = false;
  {
    absl::MutexLock lock(&mutex_);
    if (closed_ || calling_) {
      return now + options_.call_timeout;
    }
    if (now < next_call_) {
      return next_call_;
    }
    calling_ = true;
    next_call_ = now + options_.ttl / kRenewalsPerTtl;
    lease = lease_;
    probe = unanswered_;
  }
  Call(lease, probe, now);
  return now + options_.ttl / kRenewalsPerTtl;
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
  calling_ = false;
  unanswered_ = !answered;
  next_call_ = answered ? sent_at : sent_at + kLeaseRetry;
}

void StoreSession::OnGranted(MonoTime sent_at, const Result<LeaseId>& lease) {
  absl::MutexLock lock(&mutex_);
  calling_ = false;
  if (!lease) {
    next_call_ = sent_at + kLeaseRetry;
    return;
  }
  lease_ = *lease;
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
