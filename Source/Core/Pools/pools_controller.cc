#include "Pools/pools_controller.h"

#include <algorithm>
#include <map>
#include <utility>

#include "Common/log.h"
#include "Pools/move_planner.h"
#include "Pools/slot_shares.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

bool SameTargets(const std::vector<PoolSettings>& a,
                 const std::vector<PoolSettings>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const PoolSettings& x, const PoolSettings& y) {
                      return x.pool == y.pool && x.wanted == y.wanted;
                    });
}

// Returns the boot number of the entry instance in the platform's list; 0 if it
// is not listed.
uint64_t ListedBoot(const PoolsInput& input, const EntryId& entry) {
  if (input.listed) {
    for (const ListedInstance& instance : *input.listed) {
      if (instance.id.value() == entry.value()) {
        return instance.boot;
      }
    }
  }
  return 0;
}

// Returns true for a member of the current epoch that was not removed.
bool IsActiveMember(const EntryMembership& entries,
                    const EntryId& entry,
                    uint64_t incarnation) {
  return std::any_of(entries.current.begin(), entries.current.end(),
                     [&](const EntryMember& member) {
                       return member.id == entry &&
                              member.incarnation == incarnation &&
                              member.state == MemberState::kActive;
                     });
}

bool RemoveListedGone(EntryMembership& entries, const PoolsInput& input) {
  bool changed = false;
  for (const ListedInstance& instance : *input.listed) {
    if (instance.role != InstanceRole::kEntry ||
        instance.state != InstanceState::kGone) {
      continue;
    }
    std::vector<EntryMember> members = entries.current;
    members.insert(members.end(), entries.joining.begin(),
                   entries.joining.end());
    for (const EntryMember& member : members) {
      // A stale list may still contain the previous boot of an entry instance
      // that has joined again.
      if (member.id.value() == instance.id.value() &&
          instance.boot >= member.boot) {
        changed |=
            Remove(entries, member.id, member.incarnation, MemberState::kGone);
      }
    }
  }
  return changed;
}

}  // namespace

Confirmation NextConfirmation(const DataCentreDocument& document,
                              const Confirmation& previous,
                              const LocalTraffic& traffic) {
  Confirmation next = previous;
  next.drained.clear();
  bool fits = true;
  for (const auto& [id, record] : document.instances) {
    const int in_flight = traffic.InFlight(record.pool, id);
    if (record.stage != InstanceStage::kActive && in_flight == 0) {
      next.drained[id] = record.drain_id;
    }
    const auto share = [&, &id = id](int total) {
      return UsableShare(document.entries, previous.entry, previous.incarnation,
                         /*settled=*/false, id, total);
    };
    fits = fits && in_flight <= share(record.slots) &&
           traffic.Connections(id) <= share(record.connections);
  }
  if (fits &&
      IsActiveMember(document.entries, previous.entry, previous.incarnation)) {
    next.epoch_id = document.entries.epoch_id;
  }
  return next;
}

RoutingTable BuildRoutingTable(const DataCentreDocument& document,
                               const EntryId& entry,
                               uint64_t incarnation,
                               bool settled,
                               const PoolsConfig& config) {
  std::map<PoolId, PoolTable> pools;
  for (const PoolSettings& target : config.pools) {
    if (target.pool.value() != kSparePool) {
      pools[target.pool] =
          PoolTable{target.pool, target.project, {}, target.long_share};
    }
  }
  for (const auto& [id, record] : document.instances) {
    if (record.stage != InstanceStage::kActive ||
        record.pool.value() == kSparePool) {
      continue;
    }
    const auto share = [&, &id = id](int total) {
      return UsableShare(document.entries, entry, incarnation, settled, id,
                         total);
    };
    const int slots = share(record.slots);
    const int connections = share(record.connections);
    PoolTable& pool = pools[record.pool];
    if (pool.pool.empty()) {
      pool.pool = record.pool;
      pool.project = record.project;
    }
    pool.targets.push_back(
        TargetShare{id, record.address, record.rack, record.boot,
                    std::min(slots, connections), connections});
  }
  RoutingTable table;
  for (auto& [id, pool] : pools) {
    table.pools.push_back(std::move(pool));
  }
  return table;
}

PoolsController::PoolsController(DataCentreStore& store,
                                 LocalTraffic& traffic,
                                 PoolsOptions options)
    : store_(store),
      traffic_(traffic),
      options_(std::move(options)),
      removals_(options_.request_bound) {
  confirmation_.entry = options_.self;
  confirmation_.incarnation = options_.incarnation;
}

