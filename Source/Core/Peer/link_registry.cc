#include "Peer/link_registry.h"

namespace figflow {

void LinkRegistry::Open(LinkId link, const std::string& dialled, MonoTime now) {
  LinkInfo& info = links_[link];
  info.dialled = dialled;
  info.opened_at = now;
  info.received_at = now;
}

LinkInfo* LinkRegistry::Find(LinkId link) {
  const auto it = links_.find(link);
  return it == links_.end() ? nullptr : &it->second;
}

bool LinkRegistry::DialledByLower(const LinkInfo& link) const {
  return link.dialled.empty() == (link.peer < self_);
}

std::vector<LinkId> LinkRegistry::OnHello(LinkId link,
                                          const PeerHint& peer,
                                          MonoTime now) {
  std::vector<LinkId> outdated;
  LinkInfo& fresh = links_[link];
  fresh.greeted = true;
  fresh.peer = peer.entry;
  fresh.incarnation = peer.incarnation;
  for (auto& [id, other] : links_) {
    if (id == link || !other.greeted || other.peer != peer.entry) {
      continue;
    }
    if (other.incarnation < peer.incarnation) {
      other.retired = true;
      other.retired_at = now;
      outdated.push_back(id);
      continue;
    }
    if (other.retired) {
      continue;
    }
    // With the same dialling side the older link is broken: its dialler would
    // have used it.
    LinkInfo& loser =
        DialledByLower(other) && !DialledByLower(fresh) ? fresh : other;
    loser.retired = true;
    loser.retired_at = now;
  }
  return outdated;
}

LinkInfo LinkRegistry::Close(LinkId link) {
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
    if (link.greeted && !link.retired && link.peer == peer) {
      return id;
    }
  }
  return 0;
}

}  // namespace figflow
