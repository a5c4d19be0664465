#include "Peer/link_registry.h"

namespace figflow {

void LinkRegistry::AddLink(LinkId link,
                           const std::string& dialled_address,
                           MonoTime now) {
  LinkInfo& info = links_[link];
  info.dialled_address = dialled_address;
  info.opened_at = now;
  info.received_at = now;
}

LinkInfo* LinkRegistry::Find(LinkId link) {
  const auto it = links_.find(link);
  return it == links_.end() ? nullptr : &it->second;
}

bool LinkRegistry::DialledByLowerEntryId(const LinkInfo& link) const {
  return link.dialled_address.empty() == (link.peer < self_);
}

std::vector<LinkId> LinkRegistry::OnHello(LinkId link,
                                          const PeerEndpoint& peer,
                                          MonoTime now) {
  std::vector<LinkId> stale_links;
  LinkInfo& new_link = links_[link];
  new_link.hello_received = true;
  new_link.peer = peer.entry;
  new_link.incarnation = peer.incarnation;
  for (auto& [id, other] : links_) {
    if (id == link || !other.hello_received || other.peer != peer.entry) {
      continue;
    }
    if (other.incarnation < peer.incarnation) {
      other.retired = true;
      other.retired_at = now;
      stale_links.push_back(id);
      continue;
    }
    if (other.retired) {
      continue;
    }
    // If the same side dialled both links, the older one is broken; otherwise
    // the dialling side would have reused it.
    LinkInfo& retired_link =
        DialledByLowerEntryId(other) && !DialledByLowerEntryId(new_link)
            ? new_link
            : other;
    retired_link.retired = true;
    retired_link.retired_at = now;
  }
  return stale_links;
}

LinkInfo LinkRegistry::RemoveLink(LinkId link) {
  const auto it = links_.find(link);
  if (it == links_.end()) {
    return {};
  }
  LinkInfo info = std::move(it->second);
  links_.erase(it);
  return info;
}

LinkId LinkRegistry::LinkTo(const EntryId& peer) const {
  for (const auto& [id, link] : links_) {
    if (link.hello_received && !link.retired && link.peer == peer) {
      return id;
    }
  }
  return 0;
}

}  // namespace figflow
