#ifndef PLATFORM_HTTP_KEY_VALUE_STORE_H_
#define PLATFORM_HTTP_KEY_VALUE_STORE_H_

#include <optional>
#include <string>
#include <vector>

#include "Platform/key_value_store.h"
#include "Platform/platform_client.h"

namespace figflow {

// Client of the platform's key-value API. Values must be UTF-8 text.
class HttpKeyValueStore : public KeyValueStore {
 public:
  // `client` must outlive this object and may be shared.
  explicit HttpKeyValueStore(PlatformClient& client) : client_(client) {}

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
  PlatformClient& client_;
};

}  // namespace figflow

#endif  // PLATFORM_HTTP_KEY_VALUE_STORE_H_
