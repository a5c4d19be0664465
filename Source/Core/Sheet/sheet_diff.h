#ifndef SHEET_SHEET_DIFF_H_
#define SHEET_SHEET_DIFF_H_

#include <string>
#include <vector>

#include "Common/json.h"

#include "Sheet/sheet_document.h"

namespace figflow {

struct ChangedRow {
  SheetRow before;
  SheetRow after;
  // Names of the columns that differ, in sheet order.
  std::vector<std::string> columns;
};

// Rows are matched by project and data centre.
struct SheetDiff {
  SheetRows added;
  SheetRows removed;
  std::vector<ChangedRow> changed;
  bool empty() const {
    return added.empty() && removed.empty() && changed.empty();
  }
};

// Both arguments are sorted by RowKeyLess.
SheetDiff DiffRows(const SheetRows& before, const SheetRows& after);

// {"added": [row], "removed": [row], "changed": [{"project", "data_centre",
// "columns": {"instances": {"before": 4, "after": 5}}}]}
nlohmann::json ToJson(const SheetDiff& diff);

}  // namespace figflow

#endif  // SHEET_SHEET_DIFF_H_
