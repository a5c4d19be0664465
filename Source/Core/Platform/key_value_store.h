#ifndef PLATFORM_KEY_VALUE_STORE_H_
#define PLATFORM_KEY_VALUE_STORE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>
#include "absl/strings/string_view.h"

#include "Common/error.h"

namespace figflow {

// Largest value the platform's service accepts.
inline constexpr size_t kMaxValueBytes = 1'000'000;

struct VersionedValue {
  std::string value;
  // Store-wide revision of the last write to the key. Never 0.
  uint64_t revision = 0;
};

struct KeyValue {
  std::string key;
  VersionedValue versioned;
};

struct WatchResult {
  // Keys under the prefix that changed after the given revision, latest value
  // each; a deleted key has an empty value. Empty when the wait ran out.
  std::vector<KeyValue> changes;
  // Pass to the next Watch call.
  uint64_t revision = 0;
};

// Identifies a lease; 0 stands for "no lease".
using LeaseId = uint64_t;

// The platform's key-value service. All calls block for at most `timeout` and
// are safe to call from any thread. Each call, a waiting watch included, counts
// against the service's rate.
//
// Errors: kUnavailable, the call certainly had no effect; kUnknownOutcome, the
// answer of a write was lost and it may have taken effect; kConflict, the
// expected revision did not match; kInvalid, the value is too large.
class KeyValueStore {
 public:
  virtual ~KeyValueStore() = default;

  // Returns nullopt for an absent key.
  virtual Result<std::optional<VersionedValue>> Get(
      absl::string_view key,
      std::chrono::milliseconds timeout) = 0;

  // Writes `value` if the key's revision is `expected_revision` (0: the key is
  // absent). Returns the new revision. A key written with a lease is deleted
  // when the lease lapses.
  virtual Result<uint64_t> CompareAndSwap(absl::string_view key,
                                          uint64_t expected_revision,
                                          absl::string_view value,
                                          std::chrono::milliseconds timeout,
                                          LeaseId lease = 0) = 0;

  // Deletes the key if its revision is `expected_revision`.
  virtual Result<void> CompareAndDelete(absl::string_view key,
                                        uint64_t expected_revision,
                                        std::chrono::milliseconds timeout) = 0;

  // All keys under `prefix` in key order.
  virtual Result<std::vector<KeyValue>> List(
      absl::string_view prefix,
      std::chrono::milliseconds timeout) = 0;

  // Waits until a key under `prefix` changes after `after_revision`, at most
  // `wait`.
  virtual Result<WatchResult> Watch(absl::string_view prefix,
                                    uint64_t after_revision,
                                    std::chrono::milliseconds wait) = 0;

  virtual Result<LeaseId> GrantLease(std::chrono::milliseconds ttl,
                                     std::chrono::milliseconds timeout) = 0;

  // kNotFound when the lease has lapsed.
  virtual Result<void> KeepLeaseAlive(LeaseId lease,
                                      std::chrono::milliseconds timeout) = 0;
};

// Writes by compare-and-swap and settles a lost answer by reading the key back.
// `is_mine` tells whether a stored value contains this write (compares a nonce
// or an operation id). Returns kConflict when another's write is there, and
// kUnknownOutcome when reading back fails as well.
Result<uint64_t> CompareAndSwapSettled(
    KeyValueStore& store,
    absl::string_view key,
    uint64_t expected_revision,
    absl::string_view value,
    std::chrono::milliseconds timeout,
    bool (*is_mine)(absl::string_view stored, absl::string_view written));

}  // namespace figflow

#endif  // PLATFORM_KEY_VALUE_STORE_H_
