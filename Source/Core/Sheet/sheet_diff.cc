#include "Sheet/sheet_diff.h"

#include <utility>

#include "Sheet/sheet_columns.h"

namespace figflow {
namespace {

nlohmann::json RowsToJson(const SheetRows& rows) {
  nlohmann::json list = nlohmann::json::array();
  for (const SheetRow& row : rows) {
    list.push_back(RowToJson(row));
  }
  return list;
}

}  // namespace

SheetDiff DiffRows(const SheetRows& before, const SheetRows& after) {
  SheetDiff diff;
  auto old_row = before.begin();
  auto new_row = after.begin();
  while (old_row != before.end() || new_row != after.end()) {
    if (new_row == after.end() ||
        (old_row != before.end() && RowKeyLess(*old_row, *new_row))) {
      diff.removed.push_back(*old_row++);
      continue;
    }
    if (old_row == before.end() || RowKeyLess(*new_row, *old_row)) {
      diff.added.push_back(*new_row++);
      continue;
    }
    ChangedRow changed{*old_row++, *new_row++, {}};
    for (const SheetColumn& column : SheetColumns()) {
      if (!ColumnEqual(column, changed.before, changed.after)) {
        changed.columns.emplace_back(column.name);
      }
    }
    if (!changed.columns.empty()) {
      diff.changed.push_back(std::move(changed));
    }
  }
  return diff;
}

nlohmann::json ToJson(const SheetDiff& diff) {
  nlohmann::json changed = nlohmann::json::array();
  for (const ChangedRow& row : diff.changed) {
    nlohmann::json columns = nlohmann::json::object();
    for (const SheetColumn& column : SheetColumns()) {
      if (!ColumnEqual(column, row.before, row.after)) {
        columns[std::string(column.name)] = {
            {"before", ColumnToJson(column, row.before)},
            {"after", ColumnToJson(column, row.after)}};
      }
    }
    changed.push_back({{"project", row.after.project.value()},
                       {"data_centre", row.after.data_centre.value()},
                       {"columns", std::move(columns)}});
  }
  return {{"added", RowsToJson(diff.added)},
          {"removed", RowsToJson(diff.removed)},
          {"changed", std::move(changed)}};
}

}  // namespace figflow
