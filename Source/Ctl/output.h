#ifndef CTL_OUTPUT_H_
#define CTL_OUTPUT_H_

#include <string>
#include <vector>

#include "Common/json.h"

namespace figflow::ctl {

enum class OutputForm { kTable, kTabSeparated };

// Formats the objects in `rows` with one column per name. A table has a
// heading and aligned columns. The first line of the tab-separated form is "#"
// and the names of the columns; its cells hold neither tabs nor line breaks.
std::string FormatRows(const nlohmann::json& rows,
                       const std::vector<std::string>& columns,
                       OutputForm form);

}  // namespace figflow::ctl

#endif  // CTL_OUTPUT_H_
