#include "Sheet/csv.h"

#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "absl/strings/strip.h"

namespace figflow {
namespace {

// One pass over the text; a quoted cell may span lines.
class CsvScanner {
 public:
  explicit CsvScanner(absl::string_view text) : text_(text) {}

  CsvTable Scan() {
    while (position_ < text_.size()) {
      ScanCell();
      EndCell();
    }
    if (!row_.cells.empty()) {
      EndRow();
    }
    return std::move(table_);
  }

 private:
  bool AtEnd() const { return position_ >= text_.size(); }
  char Peek() const { return text_[position_]; }
  bool AtSeparator() const {
    return AtEnd() || Peek() == ',' || Peek() == '\n' || Peek() == '\r';
  }

  void AddFault(std::string message) {
    table_.faults.push_back(SheetFault{SheetFaultKind::kSyntax, row_number_,
                                       static_cast<int>(row_.cells.size()) + 1,
                                       std::move(message)});
  }

  void ScanCell() {
    const size_t start = position_;
    while (!AtEnd() && (Peek() == ' ' || Peek() == '\t')) {
      ++position_;
    }
    if (!AtEnd() && Peek() == '"') {
      ScanQuoted();
      return;
    }
    position_ = start;
    while (!AtSeparator()) {
      ++position_;
    }
    const absl::string_view cell = text_.substr(start, position_ - start);
    if (absl::StrContains(cell, '"')) {
      AddFault("a quote inside a cell that is not quoted");
    }
    CheckCharacters(cell);
    row_.cells.emplace_back(absl::StripAsciiWhitespace(cell));
  }

  void ScanQuoted() {
    ++position_;
    std::string cell;
    for (;;) {
      if (AtEnd()) {
        AddFault("the closing quote is missing");
        break;
      }
      const char c = text_[position_++];
      if (c != '"') {
        cell.push_back(c);
        continue;
      }
      if (AtEnd() || Peek() != '"') {
        break;
      }
      cell.push_back('"');
      ++position_;
    }
    const size_t after = position_;
    while (!AtSeparator()) {
      ++position_;
    }
    if (!absl::StripAsciiWhitespace(text_.substr(after, position_ - after))
             .empty()) {
      AddFault("text after the closing quote");
    }
    CheckCharacters(cell);
    row_.cells.emplace_back(absl::StripAsciiWhitespace(cell));
  }

  // A NUL byte shows a file in UTF-16 or a binary workbook.
  void CheckCharacters(absl::string_view cell) {
    if (absl::StrContains(cell, '\0')) {
      AddFault("not a text cell; export the sheet as CSV in UTF-8");
    }
  }

  void EndCell() {
    if (AtEnd()) {
      return;
    }
    const char separator = text_[position_++];
    if (separator == ',') {
      if (AtEnd()) {
        row_.cells.emplace_back();
      }
      return;
    }
    if (separator == '\r' && !AtEnd() && Peek() == '\n') {
      ++position_;
    }
    EndRow();
  }

  void EndRow() {
    while (!row_.cells.empty() && row_.cells.back().empty()) {
      row_.cells.pop_back();
    }
    if (!row_.cells.empty()) {
      row_.number = row_number_;
      table_.rows.push_back(std::move(row_));
    }
    row_ = CsvRow{};
    ++row_number_;
  }

  absl::string_view text_;
  size_t position_ = 0;
  int row_number_ = 1;
  CsvRow row_;
  CsvTable table_;
};

}  // namespace

CsvTable ParseCsv(absl::string_view text) {
  absl::ConsumePrefix(&text, "\xEF\xBB\xBF");
  return CsvScanner(text).Scan();
}

std::string CsvCell(absl::string_view value) {
  if (value.find_first_of(",\"\r\n") == absl::string_view::npos) {
    return std::string(value);
  }
  return absl::StrCat("\"", absl::StrReplaceAll(value, {{"\"", "\"\""}}), "\"");
}

}  // namespace figflow
