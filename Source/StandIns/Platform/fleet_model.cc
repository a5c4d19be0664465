#include "StandIns/Platform/fleet_model.h"

#include <algorithm>
#include <iterator>
#include <vector>

#include "Platform/fleet_json.h"

namespace figflow::standin {
namespace {

using nlohmann::json;

// Changes kept for a list that was frozen for long.
constexpr size_t kMaxHistory = 100;

}  // namespace

FleetModel::FleetModel(const StandinSettings& settings, const Clock& clock)
    : list_lag_(settings.list_lag),
      reboot_time_(settings.reboot_time),
      clock_(clock),
      tasks_(settings.usage_lag) {
  for (const ListedInstance& instance : settings.instances) {
    Record record;
    record.worker.instance = instance;
    record.history.emplace_back(MonoTime::min(), instance);
    records_[instance.id] = std::move(record);
  }
}

void FleetModel::Advance(MonoTime now) {
  for (auto& [id, record] : records_) {
    if (record.back_at && *record.back_at <= now) {
      ++record.worker.instance.boot;
      const MonoTime back_at = *record.back_at;
      record.back_at.reset();
      SetState(InstanceState::kLive, back_at, record);
    }
  }
  tasks_.Advance(now);
}

void FleetModel::SetState(InstanceState state, MonoTime now, Record& record) {
  record.worker.instance.state = state;
  record.history.emplace_back(now, record.worker.instance);
  if (record.history.size() > kMaxHistory) {
    record.history.pop_front();
  }
  if (state == InstanceState::kGone) {
    tasks_.FailWorker(record.worker.instance.id);
  }
}

void FleetModel::BeginReboot(MonoTime now, Record& record) {
  ++record.reboots;
  record.back_at = now + reboot_time_;
  SetState(InstanceState::kGone, now, record);
}

FleetModel::Record* FleetModel::Find(const InstanceId& id) {
  const auto it = records_.find(id);
  return it == records_.end() ? nullptr : &it->second;
}

Answer FleetModel::ListInstances(const std::string& data_centre,
                                 std::optional<MonoTime> frozen_at) {
  absl::MutexLock lock(&mutex_);
  const MonoTime now = clock_.Now();
  Advance(now);
  const MonoTime as_of = frozen_at.value_or(now) - list_lag_;
  json list = json::array();
  for (const auto& [id, record] : records_) {
    if (!data_centre.empty() &&
        record.worker.instance.data_centre.value() != data_centre) {
      continue;
    }
    const auto later =
        std::find_if(record.history.begin(), record.history.end(),
                     [&](const auto& change) { return change.first > as_of; });
    const auto shown =
        later == record.history.begin() ? later : std::prev(later);
    list.push_back(ToJson(shown->second));
  }
  return Answer{200, {{"instances", std::move(list)}}};
}

Answer FleetModel::Reboot(const json& body) {
  const Result<RebootRequest> request = RebootFromJson(body);
  if (!request) {
    return Refusal(400, request.error().message);
  }
  absl::MutexLock lock(&mutex_);
  const MonoTime now = clock_.Now();
  Advance(now);
  Record* record = Find(request->instance);
  if (record == nullptr) {
    return Refusal(404, "no such instance");
  }
  const auto operation = operations_.find(request->operation);
  if (operation != operations_.end()) {
    return operation->second == request->instance
               ? Answer{}
               : Refusal(409, "the operation id was used for another instance");
  }
  if (clock_.WallNow() > request->not_after) {
    return Refusal(412, "it is after not_after");
  }
  if (record->back_at) {
    return Refusal(409, "the instance is rebooting for another operation");
  }
  operations_[request->operation] = request->instance;
  BeginReboot(now, *record);
  return Answer{};
}

Answer FleetModel::StartTask(const json& body) {
  const Result<TaskStart> start = TaskStartFromJson(body);
  if (!start) {
    return Refusal(400, start.error().message);
  }
  absl::MutexLock lock(&mutex_);
  const MonoTime now = clock_.Now();
  Advance(now);
  const Record* record = Find(start->worker);
  if (record == nullptr ||
      record->worker.instance.state == InstanceState::kGone) {
    return Refusal(404, "no such worker");
  }
  return tasks_.Start(*start, record->worker, now);
}

Answer FleetModel::ActOnTask(TaskAction action, const json& body) {
  const JobId job(body.at("job").get<std::string>());
  const auto token = body.at("fencing_token").get<uint64_t>();
  absl::MutexLock lock(&mutex_);
  const MonoTime now = clock_.Now();
  Advance(now);
  return tasks_.Act(action, job, token, now);
}

Answer FleetModel::ListTasks(const std::string& data_centre) {
  absl::MutexLock lock(&mutex_);
  const MonoTime now = clock_.Now();
  Advance(now);
  std::vector<InstanceId> workers;
  for (const auto& [id, record] : records_) {
    if (data_centre.empty() ||
        record.worker.instance.data_centre.value() == data_centre) {
      workers.push_back(id);
    }
  }
  json list = json::array();
  for (const TaskReport& report :
       tasks_.Reports(workers, now, clock_.WallNow())) {
    list.push_back(ToJson(report));
  }
  return Answer{200, {{"tasks", std::move(list)}}};
}

Answer FleetModel::SetInstance(const json& body) {
  const InstanceId id(body.at("id").get<std::string>());
  absl::MutexLock lock(&mutex_);
  const MonoTime now = clock_.Now();
  Advance(now);
  Record* record = Find(id);
  if (record == nullptr) {
    return Refusal(404, "no such instance");
  }
  record->worker.fails_tasks =
      body.value("fails_tasks", record->worker.fails_tasks);
  if (body.contains("state")) {
    json changed = ToJson(record->worker.instance);
    changed["state"] = body["state"];
    const Result<ListedInstance> instance = InstanceFromJson(changed);
    if (!instance) {
      return Refusal(400, instance.error().message);
    }
    record->back_at.reset();
    SetState(instance->state, now, *record);
  }
  if (body.value("reboot", false)) {
    BeginReboot(now, *record);
  }
  return Answer{};
}

json FleetModel::Reboots() {
  absl::MutexLock lock(&mutex_);
  json reboots = json::object();
  for (const auto& [id, record] : records_) {
    if (record.reboots > 0) {
      reboots[id.value()] = record.reboots;
    }
  }
  return reboots;
}

}  // namespace figflow::standin
