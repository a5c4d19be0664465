#include "Ctl/explain.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <fstream>
#include <iostream>
#include <set>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace figflow::ctl {
namespace {

constexpr int kOkStatus = 200;

// What happened shortly before the first line may be the cause: a lease ends
// and an owner is missed after about this time.
constexpr std::chrono::seconds kBefore{5};
constexpr std::chrono::seconds kAfter{1};

// Events of a daemon as a whole that bear on each of its requests.
constexpr std::array<const char*, 13> kDaemonEvents = {
    "started",           "stopping",       "stopped",
    "store_lost",        "store_regained", "store_history_lost",
    "changes_too_large", "lease_ended",    "plan_in_force",
    "settings_reloaded", "peer_lost",      "peer_regained",
    "share_released"};

// Fields that name the pool of a line. Owners' keys call it their scope.
constexpr std::array<const char*, 2> kPoolFields = {"pool", "scope"};

// Whether a field names the id itself or one of its tasks,
// "<job>.<occurrence>.<stage>.<index>".
bool Names(const LogLine& line, const std::string& id) {
  const std::string task_prefix = absl::StrCat(id, ".");
  return std::any_of(line.fields.begin(), line.fields.end(),
                     [&](const auto& field) {
                       return field.second == id ||
                              absl::StartsWith(field.second, task_prefix);
                     });
}

bool IsDaemonEvent(const std::string& event) {
  return std::any_of(kDaemonEvents.begin(), kDaemonEvents.end(),
                     [&](const char* known) { return event == known; });
}

// The relations of one id.
struct Subject {
  std::string id;
  std::set<std::string> pools;
  std::set<std::string> workers;
  WallTime from = WallTime::max();
  WallTime to = WallTime::min();

  // What ties the line to the id; null if nothing does.
  const char* Relation(const LogLine& line) const {
    if (Names(line, id)) {
      return "id";
    }
    if (line.time < from - kBefore || line.time > to + kAfter) {
      return nullptr;
    }
    // Lines of other jobs say nothing about this one.
    if (!line.Field("job").empty() || !line.Field("task").empty()) {
      return nullptr;
    }
    if (workers.count(line.Field("worker")) > 0) {
      return "worker";
    }
    for (const char* field : kPoolFields) {
      if (line.Field("worker").empty() && pools.count(line.Field(field)) > 0) {
        return "pool";
      }
    }
    return IsDaemonEvent(line.event) ? "daemon" : nullptr;
  }
};

}  // namespace

void ReadLog(std::istream& input,
             const std::string& source,
             std::vector<SourcedLine>* lines) {
  std::string text;
  while (std::getline(input, text)) {
    if (std::optional<LogLine> line = ParseLogLine(text)) {
      lines->push_back(
          {line->origin.empty() ? source : line->origin, std::move(*line)});
    }
  }
}

nlohmann::json Explain(const std::string& id, std::vector<SourcedLine> lines) {
  Subject subject;
  subject.id = id;
  for (const SourcedLine& sourced : lines) {
    const LogLine& line = sourced.line;
    if (!Names(line, id)) {
      continue;
    }
    subject.from = std::min(subject.from, line.time);
    subject.to = std::max(subject.to, line.time);
    for (const auto& [name, value] : line.fields) {
      if (name == "pool") {
        subject.pools.insert(value);
      } else if (name == "worker") {
        subject.workers.insert(value);
      }
    }
  }
  nlohmann::json rows = nlohmann::json::array();
  if (subject.from > subject.to) {
    return rows;
  }
  std::stable_sort(lines.begin(), lines.end(),
                   [](const SourcedLine& a, const SourcedLine& b) {
                     return a.line.time < b.line.time;
                   });
  for (const SourcedLine& sourced : lines) {
    if (const char* relation = subject.Relation(sourced.line)) {
      rows.push_back({{"time", sourced.line.time_text},
                      {"source", sourced.source},
                      {"about", relation},
                      {"event", sourced.line.event},
                      {"details", sourced.line.details}});
    }
  }
  return rows;
}

Result<ApiAnswer> ExplainId(const Options& options) {
  std::vector<SourcedLine> lines;
  std::vector<std::string> paths(options.arguments.begin() + 1,
                                 options.arguments.end());
  if (paths.empty()) {
    paths.emplace_back("-");
  }
  for (const std::string& path : paths) {
    if (path == "-") {
      ReadLog(std::cin, path, &lines);
      continue;
    }
    std::ifstream file(path);
    if (!file.good()) {
      return Fail(ErrorCode::kInvalid, "ctl.explain", "",
                  absl::StrCat("cannot read ", path));
    }
    ReadLog(file, path, &lines);
  }
  const nlohmann::json rows = Explain(options.arguments[0], std::move(lines));
  const nlohmann::json body = {
      {"id", options.arguments[0]}, {"ok", !rows.empty()}, {"lines", rows}};
  return ApiAnswer{
      kOkStatus,
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

}  // namespace figflow::ctl
