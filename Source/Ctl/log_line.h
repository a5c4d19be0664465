#ifndef CTL_LOG_LINE_H_
#define CTL_LOG_LINE_H_

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Common/clock.h"
#include "absl/strings/string_view.h"

namespace figflow::ctl {

// One structured line of a daemon's log.
struct LogLine {
  // The word before the time: log collectors put the name of the instance
  // there. Empty if there is none.
  std::string origin;
  WallTime time;
  std::string time_text;
  std::string category;
  std::string event;
  // In the order of the line, without category and event.
  std::vector<std::pair<std::string, std::string>> fields;
  // The fields as they stand in the line.
  std::string details;

  // Empty if the line has no such field.
  std::string Field(absl::string_view name) const;
};

// Parses a line of Common/log.h, with any text before the time. None if it is
// no such line.
std::optional<LogLine> ParseLogLine(absl::string_view line);

}  // namespace figflow::ctl

#endif  // CTL_LOG_LINE_H_
