#include "FleetConfig/fleet_configuration.h"

#include <algorithm>
#include <iterator>

#include <xxhash.h>

#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

void EraseRow(const std::pair<ProjectId, DataCentreId>& key, SheetRows& rows) {
  rows.erase(std::remove_if(rows.begin(), rows.end(),
                            [&](const SheetRow& row) {
                              return row.project == key.first &&
                                     row.data_centre == key.second;
                            }),
             rows.end());
}

void SetRow(const SheetRow& row, SheetRows& rows) {
  const auto at = std::lower_bound(rows.begin(), rows.end(), row, RowKeyLess);
  if (at != rows.end() && !RowKeyLess(row, *at)) {
    *at = row;
  } else {
    rows.insert(at, row);
  }
}

}  // namespace

const SheetRow* FleetConfiguration::Find(
    const ProjectId& project,
    const DataCentreId& data_centre) const {
  SheetRow key;
  key.project = project;
  key.data_centre = data_centre;
  const auto at = std::lower_bound(rows.begin(), rows.end(), key, RowKeyLess);
  return at != rows.end() && !RowKeyLess(key, *at) ? &*at : nullptr;
}

const ApplyRecord* FleetConfiguration::FindApply(absl::string_view id) const {
  for (const ApplyRecord& record : applies) {
    if (record.id == id) {
      return &record;
    }
  }
  return nullptr;
}

std::string RowsHash(const SheetRows& rows) {
  std::string text;
  for (const SheetRow& row : rows) {
    absl::StrAppend(&text, RowToCompactJson(row).dump(), "\n");
  }
  return absl::StrCat(
      absl::Hex(XXH64(text.data(), text.size(), 0), absl::kZeroPad16));
}

FleetConfiguration EmptyConfiguration() {
  FleetConfiguration empty;
  empty.hash = RowsHash({});
  return empty;
}

ConfigStep MakeStep(const FleetConfiguration& base,
                    const SheetRows& rows,
                    std::string apply_id,
                    WallTime applied_at) {
  SheetDiff diff = DiffRows(base.rows, rows);
  ConfigStep step;
  step.revision = base.revision + 1;
  step.base_hash = base.hash;
  step.hash = RowsHash(rows);
  step.apply_id = std::move(apply_id);
  // Stored in milliseconds; all daemons hold the same value.
  step.applied_at = FromEpoch(SinceEpoch(applied_at));
  step.set = std::move(diff.added);
  for (const ChangedRow& changed : diff.changed) {
    step.set.push_back(changed.after);
  }
  for (const SheetRow& row : diff.removed) {
    step.removed.emplace_back(row.project, row.data_centre);
  }
  return step;
}

Result<FleetConfiguration> ApplyStep(const FleetConfiguration& base,
                                     const ConfigStep& step) {
  if (step.revision != base.revision + 1 || step.base_hash != base.hash) {
    return Fail(ErrorCode::kConflict, "config.apply_step", "",
                absl::StrCat("the step to revision ", step.revision,
                             " does not continue revision ", base.revision));
  }
  FleetConfiguration next = base;
  for (const auto& key : step.removed) {
    EraseRow(key, next.rows);
  }
  for (const SheetRow& row : step.set) {
    SetRow(row, next.rows);
  }
  next.revision = step.revision;
  next.hash = RowsHash(next.rows);
  next.apply_id = step.apply_id;
  next.applied_at = step.applied_at;
  next.applies.push_back({step.apply_id, step.revision, step.hash});
  if (next.applies.size() > kMaxApplyRecords) {
    next.applies.erase(next.applies.begin());
  }
  if (next.hash != step.hash) {
    return Fail(ErrorCode::kInternal, "config.apply_step", "",
                absl::StrCat("revision ", step.revision, " has hash ",
                             next.hash, " instead of ", step.hash));
  }
  return next;
}

}  // namespace figflow
