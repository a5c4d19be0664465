#ifndef OWNERSHIP_MEMBER_REGISTRATION_H_
#define OWNERSHIP_MEMBER_REGISTRATION_H_

#include <memory>

#include "Common/clock.h"
#include "Ownership/owner_record.h"
#include "Platform/transactional_store.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace figflow {

// Maintains this daemon's member record in the store, with one write for each
// lease. Thread-safe.
class MemberRegistration
    : public std::enable_shared_from_this<MemberRegistration> {
 public:
  MemberRegistration(TransactionalStore& store,
                     const Clock& clock,
                     const MemberRecord& record);

  // Writes the record unless it is already stored with this lease. Returns when
  // to call again.
  MonoTime Step(LeaseId lease, MonoTime now);
  // Handles the record as observed in the store: `lease` is its lease, or 0 if
  // the record was removed. A delayed write by an earlier process of this entry
  // can replace the record, which is then removed with that process's lease.
  void OnRecordObserved(LeaseId lease);
  // Stops all further writes.
  void Stop();

 private:
  void OnRecordWritten(LeaseId lease, bool written);

  TransactionalStore& store_;
  const Clock& clock_;
  const MemberRecord record_;

  absl::Mutex mutex_;
  bool stopped_ ABSL_GUARDED_BY(mutex_) = false;
  bool writing_ ABSL_GUARDED_BY(mutex_) = false;
  // The lease of the stored record; 0 if the record has to be written.
  LeaseId recorded_lease_ ABSL_GUARDED_BY(mutex_) = 0;
  MonoTime next_write_ ABSL_GUARDED_BY(mutex_) = MonoTime::min();
};

}  // namespace figflow

#endif  // OWNERSHIP_MEMBER_REGISTRATION_H_
