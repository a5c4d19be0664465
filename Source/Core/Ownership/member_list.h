#ifndef OWNERSHIP_MEMBER_LIST_H_
#define OWNERSHIP_MEMBER_LIST_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Common/clock.h"
#include "Ownership/owner_record.h"

namespace figflow {

// The daemons of the fleet, from their member records. A record goes with its
// daemon's lease, and an outage of the store may remove those of live daemons:
// a member without a record is kept for some seconds.
class MemberList {
 public:
  struct Member {
    MemberRecord record;
    // When its record went; max while it stands.
    MonoTime removed_at = MonoTime::max();
  };

  // True if the daemon was not a member before.
  bool OnRecordUpdated(const MemberRecord& record);
  void OnRecordRemoved(const std::string& entry, MonoTime now);
  // Forgets members whose records have been gone for long, and returns them.
  std::vector<MemberRecord> RemoveExpired(MonoTime now);

  const std::map<std::string, Member>& members() const { return members_; }

 private:
  std::map<std::string, Member> members_;
};

}  // namespace figflow

#endif  // OWNERSHIP_MEMBER_LIST_H_
