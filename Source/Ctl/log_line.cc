#include "Ctl/log_line.h"

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/strip.h"
#include "absl/time/time.h"

namespace figflow::ctl {
namespace {

constexpr char kTimeFormat[] = "%Y-%m-%dT%H:%M:%E*S";
constexpr char kCategory[] = "category=";

// Takes the next blank-separated word, which may hold a quoted value, off
// `rest`. The quotes and escapes of the value are resolved in `value`.
bool TakeField(absl::string_view* rest, std::string* name, std::string* value) {
  *rest = absl::StripLeadingAsciiWhitespace(*rest);
  const size_t equals = rest->find('=');
  if (equals == absl::string_view::npos) {
    return false;
  }
  *name = std::string(rest->substr(0, equals));
  rest->remove_prefix(equals + 1);
  value->clear();
  if (!absl::ConsumePrefix(rest, "\"")) {
    const size_t end = std::min(rest->find(' '), rest->size());
    *value = std::string(rest->substr(0, end));
    rest->remove_prefix(end);
    return true;
  }
  size_t i = 0;
  for (; i < rest->size() && (*rest)[i] != '"'; ++i) {
    if ((*rest)[i] == '\\' && i + 1 < rest->size()) {
      ++i;
      *value += (*rest)[i] == 'n' ? '\n' : (*rest)[i];
    } else {
      *value += (*rest)[i];
    }
  }
  rest->remove_prefix(std::min(i + 1, rest->size()));
  return true;
}

}  // namespace

std::string LogLine::Field(absl::string_view name) const {
  for (const auto& [key, value] : fields) {
    if (key == name) {
      return value;
    }
  }
  return "";
}

std::optional<LogLine> ParseLogLine(absl::string_view line) {
  const size_t category = line.find(kCategory);
  if (category == absl::string_view::npos) {
    return std::nullopt;
  }
  LogLine parsed;
  // The words before the category: any prefix, the time, the level.
  absl::string_view head = line.substr(0, category);
  bool timed = false;
  while (!head.empty()) {
    const size_t end = std::min(head.find(' '), head.size());
    const std::string word(absl::StripSuffix(head.substr(0, end), "Z"));
    absl::Time time;
    if (absl::ParseTime(kTimeFormat, word, absl::UTCTimeZone(), &time,
                        nullptr)) {
      parsed.time = absl::ToChronoTime(time);
      parsed.time_text = word;
      timed = true;
    } else if (!timed && !word.empty()) {
      parsed.origin = word;
    }
    head.remove_prefix(std::min(end + 1, head.size()));
  }
  absl::string_view rest =
      absl::StripTrailingAsciiWhitespace(line.substr(category));
  std::string name;
  std::string value;
  while (TakeField(&rest, &name, &value)) {
    if (name == "category") {
      parsed.category = value;
    } else if (name == "event") {
      parsed.event = value;
      parsed.details = std::string(absl::StripLeadingAsciiWhitespace(rest));
    } else {
      parsed.fields.emplace_back(name, value);
    }
  }
  if (!timed || parsed.event.empty()) {
    return std::nullopt;
  }
  return parsed;
}

}  // namespace figflow::ctl
