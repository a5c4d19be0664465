#ifndef OWNERSHIP_MEMBER_REGISTRATION_H_
#define OWNERSHIP_MEMBER_REGISTRATION_H_

#include <memory>

#include "Common/clock.h"
#include "Ownership/owner_record.h"
#include "Platform/transactional_store.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace figflow {

// Keeps this daemon's member record in the store, one write for each lease.
// Thread-safe.
class MemberRegistration
    : public std::enable_shared_from_this<MemberRegistration> {
 public:
  MemberRegistration(TransactionalStore& store,
                     const Clock& clock,
                     const MemberRecord& record);

  // Writes the record if it does not stand with this lease. Returns when to
  // call again.
  MonoTime Step(LeaseId lease, MonoTime now);
  // The record as the store has it: its lease, or 0 if it was removed. A write
  // by an earlier process of this entry may be carried out late and take the
  // record away with its lease.
  void OnRecordObserved(LeaseId lease);
  // Writes nothing any more.
  void Stop();

 private:
  void OnRecordWritten(LeaseId lease, bool written);

  TransactionalStore& store_;
  const Clock& clock_;
  const MemberRecord record_;

  absl::Mutex mutex_;
  bool stopped_ ABSL_GUARDED_BY(mutex_) = false;
  bool writing_ ABSL_GUARDED_BY(mutex_) = false;
  // The lease with which the record stands; 0 if it has to be written.
  LeaseId recorded_lease_ ABSL_GUARDED_BY(mutex_) = 0;
  MonoTime next_write_ ABSL_GUARDED_BY(mutex_) = MonoTime::min();
};

}  // namespace figflow

#endif  // OWNERSHIP_MEMBER_REGISTRATION_H_
