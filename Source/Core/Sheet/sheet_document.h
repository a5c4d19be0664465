#ifndef SHEET_SHEET_DOCUMENT_H_
#define SHEET_SHEET_DOCUMENT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "Common/json.h"

#include "Common/error.h"
#include "Common/strong_id.h"
#include "absl/strings/string_view.h"

namespace figflow {

// Order matters: a lower value goes first.
enum class Priority { kUrgent, kHigh, kNormal, kLow };

absl::string_view PriorityName(Priority priority);

// The project that holds instances not assigned to any other project.
inline constexpr char kSpareProject[] = "spare";

// What the planners assign to one project in one data centre.
struct SheetRow {
  ProjectId project;
  // Equal in all rows of a project, as are `max_down`, `budget_minutes` and
  // `priority`: they hold for the project as a whole.
  TeamId team;
  PoolId pool;
  DataCentreId data_centre;
  int instances = 0;
  // Instances of the project that may be down at once, in all data centres.
  int max_down = 0;
  // Availability budget of the project in instance-minutes per UTC day.
  int budget_minutes = 0;
  Priority priority = Priority::kNormal;
  // Largest share of the pool's slots that long work may hold, 0 to 1.
  double long_share = 0;
  // Instance moves into or out of the pool per UTC day.
  int max_move = 0;
};

bool operator==(const SheetRow& a, const SheetRow& b);
inline bool operator!=(const SheetRow& a, const SheetRow& b) {
  return !(a == b);
}

// Sorts by project, then data centre; at most one row has a given pair.
bool RowKeyLess(const SheetRow& a, const SheetRow& b);

// Rows sorted by RowKeyLess.
using SheetRows = std::vector<SheetRow>;

// A validated sheet.
struct SheetDocument {
  // Revision of the configuration that the planner started from.
  uint64_t base_revision = 0;
  SheetRows rows;
};

// {"base_revision": N, "rows": [{"project": ..., ...}]}
nlohmann::json ToJson(const SheetDocument& document);
Result<SheetDocument> SheetDocumentFromJson(const nlohmann::json& json);

// Row as an object with one member per column.
nlohmann::json RowToJson(const SheetRow& row);

// Row as an array of the values in column order, for stored and sent documents.
nlohmann::json RowToCompactJson(const SheetRow& row);
Result<SheetRow> RowFromCompactJson(const nlohmann::json& json);

// CSV text that ParseSheet accepts.
std::string ToCsv(const SheetDocument& document);

}  // namespace figflow

#endif  // SHEET_SHEET_DOCUMENT_H_
