// The platform's store.
#include <algorithm>
#include <chrono>
#include <thread>

#include "world.h"

namespace review {
namespace {

constexpr int kAnswerMs = 4;
constexpr int kHistory = 20'000;
constexpr char kAlphabet[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string Encode(const std::string& bytes) {
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t k = 0; k < 3; ++k) {
      group = group << 8U |
              (i + k < bytes.size() ? static_cast<uint8_t>(bytes[i + k]) : 0U);
    }
    for (size_t k = 0; k < 4; ++k) {
      text.push_back(
          i + k > bytes.size() ? '=' : kAlphabet[group >> (18 - 6 * k) & 63U]);
    }
  }
  return text;
}

std::string Decode(const std::string& text) {
  std::string bytes;
  uint32_t group = 0;
  int bits = 0;
  for (const char c : text) {
    const char* at =
        c == '\0' ? nullptr : std::find(kAlphabet, kAlphabet + 64, c);
    if (at == nullptr || at == kAlphabet + 64) {
      break;
    }
    group = group << 6U | static_cast<uint32_t>(at - kAlphabet);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes.push_back(static_cast<char>(group >> bits & 255U));
    }
  }
  return bytes;
}

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

Store::Store() {
  std::thread([this] {
    while (true) {
      SleepMs(20);
      std::lock_guard<std::mutex> lock(mutex_);
      Expire();
    }
  }).detach();
}

uint16_t Store::AddPort(int daemon) {
  return Serve([this, daemon](const Request& request) {
    return Handle(daemon, request);
  });
}

int Store::CommitterOf(uint64_t revision) {
  std::lock_guard<std::mutex> lock(mutex_);
  const auto committer = committers_.find(revision);
  return committer == committers_.end() ? -1 : committer->second;
}

void Store::Put(const std::string& key, const std::string& value) {
  std::lock_guard<std::mutex> lock(mutex_);
  ++revision_;
  Write(key, value, 0);
  changed_.notify_all();
}

void Store::Remove(const std::string& key) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (items_.count(key) > 0) {
    ++revision_;
    Erase(key);
    changed_.notify_all();
  }
}

std::string Store::Get(const std::string& key) {
  std::lock_guard<std::mutex> lock(mutex_);
  const auto item = items_.find(key);
  return item == items_.end() ? "" : item->second.value;
}

void Store::Write(const std::string& key,
                  const std::string& value,
                  uint64_t lease) {
  Item& item = items_[key];
  item.value = value;
  item.revision = revision_;
  item.created = item.created == 0 ? revision_ : item.created;
  item.lease = lease;
  history_.push_back({key, value, revision_, lease, false});
  if (history_.size() > kHistory) {
    history_.pop_front();
  }
}

void Store::Erase(const std::string& key) {
  if (items_.erase(key) > 0) {
    history_.push_back({key, "", revision_, 0, true});
  }
}

void Store::Expire() {
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
    if (!keys.empty()) {
      ++revision_;
    }
    for (const std::string& key : keys) {
      Erase(key);
    }
    it = leases_.erase(it);
    changed_.notify_all();
  }
}

std::optional<Response> Store::Handle(int daemon, const Request& request) {
  const std::string path = request.Path();
  if (!StartsWith(path, "/-/kv-")) {
    return other ? other(request) : Response{404, "{}"};
  }
  SleepMs(kAnswerMs);
  if (path == "/-/kv-range") {
    return Range(request);
  }
  if (path == "/-/kv-watch") {
    return Watch(request);
  }
  if (path == "/-/kv-txn") {
    return Commit(daemon, request);
  }
  std::lock_guard<std::mutex> lock(mutex_);
  Expire();
  if (path == "/-/kv-key") {
    const std::string key = request.Query("Key");
    const auto item = items_.find(key);
    if (item == items_.end()) {
      return Response{404, "{}"};
    }
    return Response{200, json{{"Key", key},
                              {"Value", Encode(item->second.value)},
                              {"Revision", item->second.revision},
                              {"Created", item->second.created},
                              {"Lease", item->second.lease},
                              {"StoreRevision", revision_}}
                             .dump()};
  }
  const std::string last = path.substr(path.rfind('/') + 1);
  const uint64_t id = strtoull(last.c_str(), nullptr, 10);
  if (path == "/-/kv-lease") {
    const auto ttl = json::parse(request.body).at("TtlMs").get<int64_t>();
    const uint64_t lease = 77'000 + next_lease_++;
    leases_[lease] = {ttl, NowMs() + ttl};
    return Response{200, json{{"Lease", lease}, {"TtlMs", ttl}}.dump()};
  }
  const auto lease = leases_.find(id);
  if (lease == leases_.end()) {
    return Response{404, "{}"};
  }
  if (StartsWith(path, "/-/kv-keep/")) {
    lease->second.ends = NowMs() + lease->second.ttl;
    return Response{200, json{{"TtlMs", lease->second.ttl}}.dump()};
  }
  lease->second.ends = 0;
  Expire();
  return Response{200, "{}"};
}

