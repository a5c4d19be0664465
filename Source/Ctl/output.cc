#include "Ctl/output.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace figflow::ctl {
namespace {

// The text of a cell without control characters, which could change the
// terminal's state or break the line structure.
std::string Cell(const nlohmann::json& row, const std::string& column) {
  const auto it = row.is_object() ? row.find(column) : row.end();
  if (it == row.end() || it->is_null()) {
    return "-";
  }
  std::string text =
      it->is_string()
          ? it->get<std::string>()
          : it->dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  for (char& c : text) {
    if (absl::ascii_iscntrl(static_cast<unsigned char>(c))) {
      c = ' ';
    }
  }
  return text.empty() ? "-" : text;
}

// Number of characters, so that names beyond ASCII keep the columns aligned.
size_t Width(const std::string& text) {
  return static_cast<size_t>(std::count_if(
      text.begin(), text.end(),
      [](char c) { return (static_cast<unsigned char>(c) & 0xC0U) != 0x80U; }));
}

}  // namespace

std::string FormatRows(const nlohmann::json& rows,
                       const std::vector<std::string>& columns,
                       OutputForm form) {
  std::vector<std::vector<std::string>> lines;
  const bool table = form == OutputForm::kTable;
  lines.emplace_back();
  for (const std::string& column : columns) {
    lines.back().push_back(table ? absl::AsciiStrToUpper(column) : column);
  }
  if (!table && !columns.empty()) {
    lines.back().front().insert(0, "#");
  }
  for (const auto& row : rows) {
    lines.emplace_back();
    for (const std::string& column : columns) {
      lines.back().push_back(Cell(row, column));
    }
  }
  std::vector<size_t> widths(columns.size(), 0);
  for (const auto& line : lines) {
    for (size_t i = 0; i < line.size(); ++i) {
      widths[i] = std::max(widths[i], Width(line[i]));
    }
  }
  std::string text;
  for (const auto& line : lines) {
    for (size_t i = 0; i < line.size(); ++i) {
      text += line[i];
      if (i + 1 == line.size()) {
        text += '\n';
      } else if (form == OutputForm::kTabSeparated) {
        text += '\t';
      } else {
        text.append(widths[i] - Width(line[i]) + 2, ' ');
      }
    }
  }
  return text;
}

}  // namespace figflow::ctl
