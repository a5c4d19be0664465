#include "FleetConfig/config_head_store.h"

#include <algorithm>
#include <optional>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

using std::chrono::milliseconds;

// The store responds in milliseconds; a call that takes a second is retried.
constexpr milliseconds kCallTimeout{1'000};
constexpr milliseconds kRetryDelay{50};

}  // namespace

milliseconds ConfigHeadStore::CallTimeout(MonoTime deadline) const {
  const auto left =
      std::chrono::duration_cast<milliseconds>(deadline - clock_.Now());
  return std::clamp(left, milliseconds(1), kCallTimeout);
}

bool ConfigHeadStore::Pause(MonoTime deadline) const {
  if (clock_.Now() + kRetryDelay >= deadline) {
    return false;
  }
  std::this_thread::sleep_for(kRetryDelay);
  return true;
}

Result<StoredHead> ConfigHeadStore::Read(MonoTime deadline) {
  const auto stored = store_.Get(kHeadKey, CallTimeout(deadline));
  if (!stored) {
    return tl::unexpected<Error>(stored.error());
  }
  return *stored ? Decode(**stored) : StoredHead{};
}

Result<StoredHead> ConfigHeadStore::Decode(const VersionedValue& stored) {
  Result<HeadDocument> head = DecodeHead(stored.value);
  if (!head) {
    return tl::unexpected<Error>(head.error());
  }
  return StoredHead{std::move(*head), stored.revision};
}

Result<FleetConfiguration> ConfigHeadStore::Load(const HeadDocument& head,
                                                 MonoTime deadline) {
  FleetConfiguration base = EmptyConfiguration();
  if (!head.snapshot_key.empty()) {
    const auto stored = store_.Get(head.snapshot_key, CallTimeout(deadline));
    if (!stored) {
      return tl::unexpected<Error>(stored.error());
    }
    if (!*stored) {
      return Fail(ErrorCode::kUnavailable, "config.load", "",
                  absl::StrCat(head.snapshot_key, " is absent"));
    }
    Result<FleetConfiguration> snapshot = DecodeConfiguration((*stored)->value);
    if (!snapshot) {
      return snapshot;
    }
    base = std::move(*snapshot);
  }
  Result<FleetConfiguration> loaded = AdvanceBySteps(base, head.steps);
  if (loaded &&
      (loaded->revision != head.revision || loaded->hash != head.hash)) {
    return Fail(ErrorCode::kInternal, "config.load", "",
                absl::StrCat("the snapshot and steps of revision ",
                             head.revision, " lead to another content"));
  }
  return loaded;
}

Result<void> ConfigHeadStore::WriteSnapshot(
    const std::string& key,
    const FleetConfiguration& configuration,
    MonoTime deadline) {
  const std::string text = EncodeConfiguration(configuration);
  for (;;) {
    const auto written =
        store_.CompareAndSwap(key, 0, text, CallTimeout(deadline));
    if (written) {
      return {};
    }
    // The key is named after this write, so a value that is already there
    // comes from an attempt whose answer was lost.
    const auto stored = store_.Get(key, CallTimeout(deadline));
    if (stored && *stored && (*stored)->value == text) {
      return {};
    }
    const ErrorCode code = written.error().code;
    const bool retry =
        code == ErrorCode::kUnavailable || code == ErrorCode::kUnknownOutcome;
    if (!retry || !Pause(deadline)) {
      return Fail(
          retry ? ErrorCode::kUnavailable : code, "config.write_snapshot",
          written.error().peer,
          absl::StrCat("the snapshot was not written, nothing was changed: ",
                       written.error().message));
    }
  }
}

void ConfigHeadStore::DeleteSnapshot(const std::string& key,
                                     MonoTime deadline) {
  const auto stored = store_.Get(key, CallTimeout(deadline));
  if (stored && *stored) {
    (void)store_.CompareAndDelete(key, (*stored)->revision,
                                  CallTimeout(deadline));
  }
}

Result<uint64_t> ConfigHeadStore::WriteHead(const HeadDocument& head,
                                            uint64_t expected_key_revision,
                                            MonoTime deadline) {
  const std::string text = EncodeHead(head);
  bool maybe_written = false;
  for (;;) {
    Result<uint64_t> written = store_.CompareAndSwap(
        kHeadKey, expected_key_revision, text, CallTimeout(deadline));
    if (written) {
      return written;
    }
    const ErrorCode code = written.error().code;
    maybe_written = maybe_written || code == ErrorCode::kUnknownOutcome;
    const Result<StoredHead> read = Read(deadline);
    const ReadBack verdict =
        read ? JudgeReadBack(*read, head.apply_id, expected_key_revision)
             : ReadBack::kUndecided;
    if (verdict == ReadBack::kMine) {
      return read->key_revision;
    }
    if (verdict == ReadBack::kOther) {
      return Fail(ErrorCode::kConflict, "config.write_head",
                  written.error().peer,
                  absl::StrCat("revision ", read->head.revision,
                               " was applied meanwhile (apply id ",
                               read->head.apply_id, ")"));
    }
    const bool retry = code == ErrorCode::kUnavailable ||
                       code == ErrorCode::kUnknownOutcome ||
                       code == ErrorCode::kConflict;
    // Writing again with the same expected revision is safe: if the first
    // attempt takes effect late, this one gets a conflict and finds the id.
    if (!retry || !Pause(deadline)) {
      return Fail(maybe_written ? ErrorCode::kUnknownOutcome : code,
                  "config.write_head", written.error().peer,
                  written.error().message);
    }
  }
}

}  // namespace figflow
