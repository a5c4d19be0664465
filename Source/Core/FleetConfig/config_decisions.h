#ifndef FLEETCONFIG_CONFIG_DECISIONS_H_
#define FLEETCONFIG_CONFIG_DECISIONS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Common/clock.h"
#include "Common/error.h"
#include "FleetConfig/config_documents.h"
#include "FleetConfig/fleet_configuration.h"
#include "Sheet/sheet_diff.h"
#include "absl/strings/string_view.h"

namespace figflow {

// Decisions of ConfigStore, without threads, clocks or calls.

// A head above this size gets a new snapshot, and its oldest steps are dropped
// until it is at most half as large. Every daemon's watch delivers the head
// after each change: 13,000 changes a day times 16 KB are 2.4 KB/s per daemon,
// of the 4 KB/s allowed.
inline constexpr size_t kMaxHeadBytes = 16'384;

// A head as it is in the store.
struct StoredHead {
  HeadDocument head = EmptyHead();
  // The store's revision of the key; 0 if it is absent.
  uint64_t key_revision = 0;
};

enum class HeadAction {
  // The head is what is in force.
  kNone,
  // Its steps continue what is in force.
  kAdvance,
  // It is newer, but its steps do not continue what is in force.
  kLoadSnapshot,
  // It is older: the store was restored, or the read was stale.
  kStoreBehind,
  // Same revision, other contents: applied to a restored store by a daemon
  // that knew neither the lost revisions nor a peer that has them.
  kDiverged,
};

HeadAction DecideHead(const FleetConfiguration& in_force,
                      const HeadDocument& head);

// Applies the steps that are newer than `base`, in order. Steps that are
// already included are skipped. kConflict: a step in between is missing or the
// steps belong to other contents.
Result<FleetConfiguration> AdvanceBySteps(const FleetConfiguration& base,
                                          const std::vector<ConfigStep>& steps);

// What applying a sheet would write.
struct ApplyPlan {
  // Set if nothing is to be written: the sheet is in force at this revision.
  std::optional<uint64_t> settled_revision;
  SheetDiff diff;
  ConfigStep step;
  FleetConfiguration next;
  HeadDocument head;
  // `next` must be stored at head.snapshot_key before the head is written.
  bool needs_snapshot = false;
};

struct ApplyRequest {
  SheetDocument sheet;
  // Unique for this sheet; the same again is answered with the first outcome.
  std::string apply_id;
};

// `stored` has been synchronised with `in_force`. `highest_peer_revision` is
// the highest one that peers report.
// Errors: kConflict, the sheet is based on another revision, or the apply id
// belongs to another sheet; kUnavailable,
// peers have a newer configuration, which arrives shortly; kInvalid, faults in
// the sheet.
Result<ApplyPlan> PlanApply(const FleetConfiguration& in_force,
                            const StoredHead& stored,
                            uint64_t highest_peer_revision,
                            const ApplyRequest& request,
                            WallTime now);

// Head that holds `in_force` as a snapshot, for a store that is behind.
HeadDocument RebuiltHead(const FleetConfiguration& in_force,
                         absl::string_view nonce);

std::string SnapshotKey(uint64_t revision, absl::string_view nonce);

enum class ReadBack {
  // The head contains the apply.
  kMine,
  // The head was written by another since; this write can no longer succeed.
  kOther,
  // The write may still be on its way, or the read was stale.
  kUndecided,
};

ReadBack JudgeReadBack(const StoredHead& read,
                       absl::string_view apply_id,
                       uint64_t expected_key_revision);

// What a starting daemon knows.
struct BootstrapView {
  bool store_answered = false;
  size_t peers_heard = 0;
  uint64_t highest_peer_revision = 0;
  uint64_t revision = 0;
  std::chrono::milliseconds since_start{0};
};

struct BootstrapLimits {
  // Peers that are expected to answer; fewer are waited for until `wait`.
  size_t expected_peers = 0;
  // Time for the store and peers to answer. A gossip round takes one second.
  std::chrono::milliseconds wait{3'000};
};

// Why the daemon may not report ready yet; empty if it may.
std::string BootstrapBlocker(const BootstrapView& view,
                             const BootstrapLimits& limits);

}  // namespace figflow

#endif  // FLEETCONFIG_CONFIG_DECISIONS_H_
