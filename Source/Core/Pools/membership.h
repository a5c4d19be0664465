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

// Records when this daemon first saw each removed member. Requests of a member
// that did not release its share itself may run for `request_bound` after
// that. Uses local monotonic time, so clocks of other daemons do not matter.
class RemovalTracker {
 public:
  explicit RemovalTracker(std::chrono::milliseconds request_bound)
      : request_bound_(request_bound) {}

  // Adds members that `membership` shows as removed; deletes those that are no
  // longer in it.
  void Observe(const EntryMembership& membership, MonoTime now);

  // Returns true if no request of the removed member can still be running.
  bool RequestsEnded(const EntryMember& member, MonoTime now) const;

 private:
  using Key = std::pair<EntryId, uint64_t>;
  std::chrono::milliseconds request_bound_;
  std::map<Key, MonoTime> seen_;
};

// Returns true if the member was removed without releasing its share, so that
// its requests may still be running.
bool RequestsMayOutliveRemoval(const EntryMember& member);

// Returns true if the member has confirmed the current epoch.
bool HasConfirmedEpoch(const EntryMembership& membership,
                       const EntryMember& member,
                       const Confirmations& confirmations);

// Returns true if no share of an earlier epoch is in use: all members have
// confirmed the current epoch, and the requests of removed members have ended.
// Members then use their current shares, and the next epoch may be written.
bool IsSettled(const EntryMembership& membership,
               const Confirmations& confirmations,
               const RemovalTracker& waits,
               MonoTime now);

// Adds the entry to the joining members. An older incarnation of the same entry
// is replaced. Returns whether the document changed. kConflict if a newer
// incarnation or a removal of this one is recorded.
Result<bool> RequestJoin(EntryMembership& membership,
                         const EntryId& entry,
                         uint64_t incarnation,
                         uint64_t boot);

// Records the removal of the member with `state` as its cause. Returns whether
// the document changed; a member that is already removed keeps its cause.
bool Remove(EntryMembership& membership,
            const EntryId& entry,
            uint64_t incarnation,
            MemberState state);

// Begins the next epoch if a member is joining or was removed. The caller must
// check IsSettled before. Returns whether the document changed.
bool AdvanceEpoch(EntryMembership& membership, const std::string& write_id);

// Returns the incarnation among the current and joining members, or null.
const EntryMember* FindMember(const EntryMembership& membership,
                              const EntryId& entry,
                              uint64_t incarnation);

}  // namespace figflow

#endif  // POOLS_MEMBERSHIP_H_
