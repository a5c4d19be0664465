#include "Sheet/sheet_parser.h"

#include <algorithm>
#include <array>
#include <map>
#include <numeric>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

#include "Sheet/csv.h"
#include "Sheet/sheet_columns.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

constexpr absl::string_view kRevisionMark = "#revision";

int ColumnNumber(absl::string_view name) {
  for (size_t i = 0; i < kColumnCount; ++i) {
    if (SheetColumns()[i].name == name) {
      return static_cast<int>(i) + 1;
    }
  }
  return 0;
}

// Name of an encoding that cannot be read, from the byte-order mark or, without
// one, from the zero byte beside the first character. Null for anything else.
const char* ForeignEncoding(absl::string_view csv) {
  const auto begins = [csv](absl::string_view mark) {
    return absl::StartsWith(csv, mark);
  };
  if (begins(absl::string_view("\xFF\xFE\0\0", 4)) ||
      begins(absl::string_view("\0\0\xFE\xFF", 4))) {
    return "UTF-32";
  }
  if (begins("\xFF\xFE") || begins("\xFE\xFF") ||
      (csv.size() >= 2 && (csv[0] == '\0') != (csv[1] == '\0'))) {
    return "UTF-16";
  }
  return nullptr;
}

class SheetParser {
 public:
  ParsedSheet Parse(absl::string_view csv) {
    if (csv.size() > kMaxSheetBytes) {
      Add(SheetFaultKind::kTooLarge, 0, 0,
          absl::StrCat("the sheet has ", csv.size(), " bytes; at most ",
                       kMaxSheetBytes, " are accepted"));
      return std::move(result_);
    }
    if (const char* encoding = ForeignEncoding(csv)) {
      Add(SheetFaultKind::kSyntax, 0, 0,
          absl::StrCat("the sheet is in ", encoding,
                       "; export it as CSV in UTF-8"));
      return std::move(result_);
    }
    CsvTable table = ParseCsv(csv);
    result_.faults = std::move(table.faults);
    auto row = table.rows.cbegin();
    if (ParseRevision(row, table.rows.cend())) {
      ++row;
    }
    if (row == table.rows.cend()) {
      Add(SheetFaultKind::kMissingColumn, 0, 0, "the header row is missing");
      return Finish();
    }
    ParseHeader(*row++);
    if (static_cast<size_t>(table.rows.cend() - row) > kMaxSheetRows) {
      Add(SheetFaultKind::kTooLarge, 0, 0,
          absl::StrCat("the sheet has ", table.rows.cend() - row,
                       " rows; at most ", kMaxSheetRows, " are accepted"));
      return Finish();
    }
    if (row == table.rows.cend()) {
      Add(SheetFaultKind::kNoRows, 0, 0,
          "the sheet has no rows; this would remove every project");
    }
    for (; row != table.rows.cend(); ++row) {
      ParseRow(*row);
    }
    std::vector<SheetFault> between = CheckRows(rows_, numbers_);
    for (SheetFault& fault : between) {
      // The sheet may have its columns in another order.
      fault.column = fault.column == 0 ? 0 : positions_[fault.column - 1] + 1;
      result_.faults.push_back(std::move(fault));
    }
    return Finish();
  }

 private:
  using RowIterator = std::vector<CsvRow>::const_iterator;

  void Add(SheetFaultKind kind, int row, int column, std::string message) {
    result_.faults.push_back(SheetFault{kind, row, column, std::move(message)});
  }

  // Returns true if the row is a revision line, good or bad.
  bool ParseRevision(RowIterator row, RowIterator end) {
    if (row == end || row->cells[0] != kRevisionMark) {
      Add(SheetFaultKind::kMissingRevision, 1, 1,
          "the first row must be \"#revision,N\" with the revision that the "
          "sheet is based on");
      return false;
    }
    uint64_t revision = 0;
    if (row->cells.size() < 2 || !absl::SimpleAtoi(row->cells[1], &revision)) {
      Add(SheetFaultKind::kNumber, row->number, 2,
          "the revision is not a whole number");
    } else if (row->cells.size() > 2) {
      Add(SheetFaultKind::kSyntax, row->number, 3,
          "unexpected cell after the revision");
    }
    result_.document.base_revision = revision;
    return true;
  }

