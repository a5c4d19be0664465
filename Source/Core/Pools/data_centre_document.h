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

// The pool and the project that hold instances without work.
inline constexpr char kSparePool[] = "spare";

enum class MemberState {
  kActive,
  // Gave its share back itself with nothing in flight.
  kReleased,
  // A newer incarnation of the same entry instance joined.
  kReplaced,
  // The platform's list reports the instance as gone.
  kGone,
  kDeclaredGoneByOperator,
};

struct EntryMember {
  EntryId id;
  // Grows with each start of the daemon on this entry instance.
  uint64_t incarnation = 0;
  // Boot number in the platform's list when the member joined; 0 if unknown.
  uint64_t boot = 0;
  MemberState state = MemberState::kActive;
};

// The entry instances that share the slots of this data centre's targets.
struct EntryMembership {
  uint64_t epoch = 0;
  // Write id of the write that began the epoch. Confirmations name it, because
  // epoch numbers may repeat after the store was restored from a copy.
  std::string epoch_id;
  // Members of epoch - 1 and of epoch, sorted by id.
  std::vector<EntryMember> previous;
  std::vector<EntryMember> current;
  // Become members with the next epoch.
  std::vector<EntryMember> joining;
};

enum class InstanceStage {
  kActive,
  // Takes no new work; becomes active in `to_pool`.
  kDraining,
  // Takes no new work; stays in its pool and becomes active there again.
  kMaintenance,
};

struct InstanceRecord {
  RackId rack;
  std::string address;
  uint64_t boot = 0;
  int slots = 0;
  int connections = 0;
  InstanceStage stage = InstanceStage::kActive;
  // Owner; while draining still the old one.
  PoolId pool;
  ProjectId project;
  // Set while draining.
  PoolId to_pool;
  ProjectId to_project;
  // Set in maintenance.
  OperationId operation;
  // While not active: write id of the write that began the drain. Confirmations
  // name it, so that one of an earlier drain never counts for a later one.
  std::string drain_id;
  // Begin of the open ledger interval of `project`.
  WallTime since;
};

// An instance that left. Kept so that a stale list does not bring it back and
// its return waits until no member has requests of its earlier stay there.
struct DepartedInstance {
  uint64_t boot = 0;
  PoolId pool;
  ProjectId project;
  WallTime since;
};

// Moves begun on one UTC day, by pool other than the spare pool.
struct MoveCount {
  int64_t day = 0;
  std::map<PoolId, int> moves;
};

// Value of the key "dc/<data centre>".
struct DataCentreDocument {
  DataCentreId data_centre;
  std::string write_id;
  // Grows by one with each write.
  uint64_t change = 0;
  EntryMembership entries;
  std::map<InstanceId, InstanceRecord> instances;
  std::map<InstanceId, DepartedInstance> departed;
  // Closed ledger intervals.
  std::map<ProjectId, std::chrono::milliseconds> ledger;
  MoveCount move_count;
  // Highest configuration revision that moves were planned with.
  uint64_t config_revision = 0;
};

// Value of the key "confirm/<data centre>/<entry>".
struct Confirmation {
  EntryId entry;
  uint64_t incarnation = 0;
  // The entry knows this epoch and its use fits both its previous and its
  // current share.
  std::string epoch_id;
  // Drains (instance to drain id) for which the entry has nothing in flight;
  // it sends nothing before it sees the instance active again.
  std::map<InstanceId, std::string> drained;
};

std::string FormatDataCentreDocument(const DataCentreDocument& document);
// kInvalid with the path of the first fault, also for an unknown version.
Result<DataCentreDocument> ParseDataCentreDocument(absl::string_view text);

std::string FormatConfirmation(const Confirmation& confirmation);
Result<Confirmation> ParseConfirmation(absl::string_view text);

// Whole UTC days since the Unix epoch.
int64_t UtcDay(WallTime time);

}  // namespace figflow

#endif  // POOLS_DATA_CENTRE_DOCUMENT_H_
