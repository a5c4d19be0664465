#ifndef OWNERSHIP_MEMBER_LIST_H_
#define OWNERSHIP_MEMBER_LIST_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Common/clock.h"
#include "Ownership/owner_record.h"

namespace figflow {

// The daemons of the fleet, from their member records.
//
// A record expires with its daemon's lease, and a store outage can remove the
// records of live daemons. A member without a record is therefore kept for some
// seconds.
class MemberList {
 public:
  struct Member {
    MemberRecord record;
    // When the record was removed; MonoTime::max() while it exists.
    MonoTime removed_at = MonoTime::max();
  };

  // Adds or updates a member. Returns true if the daemon was not a member
  // before.
  bool OnRecordUpdated(const MemberRecord& record);
  void OnRecordRemoved(const std::string& entry, MonoTime now);
  // Removes the members whose records have been missing for longer than the
  // grace period, and returns them.
  std::vector<MemberRecord> RemoveExpired(MonoTime now);

  const std::map<std::string, Member>& members() const { return members_; }

 private:
  std::map<std::string, Member> members_;
};

}  // namespace figflow

#endif  // OWNERSHIP_MEMBER_LIST_H_