PoolsStatus PoolsController::Step(const PoolsInput& input) {
  PoolsStatus status;
  if (!store_.Current()) {
    if (const Result<void> read = store_.Refresh(); !read) {
      RecordError(read.error(), status);
      InstallTable(input, status);
      return status;
    }
  }
  if (!SameTargets(last_pools_, input.config.pools)) {
    last_pools_ = input.config.pools;
    pools_changed_at_ = input.now;
  }
  Observe(*store_.Current(), input);
  // Lowered limits must be in force before requests in flight are compared to
  // them.
  InstallTable(input, status);
  Confirm(status);
  if (NeedsConfirmations()) {
    ReadConfirmations(input, status);
  }
  DataCentreDocument draft = document_;
  Result<bool> due = Decide(draft, {input.wall, "draft"}, input);
  if (due && (*due || store_.StoreIsBehind())) {
    const Result<DataCentreDocument> written = store_.Update(
        [&](DataCentreDocument& next, const std::string& write_id) {
          if (store_.StoreIsBehind()) {
            // The restored copy may lack confirmations of this epoch. A new id
            // makes all members confirm it again.
            next.entries.epoch_id = write_id;
          }
          return Decide(next, {input.wall, write_id}, input);
        });
    if (written) {
      Observe(*written, input);
    } else {
      RecordError(written.error(), status);
    }
  } else if (!due) {
    RecordError(due.error(), status);
  }
  PruneConfirmations(status);
  InstallTable(input, status);
  return status;
}

Result<void> PoolsController::RemoveEntry(const EntryId& entry) {
  const Result<DataCentreDocument> written = store_.Update(
      [&](DataCentreDocument& next, const std::string&) -> Result<bool> {
        std::vector<EntryMember> members = next.entries.current;
        members.insert(members.end(), next.entries.joining.begin(),
                       next.entries.joining.end());
        for (const EntryMember& member : members) {
          if (member.id == entry && member.state == MemberState::kActive) {
            return Remove(next.entries, entry, member.incarnation,
                          MemberState::kRemovedByOperator);
          }
        }
        return Fail(ErrorCode::kNotFound, "pools.declare_gone", entry.value(),
                    "the entry instance is not a member");
      });
  if (!written) {
    return tl::unexpected<Error>(written.error());
  }
  LogEvent(LogLevel::kWarning, LogCategory::kPools, "declared_gone",
           {{"entry", entry.value()}});
  return {};
}

void PoolsController::Observe(const DataCentreDocument& document,
                              const PoolsInput& input) {
  if (document.entries.epoch_id != document_.entries.epoch_id) {
    LogEvent(LogLevel::kInfo, LogCategory::kPools, "epoch",
             {{"epoch", absl::StrCat(document.entries.epoch)},
              {"members", absl::StrCat(document.entries.current.size())}});
  }
  document_ = document;
  removals_.Observe(document_.entries, input.now);
  if (IsSettled(document_.entries, confirmations_, removals_, input.now)) {
    settled_epoch_id_ = document_.entries.epoch_id;
  }
  const EntryMember* self =
      FindMember(document_.entries, options_.self, options_.incarnation);
  was_member_ = was_member_ || self != nullptr;
  const bool out =
      was_member_ && (self == nullptr || self->state != MemberState::kActive);
  if (out && !releasing_ && !removed_) {
    removed_ = true;
    LogEvent(LogLevel::kError, LogCategory::kPools, "removed",
             {{"entry", options_.self.value()}});
  }
  released_ = released_ || (releasing_ && (out || !was_member_));
}

void PoolsController::InstallTable(const PoolsInput& input,
                                   PoolsStatus& status) {
  status.epoch = document_.entries.epoch;
  status.change = document_.change;
  status.settled = IsSettledNow(document_, input.now);
  status.removed = removed_;
  status.released = released_;
  status.member =
      IsActiveMember(document_.entries, options_.self, options_.incarnation);
  status.table = {};
  if (!releasing_ && !removed_) {
    status.table =
        BuildRoutingTable(document_, options_.self, options_.incarnation,
                          status.settled, input.config);
  }
  traffic_.Install(status.table, input.now);
}

