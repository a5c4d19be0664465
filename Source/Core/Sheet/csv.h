#ifndef SHEET_CSV_H_
#define SHEET_CSV_H_

#include <string>
#include <vector>

#include "Sheet/sheet_fault.h"
#include "absl/strings/string_view.h"

namespace figflow {

struct CsvRow {
  // 1-based position in the file, blank rows counted.
  int number = 0;
  // Without blank cells at the end.
  std::vector<std::string> cells;
};

struct CsvTable {
  // Rows with at least one cell that is not blank.
  std::vector<CsvRow> rows;
  std::vector<SheetFault> faults;
};

// Parses comma-separated values as spreadsheets export them: cells may be
// quoted, a doubled quote inside a quoted cell stands for one, lines end with
// LF, CRLF or CR, and a UTF-8 byte-order mark may come first. Blanks around a
// cell are removed.
CsvTable ParseCsv(absl::string_view text);

// Quotes a cell if it needs it.
std::string CsvCell(absl::string_view value);

}  // namespace figflow

#endif  // SHEET_CSV_H_
