#include "Ownership/store_session.h"

#include <algorithm>
#include <utility>

#include "Common/log.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

constexpr int kRenewalsPerTtl = 4;
// Delay after a failed request, which limits the rate of requests to a store
// that rejects this daemon.
constexpr std::chrono::milliseconds kLeaseRetryDelay{100};
// Interval between two probes of an unresponsive store, which may lose each of
// them.
constexpr std::chrono::milliseconds kProbeInterval{150};
// After a longer time without a response, other pending responses are
// considered lost too. A renewal that is repeated once takes less.
constexpr std::chrono::milliseconds kUnresponsiveThreshold{900};
// This key does not exist; any response shows that the store is available.
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
    if (closed_ || (request_in_flight_ && !probing_)) {
      return now + options_.call_timeout;
    }
    if (now < next_request_at_) {
      return next_request_at_;
    }
    lease = lease_;
    probe = probing_;
    request_in_flight_ = !probe;
    next_request_at_ =
        now + (probe ? kProbeInterval : options_.ttl / kRenewalsPerTtl);
    next = next_request_at_;
  }
  SendRequest(lease, probe, now);
  return next;
}

void StoreSession::SendRequest(LeaseId lease, bool probe, MonoTime now) {
  const auto self = shared_from_this();
  if (probe) {
    store_.Get(kProbeKey, options_.call_timeout,
               [self, now](const Result<std::optional<StoreItem>>& item) {
                 self->OnProbeResponse(item.has_value(), now);
               });
  } else if (lease == 0) {
    store_.GrantLease(options_.ttl, options_.call_timeout,
                      [self, now](const Result<LeaseId>& granted) {
                        self->OnLeaseGranted(now, granted);
                      });
  } else {
    store_.KeepLease(
        lease, options_.call_timeout,
        [self, lease, now](const Result<std::chrono::milliseconds>& ttl) {
          self->OnRenewalResponse(lease, now, ttl);
        });
  }
}

void StoreSession::OnProbeResponse(bool responded, MonoTime sent_at) {
  absl::MutexLock lock(&mutex_);
  // Several probes may be in flight; the first response counts.
  if (!responded || !probing_) {
    return;
  }
  probing_ = false;
  RecordResponse(sent_at);
  next_request_at_ = sent_at;
}

void StoreSession::RecordResponse(MonoTime sent_at) {
  const bool first = last_response_sent_at_ == MonoTime();
  store_regained_ =
      store_regained_ ||
      (!first && sent_at - last_response_sent_at_ > kUnresponsiveThreshold);
  last_response_sent_at_ = std::max(last_response_sent_at_, sent_at);
}

bool StoreSession::TakeStoreRegained() {
  absl::MutexLock lock(&mutex_);
  return std::exchange(store_regained_, false);
}

void StoreSession::OnLeaseGranted(MonoTime sent_at,
                                  const Result<LeaseId>& lease) {
  absl::MutexLock lock(&mutex_);
  request_in_flight_ = false;
  if (!lease) {
    next_request_at_ = sent_at + kLeaseRetryDelay;
    return;
  }
  lease_ = *lease;
  RecordResponse(sent_at);
  lease_valid_until_ = sent_at + options_.ttl;
}

void StoreSession::OnRenewalResponse(
    LeaseId lease,
    MonoTime sent_at,
    const Result<std::chrono::milliseconds>& ttl) {
  absl::MutexLock lock(&mutex_);
  request_in_flight_ = false;
  if (lease_ != lease) {
    return;
  }
  if (ttl) {
    RecordResponse(sent_at);
    lease_valid_until_ = std::max(lease_valid_until_, sent_at + *ttl);
    return;
  }
  next_request_at_ = sent_at + kLeaseRetryDelay;
  const ErrorCode code = ttl.error().code;
  const bool ended =
      code == ErrorCode::kNotFound || code == ErrorCode::kRefused;
  probing_ = !ended && code != ErrorCode::kUnavailable;
  if (ended) {
    LogEvent(LogLevel::kWarning, LogCategory::kPlatform, "lease_ended",
             {{"lease", absl::StrCat(lease)}});
    lease_ = 0;
    lease_valid_until_ = MonoTime::min();
  }
}

LeaseId StoreSession::lease() const {
  absl::MutexLock lock(&mutex_);
  return lease_;
}

MonoTime StoreSession::lease_valid_until() const {
  absl::MutexLock lock(&mutex_);
  return lease_valid_until_;
}

MonoTime::duration StoreSession::TimeSinceResponse(MonoTime now) const {
  absl::MutexLock lock(&mutex_);
  return now - last_response_sent_at_;
}

void StoreSession::Close() {
  LeaseId lease = 0;
  {
    absl::MutexLock lock(&mutex_);
    closed_ = true;
    lease = std::exchange(lease_, 0);
    lease_valid_until_ = MonoTime::min();
  }
  if (lease != 0) {
    store_.EndLease(lease, options_.call_timeout, [](const Result<bool>&) {});
  }
}

}  // namespace figflow
