#include "Requests/request_registry.h"

#include <thread>
#include <utility>

#include "absl/hash/hash.h"

namespace figflow {
namespace {

constexpr std::chrono::milliseconds kEmptyPoll{2};

}  // namespace

const RequestRegistry::NameShard& RequestRegistry::ShardOf(
    const std::string& name) const {
  return names_[absl::Hash<std::string>()(name) % kShards];
}

bool RequestRegistry::Add(uint64_t id,
                          const std::string& name,
                          std::shared_ptr<RequestFlow> flow) {
  if (!name.empty()) {
    auto& shard = const_cast<NameShard&>(ShardOf(name));
    absl::MutexLock lock(&shard.mutex);
    if (!shard.flows.emplace(name, flow).second) {
      return false;
    }
  }
  Shard& shard = shards_[id % kShards];
  absl::MutexLock lock(&shard.mutex);
  shard.flows.emplace(id, std::move(flow));
  count_.fetch_add(1);
  return true;
}

void RequestRegistry::Remove(uint64_t id, const std::string& name) {
  // Released after the locks: the last owner destroys the request.
  std::shared_ptr<RequestFlow> flow;
  if (!name.empty()) {
    auto& shard = const_cast<NameShard&>(ShardOf(name));
    absl::MutexLock lock(&shard.mutex);
    shard.flows.erase(name);
  }
  Shard& shard = shards_[id % kShards];
  absl::MutexLock lock(&shard.mutex);
  auto it = shard.flows.find(id);
  if (it != shard.flows.end()) {
    flow = std::move(it->second);
    shard.flows.erase(it);
    count_.fetch_sub(1);
  }
}

std::shared_ptr<RequestFlow> RequestRegistry::Find(
    const std::string& name) const {
  const NameShard& shard = ShardOf(name);
  absl::MutexLock lock(&shard.mutex);
  auto it = shard.flows.find(name);
  return it == shard.flows.end() ? nullptr : it->second;
}

std::vector<std::shared_ptr<RequestFlow>> RequestRegistry::All() const {
  std::vector<std::shared_ptr<RequestFlow>> all;
  for (const Shard& shard : shards_) {
    absl::MutexLock lock(&shard.mutex);
    for (const auto& [id, flow] : shard.flows) {
      all.push_back(flow);
    }
  }
  return all;
}

bool RequestRegistry::WaitEmpty(std::chrono::milliseconds bound) const {
  for (std::chrono::milliseconds waited{0}; waited < bound;
       waited += kEmptyPoll) {
    if (Count() == 0) {
      return true;
    }
    std::this_thread::sleep_for(kEmptyPoll);
  }
  return Count() == 0;
}

}  // namespace figflow
