#include "Admin/admin_json.h"

#include <cmath>
#include <initializer_list>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

using Json = nlohmann::json;

constexpr char kParseStep[] = "admin.parse_body";
constexpr size_t kMaxIdBytes = 64;
// Longer commands are better kept in a file on the worker; the job record must
// fit into one value of the store.
constexpr size_t kMaxCommandBytes = 65'536;
constexpr double kMaxCores = 1e5;
constexpr int64_t kMaxMemoryMb = 1'000'000'000;
constexpr int64_t kMaxAccelerators = 100'000;

tl::unexpected<Error> Bad(std::string message) {
  return Fail(ErrorCode::kInvalid, kParseStep, "", std::move(message));
}

Json ToJson(const SheetFaultView& fault) {
  return {
      {"row", fault.row}, {"column", fault.column}, {"message", fault.message}};
}

Json ToJson(const SheetChangeView& change) {
  return {{"kind", change.kind},
          {"project", change.project.value()},
          {"pool", change.pool.value()},
          {"data_centre", change.data_centre.value()},
          {"column", change.column},
          {"before", change.before},
          {"after", change.after}};
}

Json ToJson(const DaemonRow& row) {
  return {{"entry", row.entry.value()},
          {"incarnation", row.incarnation},
          {"data_centre", row.data_centre.value()},
          {"address", row.address},
          {"config_revision", row.config_revision},
          {"confirmed", row.confirmed},
          {"suspect", row.suspect},
          {"stopping", row.stopping}};
}

template <typename Row>
Json ListToJson(const std::vector<Row>& rows) {
  Json list = Json::array();
  for (const Row& row : rows) {
    list.push_back(ToJson(row));
  }
  return list;
}

// Reads the fields of one JSON object and remembers the first fault.
class FieldReader {
 public:
  explicit FieldReader(absl::string_view body)
      : object_(Json::parse(body.begin(), body.end(), nullptr, false)) {
    if (object_.is_discarded()) {
      fault_ = "the body is not valid JSON";
    } else if (!object_.is_object()) {
      fault_ = "the body is not a JSON object";
    }
  }

  std::string Id(const char* name, bool required) {
    std::string value = Text(name, required, kMaxIdBytes);
    if (fault_.empty() && !value.empty() && !IsValidId(value)) {
      fault_ = absl::StrCat("field \"", name, "\" is not a valid id");
    }
    return value;
  }

  std::string Text(const char* name, bool required, size_t max_bytes) {
    const Json* value = Find(name, required);
    if (value == nullptr) {
      return "";
    }
    if (!value->is_string()) {
      fault_ = absl::StrCat("field \"", name, "\" is not a string");
      return "";
    }
    auto text = value->get<std::string>();
    if (text.size() > max_bytes || (required && text.empty())) {
      fault_ = absl::StrCat("field \"", name, "\" must have 1 to ", max_bytes,
                            " bytes");
      return "";
    }
    return text;
  }

  double Number(const char* name, double max) {
    const Json* value = Find(name, false);
    if (value == nullptr) {
      return 0;
    }
    const double number = value->is_number() ? value->get<double>() : -1;
    if (!std::isfinite(number) || number < 0 || number > max) {
      fault_ =
          absl::StrCat("field \"", name, "\" is not a number in 0 to ", max);
      return 0;
    }
    return number;
  }

  int64_t Integer(const char* name, int64_t max) {
    const Json* value = Find(name, false);
    if (value == nullptr) {
      return 0;
    }
    // An unsigned value above the signed range converts to a negative one and
    // is refused as well.
    const int64_t number =
        value->is_number_integer() ? value->get<int64_t>() : -1;
    if (number < 0 || number > max) {
      fault_ =
          absl::StrCat("field \"", name, "\" is not an integer in 0 to ", max);
      return 0;
    }
    return number;
  }

  void AllowOnly(std::initializer_list<absl::string_view> names) {
    if (!fault_.empty()) {
      return;
    }
    for (const auto& [name, value] : object_.items()) {
      bool known = false;
      for (const absl::string_view allowed : names) {
        known = known || allowed == name;
      }
      if (!known) {
        fault_ = absl::StrCat("unknown field \"", name, "\"");
        return;
      }
    }
  }

  void Refuse(std::string fault) {
    if (fault_.empty()) {
      fault_ = std::move(fault);
    }
  }

  const std::string& fault() const { return fault_; }

 private:
  const Json* Find(const char* name, bool required) {
    if (!fault_.empty()) {
      return nullptr;
    }
    auto it = object_.find(name);
    if (it == object_.end()) {
      if (required) {
        fault_ = absl::StrCat("field \"", name, "\" is missing");
      }
      return nullptr;
    }
    return &*it;
  }

  Json object_;
  std::string fault_;
};

}  // namespace

Json ToJson(const SheetInForce& sheet) {
  return {{"revision", sheet.revision}, {"csv", sheet.csv}};
}

Json ToJson(const SheetCheck& check) {
  return {{"base_revision", check.base_revision},
          {"rows", check.rows},
          {"ok", check.faults.empty()},
          {"faults", ListToJson(check.faults)}};
}

Json ToJson(const SheetDiffView& diff) {
  return {{"base_revision", diff.base_revision},
          {"revision", diff.revision},
          {"changes", ListToJson(diff.changes)}};
}

