#ifndef FLEETCONFIG_CONFIG_HEAD_STORE_H_
#define FLEETCONFIG_CONFIG_HEAD_STORE_H_

#include <string>

#include "Common/clock.h"
#include "Common/error.h"
#include "FleetConfig/config_decisions.h"
#include "FleetConfig/config_documents.h"
#include "Platform/key_value_store.h"

namespace figflow {

inline constexpr char kHeadKey[] = "config/head";

// Reads and writes of the configuration's documents in the store. Blocking,
// thread-safe. Calls end at `deadline`, at most one call timeout later.
class ConfigHeadStore {
 public:
  // Both arguments must outlive this object.
  ConfigHeadStore(KeyValueStore& store, const Clock& clock)
      : store_(store), clock_(clock) {}

  Result<StoredHead> Read(MonoTime deadline);
  static Result<StoredHead> Decode(const VersionedValue& stored);

  // The configuration that `head` describes. kUnavailable if its snapshot was
  // replaced meanwhile: the head is to be read again.
  Result<FleetConfiguration> Load(const HeadDocument& head, MonoTime deadline);

  // Any error means that the head does not refer to the snapshot yet.
  Result<void> WriteSnapshot(const std::string& key,
                             const FleetConfiguration& configuration,
                             MonoTime deadline);
  // Best effort: a snapshot that stays is not used again.
  void DeleteSnapshot(const std::string& key, MonoTime deadline);

  // Writes the head and settles lost answers by its apply id. Errors:
  // kConflict, another head was written; kUnavailable, no effect;
  // kUnknownOutcome, not settled before the deadline.
  Result<uint64_t> WriteHead(const HeadDocument& head,
                             uint64_t expected_key_revision,
                             MonoTime deadline);

 private:
  std::chrono::milliseconds CallTimeout(MonoTime deadline) const;
  // Waits before another attempt; false if the deadline has passed.
  bool Pause(MonoTime deadline) const;

  KeyValueStore& store_;
  const Clock& clock_;
};

}  // namespace figflow

#endif  // FLEETCONFIG_CONFIG_HEAD_STORE_H_
