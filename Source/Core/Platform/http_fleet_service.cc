#include "Platform/http_fleet_service.h"

#include <utility>

#include "Platform/fleet_json.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

using std::chrono::milliseconds;

nlohmann::json TaskBody(const JobId& job, uint64_t fencing_token) {
  return {{"job", job.value()}, {"fencing_token", fencing_token}};
}

}  // namespace

Result<void> HttpFleetService::Write(absl::string_view kind,
                                     const char* path,
                                     nlohmann::json body,
                                     milliseconds timeout) {
  const auto answer =
      client_.Call({kind, CallEffect::kWrite, path, std::move(body), timeout});
  if (!answer) {
    return tl::unexpected<Error>(answer.error());
  }
  return {};
}

template <typename T>
Result<std::vector<T>> HttpFleetService::ReadList(
    absl::string_view kind,
    const char* path,
    const char* name,
    const DataCentreId& data_centre,
    milliseconds timeout,
    Result<T> (*parse)(const nlohmann::json&)) {
  const auto answer = client_.Call(
      {kind, CallEffect::kRead,
       absl::StrCat(path, "?data_centre=", QueryEscape(data_centre.value())),
       nullptr, timeout});
  if (!answer) {
    return tl::unexpected<Error>(answer.error());
  }
  const auto list = answer->find(name);
  if (list == answer->end() || !list->is_array()) {
    return Fail(ErrorCode::kUnavailable, std::string(kind), client_.address(),
                absl::StrCat("the answer lacks ", name));
  }
  std::vector<T> items;
  for (const nlohmann::json& object : *list) {
    Result<T> item = parse(object);
    if (!item) {
      return Fail(ErrorCode::kUnavailable, std::string(kind), client_.address(),
                  item.error().message);
    }
    items.push_back(std::move(*item));
  }
  return items;
}

Result<std::vector<ListedInstance>> HttpFleetService::ListInstances(
    const DataCentreId& data_centre,
    milliseconds timeout) {
  return ReadList<ListedInstance>("fleet.list_instances", "/fleet/instances",
                                  "instances", data_centre, timeout,
                                  InstanceFromJson);
}

Result<void> HttpFleetService::Reboot(const RebootRequest& request,
                                      milliseconds timeout) {
  return Write("fleet.reboot", "/fleet/reboot", ToJson(request), timeout);
}

Result<void> HttpFleetService::StartTask(const TaskStart& start,
                                         milliseconds timeout) {
  return Write("fleet.start_task", "/fleet/tasks/start", ToJson(start),
               timeout);
}

Result<void> HttpFleetService::RenewTask(const JobId& job,
                                         uint64_t fencing_token,
                                         milliseconds timeout) {
  return Write("fleet.renew_task", "/fleet/tasks/renew",
               TaskBody(job, fencing_token), timeout);
}

Result<void> HttpFleetService::ThrottleTask(const JobId& job,
                                            uint64_t fencing_token,
                                            milliseconds timeout) {
  return Write("fleet.throttle_task", "/fleet/tasks/throttle",
               TaskBody(job, fencing_token), timeout);
}

Result<void> HttpFleetService::CheckpointTask(const JobId& job,
                                              uint64_t fencing_token,
                                              milliseconds timeout) {
  return Write("fleet.checkpoint_task", "/fleet/tasks/checkpoint",
               TaskBody(job, fencing_token), timeout);
}

Result<void> HttpFleetService::StopTask(const JobId& job,
                                        uint64_t fencing_token,
                                        milliseconds timeout) {
  return Write("fleet.stop_task", "/fleet/tasks/stop",
               TaskBody(job, fencing_token), timeout);
}

Result<std::vector<TaskReport>> HttpFleetService::ListTasks(
    const DataCentreId& data_centre,
    milliseconds timeout) {
  return ReadList<TaskReport>("fleet.list_tasks", "/fleet/tasks", "tasks",
                              data_centre, timeout, TaskReportFromJson);
}

}  // namespace figflow
