#include "Sheet/sheet_columns.h"

#include <cmath>
#include <string>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

// Names become parts of store keys and of URL paths.
constexpr size_t kMaxNameBytes = 40;
// With the longest names, 4,000 rows still fit a store value of 1 MB.
constexpr double kMaxInstances = 10'000;

constexpr std::array<absl::string_view, 4> kPriorityNames = {"urgent", "high",
                                                             "normal", "low"};

bool IsName(absl::string_view text) {
  if (text.empty() || text.size() > kMaxNameBytes ||
      !absl::ascii_isalnum(static_cast<unsigned char>(text.front()))) {
    return false;
  }
  for (const char c : text) {
    if (!absl::ascii_isalnum(static_cast<unsigned char>(c)) && c != '-' &&
        c != '_' && c != '.') {
      return false;
    }
  }
  return true;
}

template <typename Tag>
std::optional<CellFault> ParseValue(const SheetColumn& /*column*/,
                                    absl::string_view cell,
                                    StrongId<Tag>& value) {
  if (!IsName(cell)) {
    return CellFault{
        SheetFaultKind::kName,
        absl::StrCat("\"", cell, "\" is not a name: 1 to ", kMaxNameBytes,
                     " letters, digits, '-', '_' or '.', the first a letter "
                     "or digit")};
  }
  value = StrongId<Tag>(std::string(cell));
  return std::nullopt;
}

// Tells a number followed by a unit ("90 min", "30%") from other text.
CellFault NumberFault(absl::string_view cell, absl::string_view wanted) {
  const size_t digits = cell.find_first_not_of("+-0123456789.");
  const bool has_number = digits != 0 && cell.find_first_of("0123456789") == 0;
  const absl::string_view rest =
      digits == absl::string_view::npos
          ? absl::string_view()
          : absl::StripAsciiWhitespace(cell.substr(digits));
  if (has_number && !rest.empty() &&
      (rest[0] == '%' || absl::ascii_isalpha(rest[0]))) {
    return CellFault{SheetFaultKind::kUnit,
                     absl::StrCat("\"", cell, "\" has the unit \"", rest,
                                  "\"; give ", wanted, " without a unit")};
  }
  return CellFault{SheetFaultKind::kNumber,
                   absl::StrCat("\"", cell, "\" is not ", wanted)};
}

std::optional<CellFault> CheckRange(const SheetColumn& column,
                                    absl::string_view cell,
                                    double value) {
  if (value >= column.lowest && value <= column.highest) {
    return std::nullopt;
  }
  return CellFault{
      SheetFaultKind::kRange,
      absl::StrCat(cell, " is outside ", static_cast<int64_t>(column.lowest),
                   " to ", static_cast<int64_t>(column.highest))};
}

// Digits, at most one point and a leading minus, so that "1e9", "inf" and
// "0x10", which number parsers accept, are refused.
bool IsPlainNumber(absl::string_view cell) {
  return !cell.empty() &&
         cell.find_first_not_of("-0123456789.") == absl::string_view::npos;
}

std::optional<CellFault> ParseValue(const SheetColumn& column,
                                    absl::string_view cell,
                                    int& value) {
  const char* wanted =
      column.name == "budget_minutes" ? "whole minutes" : "a whole number";
  int64_t parsed = 0;
  if (!IsPlainNumber(cell) || !absl::SimpleAtoi(cell, &parsed)) {
    return NumberFault(cell, wanted);
  }
  if (auto fault = CheckRange(column, cell, static_cast<double>(parsed))) {
    return fault;
  }
  value = static_cast<int>(parsed);
  return std::nullopt;
}

std::optional<CellFault> ParseValue(const SheetColumn& column,
                                    absl::string_view cell,
                                    double& value) {
  double parsed = 0;
  if (!IsPlainNumber(cell) || !absl::SimpleAtod(cell, &parsed)) {
    return NumberFault(cell, "a share such as 0.3");
  }
  if (auto fault = CheckRange(column, cell, parsed)) {
    return fault;
  }
  // Thousandths have the same text in a sheet, in JSON and in a hash.
  value = std::round(parsed * 1000) / 1000;
  return std::nullopt;
}

std::optional<CellFault> ParseValue(const SheetColumn& /*column*/,
                                    absl::string_view cell,
                                    Priority& value) {
  for (size_t i = 0; i < kPriorityNames.size(); ++i) {
    if (cell == kPriorityNames[i]) {
      value = static_cast<Priority>(i);
      return std::nullopt;
    }
  }
  return CellFault{SheetFaultKind::kPriority,
                   absl::StrCat("unknown priority \"", cell,
                                "\"; known: urgent, high, normal, low")};
}

template <typename Tag>
nlohmann::json ValueToJson(const StrongId<Tag>& value) {
  return value.value();
}
nlohmann::json ValueToJson(int value) {
  return value;
}
nlohmann::json ValueToJson(double value) {
  return value;
}
nlohmann::json ValueToJson(Priority value) {
  return std::string(PriorityName(value));
}

}  // namespace

absl::string_view PriorityName(Priority priority) {
  return kPriorityNames[static_cast<size_t>(priority)];
}

const std::array<SheetColumn, kColumnCount>& SheetColumns() {
  static const std::array<SheetColumn, kColumnCount> columns = {{
      {"project", &SheetRow::project},
      {"team", &SheetRow::team, 0, 0, true},
      {"pool", &SheetRow::pool},
      {"data_centre", &SheetRow::data_centre},
      {"instances", &SheetRow::instances, 0, kMaxInstances},
      {"max_down", &SheetRow::max_down, 0, kMaxInstances, true},
      {"budget_minutes", &SheetRow::budget_minutes, 0,
       kMaxInstances * kMinutesPerDay, true},
      {"priority", &SheetRow::priority, 0, 0, true},
      {"long_share", &SheetRow::long_share, 0, 1},
      {"max_move", &SheetRow::max_move, 0, kMaxInstances},
  }};
  return columns;
}

std::optional<CellFault> ParseCell(const SheetColumn& column,
                                   absl::string_view cell,
                                   SheetRow& row) {
  if (cell.empty()) {
    return CellFault{SheetFaultKind::kMissingValue, "the cell is blank"};
  }
  return std::visit(
      [&](auto member) { return ParseValue(column, cell, row.*member); },
      column.member);
}

nlohmann::json ColumnToJson(const SheetColumn& column, const SheetRow& row) {
  return std::visit([&](auto member) { return ValueToJson(row.*member); },
                    column.member);
}

std::string ColumnToText(const SheetColumn& column, const SheetRow& row) {
  const nlohmann::json json = ColumnToJson(column, row);
  return json.is_string() ? json.get<std::string>() : json.dump();
}

std::optional<CellFault> ColumnFromJson(const SheetColumn& column,
                                        const nlohmann::json& json,
                                        SheetRow& row) {
  if (json.is_string()) {
    return ParseCell(column, json.get_ref<const std::string&>(), row);
  }
  if (json.is_number()) {
    return ParseCell(column, json.dump(), row);
  }
  return CellFault{SheetFaultKind::kMissingValue,
                   absl::StrCat(column.name, " is not a string or number")};
}

bool ColumnEqual(const SheetColumn& column,
                 const SheetRow& a,
                 const SheetRow& b) {
  return std::visit([&](auto member) { return a.*member == b.*member; },
                    column.member);
}

}  // namespace figflow
