#ifndef POOLS_MEMBERSHIP_H_
#define POOLS_MEMBERSHIP_H_

#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "Common/clock.h"
#include "Common/error.h"
#include "Common/strong_id.h"
#include "Pools/data_centre_document.h"

namespace figflow {

// Confirmations by entry id.
using Confirmations = std::map<EntryId, Confirmation>;

// When this daemon first saw each removed member. Requests of a member that
// did not release its share itself may run until `request_bound` later. Local
// monotonic time: clocks of other daemons do not matter.
class RemovalWaits {
 public:
  explicit RemovalWaits(std::chrono::milliseconds request_bound)
      : request_bound_(request_bound) {}

  // Records removals that `membership` shows; forgets members it lacks.
  void Observe(const EntryMembership& membership, MonoTime now);

  // True if no request of the removed member can still be running.
  bool Passed(const EntryMember& member, MonoTime now) const;

 private:
  using Key = std::pair<EntryId, uint64_t>;
  std::chrono::milliseconds request_bound_;
  std::map<Key, MonoTime> seen_;
};

// True for a removed member whose requests may outlive its removal.
bool NeedsWait(const EntryMember& member);

// True if the member's confirmation names the membership's epoch.
bool HasConfirmed(const EntryMembership& membership,
                  const EntryMember& member,
                  const Confirmations& confirmations);

// True if every share of an earlier epoch is out of use: all members confirmed
// the epoch, and the requests of removed members have ended. Members then use
// their current shares, and the next epoch may be written.
bool IsSettled(const EntryMembership& membership,
               const Confirmations& confirmations,
               const RemovalWaits& waits,
               MonoTime now);

// Records that the entry wants to become a member. An older incarnation of the
// same entry is replaced. Returns whether the document changed. kConflict if a
// newer incarnation, or a removal of this one, is recorded.
Result<bool> Join(EntryMembership& membership,
                  const EntryId& entry,
                  uint64_t incarnation,
                  uint64_t boot);

// Records the removal of the member, `state` being its cause. Returns whether
// the document changed; a member that is already removed keeps its cause.
bool Remove(EntryMembership& membership,
            const EntryId& entry,
            uint64_t incarnation,
            MemberState state);

// Writes the next epoch if a member joins or was removed. The caller checks
// IsSettled. Returns whether the document changed.
bool AdvanceEpoch(EntryMembership& membership, const std::string& write_id);

// The incarnation's entry among the current or joining members, or null.
const EntryMember* FindMember(const EntryMembership& membership,
                              const EntryId& entry,
                              uint64_t incarnation);

}  // namespace figflow

#endif  // POOLS_MEMBERSHIP_H_
