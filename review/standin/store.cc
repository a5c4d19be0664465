#include "store.h"

#include <algorithm>
#include <chrono>
#include <thread>

namespace review {
namespace {

using nlohmann::json;

constexpr size_t kPageItems = 500;

bool HasPrefix(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

std::string Get(const Request& request, const char* name) {
  const auto found = request.query.find(name);
  return found == request.query.end() ? "" : found->second;
}

}  // namespace

Store::Store() {
  std::thread([this] {
    while (true) {
      SleepMs(10);
      ExpireLeases();
    }
  }).detach();
}

void Store::PutLocked(const std::string& key,
                      const std::string& value,
                      uint64_t lease) {
  json& item = items_[key];
  const uint64_t created =
      item.is_null() ? revision_ : item.at("Created").get<uint64_t>();
  item = {{"Key", key},
          {"Value", value},
          {"Revision", revision_},
          {"Created", created},
          {"Lease", lease}};
  history_.push_back(item);
}

void Store::RemoveLocked(const std::string& key) {
  if (items_.erase(key) > 0) {
    history_.push_back(
        {{"Key", key}, {"Revision", revision_}, {"Tombstone", true}});
  }
}

void Store::Put(const std::string& key, const json& value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++revision_;
  PutLocked(key, Base64(value.dump()), 0);
  changed_.notify_all();
}

void Store::Remove(const std::string& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++revision_;
  RemoveLocked(key);
  changed_.notify_all();
}

void Store::ExpireLeases() {
  const std::lock_guard<std::mutex> lock(mutex_);
  const int64_t now = NowMs();
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (it->second.ends > now) {
      ++it;
      continue;
    }
    const uint64_t lease = it->first;
    it = leases_.erase(it);
    ++revision_;
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.at("Lease") == lease) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      RemoveLocked(key);
    }
    changed_.notify_all();
  }
}

Response Store::Watch(const Request& request) {
  const std::string prefix = Get(request, "Prefix");
  const uint64_t after = std::stoull(Get(request, "After"));
  const int64_t until = NowMs() + std::stoll(Get(request, "WaitMs"));
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    json events = json::array();
    const auto first = std::lower_bound(
        history_.begin(), history_.end(), after + 1,
        [](const json& event, uint64_t revision) {
          return event.at("Revision").get<uint64_t>() < revision;
        });
    std::copy_if(first, history_.end(), std::back_inserter(events),
                 [&](const json& event) {
                   return HasPrefix(event.at("Key").get<std::string>(), prefix);
                 });
    const int64_t left = until - NowMs();
    if (!events.empty() || left <= 0) {
      return {200,
              json({{"events", events}, {"StoreRevision", revision_}}).dump()};
    }
    changed_.wait_for(lock, std::chrono::milliseconds(left));
  }
}

Response Store::Commit(const json& body) {
  const std::lock_guard<std::mutex> lock(mutex_);
  bool holds = true;
  json current = json::array();
  for (const json& row : body.value("ExpectedRev", json::array())) {
    const auto item = items_.find(row.at("Key").get<std::string>());
    const uint64_t revision =
        item == items_.end() ? 0 : item->second.at("Revision").get<uint64_t>();
    holds = holds && revision == row.at("Revision").get<uint64_t>();
    if (item != items_.end()) {
      current.push_back(item->second);
    }
  }
  if (!holds) {
    return {412, json({{"items", current}}).dump()};
  }
  const json puts = body.value("Puts", json::array());
  for (const json& put : puts) {
    const uint64_t lease = put.value("Lease", uint64_t{0});
    if (lease != 0 && leases_.count(lease) == 0) {
      return {404, "{}"};
    }
  }
  ++revision_;
  for (const json& put : puts) {
    PutLocked(put.at("Key").get<std::string>(),
              put.at("Value").get<std::string>(),
              put.value("Lease", uint64_t{0}));
  }
  for (const json& key : body.value("Remove", json::array())) {
    RemoveLocked(key.get<std::string>());
  }
  changed_.notify_all();
  return {200, json({{"Revision", revision_}}).dump()};
}

Response Store::LeaseCall(const Request& request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (request.path == "/-/kv-lease") {
    const int64_t ttl = json::parse(request.body).at("TtlMs").get<int64_t>();
    const uint64_t lease = next_lease_++;
    leases_[lease] = {ttl, NowMs() + ttl};
    return {200, json({{"Lease", lease}, {"TtlMs", ttl}}).dump()};
  }
  const uint64_t id =
      std::stoull(request.path.substr(request.path.rfind('/') + 1));
  const auto lease = leases_.find(id);
  if (lease == leases_.end()) {
    return {404, "{}"};
  }
  const bool ends = request.method == "DELETE";
  lease->second.ends = NowMs() + (ends ? 0 : lease->second.ttl);
  return {200, json({{"TtlMs", lease->second.ttl}}).dump()};
}

Response Store::Handle(const Request& request) {
  if (request.path == "/-/kv-watch") {
    return Watch(request);
  }
  if (request.path == "/-/kv-txn") {
    return Commit(json::parse(request.body));
  }
  if (request.path == "/-/kv-key") {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto item = items_.find(Get(request, "Key"));
    if (item == items_.end()) {
      return {404, json({{"StoreRevision", revision_}}).dump()};
    }
    json answer = item->second;
    answer["StoreRevision"] = revision_;
    return {200, answer.dump()};
  }
  if (request.path == "/-/kv-range") {
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::string prefix = Get(request, "Prefix");
    const std::string after = Get(request, "After");
    json items = json::array();
    bool truncated = false;
    for (const auto& [key, item] : items_) {
      if (!HasPrefix(key, prefix) || key <= after) {
        continue;
      }
      truncated = items.size() == kPageItems;
      if (truncated) {
        break;
      }
      items.push_back(item);
    }
    return {200, json({{"items", items},
                       {"Truncated", truncated},
                       {"StoreRevision", revision_}})
                     .dump()};
  }
  return LeaseCall(request);
}

}  // namespace review
