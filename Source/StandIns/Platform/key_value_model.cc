#include "StandIns/Platform/key_value_model.h"

#include <algorithm>
#include <utility>

#include "Platform/key_value_store.h"
#include "absl/strings/match.h"
#include "absl/time/time.h"

namespace figflow::standin {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Leases lapse at this resolution while a watch waits.
constexpr milliseconds kExpiryInterval{50};

json Item(const std::string& key, const std::string& value, uint64_t revision) {
  return {{"key", key}, {"value", value}, {"revision", revision}};
}

}  // namespace

void KeyValueModel::Expire(MonoTime now) {
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (lease->second.lapses_at > now) {
      ++lease;
      continue;
    }
    for (auto it = entries_.begin(); it != entries_.end();) {
      const auto current = it++;
      if (current->second.lease == lease->first) {
        Delete(current);
      }
    }
    lease = leases_.erase(lease);
  }
}

void KeyValueModel::Delete(Entries::iterator it) {
  deleted_[it->first] = ++revision_;
  entries_.erase(it);
  changed_.SignalAll();
}

uint64_t KeyValueModel::RevisionOf(const std::string& key) const {
  const auto it = entries_.find(key);
  return it == entries_.end() ? 0 : it->second.revision;
}

Answer KeyValueModel::Get(const std::string& key) {
  absl::MutexLock lock(&mutex_);
  Expire(clock_.Now());
  const auto it = entries_.find(key);
  if (it == entries_.end()) {
    return Answer{200, {{"revision", 0}}};
  }
  return Answer{200, Item(key, it->second.value, it->second.revision)};
}

Answer KeyValueModel::CompareAndSwap(const json& body) {
  const auto key = body.at("key").get<std::string>();
  auto value = body.at("value").get<std::string>();
  const auto expected = body.at("expected").get<uint64_t>();
  const auto lease = body.value("lease", uint64_t{0});
  if (value.size() > kMaxValueBytes) {
    return Refusal(413, "the value is too large");
  }
  absl::MutexLock lock(&mutex_);
  Expire(clock_.Now());
  if (lease != 0 && leases_.count(lease) == 0) {
    return Refusal(404, "the lease has lapsed");
  }
  if (RevisionOf(key) != expected) {
    return Refusal(409, "the key has another revision");
  }
  entries_[key] = Entry{std::move(value), ++revision_, lease};
  deleted_.erase(key);
  changed_.SignalAll();
  return Answer{200, {{"revision", revision_}}};
}

Answer KeyValueModel::CompareAndDelete(const json& body) {
  const auto key = body.at("key").get<std::string>();
  absl::MutexLock lock(&mutex_);
  Expire(clock_.Now());
  const auto it = entries_.find(key);
  if (it == entries_.end() ||
      it->second.revision != body.at("expected").get<uint64_t>()) {
    return Refusal(409, "the key has another revision");
  }
  Delete(it);
  return Answer{};
}

Answer KeyValueModel::List(const std::string& prefix) {
  absl::MutexLock lock(&mutex_);
  Expire(clock_.Now());
  json items = json::array();
  for (auto it = entries_.lower_bound(prefix);
       it != entries_.end() && absl::StartsWith(it->first, prefix); ++it) {
    items.push_back(Item(it->first, it->second.value, it->second.revision));
  }
  return Answer{200, {{"items", std::move(items)}}};
}

json KeyValueModel::ChangesAfter(const std::string& prefix,
                                 uint64_t after) const {
  json changes = json::array();
  for (auto it = entries_.lower_bound(prefix);
       it != entries_.end() && absl::StartsWith(it->first, prefix); ++it) {
    if (it->second.revision > after) {
      changes.push_back(Item(it->first, it->second.value, it->second.revision));
    }
  }
  for (auto it = deleted_.lower_bound(prefix);
       it != deleted_.end() && absl::StartsWith(it->first, prefix); ++it) {
    if (it->second > after) {
      changes.push_back(Item(it->first, "", it->second));
    }
  }
  return changes;
}

Answer KeyValueModel::Watch(const std::string& prefix,
                            uint64_t after,
                            milliseconds wait) {
  absl::MutexLock lock(&mutex_);
  const MonoTime deadline = clock_.Now() + wait;
  for (;;) {
    const MonoTime now = clock_.Now();
    Expire(now);
    json changes = ChangesAfter(prefix, after);
    if (!changes.empty() || stopped_ || now >= deadline) {
      return Answer{200,
                    {{"changes", std::move(changes)}, {"revision", revision_}}};
    }
    const auto left = std::chrono::ceil<milliseconds>(deadline - now);
    changed_.WaitWithTimeout(
        &mutex_, absl::FromChrono(
                     leases_.empty() ? left : std::min(left, kExpiryInterval)));
  }
}

Answer KeyValueModel::GrantLease(const json& body) {
  const milliseconds ttl(body.at("ttl_ms").get<int64_t>());
  absl::MutexLock lock(&mutex_);
  leases_[++last_lease_] = Lease{ttl, clock_.Now() + ttl};
  // Watches that wait without a lease must now look for lapsed ones.
  changed_.SignalAll();
  return Answer{200, {{"lease", last_lease_}}};
}

Answer KeyValueModel::KeepLeaseAlive(const json& body) {
  absl::MutexLock lock(&mutex_);
  const MonoTime now = clock_.Now();
  Expire(now);
  const auto it = leases_.find(body.at("lease").get<uint64_t>());
  if (it == leases_.end()) {
    return Refusal(404, "the lease has lapsed");
  }
  it->second.lapses_at = now + it->second.ttl;
  return Answer{};
}

json KeyValueModel::Snapshot() {
  absl::MutexLock lock(&mutex_);
  json items = json::array();
  for (const auto& [key, entry] : entries_) {
    items.push_back(Item(key, entry.value, entry.revision));
  }
  return {{"items", std::move(items)}};
}

Answer KeyValueModel::Restore(const json& snapshot) {
  Entries entries;
  for (const json& item : snapshot.at("items")) {
    entries[item.at("key").get<std::string>()] =
        Entry{item.at("value").get<std::string>(),
              item.at("revision").get<uint64_t>(), 0};
  }
  absl::MutexLock lock(&mutex_);
  entries_ = std::move(entries);
  deleted_.clear();
  return Answer{};
}

void KeyValueModel::Stop() {
  absl::MutexLock lock(&mutex_);
  stopped_ = true;
  changed_.SignalAll();
}

}  // namespace figflow::standin
