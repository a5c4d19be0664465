#include "Common/log.h"

#include <array>

#include <easylogging++.h>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"

namespace figflow {
namespace {

constexpr std::array<absl::string_view, 13> kCategoryNames = {
    "daemon", "settings",    "platform", "config",   "pools",
    "budget", "maintenance", "routing",  "requests", "http",
    "jobs",   "peer",        "admin"};

// Quotes values with blanks so that a line splits at blanks.
std::string FieldValue(const std::string& value) {
  if (!value.empty() && value.find_first_of(" \"\n=") == std::string::npos) {
    return value;
  }
  return absl::StrCat(
      "\"",
      absl::StrReplaceAll(value,
                          {{"\\", "\\\\"}, {"\"", "\\\""}, {"\n", "\\n"}}),
      "\"");
}

}  // namespace

void InitLogging(LogLevel level) {
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::Format,
                            "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  if (level != LogLevel::kInfo) {
    configuration.set(el::Level::Info, el::ConfigurationType::Enabled, "false");
  }
  if (level == LogLevel::kError) {
    configuration.set(el::Level::Warning, el::ConfigurationType::Enabled,
                      "false");
  }
  el::Loggers::reconfigureAllLoggers(configuration);
}

void LogEvent(LogLevel level,
              LogCategory category,
              absl::string_view event,
              std::initializer_list<LogField> fields) {
  std::string line =
      absl::StrCat("category=", kCategoryNames[static_cast<size_t>(category)],
                   " event=", event);
  for (const LogField& field : fields) {
    absl::StrAppend(&line, " ", field.first, "=", FieldValue(field.second));
  }
  switch (level) {
    case LogLevel::kInfo:
      LOG(INFO) << line;
      return;
    case LogLevel::kWarning:
      LOG(WARNING) << line;
      return;
    case LogLevel::kError:
      LOG(ERROR) << line;
      return;
  }
}

}  // namespace figflow
