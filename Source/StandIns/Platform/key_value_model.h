#ifndef STANDINS_PLATFORM_KEY_VALUE_MODEL_H_
#define STANDINS_PLATFORM_KEY_VALUE_MODEL_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "Common/json.h"

#include "Common/clock.h"
#include "StandIns/Platform/answer.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace figflow::standin {

// The key-value service in memory. Thread-safe; Watch blocks.
class KeyValueModel {
 public:
  explicit KeyValueModel(const Clock& clock) : clock_(clock) {}

  Answer Get(const std::string& key);
  // {"key", "expected", "value", "lease"}
  Answer CompareAndSwap(const nlohmann::json& body);
  // {"key", "expected"}
  Answer CompareAndDelete(const nlohmann::json& body);
  Answer List(const std::string& prefix);
  Answer Watch(const std::string& prefix,
               uint64_t after,
               std::chrono::milliseconds wait);
  // {"ttl_ms"}
  Answer GrantLease(const nlohmann::json& body);
  // {"lease"}
  Answer KeepLeaseAlive(const nlohmann::json& body);

  // All keys. Restore puts them back; the revision counter goes on, and
  // restored keys keep the revision of their last write, so that a watch does
  // not report them.
  nlohmann::json Snapshot();
  Answer Restore(const nlohmann::json& snapshot);

  // Ends all watches, now and later, at once.
  void Stop();

 private:
  struct Entry {
    std::string value;
    uint64_t revision = 0;
    uint64_t lease = 0;
  };
  struct Lease {
    std::chrono::milliseconds ttl{0};
    MonoTime lapses_at;
  };
  using Entries = std::map<std::string, Entry>;

  // Deletes the keys of lapsed leases.
  void Expire(MonoTime now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Delete(Entries::iterator it) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  uint64_t RevisionOf(const std::string& key) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  nlohmann::json ChangesAfter(const std::string& prefix, uint64_t after) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const Clock& clock_;
  absl::Mutex mutex_;
  absl::CondVar changed_;
  bool stopped_ ABSL_GUARDED_BY(mutex_) = false;
  uint64_t revision_ ABSL_GUARDED_BY(mutex_) = 0;
  uint64_t last_lease_ ABSL_GUARDED_BY(mutex_) = 0;
  Entries entries_ ABSL_GUARDED_BY(mutex_);
  // Revision at which an absent key was deleted.
  std::map<std::string, uint64_t> deleted_ ABSL_GUARDED_BY(mutex_);
  std::map<uint64_t, Lease> leases_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace figflow::standin

#endif  // STANDINS_PLATFORM_KEY_VALUE_MODEL_H_