  void ParseHeader(const CsvRow& row) {
    positions_.fill(-1);
    for (size_t i = 0; i < row.cells.size(); ++i) {
      const std::string& name = row.cells[i];
      const int position = static_cast<int>(i);
      const int number = ColumnNumber(name);
      if (number == 0) {
        Add(SheetFaultKind::kUnknownColumn, row.number, position + 1,
            row.cells.size() == 1 && absl::StrContains(name, ';')
                ? "cells are separated with ';'; export with ','"
                : absl::StrCat("unknown column \"", name, "\""));
      } else if (positions_[number - 1] >= 0) {
        Add(SheetFaultKind::kDuplicateColumn, row.number, position + 1,
            absl::StrCat("column ", name, " appears twice"));
      } else {
        positions_[number - 1] = position;
      }
    }
    header_size_ = row.cells.size();
    for (size_t i = 0; i < kColumnCount; ++i) {
      if (positions_[i] < 0) {
        Add(SheetFaultKind::kMissingColumn, row.number, 0,
            absl::StrCat("column ", SheetColumns()[i].name, " is missing"));
      }
    }
  }

  void ParseRow(const CsvRow& cells) {
    SheetRow row;
    bool complete = true;
    for (size_t i = 0; i < kColumnCount; ++i) {
      if (positions_[i] < 0) {
        complete = false;
        continue;
      }
      const size_t position = static_cast<size_t>(positions_[i]);
      const absl::string_view cell =
          position < cells.cells.size()
              ? absl::string_view(cells.cells[position])
              : absl::string_view();
      if (auto fault = ParseCell(SheetColumns()[i], cell, row)) {
        complete = false;
        Add(fault->kind, cells.number, positions_[i] + 1,
            absl::StrCat(SheetColumns()[i].name, ": ", fault->message));
      }
    }
    if (cells.cells.size() > header_size_) {
      Add(SheetFaultKind::kSyntax, cells.number,
          static_cast<int>(header_size_) + 1, "more cells than columns");
    }
    if (complete) {
      rows_.push_back(std::move(row));
      numbers_.push_back(cells.number);
    }
  }

  ParsedSheet Finish() {
    std::stable_sort(result_.faults.begin(), result_.faults.end(),
                     [](const SheetFault& a, const SheetFault& b) {
                       return std::tie(a.row, a.column) <
                              std::tie(b.row, b.column);
                     });
    if (result_.ok()) {
      result_.document.rows = std::move(rows_);
      std::sort(result_.document.rows.begin(), result_.document.rows.end(),
                RowKeyLess);
    }
    return std::move(result_);
  }

  ParsedSheet result_;
  // 0-based position of each known column, -1 if absent.
  std::array<int, kColumnCount> positions_{};
  size_t header_size_ = 0;
  SheetRows rows_;
  std::vector<int> numbers_;
};

struct ProjectTotals {
  size_t first = 0;
  int64_t instances = 0;
};

class RowRules {
 public:
  RowRules(const SheetRows& rows, const std::vector<int>& numbers)
      : rows_(rows), numbers_(numbers) {}

  std::vector<SheetFault> Check() {
    for (size_t i = 0; i < rows_.size(); ++i) {
      CheckDuplicate(i);
      CheckPool(i);
      CheckProject(i);
    }
    for (const auto& [project, totals] : projects_) {
      CheckTotals(totals);
    }
    return std::move(faults_);
  }

 private:
  void Add(SheetFaultKind kind,
           size_t index,
           absl::string_view column,
           const std::string& message) {
    faults_.push_back(SheetFault{kind, numbers_[index], ColumnNumber(column),
                                 absl::StrCat(column, ": ", message)});
  }

  void CheckDuplicate(size_t i) {
    const auto key = std::make_pair(rows_[i].project, rows_[i].data_centre);
    const auto [it, inserted] = keys_.emplace(key, i);
    if (!inserted) {
      Add(SheetFaultKind::kDuplicateRow, i, "project",
          absl::StrCat(key.first.value(), " in ", key.second.value(),
                       " is already in row ", numbers_[it->second]));
    }
  }

