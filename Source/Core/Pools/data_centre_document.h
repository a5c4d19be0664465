#ifndef POOLS_DATA_CENTRE_DOCUMENT_H_
#define POOLS_DATA_CENTRE_DOCUMENT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Common/clock.h"
#include "Common/error.h"
#include "Common/strong_id.h"
#include "absl/strings/string_view.h"

namespace figflow {

// Name of the pool, and of the project, that holds instances no other pool
// uses.
inline constexpr char kSparePool[] = "spare";

// Whether a member uses its share or was removed, and the cause of its removal.
enum class MemberState {
  kActive,
  // The member released its share itself, with no request in flight.
  kReleased,
  // A newer incarnation of the same entry instance joined.
  kReplaced,
  // The platform's list reports that the instance no longer exists.
  kGone,
  kRemovedByOperator,
};

// One incarnation of the daemon on an entry instance, as a member of an epoch.
struct EntryMember {
  EntryId id;
  // Increases with each start of the daemon on this entry instance.
  uint64_t incarnation = 0;
  // Boot number in the platform's list when the member joined; 0 if unknown.
  uint64_t boot = 0;
  MemberState state = MemberState::kActive;
};

// The entry instances among which the slots of the data centre's targets are
// divided.
struct EntryMembership {
  uint64_t epoch = 0;
  // Id of the write that began the epoch. Confirmations contain it, because
  // epoch numbers may repeat after the store was restored from a copy.
  std::string epoch_id;
  // Members of the previous and of the current epoch, each sorted by id.
  std::vector<EntryMember> previous;
  std::vector<EntryMember> current;
  // Become members in the next epoch.
  std::vector<EntryMember> joining;
};

// Whether an instance takes new work.
enum class InstanceStage {
  kActive,
  // Takes no new work; becomes active in `to_pool` once it is drained.
  kDraining,
  // Takes no new work; stays in its pool and becomes active there after the
  // maintenance.
  kMaintenance,
};

// An instance of the data centre, its pool and its stage.
struct InstanceRecord {
  RackId rack;
  std::string address;
  uint64_t boot = 0;
  int slots = 0;
  int connections = 0;
  InstanceStage stage = InstanceStage::kActive;
  // Owner of the instance; while draining, the previous owner.
  PoolId pool;
  ProjectId project;
  // Next owner; set while draining only.
  PoolId to_pool;
  ProjectId to_project;
  // Set in maintenance only.
  OperationId operation;
  // Id of the write that began the drain; empty while active. Confirmations
  // contain it, so that a confirmation of an earlier drain never counts for a
  // later one.
  std::string drain_id;
  // Start of the open ledger interval of `project`.
  WallTime since;
};

// An instance that was removed from the document. The record is kept so that a
// stale list does not add the instance again. If it is available again after a
// reboot, it is used only once no member has earlier requests in flight at it.
struct DepartedInstance {
  uint64_t boot = 0;
  PoolId pool;
  ProjectId project;
  WallTime since;
};

// Number of moves begun on one UTC day by pool, except the spare pool.
struct MoveCount {
  // Whole days since the Unix epoch.
  int64_t day = 0;
  std::map<PoolId, int> moves;
};

// State that the daemons of one data centre share in the store: value of the
// key "dc/<data centre>".
struct DataCentreDocument {
  DataCentreId data_centre;
  std::string write_id;
  // Increases by one with each write.
  uint64_t change = 0;
  EntryMembership entries;
  std::map<InstanceId, InstanceRecord> instances;
  std::map<InstanceId, DepartedInstance> departed;
  // Instance time of closed ledger intervals by project.
  std::map<ProjectId, std::chrono::milliseconds> ledger;
  MoveCount move_count;
  // Highest configuration revision by which instances were moved or assigned to
  // another project.
  uint64_t config_revision = 0;
};

// State that an entry instance reports to the other members: value of the key
// "confirm/<data centre>/<entry>".
struct Confirmation {
  EntryId entry;
  uint64_t incarnation = 0;
  // The last epoch for which the entry has applied its limits and uses no more
  // than its previous and its current share.
  std::string epoch_id;
  // Drain ids by instance at which the entry has no request in flight. It sends
  // no request there until it sees the instance active again.
  std::map<InstanceId, std::string> drained;
};

std::string FormatDataCentreDocument(const DataCentreDocument& document);
// Returns kInvalid with the path of the first fault, also for an unknown
// version.
Result<DataCentreDocument> ParseDataCentreDocument(absl::string_view text);

std::string FormatConfirmation(const Confirmation& confirmation);
Result<Confirmation> ParseConfirmation(absl::string_view text);

// Returns the number of whole UTC days since the Unix epoch.
int64_t UtcDay(WallTime time);

}  // namespace figflow

#endif  // POOLS_DATA_CENTRE_DOCUMENT_H_
