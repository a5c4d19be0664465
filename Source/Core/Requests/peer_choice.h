#ifndef REQUESTS_PEER_CHOICE_H_
#define REQUESTS_PEER_CHOICE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "Common/strong_id.h"
#include "Peer/peer_service.h"

namespace figflow {

// Relays of this daemon that have no answer yet, by peer. The peer's report of
// free slots does not include them.
using OpenRelays = std::map<EntryId, int>;

// Chooses among the peers with a free slot for `pool` with a probability in
// proportion to their free slots, since always taking the one with most would
// send the relays of all daemons to the same peer. Peers of `home` are
// preferred to those of other data centres. Leaves out suspect and stopping
// peers and those in `tried`. Returns an empty id if there is none. `random`
// is any evenly distributed number.
EntryId ChoosePeer(const std::map<EntryId, PeerView>& peers,
                   const PoolId& pool,
                   const DataCentreId& home,
                   const OpenRelays& open,
                   const std::vector<EntryId>& tried,
                   uint64_t random);

}  // namespace figflow

#endif  // REQUESTS_PEER_CHOICE_H_
