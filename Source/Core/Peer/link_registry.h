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
  // Empty for an accepted link.
  std::string dialled_address;
  MonoTime opened_at;
  MonoTime received_at;
  // Set by the peer's hello.
  bool hello_received = false;
  EntryId peer;
  uint64_t incarnation = 0;
  // Another link to the same peer is used instead.
  bool retired = false;
  MonoTime retired_at;
};

// Which link leads to which peer; keeps one link for each pair of daemons.
// Holds no clock or lock.
class LinkRegistry {
 public:
  explicit LinkRegistry(EntryId self) : self_(std::move(self)) {}

  void AddLink(LinkId link, const std::string& dialled_address, MonoTime now);
  // Null when the link is not open.
  LinkInfo* Find(LinkId link);
  // Binds the link to its peer. Returns links to an older incarnation of the
  // peer, which are to be closed. When both daemons dialled each other, the
  // link dialled by the lower entry id is kept on both sides, and the other
  // one is retired: no new message uses it.
  std::vector<LinkId> OnHello(LinkId link,
                              const PeerEndpoint& peer,
                              MonoTime now);
  LinkInfo RemoveLink(LinkId link);

  // The link to use for the peer; 0 if there is none.
  LinkId LinkTo(const EntryId& peer) const;
  const std::map<LinkId, LinkInfo>& links() const { return links_; }

 private:
  bool DialledByLowerEntryId(const LinkInfo& link) const;

  const EntryId self_;
  std::map<LinkId, LinkInfo> links_;
};

}  // namespace figflow

#endif  // PEER_LINK_REGISTRY_H_
