#include "Platform/fleet_json.h"

#include <array>
#include <string>

#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::array<const char*, 3> kInstanceStates = {"live", "leaving",
                                                        "gone"};
constexpr std::array<const char*, 2> kRoles = {"entry", "worker"};
constexpr std::array<const char*, 6> kTaskStates = {
    "running", "throttled", "checkpointed", "stopped", "done", "failed"};

template <typename Enum, size_t kSize>
Enum EnumAt(const json& object,
            const char* name,
            const std::array<const char*, kSize>& names) {
  const std::string text = object.at(name).get<std::string>();
  for (size_t i = 0; i < kSize; ++i) {
    if (text == names[i]) {
      return static_cast<Enum>(i);
    }
  }
  throw json::other_error::create(
      501, absl::StrCat("unknown ", name, " \"", text, "\""), &object);
}

template <typename Id>
Id IdAt(const json& object, const char* name) {
  return Id(object.at(name).get<std::string>());
}

json SizeToJson(const TaskSize& size) {
  return {{"cores", size.cores},
          {"memory_mb", size.memory_mb},
          {"accelerators", size.accelerators}};
}

TaskSize SizeAt(const json& object, const char* name) {
  const json& size = object.at(name);
  return TaskSize{size.at("cores").get<double>(),
                  size.at("memory_mb").get<int64_t>(),
                  size.at("accelerators").get<int>()};
}

// Runs `parse`, which throws on a missing or mistyped member.
template <typename T>
Result<T> Parsed(const char* step,
                 const json& object,
                 T (*parse)(const json&)) {
  try {
    return parse(object);
  } catch (const json::exception& error) {
    return Fail(ErrorCode::kInvalid, step, "", error.what());
  }
}

}  // namespace

json ToJson(const ListedInstance& instance) {
  return {{"id", instance.id.value()},
          {"role", kRoles[static_cast<size_t>(instance.role)]},
          {"state", kInstanceStates[static_cast<size_t>(instance.state)]},
          {"data_centre", instance.data_centre.value()},
          {"rack", instance.rack.value()},
          {"address", instance.address},
          {"boot", instance.boot},
          {"slots", instance.slots},
          {"connections", instance.connections},
          {"cores", instance.cores},
          {"memory_mb", instance.memory_mb},
          {"accelerators", instance.accelerators}};
}

Result<ListedInstance> InstanceFromJson(const json& object) {
  return Parsed<ListedInstance>(
      "fleet.parse_instance", object, [](const json& from) {
        ListedInstance instance;
        instance.id = IdAt<InstanceId>(from, "id");
        instance.role = EnumAt<InstanceRole>(from, "role", kRoles);
        instance.state = EnumAt<InstanceState>(from, "state", kInstanceStates);
        instance.data_centre = IdAt<DataCentreId>(from, "data_centre");
        instance.rack = IdAt<RackId>(from, "rack");
        instance.address = from.at("address").get<std::string>();
        instance.boot = from.at("boot").get<uint64_t>();
        instance.slots = from.at("slots").get<int>();
        instance.connections = from.at("connections").get<int>();
        instance.cores = from.at("cores").get<int>();
        instance.memory_mb = from.at("memory_mb").get<int64_t>();
        instance.accelerators = from.at("accelerators").get<int>();
        return instance;
      });
}

json ToJson(const RebootRequest& request) {
  return {{"instance", request.instance.value()},
          {"operation", request.operation.value()},
          {"not_after_ms", SinceEpoch(request.not_after).count()}};
}

Result<RebootRequest> RebootFromJson(const json& object) {
  return Parsed<RebootRequest>(
      "fleet.parse_reboot", object, [](const json& from) {
        return RebootRequest{
            IdAt<InstanceId>(from, "instance"),
            IdAt<OperationId>(from, "operation"),
            FromEpoch(milliseconds(from.at("not_after_ms").get<int64_t>()))};
      });
}

json ToJson(const TaskStart& start) {
  return {{"job", start.job.value()},
          {"worker", start.worker.value()},
          {"fencing_token", start.fencing_token},
          {"size", SizeToJson(start.size)},
          {"command", start.command},
          {"lease_ttl_ms", start.lease_ttl.count()}};
}

Result<TaskStart> TaskStartFromJson(const json& object) {
  return Parsed<TaskStart>(
      "fleet.parse_task_start", object, [](const json& from) {
        return TaskStart{IdAt<JobId>(from, "job"),
                         IdAt<InstanceId>(from, "worker"),
                         from.at("fencing_token").get<uint64_t>(),
                         SizeAt(from, "size"),
                         from.at("command").get<std::string>(),
                         milliseconds(from.at("lease_ttl_ms").get<int64_t>())};
      });
}

json ToJson(const TaskReport& report) {
  return {{"job", report.job.value()},
          {"worker", report.worker.value()},
          {"fencing_token", report.fencing_token},
          {"state", kTaskStates[static_cast<size_t>(report.state)]},
          {"usage", SizeToJson(report.usage)},
          {"measured_at_ms", SinceEpoch(report.measured_at).count()},
          {"failure", report.failure}};
}

Result<TaskReport> TaskReportFromJson(const json& object) {
  return Parsed<TaskReport>(
      "fleet.parse_task_report", object, [](const json& from) {
        return TaskReport{
            IdAt<JobId>(from, "job"),
            IdAt<InstanceId>(from, "worker"),
            from.at("fencing_token").get<uint64_t>(),
            EnumAt<TaskState>(from, "state", kTaskStates),
            SizeAt(from, "usage"),
            FromEpoch(milliseconds(from.at("measured_at_ms").get<int64_t>())),
            from.at("failure").get<std::string>()};
      });
}

}  // namespace figflow
