#include "Daemon/admin_views.h"

#include <algorithm>
#include <chrono>
#include <string>

#include "Pools/ledger.h"
#include "Sheet/sheet_columns.h"

namespace figflow {
namespace {

template <typename Id>
bool Matches(const Id& wanted, const Id& value) {
  return wanted.empty() || wanted == value;
}

SheetChangeView RowChange(const char* kind, const SheetRow& row) {
  SheetChangeView change;
  change.kind = kind;
  change.project = row.project;
  change.pool = row.pool;
  change.data_centre = row.data_centre;
  return change;
}

// Cell text of a JSON value without the quotes of a string.
std::string CellText(const nlohmann::json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

const char* StageName(InstanceStage stage) {
  switch (stage) {
    case InstanceStage::kActive:
      return "active";
    case InstanceStage::kDraining:
      return "draining";
    case InstanceStage::kMaintenance:
      return "down";
  }
  return "";
}

double Minutes(std::chrono::milliseconds time) {
  return std::chrono::duration<double, std::ratio<60>>(time).count();
}

}  // namespace

std::vector<SheetFaultView> FaultViews(const std::vector<SheetFault>& faults) {
  std::vector<SheetFaultView> views;
  views.reserve(faults.size());
  for (const SheetFault& fault : faults) {
    SheetFaultView view;
    view.row = fault.row;
    view.column = fault.column == 0 ? "" : std::to_string(fault.column);
    view.message = fault.message;
    views.push_back(std::move(view));
  }
  return views;
}

std::vector<SheetChangeView> ChangeViews(const SheetDiff& diff) {
  std::vector<SheetChangeView> changes;
  for (const SheetRow& row : diff.added) {
    changes.push_back(RowChange("added", row));
  }
  for (const SheetRow& row : diff.removed) {
    changes.push_back(RowChange("removed", row));
  }
  for (const ChangedRow& changed : diff.changed) {
    const nlohmann::json before = RowToJson(changed.before);
    const nlohmann::json after = RowToJson(changed.after);
    for (const std::string& column : changed.columns) {
      SheetChangeView change = RowChange("changed", changed.after);
      change.column = column;
      change.before = CellText(before[column]);
      change.after = CellText(after[column]);
      changes.push_back(std::move(change));
    }
  }
  return changes;
}

std::vector<DaemonRow> DaemonRows(const PeerDigest& local,
                                  const std::map<EntryId, PeerView>& peers) {
  const auto row_of = [&local](const PeerDigest& digest, bool suspect) {
    DaemonRow row;
    row.entry = digest.entry;
    row.incarnation = digest.incarnation;
    row.data_centre = digest.data_centre;
    row.address = digest.address;
    row.config_revision = digest.config_revision;
    row.confirmed = digest.config_revision >= local.config_revision;
    row.suspect = suspect;
    row.stopping = digest.stopping;
    return row;
  };
  std::vector<DaemonRow> rows = {row_of(local, false)};
  for (const auto& [entry, view] : peers) {
    rows.push_back(row_of(view.digest, view.suspect));
  }
  return rows;
}

std::vector<PoolRow> PoolRows(const FleetConfiguration& configuration,
                              const std::vector<DataCentreDocument>& documents,
                              const AdminFilter& filter) {
  std::vector<PoolRow> rows;
  for (const SheetRow& wanted : configuration.rows) {
    if (!Matches(filter.project, wanted.project) ||
        !Matches(filter.pool, wanted.pool) ||
        !Matches(filter.team, wanted.team) ||
        !Matches(filter.data_centre, wanted.data_centre)) {
      continue;
    }
    PoolRow row;
    row.project = wanted.project;
    row.pool = wanted.pool;
    row.data_centre = wanted.data_centre;
    row.wanted = wanted.instances;
    for (const DataCentreDocument& document : documents) {
      if (document.data_centre != wanted.data_centre) {
        continue;
      }
      for (const auto& [id, record] : document.instances) {
        if (record.pool != wanted.pool) {
          continue;
        }
        row.active += record.stage == InstanceStage::kActive ? 1 : 0;
        row.draining += record.stage == InstanceStage::kActive ? 0 : 1;
      }
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

std::vector<InstanceRow> InstanceRows(
    const std::vector<DataCentreDocument>& documents,
    const AdminFilter& filter) {
  std::vector<InstanceRow> rows;
  for (const DataCentreDocument& document : documents) {
    if (!Matches(filter.data_centre, document.data_centre)) {
      continue;
    }
    for (const auto& [id, record] : document.instances) {
      InstanceRow row;
      row.instance = id;
      row.data_centre = document.data_centre;
      row.rack = record.rack;
      row.state = StageName(record.stage);
      row.project = record.project;
      row.pool = record.pool;
      row.moving_to = record.to_pool;
      row.boot = record.boot;
      if (Matches(filter.project, row.project) &&
          Matches(filter.pool, row.pool) &&
          (filter.state.empty() || filter.state == row.state)) {
        rows.push_back(std::move(row));
      }
    }
  }
  return rows;
}

std::vector<LedgerRow> LedgerRows(
    const std::vector<DataCentreDocument>& documents,
    WallTime now,
    const AdminFilter& filter) {
  std::vector<LedgerRow> rows;
  for (const DataCentreDocument& document : documents) {
    if (!Matches(filter.data_centre, document.data_centre)) {
      continue;
    }
    for (const auto& [project, time] : LedgerTotals(document, now)) {
      if (!Matches(filter.project, project)) {
        continue;
      }
      LedgerRow row;
      row.data_centre = document.data_centre;
      row.project = project;
      row.instances = static_cast<int>(
          std::count_if(document.instances.begin(), document.instances.end(),
                        [&project = project](const auto& instance) {
                          return instance.second.project == project;
                        }));
      row.instance_time =
          std::chrono::duration_cast<std::chrono::seconds>(time);
      row.as_of = now;
      rows.push_back(std::move(row));
    }
  }
  return rows;
}

std::vector<ProjectRow> ProjectRows(
    const FleetConfiguration& configuration,
    const std::vector<DataCentreDocument>& documents,
    const std::map<ProjectId, BudgetDocument>& budgets,
    WallTime now,
    const AdminFilter& filter) {
  std::map<ProjectId, ProjectRow> rows;
  for (const SheetRow& wanted : configuration.rows) {
    if (!Matches(filter.project, wanted.project) ||
        !Matches(filter.team, wanted.team)) {
      continue;
    }
    ProjectRow& row = rows[wanted.project];
    row.project = wanted.project;
    row.team = wanted.team;
    row.priority = std::string(PriorityName(wanted.priority));
    row.wanted += wanted.instances;
    row.max_down = wanted.max_down;
    row.budget_minutes = wanted.budget_minutes;
  }
  for (const DataCentreDocument& document : documents) {
    for (const auto& [id, record] : document.instances) {
      auto row = rows.find(record.project);
      if (row == rows.end()) {
        continue;
      }
      ++row->second.owned;
      row->second.down += record.stage == InstanceStage::kMaintenance ? 1 : 0;
    }
  }
  for (const auto& [project, budget] : budgets) {
    auto row = rows.find(project);
    if (row == rows.end()) {
      continue;
    }
    auto charge = budget.charges.find(UtcDay(now));
    if (charge != budget.charges.end()) {
      row->second.used_minutes =
          Minutes(charge->second.planned + charge->second.unplanned);
    }
    for (const auto& [operation, reservation] : budget.reservations) {
      row->second.reserved_minutes +=
          Minutes(std::chrono::duration_cast<std::chrono::milliseconds>(
              reservation.end - reservation.begin));
    }
  }
  std::vector<ProjectRow> list;
  list.reserve(rows.size());
  for (auto& [project, row] : rows) {
    list.push_back(std::move(row));
  }
  return list;
}

}  // namespace figflow