Json ToJson(const SheetApplied& applied) {
  return {{"revision", applied.revision}, {"apply_id", applied.apply_id}};
}

Json ToJson(const StatusReport& status) {
  return {{"entry", status.entry.value()},
          {"incarnation", status.incarnation},
          {"data_centre", status.data_centre.value()},
          {"config_revision", status.config_revision},
          {"ready", status.ready},
          {"store_reachable", status.store_reachable},
          {"daemons", ListToJson(status.daemons)}};
}

Json ToJson(const ProjectRow& row) {
  return {{"project", row.project.value()},
          {"team", row.team.value()},
          {"priority", row.priority},
          {"wanted", row.wanted},
          {"owned", row.owned},
          {"down", row.down},
          {"max_down", row.max_down},
          {"budget_minutes", row.budget_minutes},
          {"used_minutes", row.used_minutes},
          {"reserved_minutes", row.reserved_minutes}};
}

Json ToJson(const PoolRow& row) {
  return {{"project", row.project.value()},
          {"pool", row.pool.value()},
          {"data_centre", row.data_centre.value()},
          {"wanted", row.wanted},
          {"active", row.active},
          {"draining", row.draining},
          {"free_slots", row.free_slots},
          {"queued_short", row.queued_short},
          {"queued_long", row.queued_long}};
}

Json ToJson(const InstanceRow& row) {
  return {{"instance", row.instance.value()},
          {"data_centre", row.data_centre.value()},
          {"rack", row.rack.value()},
          {"state", row.state},
          {"project", row.project.value()},
          {"pool", row.pool.value()},
          {"moving_to", row.moving_to.value()},
          {"boot", row.boot}};
}

Json ToJson(const LedgerRow& row) {
  return {{"data_centre", row.data_centre.value()},
          {"project", row.project.value()},
          {"instances", row.instances},
          {"instance_seconds", row.instance_time.count()},
          {"as_of_ms", SinceEpoch(row.as_of).count()}};
}

Json ToJson(const JobRow& row) {
  return {{"id", row.id.value()},         {"project", row.project.value()},
          {"team", row.team.value()},     {"pool", row.pool.value()},
          {"priority", row.priority},     {"state", row.state},
          {"worker", row.worker.value()}, {"reason", row.reason}};
}

Json ToJson(const RolloutRow& row) {
  return {{"project", row.project.value()},
          {"rollout", row.rollout},
          {"state", row.state},
          {"wave", row.wave},
          {"in_flight", row.in_flight},
          {"done", row.done},
          {"failed", row.failed},
          {"total", row.total},
          {"reason", row.reason}};
}

Json ToJson(const EntryRemoval& removal) {
  return {{"entry", removal.entry.value()},
          {"data_centre", removal.data_centre.value()},
          {"epoch", removal.epoch}};
}

Json ToJson(const Error& error) {
  return {{"error",
           {{"code", std::string(ErrorCodeName(error.code))},
            {"step", error.step},
            {"peer", error.peer},
            {"message", error.message}}}};
}

bool IsValidId(absl::string_view id) {
  if (id.empty() || id.size() > kMaxIdBytes ||
      !absl::ascii_isalnum(static_cast<unsigned char>(id.front()))) {
    return false;
  }
  for (const char c : id) {
    if (!absl::ascii_isalnum(static_cast<unsigned char>(c)) && c != '.' &&
        c != '_' && c != '-') {
      return false;
    }
  }
  return true;
}

Result<JobSubmission> ParseJobSubmission(absl::string_view body) {
  FieldReader reader(body);
  JobSubmission job;
  job.id = JobId(reader.Id("id", true));
  job.project = ProjectId(reader.Id("project", true));
  job.team = TeamId(reader.Id("team", false));
  job.pool = PoolId(reader.Id("pool", true));
  job.priority = reader.Text("priority", false, kMaxIdBytes);
  if (job.priority.empty()) {
    job.priority = "normal";
  }
  if (job.priority != "normal" && job.priority != "urgent") {
    reader.Refuse("field \"priority\" is neither \"normal\" nor \"urgent\"");
  }
  job.cores = reader.Number("cores", kMaxCores);
  job.memory_mb = reader.Integer("memory_mb", kMaxMemoryMb);
  job.accelerators =
      static_cast<int>(reader.Integer("accelerators", kMaxAccelerators));
  job.command = reader.Text("command", true, kMaxCommandBytes);
  reader.AllowOnly({"id", "project", "team", "pool", "priority", "cores",
                    "memory_mb", "accelerators", "command"});
  if (!reader.fault().empty()) {
    return Bad(reader.fault());
  }
  return job;
}

Result<RolloutStart> ParseRolloutStart(absl::string_view body) {
  FieldReader reader(body);
  RolloutStart start;
  start.project = ProjectId(reader.Id("project", true));
  start.rollout = reader.Id("rollout", true);
  reader.AllowOnly({"project", "rollout"});
  if (!reader.fault().empty()) {
    return Bad(reader.fault());
  }
  return start;
}

Result<ProjectId> ParseProjectBody(absl::string_view body) {
  FieldReader reader(body);
  const ProjectId project(reader.Id("project", true));
  reader.AllowOnly({"project"});
  if (!reader.fault().empty()) {
    return Bad(reader.fault());
  }
  return project;
}

}  // namespace figflow
