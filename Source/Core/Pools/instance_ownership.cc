#include "Pools/instance_ownership.h"

#include <algorithm>
#include <iterator>
#include <set>

#include "Pools/ledger.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

// A member that could not reach the store for longer than this is assumed to
// have stopped using instances that departed before.
constexpr std::chrono::hours kDepartedRetention{24 * 30};

// The pool and project that an instance belongs to.
struct Owner {
  PoolId pool{kSparePool};
  ProjectId project{kSparePool};
};

// Returns the pool with the largest shortage of instances, or the spare pool.
Owner OwnerOfNewInstance(const DataCentreDocument& document,
                         const PoolsConfig& config) {
  Owner owner;
  int largest_lack = 0;
  // A daemon with an older configuration must not undo newer decisions.
  if (config.revision < document.config_revision) {
    return owner;
  }
  for (const PoolSettings& target : config.pools) {
    const int lack = target.wanted - CountInPool(document, target.pool);
    if (lack > largest_lack && target.pool.value() != kSparePool) {
      largest_lack = lack;
      owner = Owner{target.pool, target.project};
    }
  }
  return owner;
}

void CopyListed(const ListedInstance& listed, InstanceRecord& record) {
  record.rack = listed.rack;
  record.address = listed.address;
  record.boot = listed.boot;
  record.slots = std::max(listed.slots, 0);
  record.connections = std::max(listed.connections, 0);
}

void Enter(DataCentreDocument& document,
           const ListedInstance& listed,
           const PoolsConfig& config,
           const DocumentChange& change) {
  const Owner owner = OwnerOfNewInstance(document, config);
  InstanceRecord record;
  CopyListed(listed, record);
  record.pool = owner.pool;
  record.project = owner.project;
  record.since = ToLedgerTime(change.now);
  const auto departed = document.departed.find(listed.id);
  if (departed != document.departed.end()) {
    record.since = std::max(record.since, departed->second.since);
    // A member that has not received the removal of the instance may still use
    // it for its former pool, and requests in flight at departed instances were
    // not considered when epochs were confirmed.
    record.stage = InstanceStage::kDraining;
    record.pool = departed->second.pool;
    record.project = departed->second.project;
    record.to_pool = owner.pool;
    record.to_project = owner.project;
    record.drain_id = change.write_id;
    document.departed.erase(departed);
  }
  document.instances.emplace(listed.id, std::move(record));
}

void Leave(DataCentreDocument& document,
           std::map<InstanceId, InstanceRecord>::iterator it,
           uint64_t boot,
           const DocumentChange& change) {
  InstanceRecord& record = it->second;
  CloseLedgerInterval(document, record, change.now);
  document.departed[it->first] = DepartedInstance{
      std::max(boot, record.boot), record.pool, record.project, record.since};
  document.instances.erase(it);
}

bool PruneDeparted(DataCentreDocument& document, WallTime now) {
  const size_t before = document.departed.size();
  for (auto it = document.departed.begin(); it != document.departed.end();) {
    it = now - it->second.since > kDepartedRetention
             ? document.departed.erase(it)
             : std::next(it);
  }
  return document.departed.size() != before;
}

// Updates the instances of pools that the configuration has assigned to another
// project.
bool SyncProjects(DataCentreDocument& document,
                  const PoolsConfig& config,
                  const DocumentChange& change) {
  if (config.revision == 0 || config.revision < document.config_revision) {
    return false;
  }
  std::map<PoolId, ProjectId> projects;
  for (const PoolSettings& target : config.pools) {
    projects[target.pool] = target.project;
  }
  bool changed = false;
  for (auto& [id, record] : document.instances) {
    const auto it = projects.find(record.pool);
    if (it != projects.end() && it->second != record.project) {
      CloseLedgerInterval(document, record, change.now);
      record.project = it->second;
      document.config_revision = config.revision;
      changed = true;
    }
  }
  return changed;
}

InstanceRecord* FindInstance(DataCentreDocument& document,
                             const InstanceId& instance) {
  const auto it = document.instances.find(instance);
  return it == document.instances.end() ? nullptr : &it->second;
}

bool ConfirmedDrain(const EntryMember& member,
                    const InstanceId& instance,
                    const std::string& drain_id,
                    const Confirmations& confirmations) {
  const auto it = confirmations.find(member.id);
  if (it == confirmations.end() ||
      it->second.incarnation != member.incarnation) {
    return false;
  }
  const auto drained = it->second.drained.find(instance);
  return drained != it->second.drained.end() && drained->second == drain_id;
}

}  // namespace

int CountInPool(const DataCentreDocument& document, const PoolId& pool) {
  return static_cast<int>(std::count_if(
      document.instances.begin(), document.instances.end(),
      [&](const auto& entry) {
        const InstanceRecord& record = entry.second;
        return (record.stage == InstanceStage::kDraining ? record.to_pool
                                                         : record.pool) == pool;
      }));
}

