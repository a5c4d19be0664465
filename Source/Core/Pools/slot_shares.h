#ifndef POOLS_SLOT_SHARES_H_
#define POOLS_SLOT_SHARES_H_

#include <vector>

#include "Common/strong_id.h"
#include "Pools/data_centre_document.h"

namespace figflow {

// Returns the share of `total` (slots or connections of `target`) that belongs
// to the member (entry, incarnation); 0 if it is not a member. The shares of
// all members add up to `total`. The remainder is distributed from a position
// that depends on the target, so that no member is at a disadvantage at every
// target.
int ShareOf(const std::vector<EntryMember>& members,
            const EntryId& entry,
            uint64_t incarnation,
            const InstanceId& target,
            int total);

// Returns the share of `total` that the member may use now; 0 for a removed
// member. While the epoch is not settled, other members may still use their
// shares of the previous epoch, so the lower of both shares applies.
int UsableShare(const EntryMembership& membership,
                const EntryId& entry,
                uint64_t incarnation,
                bool settled,
                const InstanceId& target,
                int total);

}  // namespace figflow

#endif  // POOLS_SLOT_SHARES_H_
