#include "Platform/key_value_store.h"

namespace figflow {

Result<uint64_t> CompareAndSwapSettled(
    KeyValueStore& store,
    absl::string_view key,
    uint64_t expected_revision,
    absl::string_view value,
    std::chrono::milliseconds timeout,
    bool (*is_mine)(absl::string_view stored, absl::string_view written)) {
  Result<uint64_t> written =
      store.CompareAndSwap(key, expected_revision, value, timeout);
  if (written || written.error().code != ErrorCode::kUnknownOutcome) {
    return written;
  }
  Result<std::optional<VersionedValue>> stored = store.Get(key, timeout);
  if (!stored) {
    return Fail(ErrorCode::kUnknownOutcome, "kv.read_back", stored.error().peer,
                stored.error().message);
  }
  if (*stored && is_mine((*stored)->value, value)) {
    return (*stored)->revision;
  }
  const uint64_t current = *stored ? (*stored)->revision : 0;
  if (current != expected_revision) {
    return Fail(ErrorCode::kConflict, "kv.read_back", written.error().peer,
                "another writer changed the key");
  }
  // The write may still be on its way: only a later write to the key makes it
  // fail for certain.
  return written;
}

}  // namespace figflow
