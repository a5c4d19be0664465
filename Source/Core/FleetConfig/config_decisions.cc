#include "FleetConfig/config_decisions.h"

#include <algorithm>
#include <utility>

#include "Platform/key_value_store.h"
#include "Sheet/sheet_parser.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

constexpr char kStep[] = "config.apply";

tl::unexpected<Error> Refuse(ErrorCode code, std::string message) {
  return Fail(code, kStep, "", std::move(message));
}

Error InvalidSheet(const std::vector<SheetFault>& faults) {
  return Error{
      ErrorCode::kInvalid, kStep, "",
      absl::StrCat(faults.size(), " faults, first: ", ToString(faults[0]))};
}

// Moves the snapshot up to `next` if the head has grown too large.
void TrimHead(const FleetConfiguration& next, ApplyPlan& plan) {
  if (EncodeHead(plan.head).size() <= kMaxHeadBytes) {
    return;
  }
  plan.needs_snapshot = true;
  plan.head.snapshot_revision = next.revision;
  plan.head.snapshot_key = SnapshotKey(next.revision, next.apply_id);
  while (!plan.head.steps.empty() &&
         EncodeHead(plan.head).size() > kMaxHeadBytes / 2) {
    plan.head.steps.erase(plan.head.steps.begin());
  }
}

HeadDocument HeadOf(const FleetConfiguration& configuration) {
  HeadDocument head;
  head.revision = configuration.revision;
  head.hash = configuration.hash;
  head.apply_id = configuration.apply_id;
  head.applied_at = configuration.applied_at;
  head.applies = configuration.applies;
  return head;
}

}  // namespace

HeadAction DecideHead(const FleetConfiguration& in_force,
                      const HeadDocument& head) {
  if (head.revision < in_force.revision) {
    return HeadAction::kStoreBehind;
  }
  if (head.revision == in_force.revision) {
    return head.hash == in_force.hash ? HeadAction::kNone
                                      : HeadAction::kDiverged;
  }
  const auto continues = [&](const ConfigStep& step) {
    return step.revision == in_force.revision + 1 &&
           step.base_hash == in_force.hash;
  };
  return std::any_of(head.steps.begin(), head.steps.end(), continues)
             ? HeadAction::kAdvance
             : HeadAction::kLoadSnapshot;
}

Result<FleetConfiguration> AdvanceBySteps(
    const FleetConfiguration& base,
    const std::vector<ConfigStep>& steps) {
  FleetConfiguration current = base;
  for (const ConfigStep& step : steps) {
    if (step.revision <= current.revision) {
      continue;
    }
    Result<FleetConfiguration> next = ApplyStep(current, step);
    if (!next) {
      return next;
    }
    current = std::move(*next);
  }
  return current;
}

Result<ApplyPlan> PlanApply(const FleetConfiguration& in_force,
                            const StoredHead& stored,
                            uint64_t highest_peer_revision,
                            const ApplyRequest& request,
                            WallTime now) {
  const SheetDocument& sheet = request.sheet;
  if (const auto faults = CheckDocument(sheet); !faults.empty()) {
    return tl::unexpected<Error>(InvalidSheet(faults));
  }
  ApplyPlan plan;
  // Only what the store holds as well may be acknowledged without a write.
  const bool durable = DecideHead(in_force, stored.head) == HeadAction::kNone;
  const ApplyRecord* known = in_force.FindApply(request.apply_id);
  if (durable && known != nullptr) {
    if (known->hash != RowsHash(sheet.rows)) {
      return Refuse(ErrorCode::kConflict,
                    absl::StrCat("the apply id ", request.apply_id,
                                 " was used for another sheet at revision ",
                                 known->revision));
    }
    plan.settled_revision = known->revision;
    return plan;
  }
  if (highest_peer_revision > in_force.revision) {
    return Refuse(ErrorCode::kUnavailable,
                  absl::StrCat("peers report revision ", highest_peer_revision,
                               ", this daemon has ", in_force.revision,
                               "; try again shortly"));
  }
  if (sheet.base_revision != in_force.revision) {
    return Refuse(
        ErrorCode::kConflict,
        absl::StrCat("the sheet is based on revision ", sheet.base_revision,
                     ", but revision ", in_force.revision,
                     " is in force (apply id ", in_force.apply_id,
                     "); compare with it and base the sheet on it"));
  }
  plan.diff = DiffRows(in_force.rows, sheet.rows);
  if (durable && plan.diff.empty()) {
    plan.settled_revision = in_force.revision;
    return plan;
  }
  plan.step = MakeStep(in_force, sheet.rows, request.apply_id, now);
  Result<FleetConfiguration> next = ApplyStep(in_force, plan.step);
  if (!next) {
    return tl::unexpected<Error>(next.error());
  }
  plan.next = std::move(*next);
  plan.head = HeadOf(plan.next);
  if (durable) {
    plan.head.snapshot_revision = stored.head.snapshot_revision;
    plan.head.snapshot_key = stored.head.snapshot_key;
    plan.head.steps = stored.head.steps;
    plan.head.steps.push_back(plan.step);
    TrimHead(plan.next, plan);
  } else {
    // The stored steps lead to other contents.
    plan.head = RebuiltHead(plan.next, request.apply_id);
    plan.needs_snapshot = true;
  }
  if (plan.needs_snapshot &&
      EncodeConfiguration(plan.next).size() > kMaxValueBytes) {
    return Refuse(ErrorCode::kInvalid,
                  "the configuration is too large for the store");
  }
  return plan;
}

HeadDocument RebuiltHead(const FleetConfiguration& in_force,
                         absl::string_view nonce) {
  HeadDocument head = HeadOf(in_force);
  head.snapshot_revision = in_force.revision;
  head.snapshot_key = SnapshotKey(in_force.revision, nonce);
  return head;
}

std::string SnapshotKey(uint64_t revision, absl::string_view nonce) {
  return absl::StrCat("config/snapshot/", revision, "-", nonce);
}

ReadBack JudgeReadBack(const StoredHead& read,
                       absl::string_view apply_id,
                       uint64_t expected_key_revision) {
  for (const ApplyRecord& record : read.head.applies) {
    if (record.id == apply_id) {
      return ReadBack::kMine;
    }
  }
  return read.key_revision > expected_key_revision ? ReadBack::kOther
                                                   : ReadBack::kUndecided;
}

std::string BootstrapBlocker(const BootstrapView& view,
                             const BootstrapLimits& limits) {
  if (view.revision < view.highest_peer_revision) {
    return absl::StrCat("peers report revision ", view.highest_peer_revision,
                        ", this daemon has ", view.revision);
  }
  if (!view.store_answered && view.peers_heard == 0) {
    return "neither the store nor a peer has answered";
  }
  if (view.since_start >= limits.wait) {
    return "";
  }
  if (!view.store_answered) {
    return "the store has not answered yet";
  }
  if (view.peers_heard < limits.expected_peers) {
    return absl::StrCat(view.peers_heard, " of ", limits.expected_peers,
                        " peers have answered");
  }
  return "";
}

}  // namespace figflow
