#ifndef FLEETCONFIG_FLEET_CONFIGURATION_H_
#define FLEETCONFIG_FLEET_CONFIGURATION_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "Common/clock.h"
#include "Common/error.h"
#include "Common/strong_id.h"
#include "Sheet/sheet_diff.h"
#include "Sheet/sheet_document.h"
#include "absl/strings/string_view.h"

namespace figflow {

// One accepted sheet.
struct ApplyRecord {
  std::string id;
  uint64_t revision = 0;
  // Hash of the rows that it put in force.
  std::string hash;
};

// Records kept for settling lost answers: a write that was followed by more
// applies than this within one request timeout is not expected.
inline constexpr size_t kMaxApplyRecords = 16;

// The accepted configuration at one revision. Revision 0 is the empty
// configuration that a fleet starts with.
struct FleetConfiguration {
  uint64_t revision = 0;
  // RowsHash of `rows`.
  std::string hash;
  std::string apply_id;
  WallTime applied_at;
  // Sorted by RowKeyLess.
  SheetRows rows;
  // Latest applies, oldest first.
  std::vector<ApplyRecord> applies;

  // nullptr if the project has no row in the data centre.
  const SheetRow* Find(const ProjectId& project,
                       const DataCentreId& data_centre) const;
  // nullptr if the apply is not on record, or no longer.
  const ApplyRecord* FindApply(absl::string_view id) const;
};

FleetConfiguration EmptyConfiguration();

// 16 hexadecimal digits (XXH64 of the rows' compact JSON).
std::string RowsHash(const SheetRows& rows);

// What one apply changed: leads from `revision` - 1 to `revision`.
struct ConfigStep {
  uint64_t revision = 0;
  std::string base_hash;
  std::string hash;
  std::string apply_id;
  WallTime applied_at;
  // Rows added or changed.
  SheetRows set;
  std::vector<std::pair<ProjectId, DataCentreId>> removed;
};

// The step from `base` to `rows`.
ConfigStep MakeStep(const FleetConfiguration& base,
                    const SheetRows& rows,
                    std::string apply_id,
                    WallTime applied_at);

// kConflict: the step does not continue `base`. kInternal: the result does not
// have the step's hash.
Result<FleetConfiguration> ApplyStep(const FleetConfiguration& base,
                                     const ConfigStep& step);

}  // namespace figflow

#endif  // FLEETCONFIG_FLEET_CONFIGURATION_H_
