#include "Peer/served_relays.h"

#include "absl/time/time.h"

namespace figflow {

ServedRelays::Admission ServedRelays::Admit(LinkId link, uint64_t id) {
  absl::MutexLock lock(&mutex_);
  std::set<uint64_t>& ids = served_[link];
  if (ids.count(id) != 0) {
    return Admission::kDuplicate;
  }
  if (ids.size() >= max_per_link_) {
    return Admission::kFull;
  }
  ids.insert(id);
  return Admission::kAdmitted;
}

bool ServedRelays::IsServed(LinkId link, uint64_t id) const {
  absl::MutexLock lock(&mutex_);
  const auto it = served_.find(link);
  return it != served_.end() && it->second.count(id) != 0;
}

void ServedRelays::Remove(LinkId link, uint64_t id) {
  absl::MutexLock lock(&mutex_);
  const auto it = served_.find(link);
  if (it == served_.end()) {
    return;
  }
  it->second.erase(id);
  if (it->second.empty()) {
    served_.erase(it);
  }
}

std::vector<uint64_t> ServedRelays::RemoveLink(LinkId link) {
  absl::MutexLock lock(&mutex_);
  const auto it = served_.find(link);
  if (it == served_.end()) {
    return {};
  }
  std::vector<uint64_t> ids(it->second.begin(), it->second.end());
  served_.erase(it);
  return ids;
}

bool ServedRelays::UsesLink(LinkId link) const {
  absl::MutexLock lock(&mutex_);
  return served_.count(link) != 0;
}

bool ServedRelays::WaitUntilEmpty(MonoTime deadline, MonoTime now) const {
  absl::MutexLock lock(&mutex_);
  const auto is_empty = [this] {
    mutex_.AssertHeld();
    return served_.empty();
  };
  return mutex_.AwaitWithTimeout(absl::Condition(&is_empty),
                                 absl::FromChrono(deadline - now));
}

}  // namespace figflow