void PoolsController::Confirm(PoolsStatus& status) {
  if (removed_ || released_ || !was_member_) {
    return;
  }
  Confirmation next = NextConfirmation(document_, confirmation_, traffic_);
  if (next.epoch_id != confirmation_.epoch_id ||
      next.drained != confirmation_.drained) {
    confirmation_ = std::move(next);
    confirmation_written_ = false;
  }
  if (confirmation_written_) {
    return;
  }
  if (const Result<void> written = store_.WriteConfirmation(confirmation_);
      written) {
    confirmation_written_ = true;
  } else {
    RecordError(written.error(), status);
  }
}

void PoolsController::ReadConfirmations(const PoolsInput& input,
                                        PoolsStatus& status) {
  Result<Confirmations> read = store_.ReadConfirmations();
  if (!read) {
    RecordError(read.error(), status);
    return;
  }
  confirmations_ = std::move(*read);
  Observe(document_, input);
}

void PoolsController::PruneConfirmations(PoolsStatus& status) {
  const EntryMembership& entries = document_.entries;
  if (settled_epoch_id_ != entries.epoch_id ||
      pruned_epoch_id_ == entries.epoch_id || entries.current.empty() ||
      entries.current.front().id != options_.self) {
    return;
  }
  const Result<int> pruned = store_.PruneConfirmations();
  if (pruned) {
    pruned_epoch_id_ = entries.epoch_id;
  } else {
    RecordError(pruned.error(), status);
  }
}

Result<bool> PoolsController::Decide(DataCentreDocument& document,
                                     const DocumentChange& change,
                                     const PoolsInput& input) const {
  Result<bool> membership = ApplyMembershipChanges(document, change, input);
  if (!membership) {
    return membership;
  }
  bool changed = *membership;
  if (input.listed) {
    changed |= SyncInstances(document, *input.listed, input.config, change);
  }
  changed |= ApplyMoves(document, change, input);
  return changed;
}

Result<bool> PoolsController::ApplyMembershipChanges(
    DataCentreDocument& document,
    const DocumentChange& change,
    const PoolsInput& input) const {
  EntryMembership& entries = document.entries;
  bool changed = false;
  if (releasing_) {
    if (NothingInFlight()) {
      changed |= Remove(entries, options_.self, options_.incarnation,
                        MemberState::kReleased);
    }
  } else if (!was_member_) {
    Result<bool> joined =
        RequestJoin(entries, options_.self, options_.incarnation,
                    ListedBoot(input, options_.self));
    if (!joined) {
      return joined;
    }
    changed |= *joined;
  }
  if (input.listed) {
    changed |= RemoveListedGone(entries, input);
  }
  if (IsSettledNow(document, input.now)) {
    changed |= AdvanceEpoch(entries, change.write_id);
  }
  return changed;
}

bool PoolsController::ApplyMoves(DataCentreDocument& document,
                                 const DocumentChange& change,
                                 const PoolsInput& input) const {
  bool changed = CompleteMoves(document, confirmations_, removals_, input.busy,
                               input.now, change);
  if (input.now - pools_changed_at_ < options_.config_settle_delay) {
    return changed;
  }
  for (const PlannedMove& move :
       PlanMoves(document, input.config, input.wall)) {
    if (BeginMove(document, move.instance, move.to_pool, move.to_project,
                  change)) {
      document.config_revision = input.config.revision;
      changed = true;
    }
  }
  return changed;
}

bool PoolsController::IsSettledNow(const DataCentreDocument& document,
                                   MonoTime now) const {
  return (!settled_epoch_id_.empty() &&
          settled_epoch_id_ == document.entries.epoch_id) ||
         IsSettled(document.entries, confirmations_, removals_, now);
}

bool PoolsController::NeedsConfirmations() const {
  return settled_epoch_id_ != document_.entries.epoch_id ||
         std::any_of(document_.instances.begin(), document_.instances.end(),
                     [](const auto& entry) {
                       return entry.second.stage == InstanceStage::kDraining;
                     });
}

bool PoolsController::NothingInFlight() const {
  const auto idle = [&](const auto& entry) {
    return traffic_.InFlight(entry.second.pool, entry.first) == 0;
  };
  // Departed instances may be added again while requests to them are still in
  // flight.
  return std::all_of(document_.instances.begin(), document_.instances.end(),
                     idle) &&
         std::all_of(document_.departed.begin(), document_.departed.end(),
                     idle);
}

void PoolsController::RecordError(const Error& error,
                                  PoolsStatus& status) const {
  if (!status.error) {
    status.error = error;
  }
}

}  // namespace figflow
