#include "store.h"

#include <algorithm>
#include <thread>

namespace standin {
namespace {

constexpr char kDigits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr size_t kPageItems = 500;
constexpr size_t kPageBytes = 1'000'000;
constexpr milliseconds kTick{50};
constexpr milliseconds kAnswerTime{4};

bool HasPrefix(const std::string& key, const std::string& prefix) {
  return key.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

std::string Base64(const std::string& text) {
  std::string out;
  for (size_t i = 0; i < text.size(); i += 3) {
    uint32_t bits = 0;
    for (size_t k = 0; k < 3; ++k) {
      bits =
          bits << 8U |
          (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0U);
    }
    for (size_t k = 0; k < 4; ++k) {
      out += i + k > text.size() ? '=' : kDigits[bits >> (18 - 6 * k) & 63U];
    }
  }
  return out;
}

std::string FromBase64(const std::string& text) {
  std::string out;
  uint32_t bits = 0;
  int count = 0;
  for (const char c : text) {
    const size_t digit = std::string(kDigits).find(c);
    if (digit == std::string::npos) {
      break;
    }
    bits = bits << 6U | static_cast<uint32_t>(digit);
    count += 6;
    if (count >= 8) {
      count -= 8;
      out += static_cast<char>(bits >> static_cast<unsigned>(count) & 255U);
    }
  }
  return out;
}

Store::Store() : server_([this](const Request& r) { return Handle(r); }) {
  std::thread([this] {
    while (true) {
      std::this_thread::sleep_for(kTick);
      const std::lock_guard<std::mutex> lock(mutex_);
      ExpireLeases();
    }
  }).detach();
}

json Store::Row(const std::string& key, const Item& item) {
  return {{"Key", key},
          {"Value", item.value},
          {"Revision", item.revision},
          {"Created", item.created},
          {"Lease", item.lease}};
}

void Store::Put(const std::string& key, const json& value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Write(key, Base64(value.dump()), 0, ++revision_);
}

void Store::Remove(const std::string& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (items_.count(key) > 0) {
    Erase(key, ++revision_);
  }
}

std::string Store::Get(const std::string& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = items_.find(key);
  return it == items_.end() ? "" : FromBase64(it->second.value);
}

void Store::SetDown(bool down) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (down && !down_) {
    down_since_ = NowMs();
    ++outages_;
  } else if (!down && down_) {
    for (auto& [id, lease] : leases_) {
      lease.ends += NowMs() - down_since_;
    }
  }
  down_ = down;
  changed_.notify_all();
}

bool Store::IsDown() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return down_;
}

void Store::Write(const std::string& key,
                  const std::string& value,
                  uint64_t lease,
                  uint64_t revision) {
  Item& item = items_[key];
  item.value = value;
  item.revision = revision;
  item.created = item.created == 0 ? revision : item.created;
  item.lease = lease;
  history_.push_back({key, item, false});
  changed_.notify_all();
}

void Store::Erase(const std::string& key, uint64_t revision) {
  items_.erase(key);
  Event event;
  event.key = key;
  event.item.revision = revision;
  event.removed = true;
  history_.push_back(std::move(event));
  changed_.notify_all();
}

void Store::ExpireLeases() {
  if (down_) {
    return;
  }
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (NowMs() < it->second.ends) {
      ++it;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease == it->first) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      Erase(key, ++revision_);
    }
    it = leases_.erase(it);
  }
}

Response Store::Handle(const Request& request) {
  std::this_thread::sleep_for(kAnswerTime);
  std::unique_lock<std::mutex> lock(mutex_);
  if (down_) {
    return {0, json(), true};
  }
  ExpireLeases();
  return Carry(request, lock);
}

