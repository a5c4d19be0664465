#include "Requests/peer_choice.h"

#include <algorithm>
#include <utility>

namespace figflow {
namespace {

int FreeSlots(const PeerDigest& digest,
              const PoolId& pool,
              const OpenRelays& open) {
  for (const auto& [id, slots] : digest.free_slots) {
    if (id == pool) {
      auto it = open.find(digest.entry);
      return slots - (it == open.end() ? 0 : it->second);
    }
  }
  return 0;
}

}  // namespace

EntryId ChoosePeer(const std::map<EntryId, PeerView>& peers,
                   const PoolId& pool,
                   const DataCentreId& home,
                   const OpenRelays& open,
                   const std::vector<EntryId>& tried,
                   uint64_t random) {
  for (const bool at_home : {true, false}) {
    std::vector<std::pair<const EntryId*, uint64_t>> candidates;
    uint64_t total = 0;
    for (const auto& [id, view] : peers) {
      if (view.suspect || view.digest.stopping ||
          (view.digest.data_centre == home) != at_home ||
          std::find(tried.begin(), tried.end(), id) != tried.end()) {
        continue;
      }
      const int slots = FreeSlots(view.digest, pool, open);
      if (slots > 0) {
        candidates.emplace_back(&id, slots);
        total += static_cast<uint64_t>(slots);
      }
    }
    if (total == 0) {
      continue;
    }
    uint64_t rest = random % total;
    for (const auto& [id, slots] : candidates) {
      if (rest < slots) {
        return *id;
      }
      rest -= slots;
    }
  }
  return EntryId();
}

}  // namespace figflow
