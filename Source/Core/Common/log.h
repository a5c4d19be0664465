#ifndef COMMON_LOG_H_
#define COMMON_LOG_H_

#include <initializer_list>
#include <string>
#include <utility>
#include "absl/strings/string_view.h"

namespace figflow {

// One category per subsystem, named in every line.
enum class LogCategory {
  kDaemon,
  kSettings,
  kPlatform,
  kConfig,
  kPools,
  kBudget,
  kMaintenance,
  kRouting,
  kRequests,
  kHttp,
  kJobs,
  kPeer,
  kAdmin,
};

enum class LogLevel { kInfo, kWarning, kError };

using LogField = std::pair<absl::string_view, std::string>;

// Sends log lines of at least `level` to standard output, one line an event:
//   2026-12-04T09:30:00.123Z INFO category=config event=applied revision=7
// Call once at program start, before other threads run.
void InitLogging(LogLevel level);

// Writes one line for a change of state. Frequent events use a counter.
void LogEvent(LogLevel level,
              LogCategory category,
              absl::string_view event,
              std::initializer_list<LogField> fields);

}  // namespace figflow

#endif  // COMMON_LOG_H_