Response Store::Carry(const Request& request,
                      std::unique_lock<std::mutex>& lock) {
  const std::string path = request.Path();
  if (path == "/-/kv-key") {
    const std::string key = request.Query("Key");
    const auto it = items_.find(key);
    if (it == items_.end()) {
      return {404, {{"StoreRevision", revision_}}, false};
    }
    json row = Row(key, it->second);
    row["StoreRevision"] = revision_;
    return {200, std::move(row), false};
  }
  if (path == "/-/kv-range") {
    const std::string prefix = request.Query("Prefix");
    const std::string after = request.Query("After");
    json rows = json::array();
    size_t bytes = 0;
    bool truncated = false;
    for (auto it = items_.lower_bound(after.empty() ? prefix : after);
         it != items_.end(); ++it) {
      if (it->first == after) {
        continue;
      }
      if (!HasPrefix(it->first, prefix)) {
        break;
      }
      if (rows.size() >= kPageItems || bytes > kPageBytes) {
        truncated = true;
        break;
      }
      bytes += it->second.value.size();
      rows.push_back(Row(it->first, it->second));
    }
    return {200,
            {{"items", std::move(rows)},
             {"Truncated", truncated},
             {"StoreRevision", revision_}},
            false};
  }
  if (path == "/-/kv-watch") {
    return Watch(request, lock);
  }
  if (path == "/-/kv-txn") {
    return Commit(request.Json());
  }
  if (path == "/-/kv-lease") {
    const auto ttl = request.Json().at("TtlMs").get<int64_t>();
    leases_[++next_lease_] = {ttl, NowMs() + ttl};
    return {200, {{"Lease", next_lease_}, {"TtlMs", ttl}}, false};
  }
  const uint64_t id =
      std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
  const auto lease = leases_.find(id);
  if (lease == leases_.end()) {
    return {404, json::object(), false};
  }
  if (HasPrefix(path, "/-/kv-keep/")) {
    lease->second.ends = NowMs() + lease->second.ttl;
    return {200, {{"TtlMs", lease->second.ttl}}, false};
  }
  if (HasPrefix(path, "/-/kv-lease-end/")) {
    lease->second.ends = 0;
    ExpireLeases();
    return {200, json::object(), false};
  }
  return {404, json::object(), false};
}

Response Store::Watch(const Request& request,
                      std::unique_lock<std::mutex>& lock) {
  const std::string prefix = request.Query("Prefix");
  const uint64_t after =
      std::strtoull(request.Query("After").c_str(), nullptr, 10);
  const int64_t until =
      NowMs() + std::strtoll(request.Query("WaitMs").c_str(), nullptr, 10);
  const int outages = outages_;
  while (true) {
    if (down_ || outages != outages_) {
      return {0, json(), true};
    }
    json rows = json::array();
    // The history is ordered by revision.
    auto it = std::upper_bound(
        history_.begin(), history_.end(), after,
        [](uint64_t value, const Event& e) { return value < e.item.revision; });
    for (; it != history_.end(); ++it) {
      if (!HasPrefix(it->key, prefix)) {
        continue;
      }
      if (it->removed) {
        rows.push_back({{"Key", it->key},
                        {"Revision", it->item.revision},
                        {"Tombstone", true}});
      } else {
        rows.push_back(Row(it->key, it->item));
      }
    }
    if (!rows.empty() || NowMs() >= until) {
      return {200,
              {{"events", std::move(rows)}, {"StoreRevision", revision_}},
              false};
    }
    changed_.wait_for(lock, milliseconds(until - NowMs()));
  }
}

Response Store::Commit(const json& body) {
  json current = json::array();
  bool holds = true;
  for (const json& row : body.at("ExpectedRev")) {
    const auto key = row.at("Key").get<std::string>();
    const auto it = items_.find(key);
    const uint64_t revision = it == items_.end() ? 0 : it->second.revision;
    holds = holds && revision == row.at("Revision").get<uint64_t>();
    current.push_back(it == items_.end() ? json{{"Key", key}, {"Revision", 0}}
                                         : Row(key, it->second));
  }
  if (!holds) {
    return {412, {{"items", std::move(current)}}, false};
  }
  for (const json& put : body.at("Puts")) {
    const uint64_t lease = put.value("Lease", uint64_t{0});
    if (lease != 0 && leases_.count(lease) == 0) {
      return {404, json::object(), false};
    }
  }
  ++revision_;
  for (const json& put : body.at("Puts")) {
    Write(put.at("Key"), put.at("Value"), put.value("Lease", uint64_t{0}),
          revision_);
  }
  for (const json& key : body.at("Remove")) {
    if (items_.count(key) > 0) {
      Erase(key, revision_);
    }
  }
  return {200, {{"Revision", revision_}}, false};
}

}  // namespace standin
