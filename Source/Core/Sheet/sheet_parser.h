#ifndef SHEET_SHEET_PARSER_H_
#define SHEET_SHEET_PARSER_H_

#include <cstddef>
#include <vector>

#include "Sheet/sheet_document.h"
#include "Sheet/sheet_fault.h"
#include "absl/strings/string_view.h"

namespace figflow {

// 194 pools in 15 data centres make 2,910 rows. 4,000 rows with the longest
// names still fit one value of the store (1 MB).
inline constexpr size_t kMaxSheetRows = 4'000;
inline constexpr size_t kMaxSheetBytes = 1'000'000;

// Either `document` with all rows, or all `faults` in order of position. A
// sheet is accepted as a whole or not at all.
struct ParsedSheet {
  SheetDocument document;
  std::vector<SheetFault> faults;
  bool ok() const { return faults.empty(); }
};

ParsedSheet ParseSheet(absl::string_view csv);

// Rules between rows, for rows at positions `numbers` (row numbers of the
// sheet, same size): duplicates, pools claimed twice, project-wide columns.
std::vector<SheetFault> CheckRows(const SheetRows& rows,
                                  const std::vector<int>& numbers);

// Applies the same rules to a document that did not come from CSV. Rows are
// numbered from 1.
std::vector<SheetFault> CheckDocument(const SheetDocument& document);

// {"faults": [{"row", "column", "kind", "message"}]}
nlohmann::json ToJson(const std::vector<SheetFault>& faults);

}  // namespace figflow

#endif  // SHEET_SHEET_PARSER_H_
