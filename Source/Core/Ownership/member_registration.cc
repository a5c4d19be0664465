#include "Ownership/member_registration.h"

#include <chrono>

namespace figflow {
namespace {

constexpr std::chrono::milliseconds kWriteTimeout{600};
// Delay between two attempts.
constexpr std::chrono::milliseconds kWriteRetryDelay{300};

}  // namespace

MemberRegistration::MemberRegistration(TransactionalStore& store,
                                       const Clock& clock,
                                       const MemberRecord& record)
    : store_(store), clock_(clock), record_(record) {}

MonoTime MemberRegistration::Step(LeaseId lease, MonoTime now) {
  {
    absl::MutexLock lock(&mutex_);
    if (stopped_ || writing_ || lease == 0 || lease == recorded_lease_) {
      return MonoTime::max();
    }
    if (now < next_write_) {
      return next_write_;
    }
    writing_ = true;
  }
  const std::string key = MemberKey(record_.entry);
  Transaction transaction;
  transaction.writes = {{key, FormatMemberRecord(record_), lease}};
  store_.Commit(transaction, kWriteTimeout,
                [self = shared_from_this(),
                 lease](const Result<TransactionResult>& result) {
                  self->OnRecordWritten(lease, result && result->committed);
                });
  return MonoTime::max();
}

void MemberRegistration::OnRecordWritten(LeaseId lease, bool written) {
  absl::MutexLock lock(&mutex_);
  writing_ = false;
  next_write_ = clock_.Now() + kWriteRetryDelay;
  if (written) {
    recorded_lease_ = lease;
  }
}

void MemberRegistration::OnRecordObserved(LeaseId lease) {
  absl::MutexLock lock(&mutex_);
  recorded_lease_ = lease;
}

void MemberRegistration::Stop() {
  absl::MutexLock lock(&mutex_);
  stopped_ = true;
}

}  // namespace figflow