bool SyncInstances(DataCentreDocument& document,
                   const std::vector<ListedInstance>& listed,
                   const PoolsConfig& config,
                   const DocumentChange& change) {
  bool changed = SyncProjects(document, config, change);
  // Lost instances are removed first, so that new ones in the same list can
  // replace them.
  for (const ListedInstance& instance : listed) {
    const auto it = document.instances.find(instance.id);
    // An instance that reboots for maintenance is listed as gone meanwhile.
    if (it != document.instances.end() &&
        it->second.stage != InstanceStage::kMaintenance &&
        instance.state == InstanceState::kGone &&
        instance.boot >= it->second.boot) {
      Leave(document, it, instance.boot, change);
      changed = true;
    }
  }
  for (const ListedInstance& instance : listed) {
    if (instance.role != InstanceRole::kWorker ||
        instance.state == InstanceState::kGone ||
        instance.data_centre != document.data_centre) {
      continue;
    }
    if (InstanceRecord* record = FindInstance(document, instance.id)) {
      if (instance.boot > record->boot) {
        CopyListed(instance, *record);
        changed = true;
      }
      continue;
    }
    const auto departed = document.departed.find(instance.id);
    if (instance.state == InstanceState::kLive &&
        (departed == document.departed.end() ||
         departed->second.boot < instance.boot)) {
      Enter(document, instance, config, change);
      changed = true;
    }
  }
  // Pruning alone does not justify a write.
  if (changed) {
    PruneDeparted(document, change.now);
  }
  return changed;
}

Result<void> BeginMove(DataCentreDocument& document,
                       const InstanceId& instance,
                       const PoolId& to_pool,
                       const ProjectId& to_project,
                       const DocumentChange& change) {
  InstanceRecord* record = FindInstance(document, instance);
  if (record == nullptr) {
    return Fail(ErrorCode::kNotFound, "pools.begin_move", instance.value(),
                "the instance is not in the data centre document");
  }
  if (record->stage != InstanceStage::kActive || record->pool == to_pool) {
    return Fail(ErrorCode::kConflict, "pools.begin_move", instance.value(),
                "the instance is not active in another pool");
  }
  MoveCount& count = document.move_count;
  // A clock that was set back does not reset the counts of the day.
  if (UtcDay(change.now) > count.day) {
    count.day = UtcDay(change.now);
    count.moves.clear();
  }
  for (const PoolId& pool : {record->pool, to_pool}) {
    if (pool.value() != kSparePool) {
      ++count.moves[pool];
    }
  }
  record->stage = InstanceStage::kDraining;
  record->to_pool = to_pool;
  record->to_project = to_project;
  record->drain_id = change.write_id;
  return {};
}

Result<bool> BeginMaintenance(DataCentreDocument& document,
                              const InstanceId& instance,
                              const OperationId& operation,
                              const DocumentChange& change) {
  InstanceRecord* record = FindInstance(document, instance);
  if (record == nullptr) {
    return Fail(ErrorCode::kNotFound, "pools.begin_maintenance",
                instance.value(),
                "the instance is not in the data centre document");
  }
  if (record->stage == InstanceStage::kMaintenance &&
      record->operation == operation) {
    return false;
  }
  if (record->stage != InstanceStage::kActive) {
    return Fail(ErrorCode::kConflict, "pools.begin_maintenance",
                instance.value(), "the instance is not active");
  }
  record->stage = InstanceStage::kMaintenance;
  record->operation = operation;
  record->drain_id = change.write_id;
  return true;
}

bool EndMaintenance(DataCentreDocument& document,
                    const InstanceId& instance,
                    const OperationId& operation) {
  InstanceRecord* record = FindInstance(document, instance);
  if (record == nullptr || record->stage != InstanceStage::kMaintenance ||
      record->operation != operation) {
    return false;
  }
  record->stage = InstanceStage::kActive;
  record->operation = OperationId();
  record->drain_id.clear();
  return true;
}

bool IsDrained(const DataCentreDocument& document,
               const InstanceId& instance,
               const Confirmations& confirmations,
               const RemovalTracker& waits,
               MonoTime now) {
  const auto it = document.instances.find(instance);
  if (it == document.instances.end() ||
      it->second.stage == InstanceStage::kActive) {
    return false;
  }
  const EntryMembership& entries = document.entries;
  for (const auto* list :
       {&entries.current, &entries.joining, &entries.previous}) {
    for (const EntryMember& member : *list) {
      // Active members of the previous epoch are also in the current one.
      if (member.state == MemberState::kReleased ||
          (list == &entries.previous && !RequestsMayOutliveRemoval(member)) ||
          ConfirmedDrain(member, instance, it->second.drain_id,
                         confirmations)) {
        continue;
      }
      if (!RequestsMayOutliveRemoval(member) ||
          !waits.RequestsEnded(member, now)) {
        return false;
      }
    }
  }
  return true;
}

bool CompleteMoves(DataCentreDocument& document,
                   const Confirmations& confirmations,
                   const RemovalTracker& waits,
                   const std::optional<std::set<InstanceId>>& busy,
                   MonoTime now,
                   const DocumentChange& change) {
  if (!busy) {
    return false;
  }
  bool changed = false;
  for (auto& [id, record] : document.instances) {
    if (record.stage != InstanceStage::kDraining || busy->count(id) != 0 ||
        !IsDrained(document, id, confirmations, waits, now)) {
      continue;
    }
    CloseLedgerInterval(document, record, change.now);
    record.stage = InstanceStage::kActive;
    record.pool = record.to_pool;
    record.project = record.to_project;
    record.to_pool = PoolId();
    record.to_project = ProjectId();
    record.drain_id.clear();
    changed = true;
  }
  return changed;
}

}  // namespace figflow
