#include "Sheet/sheet_document.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "Sheet/csv.h"
#include "Sheet/sheet_columns.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

tl::unexpected<Error> BadJson(std::string message) {
  return Fail(ErrorCode::kInvalid, "sheet.from_json", "", std::move(message));
}

}  // namespace

bool operator==(const SheetRow& a, const SheetRow& b) {
  return std::all_of(
      SheetColumns().begin(), SheetColumns().end(),
      [&](const SheetColumn& column) { return ColumnEqual(column, a, b); });
}

bool RowKeyLess(const SheetRow& a, const SheetRow& b) {
  return std::tie(a.project, a.data_centre) <
         std::tie(b.project, b.data_centre);
}

nlohmann::json RowToJson(const SheetRow& row) {
  nlohmann::json json = nlohmann::json::object();
  for (const SheetColumn& column : SheetColumns()) {
    json[std::string(column.name)] = ColumnToJson(column, row);
  }
  return json;
}

nlohmann::json RowToCompactJson(const SheetRow& row) {
  nlohmann::json json = nlohmann::json::array();
  for (const SheetColumn& column : SheetColumns()) {
    json.push_back(ColumnToJson(column, row));
  }
  return json;
}

Result<SheetRow> RowFromCompactJson(const nlohmann::json& json) {
  if (!json.is_array() || json.size() != kColumnCount) {
    return BadJson(absl::StrCat("a row is not an array of ", kColumnCount));
  }
  SheetRow row;
  for (size_t i = 0; i < kColumnCount; ++i) {
    if (auto fault = ColumnFromJson(SheetColumns()[i], json[i], row)) {
      return BadJson(fault->message);
    }
  }
  return row;
}

nlohmann::json ToJson(const SheetDocument& document) {
  nlohmann::json rows = nlohmann::json::array();
  for (const SheetRow& row : document.rows) {
    rows.push_back(RowToJson(row));
  }
  return {{"base_revision", document.base_revision}, {"rows", rows}};
}

Result<SheetDocument> SheetDocumentFromJson(const nlohmann::json& json) {
  if (!json.is_object() || !json.contains("base_revision") ||
      !json["base_revision"].is_number_unsigned() || !json.contains("rows") ||
      !json["rows"].is_array()) {
    return BadJson("base_revision or rows is missing");
  }
  SheetDocument document;
  document.base_revision = json["base_revision"].get<uint64_t>();
  for (const nlohmann::json& object : json["rows"]) {
    SheetRow row;
    for (const SheetColumn& column : SheetColumns()) {
      const auto it = object.is_object() ? object.find(std::string(column.name))
                                         : object.end();
      if (it == object.end()) {
        return BadJson(absl::StrCat("a row lacks ", column.name));
      }
      if (auto fault = ColumnFromJson(column, *it, row)) {
        return BadJson(fault->message);
      }
    }
    document.rows.push_back(std::move(row));
  }
  std::sort(document.rows.begin(), document.rows.end(), RowKeyLess);
  return document;
}

std::string ToCsv(const SheetDocument& document) {
  std::string text = absl::StrCat("#revision,", document.base_revision, "\n");
  const char* separator = "";
  for (const SheetColumn& column : SheetColumns()) {
    absl::StrAppend(&text, separator, column.name);
    separator = ",";
  }
  for (const SheetRow& row : document.rows) {
    separator = "\n";
    for (const SheetColumn& column : SheetColumns()) {
      absl::StrAppend(&text, separator, CsvCell(ColumnToText(column, row)));
      separator = ",";
    }
  }
  return text + "\n";
}

}  // namespace figflow
