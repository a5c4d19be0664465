#include "Common/log.h"

#include <unistd.h>

#include <array>
#include <optional>

#include <easylogging++.h>

#include "Common/clock.h"
#include "Common/log_limiter.h"
#include "Common/log_sink.h"
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

// Never destroyed: threads may log until the program has ended.
LogLimiter& Limiter() {
  static auto* const limiter = new LogLimiter();
  return *limiter;
}

LogSink& StandardOutput() {
  static auto* const sink = new LogSink(STDOUT_FILENO);
  return *sink;
}

// Takes the place of the library's own output, which blocks.
class SinkDispatch : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    const el::LogMessage* message = data->logMessage();
    StandardOutput().Write(message->logger()->logBuilder()->build(
        message,
        data->dispatchAction() == el::base::DispatchAction::NormalLog));
  }
};

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
  el::Helpers::uninstallLogDispatchCallback<
      el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
  el::Helpers::installLogDispatchCallback<SinkDispatch>("SinkDispatch");
}

void LogEvent(LogLevel level,
              LogCategory category,
              absl::string_view event,
              std::initializer_list<LogField> fields) {
  const std::optional<uint64_t> omitted =
      Limiter().Admit(event, SystemClock().Now());
  if (!omitted) {
    return;
  }
  std::string line =
      absl::StrCat("category=", kCategoryNames[static_cast<size_t>(category)],
                   " event=", event);
  for (const LogField& field : fields) {
    absl::StrAppend(&line, " ", field.first, "=", FieldValue(field.second));
  }
  if (*omitted > 0) {
    absl::StrAppend(&line, " omitted=", *omitted);
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

LogLosses GetLogLosses() {
  return {Limiter().omitted(), StandardOutput().dropped()};
}

}  // namespace figflow
