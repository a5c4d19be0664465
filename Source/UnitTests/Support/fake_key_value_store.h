#ifndef SUPPORT_FAKE_KEY_VALUE_STORE_H_
#define SUPPORT_FAKE_KEY_VALUE_STORE_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>
#include "absl/strings/string_view.h"

#include "Common/clock.h"
#include "Platform/key_value_store.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace figflow::test {

// The platform's key-value service in memory, with switchable faults.
class FakeKeyValueStore : public KeyValueStore {
 public:
  enum class WriteFault {
    kNone,
    // The write takes effect; the caller gets kUnknownOutcome.
    kAnswerLost,
    // The write has no effect; the caller gets kUnknownOutcome.
    kRequestLost,
  };

  // Every call fails with kUnavailable while set.
  void SetDown(bool down);
  // Faults for the next writes, one each, in order.
  void QueueWriteFault(WriteFault fault);
  // Called once before the next write is examined, without the lock held.
  // Simulates a racing writer.
  void BeforeNextWrite(std::function<void()> action);
  // Restores an earlier copy of all keys, as an operator's restore would.
  std::map<std::string, VersionedValue> Snapshot() const;
  void Restore(const std::map<std::string, VersionedValue>& keys);
  void ExpireLease(LeaseId lease);
  uint64_t calls() const;
  uint64_t writes() const;

  Result<std::optional<VersionedValue>> Get(
      absl::string_view key,
      std::chrono::milliseconds timeout) override;
  Result<uint64_t> CompareAndSwap(absl::string_view key,
                                  uint64_t expected_revision,
                                  absl::string_view value,
                                  std::chrono::milliseconds timeout,
                                  LeaseId lease = 0) override;
  Result<void> CompareAndDelete(absl::string_view key,
                                uint64_t expected_revision,
                                std::chrono::milliseconds timeout) override;
  Result<std::vector<KeyValue>> List(
      absl::string_view prefix,
      std::chrono::milliseconds timeout) override;
  Result<WatchResult> Watch(absl::string_view prefix,
                            uint64_t after_revision,
                            std::chrono::milliseconds wait) override;
  Result<LeaseId> GrantLease(std::chrono::milliseconds ttl,
                             std::chrono::milliseconds timeout) override;
  Result<void> KeepLeaseAlive(LeaseId lease,
                              std::chrono::milliseconds timeout) override;

 private:
  struct Entry {
    VersionedValue versioned;
    LeaseId lease = 0;
  };

  WriteFault TakeFault() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void RunBeforeWrite();
  std::vector<KeyValue> ChangesAfter(absl::string_view prefix,
                                     uint64_t revision) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  mutable absl::Mutex mutex_;
  bool down_ ABSL_GUARDED_BY(mutex_) = false;
  uint64_t revision_ ABSL_GUARDED_BY(mutex_) = 0;
  LeaseId last_lease_ ABSL_GUARDED_BY(mutex_) = 0;
  uint64_t calls_ ABSL_GUARDED_BY(mutex_) = 0;
  uint64_t writes_ ABSL_GUARDED_BY(mutex_) = 0;
  std::map<std::string, Entry, std::less<>> keys_ ABSL_GUARDED_BY(mutex_);
  // Revision at which a key was deleted.
  std::map<std::string, uint64_t, std::less<>> deleted_ ABSL_GUARDED_BY(mutex_);
  std::map<LeaseId, bool> leases_ ABSL_GUARDED_BY(mutex_);
  std::deque<WriteFault> faults_ ABSL_GUARDED_BY(mutex_);
  std::function<void()> before_write_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace figflow::test

#endif  // SUPPORT_FAKE_KEY_VALUE_STORE_H_
