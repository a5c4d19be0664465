#include "Ctl/verbs.h"

#include <algorithm>
#include <fstream>
#include <initializer_list>
#include <iostream>
#include <iterator>
#include <random>
#include <utility>

#include "Common/json.h"

#include "Ctl/explain.h"
#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace figflow::ctl {
namespace {

constexpr size_t kMostLogFiles = 1'000;
constexpr char kJsonType[] = "application/json";

using Json = nlohmann::json;

tl::unexpected<Error> BadArguments(std::string message) {
  return Fail(ErrorCode::kInvalid, "ctl.arguments", "", std::move(message));
}

std::string RandomId() {
  std::random_device device;
  return absl::StrCat(absl::Hex(device(), absl::kZeroPad8),
                      absl::Hex(device(), absl::kZeroPad8),
                      absl::Hex(device(), absl::kZeroPad8),
                      absl::Hex(device(), absl::kZeroPad8));
}

std::string Escape(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (absl::ascii_isalnum(byte) || c == '.' || c == '_' || c == '-') {
      escaped += c;
    } else {
      absl::StrAppend(&escaped, "%", absl::Hex(byte, absl::kZeroPad2));
    }
  }
  return escaped;
}

// Appends the parameters that have a value.
std::string Target(
    std::string path,
    std::initializer_list<std::pair<const char*, std::string>> parameters) {
  char separator = '?';
  for (const auto& [name, value] : parameters) {
    if (!value.empty()) {
      absl::StrAppend(&path, std::string(1, separator), name, "=",
                      Escape(value));
      separator = '&';
    }
  }
  return path;
}

ApiCall Get(std::string target) {
  return ApiCall{"GET", std::move(target), "", ""};
}

// Reads the sheet byte for byte; "-" stands for standard input.
Result<ApiCall> SheetCall(const Options& options, std::string target) {
  const std::string& path = options.arguments[0];
  std::ifstream file;
  if (path != "-") {
    file.open(path, std::ios::binary);
  }
  std::istream& input = path == "-" ? std::cin : file;
  if (!input.good()) {
    return BadArguments(absl::StrCat("cannot read ", path));
  }
  std::string csv((std::istreambuf_iterator<char>(input)),
                  std::istreambuf_iterator<char>());
  if (input.bad() || csv.empty()) {
    return BadArguments(absl::StrCat(path, " cannot be read or is empty"));
  }
  return ApiCall{"POST", std::move(target), "text/csv", std::move(csv)};
}

Result<ApiCall> SheetShow(const Options& /*options*/) {
  return Get("/v1/sheet");
}

Result<ApiCall> SheetCheck(const Options& options) {
  return SheetCall(options, "/v1/sheet/check");
}

Result<ApiCall> SheetDiff(const Options& options) {
  return SheetCall(options, "/v1/sheet/diff");
}

Result<ApiCall> SheetApply(const Options& options) {
  const std::string id =
      options.apply_id.empty() ? RandomId() : options.apply_id;
  return SheetCall(options, Target("/v1/sheet/apply", {{"apply_id", id}}));
}

Result<ApiCall> Status(const Options& /*options*/) {
  return Get("/v1/status");
}

Result<ApiCall> Projects(const Options& options) {
  return Get(Target("/v1/projects",
                    {{"project", options.project}, {"team", options.team}}));
}

Result<ApiCall> Pools(const Options& options) {
  return Get(Target("/v1/pools", {{"project", options.project},
                                  {"pool", options.pool},
                                  {"data_centre", options.data_centre}}));
}

Result<ApiCall> Instances(const Options& options) {
  return Get(Target("/v1/instances", {{"project", options.project},
                                      {"pool", options.pool},
                                      {"data_centre", options.data_centre},
                                      {"state", options.state}}));
}

Result<ApiCall> Ledger(const Options& options) {
  return Get(Target("/v1/ledger", {{"project", options.project},
                                   {"data_centre", options.data_centre}}));
}

