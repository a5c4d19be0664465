#ifndef SHEET_SHEET_COLUMNS_H_
#define SHEET_SHEET_COLUMNS_H_

#include <array>
#include <optional>
#include <variant>

#include "Common/json.h"

#include "Sheet/sheet_document.h"
#include "Sheet/sheet_fault.h"
#include "absl/strings/string_view.h"

namespace figflow {

inline constexpr int kMinutesPerDay = 24 * 60;

using ColumnMember = std::variant<ProjectId SheetRow::*,
                                  TeamId SheetRow::*,
                                  PoolId SheetRow::*,
                                  DataCentreId SheetRow::*,
                                  int SheetRow::*,
                                  double SheetRow::*,
                                  Priority SheetRow::*>;

struct SheetColumn {
  absl::string_view name;
  ColumnMember member;
  // Accepted values of a number; unused for names.
  double lowest = 0;
  double highest = 0;
  // The value holds for the whole project: its rows must agree.
  bool whole_project = false;
};

// Columns in the order of the sheet.
constexpr size_t kColumnCount = 10;
const std::array<SheetColumn, kColumnCount>& SheetColumns();

// Why a cell was refused.
struct CellFault {
  SheetFaultKind kind;
  std::string message;
};

// Parses `cell` into the column's member of `row`.
std::optional<CellFault> ParseCell(const SheetColumn& column,
                                   absl::string_view cell,
                                   SheetRow& row);

nlohmann::json ColumnToJson(const SheetColumn& column, const SheetRow& row);

// Value as it is written in a sheet.
std::string ColumnToText(const SheetColumn& column, const SheetRow& row);

// Reads a value written by ColumnToJson, with the same checks as ParseCell.
std::optional<CellFault> ColumnFromJson(const SheetColumn& column,
                                        const nlohmann::json& json,
                                        SheetRow& row);

bool ColumnEqual(const SheetColumn& column,
                 const SheetRow& a,
                 const SheetRow& b);

}  // namespace figflow

#endif  // SHEET_SHEET_COLUMNS_H_