Response Store::Range(const Request& request) {
  std::lock_guard<std::mutex> lock(mutex_);
  Expire();
  const std::string prefix = request.Query("Prefix");
  const std::string after = request.Query("After");
  json rows = json::array();
  size_t bytes = 0;
  bool truncated = false;
  for (auto it = items_.lower_bound(std::max(prefix, after));
       it != items_.end() && StartsWith(it->first, prefix); ++it) {
    if (it->first <= after) {
      continue;
    }
    if (rows.size() >= 500 || (bytes > kValueBytes && !rows.empty())) {
      truncated = true;
      break;
    }
    bytes += it->second.value.size();
    rows.push_back({{"Key", it->first},
                    {"Value", Encode(it->second.value)},
                    {"Revision", it->second.revision},
                    {"Created", it->second.created},
                    {"Lease", it->second.lease}});
  }
  return {200, json{{"items", std::move(rows)},
                    {"Truncated", truncated},
                    {"StoreRevision", revision_}}
                   .dump()};
}

Response Store::Watch(const Request& request) {
  const std::string prefix = request.Query("Prefix");
  const uint64_t after = strtoull(request.Query("After").c_str(), nullptr, 10);
  const int64_t until = NowMs() + atoi(request.Query("WaitMs").c_str());
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    if (!history_.empty() && history_.size() >= kHistory &&
        after < history_.front().revision) {
      return {410, "{}"};
    }
    json events = json::array();
    for (auto it = std::lower_bound(history_.begin(), history_.end(), after + 1,
                                    [](const Event&event, uint64_t least) {
                                      return event.revision < least;
                                    });
         it != history_.end(); ++it) {
      if (!StartsWith(it->key, prefix)) {
        continue;
      }
      if (it->removed) {
        events.push_back({{"Key", it->key},
                          {"Revision", it->revision},
                          {"Tombstone", true}});
      } else {
        events.push_back({{"Key", it->key},
                          {"Value", Encode(it->value)},
                          {"Revision", it->revision},
                          {"Lease", it->lease}});
      }
    }
    const int64_t left = until - NowMs();
    if (!events.empty() || left <= 0) {
      return {200,
              json{{"events", std::move(events)}, {"StoreRevision", revision_}}
                  .dump()};
    }
    changed_.wait_for(lock, std::chrono::milliseconds(left));
  }
}

Response Store::Commit(int daemon, const Request& request) {
  const json body = json::parse(request.body);
  const json& expected = body.at("ExpectedRev");
  const json& puts = body.at("Puts");
  const json& removed = body.at("Remove");
  if (expected.size() + puts.size() + removed.size() > kTxnEntries) {
    Record("store: refused a transaction of " +
           std::to_string(expected.size() + puts.size() + removed.size()) +
           " entries (at most 32): 400");
    return {400, "{}"};
  }
  for (const json& put : puts) {
    const auto key = put.at("Key").get<std::string>();
    const size_t size = Decode(put.at("Value").get<std::string>()).size();
    if (key.size() > kKeyBytes || size > kValueBytes) {
      Record("store: refused a write of a key of " +
             std::to_string(key.size()) +
             " bytes (at most 200) and a value of " + std::to_string(size) +
             " bytes (at most 1048576): 400");
      return {400, "{}"};
    }
    if (StartsWith(key, "op/") || StartsWith(key, "servers/")) {
      return {403, "{}"};
    }
  }
  std::lock_guard<std::mutex> lock(mutex_);
  Expire();
  bool holds = true;
  json current = json::array();
  for (const json& row : expected) {
    const auto key = row.at("Key").get<std::string>();
    const auto item = items_.find(key);
    const uint64_t revision = item == items_.end() ? 0 : item->second.revision;
    holds = holds && revision == row.at("Revision").get<uint64_t>();
    if (item != items_.end()) {
      current.push_back({{"Key", key},
                         {"Value", Encode(item->second.value)},
                         {"Revision", revision},
                         {"Created", item->second.created},
                         {"Lease", item->second.lease}});
    } else {
      current.push_back({{"Key", key}, {"Revision", 0}});
    }
  }
  if (!holds) {
    return {412, json{{"items", std::move(current)}}.dump()};
  }
  for (const json& put : puts) {
    const uint64_t lease = put.value("Lease", uint64_t{0});
    if (lease != 0 && leases_.count(lease) == 0) {
      return {404, "{}"};
    }
  }
  ++revision_;
  committers_[revision_] = daemon;
  for (const json& put : puts) {
    Write(put.at("Key").get<std::string>(),
          Decode(put.at("Value").get<std::string>()),
          put.value("Lease", uint64_t{0}));
  }
  for (const json& key : removed) {
    Erase(key.get<std::string>());
  }
  changed_.notify_all();
  return {200, json{{"Revision", revision_}}.dump()};
}

}  // namespace review
