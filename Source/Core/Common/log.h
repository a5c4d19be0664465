#ifndef COMMON_LOG_H_
#define COMMON_LOG_H_

#include <cstdint>
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

// Writes one line for a decision that touches a request, or for a change of
// what the process believes. Never blocks: lines are dropped while standard
// output takes none. At most LogLimiter::kLinesPerSecond lines of one event are
// written in a second; the next line says how many were `omitted`.
void LogEvent(LogLevel level,
              LogCategory category,
              absl::string_view event,
              std::initializer_list<LogField> fields);

// Lines that were not written since the start of the program.
struct LogLosses {
  // Beyond the rate of their event.
  uint64_t omitted = 0;
  // Standard output took nothing.
  uint64_t dropped = 0;
};
LogLosses GetLogLosses();

}  // namespace figflow

#endif  // COMMON_LOG_H_
