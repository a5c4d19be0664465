#ifndef REQUESTS_REQUEST_REGISTRY_H_
#define REQUESTS_REQUEST_REGISTRY_H_

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"

namespace figflow {

class RequestFlow;

// The requests in flight, by number and, for those that can be cancelled, by
// name. Thread-safe.
class RequestRegistry {
 public:
  // Reserves a number.
  uint64_t NextId() { return next_id_.fetch_add(1); }
  // Returns false, without adding, if `name` is in use. An empty name is none.
  bool Add(uint64_t id,
           const std::string& name,
           std::shared_ptr<RequestFlow> flow);
  void Remove(uint64_t id, const std::string& name);
  std::shared_ptr<RequestFlow> Find(const std::string& name) const;
  std::vector<std::shared_ptr<RequestFlow>> All() const;
  int Count() const { return count_.load(); }
  // Waits until there is none; returns whether that was reached within `bound`.
  bool WaitEmpty(std::chrono::milliseconds bound) const;

 private:
  // Requests of different connections seldom meet in one shard's lock.
  static constexpr size_t kShards = 16;
  struct Shard {
    mutable absl::Mutex mutex;
    absl::flat_hash_map<uint64_t, std::shared_ptr<RequestFlow>> flows
        ABSL_GUARDED_BY(mutex);
  };
  struct NameShard {
    mutable absl::Mutex mutex;
    absl::flat_hash_map<std::string, std::shared_ptr<RequestFlow>> flows
        ABSL_GUARDED_BY(mutex);
  };
  const NameShard& ShardOf(const std::string& name) const;

  std::atomic<uint64_t> next_id_{1};
  std::atomic<int> count_{0};
  std::array<Shard, kShards> shards_;
  std::array<NameShard, kShards> names_;
};

}  // namespace figflow

#endif  // REQUESTS_REQUEST_REGISTRY_H_
