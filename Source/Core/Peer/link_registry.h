#ifndef PEER_LINK_REGISTRY_H_
#define PEER_LINK_REGISTRY_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "Common/clock.h"
#include "Common/strong_id.h"
#include "Peer/peer_message.h"
#include "Peer/peer_transport.h"

namespace figflow {

struct LinkInfo {
  // Address that this daemon dialled; empty for an accepted link.
  std::string dialled_address;
  MonoTime opened_at;
  // When the last message or control frame arrived, or when the link opened.
  MonoTime received_at;
  // Set when the peer's hello arrives, together with `peer` and `incarnation`.
  bool hello_received = false;
  EntryId peer;
  uint64_t incarnation = 0;
  // No new message uses this link: another link to the same peer replaces it.
  bool retired = false;
  MonoTime retired_at;
};

// Maps open links to peers and selects one link for each pair of daemons. Holds
// no clock and is not thread-safe.
class LinkRegistry {
 public:
  explicit LinkRegistry(EntryId self) : self_(std::move(self)) {}

  void AddLink(LinkId link, const std::string& dialled_address, MonoTime now);
  // Returns null when the link is not open.
  LinkInfo* Find(LinkId link);
  // Assigns the link to the peer that sent the hello. Returns the links to an
  // older incarnation of the peer, which the caller must close. When both
  // daemons dialled each other, both keep the link dialled by the daemon with
  // the lower entry id and retire the other one: no new message uses it.
  std::vector<LinkId> OnHello(LinkId link,
                              const PeerEndpoint& peer,
                              MonoTime now);
  // Removes a closed link and returns its state; a default LinkInfo if the link
  // is unknown.
  LinkInfo RemoveLink(LinkId link);

  // Returns the link to use for the peer, or 0 if there is none.
  LinkId LinkTo(const EntryId& peer) const;
  const std::map<LinkId, LinkInfo>& links() const { return links_; }

 private:
  bool DialledByLowerEntryId(const LinkInfo& link) const;

  const EntryId self_;
  std::map<LinkId, LinkInfo> links_;
};

}  // namespace figflow

#endif  // PEER_LINK_REGISTRY_H_