Result<ApiCall> JobsSubmit(const Options& options) {
  Json job = {{"id", options.id.empty() ? RandomId() : options.id},
              {"command", options.arguments[0]}};
  for (const auto& [name, value] :
       {std::pair("project", &options.project),
        std::pair("pool", &options.pool), std::pair("team", &options.team),
        std::pair("priority", &options.priority)}) {
    if (!value->empty()) {
      job[name] = *value;
    }
  }
  for (const auto& [name, value] :
       {std::pair("cores", &options.cores),
        std::pair("memory_mb", &options.memory_mb),
        std::pair("accelerators", &options.accelerators)}) {
    // Parsed as JSON so that integers stay integers; the server checks ranges.
    const Json number = Json::parse(*value, nullptr, false);
    if (!value->empty() && !number.is_number()) {
      return BadArguments(absl::StrCat(name, ": ", *value, " is not a number"));
    }
    if (!value->empty()) {
      job[name] = number;
    }
  }
  return ApiCall{
      "POST", "/v1/jobs", kJsonType,
      job.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

Result<ApiCall> JobsList(const Options& options) {
  return Get(Target("/v1/jobs", {{"project", options.project},
                                 {"team", options.team},
                                 {"pool", options.pool},
                                 {"state", options.state}}));
}

Result<ApiCall> JobsCancel(const Options& options) {
  return ApiCall{"DELETE",
                 absl::StrCat("/v1/jobs/", Escape(options.arguments[0]), "/",
                              Escape(options.arguments[1])),
                 "", ""};
}

Result<ApiCall> MaintenanceCall(const char* path, const Json& body) {
  return ApiCall{
      "POST", path, kJsonType,
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

Result<ApiCall> MaintenanceStart(const Options& options) {
  return MaintenanceCall(
      "/v1/maintenance/start",
      {{"project", options.arguments[0]}, {"rollout", options.arguments[1]}});
}

Result<ApiCall> MaintenancePause(const Options& options) {
  return MaintenanceCall("/v1/maintenance/pause",
                         {{"project", options.arguments[0]}});
}

Result<ApiCall> MaintenanceResume(const Options& options) {
  return MaintenanceCall("/v1/maintenance/resume",
                         {{"project", options.arguments[0]}});
}

Result<ApiCall> MaintenanceStatus(const Options& options) {
  return Get(Target("/v1/maintenance", {{"project", options.project}}));
}

Result<ApiCall> EntriesRemove(const Options& options) {
  return ApiCall{
      "POST",
      absl::StrCat("/v1/entries/", Escape(options.arguments[0]), "/remove"), "",
      ""};
}

Result<ApiCall> Dump(const Options& /*options*/) {
  return Get("/state");
}

std::vector<Verb> MakeVerbs() {
  const std::vector<std::string> rollout = {"project", "rollout",   "state",
                                            "wave",    "in_flight", "done",
                                            "failed",  "total",     "reason"};
  const std::vector<std::string> job = {
      "project", "id", "pool", "team", "priority", "state", "worker", "reason"};
  return {
      {"sheet show",
       "",
       "Print the sheet in force as CSV",
       {},
       0,
       0,
       false,
       SheetShow,
       "",
       {"csv"}},
      {"sheet check",
       "FILE",
       "Check a sheet and print its faults",
       {},
       1,
       1,
       false,
       SheetCheck,
       "faults",
       {"row", "column", "message"}},
      {"sheet diff",
       "FILE",
       "Compare a sheet with the one in force",
       {},
       1,
       1,
       false,
       SheetDiff,
       "changes",
       {"kind", "project", "pool", "data_centre", "column", "before", "after"}},
      {"sheet apply",
       "FILE",
       "Put a sheet in force",
       {"apply-id"},
       1,
       1,
       true,
       SheetApply,
       "",
       {"revision", "apply_id"}},
      {"status",
       "",
       "Show the daemons and the revisions they have in force",
       {},
       0,
       0,
       false,
       Status,
       "daemons",
       {"entry", "data_centre", "address", "config_revision", "confirmed",
        "suspect", "stopping"}},
      {"projects",
       "",
       "List projects with their budget",
       {"project", "team"},
       0,
       0,
       false,
       Projects,
       "projects",
       {"project", "team", "priority", "wanted", "owned", "down", "max_down",
        "budget_minutes", "used_minutes", "reserved_minutes"}},
      {"pools",
       "",
       "List pools",
       {"project", "pool", "data-centre"},
       0,
       0,
       false,
       Pools,
       "pools",
       {"project", "pool", "data_centre", "wanted", "active", "draining",
        "free_slots", "queued_short", "queued_long"}},
      {"instances",
       "",
       "List instances",
       {"project", "pool", "data-centre", "state"},
       0,
       0,
       false,
       Instances,
       "instances",
       {"instance", "data_centre", "rack", "state", "project", "pool",
        "moving_to", "boot"}},
      {"jobs submit",
       "COMMAND",
       "Submit a job",
       {"id", "project", "pool", "team", "priority", "cores", "memory-mb",
        "accelerators"},
       1,
       1,
       true,
       JobsSubmit,
       "",
       job},
      {"jobs list",
       "",
       "List jobs",
       {"project", "team", "pool", "state"},
       0,
       0,
       false,
       JobsList,
       "jobs",
       job},
      {"jobs cancel",
       "PROJECT ID",
       "Cancel a job",
       {},
       2,
       2,
       true,
       JobsCancel,
       "",
       job},
      {"maintenance start",
       "PROJECT ROLLOUT",
       "Start a roll-out",
       {},
       2,
       2,
       true,
       MaintenanceStart,
       "",
       rollout},
      {"maintenance pause",
       "PROJECT",
       "Start no further instance",
       {},
       1,
       1,
       true,
       MaintenancePause,
       "",
       rollout},
      {"maintenance resume",
       "PROJECT",
       "Resume a paused or halted roll-out",
       {},
       1,
       1,
       true,
       MaintenanceResume,
       "",
       rollout},
      {"maintenance status",
       "",
       "List roll-outs",
       {"project"},
       0,
       0,
       false,
       MaintenanceStatus,
       "maintenance",
       rollout},
      {"entries remove",
       "ENTRY",
       "Declare an entry instance gone",
       {},
       1,
       1,
       true,
       EntriesRemove,
       "",
       {"entry", "data_centre", "epoch"}},
      {"ledger",
       "",
       "Show the instance time of each project",
       {"project", "data-centre"},
       0,
       0,
       false,
       Ledger,
       "ledger",
       {"data_centre", "project", "instances", "instance_seconds", "as_of_ms"}},
      {"dump",
       "",
       "Print the whole state of the daemon as JSON",
       {},
       0,
       0,
       false,
       Dump,
       "",
       {}},
      {"entry",
       "",
       "Show what one daemon believes of the plan, the store and its peers",
       {},
       0,
       0,
       false,
       Dump,
       "",
       {"entry", "plan_version", "store_silent_ms", "owners_age_ms", "workers",
        "peers", "releasing"}},
      {"owners",
       "",
       "List the pools' owners that one daemon knows",
       {},
       0,
       0,
       false,
       Dump,
       "owners",
       {"scope", "owner", "fence", "age_ms"}},
      {"queues",
       "",
       "List the waiting tasks of the pools that the daemon owns",
       {},
       0,
       0,
       false,
       Dump,
       "queues",
       {"pool", "queue", "waiting_tasks"}},
      {"waves",
       "",
       "List the open maintenance waves of the daemon that keeps the instances",
       {},
       0,
       0,
       false,
       Dump,
       "waves",
       {"wave", "max_down", "waiting", "emptying", "ordered", "down", "over",
        "left_ms", "held_by"}},
      {"explain",
       "ID [LOG...]",
       "Gather what the daemons' logs say of a request, job or task",
       {},
       1,
       kMostLogFiles,
       false,
       nullptr,
       "lines",
       {"time", "source", "about", "event", "details"},
       ExplainId},
  };
}

}  // namespace

const std::vector<Verb>& Verbs() {
  static const std::vector<Verb> verbs = MakeVerbs();
  return verbs;
}

const Verb* FindVerb(const std::vector<std::string>& words) {
  for (const Verb& verb : Verbs()) {
    const std::vector<std::string> name = absl::StrSplit(verb.name, ' ');
    if (words.size() >= name.size() &&
        std::equal(name.begin(), name.end(), words.begin())) {
      return &verb;
    }
  }
  return nullptr;
}

}  // namespace figflow::ctl