  void CheckPool(size_t i) {
    const auto [it, inserted] = pools_.emplace(rows_[i].pool, i);
    const SheetRow& first = rows_[it->second];
    if (!inserted && first.project != rows_[i].project) {
      Add(SheetFaultKind::kPoolClaimed, i, "pool",
          absl::StrCat(rows_[i].pool.value(), " is claimed by project ",
                       first.project.value(), " in row ",
                       numbers_[it->second]));
    }
  }

  void CheckProject(size_t i) {
    const auto [it, inserted] =
        projects_.emplace(rows_[i].project, ProjectTotals{i, 0});
    it->second.instances += rows_[i].instances;
    for (const SheetColumn& column : SheetColumns()) {
      const size_t first = it->second.first;
      if (column.whole_project &&
          !ColumnEqual(column, rows_[first], rows_[i])) {
        Add(SheetFaultKind::kInconsistent, i, column.name,
            absl::StrCat("holds for the whole project; row ", numbers_[first],
                         " has ", ColumnToText(column, rows_[first])));
      }
    }
  }

  void CheckTotals(const ProjectTotals& totals) {
    const SheetRow& row = rows_[totals.first];
    if (row.max_down > totals.instances) {
      Add(SheetFaultKind::kRange, totals.first, "max_down",
          absl::StrCat(row.max_down, " is more than the project's ",
                       totals.instances, " instances"));
    }
    if (row.budget_minutes > totals.instances * kMinutesPerDay) {
      Add(SheetFaultKind::kRange, totals.first, "budget_minutes",
          absl::StrCat(row.budget_minutes, " is more than a day of all ",
                       totals.instances, " instances"));
    }
  }

  const SheetRows& rows_;
  const std::vector<int>& numbers_;
  std::vector<SheetFault> faults_;
  std::map<std::pair<ProjectId, DataCentreId>, size_t> keys_;
  std::map<PoolId, size_t> pools_;
  std::map<ProjectId, ProjectTotals> projects_;
};

constexpr std::array<const char*, 16> kFaultNames = {
    "syntax",         "too-large",      "missing-revision",
    "unknown-column", "missing-column", "duplicate-column",
    "missing-value",  "name",           "number",
    "unit",           "range",          "priority",
    "duplicate-row",  "pool-claimed",   "inconsistent",
    "no-rows"};

}  // namespace

ParsedSheet ParseSheet(absl::string_view csv) {
  return SheetParser().Parse(csv);
}

std::vector<SheetFault> CheckRows(const SheetRows& rows,
                                  const std::vector<int>& numbers) {
  return RowRules(rows, numbers).Check();
}

std::vector<SheetFault> CheckDocument(const SheetDocument& document) {
  if (document.rows.empty() || document.rows.size() > kMaxSheetRows) {
    return {SheetFault{
        document.rows.empty() ? SheetFaultKind::kNoRows
                              : SheetFaultKind::kTooLarge,
        0, 0,
        absl::StrCat("the sheet has ", document.rows.size(), " rows; 1 to ",
                     kMaxSheetRows, " are accepted")}};
  }
  std::vector<int> numbers(document.rows.size());
  std::iota(numbers.begin(), numbers.end(), 1);
  return CheckRows(document.rows, numbers);
}

const char* SheetFaultKindName(SheetFaultKind kind) {
  return kFaultNames[static_cast<size_t>(kind)];
}

std::string ToString(const SheetFault& fault) {
  if (fault.row == 0) {
    return fault.message;
  }
  if (fault.column == 0) {
    return absl::StrCat("row ", fault.row, ": ", fault.message);
  }
  return absl::StrCat("row ", fault.row, ", column ", fault.column, ": ",
                      fault.message);
}

nlohmann::json ToJson(const std::vector<SheetFault>& faults) {
  nlohmann::json list = nlohmann::json::array();
  for (const SheetFault& fault : faults) {
    list.push_back({{"row", fault.row},
                    {"column", fault.column},
                    {"kind", SheetFaultKindName(fault.kind)},
                    {"message", fault.message}});
  }
  return {{"faults", list}};
}

}  // namespace figflow
