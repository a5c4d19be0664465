// Recovery of a pool's records after a claim.
#include <utility>

#include "Common/log.h"
#include "Fleet/pool_runner.h"
#include "Fleet/route_history.h"
#include "Ownership/owner_record.h"

namespace figflow {
namespace {

constexpr std::chrono::milliseconds kReadTimeout{1'000};
constexpr std::chrono::milliseconds kReadRetryDelay{100};

}  // namespace

void PoolRunner::RetryRead(std::function<void()> read) {
  const MonoTime at = deps_.clock.Now() + kReadRetryDelay;
  {
    absl::MutexLock lock(&mutex_);
    retries_.push_back(std::move(read));
    retry_at_ = at;
  }
  deps_.wake_at(at);
}

void PoolRunner::Start() {
  const auto recovery = std::make_shared<Recovery>();
  ReadSequence(recovery);
  ReadLeases(recovery);
  ReadRoutes(recovery);
}

void PoolRunner::OnReadCompleted(const std::shared_ptr<Recovery>& recovery) {
  if (--recovery->pending_reads == 0) {
    Activate(*recovery);
  }
}

void PoolRunner::ReadLeases(const std::shared_ptr<Recovery>& recovery) {
  deps_.platform.store().Get(
      LeaseRecordKey(claim_.pool), kReadTimeout,
      [self = shared_from_this(),
       recovery](const Result<std::optional<StoreItem>>& item) {
        if (!item) {
          self->RetryRead([self, recovery] { self->ReadLeases(recovery); });
          return;
        }
        if (*item) {
          recovery->has_lease_record = true;
          Result<RemainingLeases> leases = ParseRemainingLeases((*item)->value);
          if (leases) {
            recovery->leases = std::move(*leases);
          } else {
            LogEvent(LogLevel::kError, LogCategory::kJobs,
                     "lease_record_unreadable",
                     {{"pool", self->claim_.pool},
                      {"error", ToString(leases.error())}});
          }
        }
        self->OnReadCompleted(recovery);
      });
}

void PoolRunner::ReadRoutes(const std::shared_ptr<Recovery>& recovery) {
  deps_.platform.store().Get(
      OwnerKey(kRoutesScope), kReadTimeout,
      [self = shared_from_this(),
       recovery](const Result<std::optional<StoreItem>>& item) {
        if (!item) {
          self->RetryRead([self, recovery] { self->ReadRoutes(recovery); });
          return;
        }
        if (*item) {
          self->deps_.on_routes(**item);
        }
        self->OnReadCompleted(recovery);
      });
}

void PoolRunner::ReadSequence(const std::shared_ptr<Recovery>& recovery) {
  deps_.platform.store().Get(
      SequenceKey(claim_.pool), kReadTimeout,
      [self = shared_from_this(),
       recovery](const Result<std::optional<StoreItem>>& item) {
        if (!item) {
          self->RetryRead([self, recovery] { self->ReadSequence(recovery); });
          return;
        }
        recovery->sequence_revision = *item ? (*item)->revision : 0;
        self->ReadRecords(recovery, false);
      });
}

void PoolRunner::ReadRecords(const std::shared_ptr<Recovery>& recovery,
                             bool progress) {
  const std::string prefix = progress ? JobProgressKey(claim_.pool, "")
                                      : AcceptedJobKey(claim_.pool, "");
  deps_.platform.store().Range(
      prefix, recovery->after, kReadTimeout,
      [self = shared_from_this(), recovery,
       progress](const Result<RangePage>& page) {
        if (!page) {
          self->RetryRead([self, recovery, progress] {
            self->ReadRecords(recovery, progress);
          });
          return;
        }
        for (const StoreItem& item : page->items) {
          JobRecords& record = recovery->records[LastKeySegment(item.key)];
          (progress ? record.progress : record.accepted) = item.value;
          recovery->after = item.key;
        }
        if (page->truncated && !page->items.empty()) {
          self->ReadRecords(recovery, progress);
          return;
        }
        recovery->after.clear();
        if (!progress) {
          self->ReadRecords(recovery, true);
        } else {
          self->OnReadCompleted(recovery);
        }
      });
}

}  // namespace figflow
