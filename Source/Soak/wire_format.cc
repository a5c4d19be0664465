#include "Soak/wire_format.h"

#include <utility>

#include "Http/http_status.h"
#include "Scheduling/worker_state.h"
#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "wire_json.h"

namespace figflow::soak {
namespace {

using nlohmann::json;
using wire::Optional;

constexpr char kHost[] = "127.0.0.1";

struct AnswerText {
  OrderOutcome answer;
  int status;
  const char* reason;
};

constexpr AnswerText kAnswers[] = {
    {OrderOutcome::kStarted, 200, ""},
    {OrderOutcome::kFenced, 409, "fence"},
    {OrderOutcome::kOutdated, 409, "old"},
    {OrderOutcome::kLate, 409, "late"},
    {OrderOutcome::kInsufficientCapacity, 409, "room"},
    {OrderOutcome::kNoTicket, 409, "ticket"},
    {OrderOutcome::kRefused, 400, ""},
    {OrderOutcome::kUnhealthy, 503, ""},
    {OrderOutcome::kReplaced, 421, ""}};

constexpr std::pair<RunResult, const char*> kEnds[] = {
    {RunResult::kDone, "done"},
    {RunResult::kFailed, "failed"},
    {RunResult::kStopped, "stopped"},
    {RunResult::kLeaseExpired, "lapsed"},
    {RunResult::kGangMemberEnded, "broken"},
    {RunResult::kGangIncomplete, "alone"}};

constexpr std::pair<InstanceStatus, const char*> kStates[] = {
    {InstanceStatus::kUp, "up"},
    {InstanceStatus::kMoving, "moving"},
    {InstanceStatus::kMaintenance, "upkeep"},
    {InstanceStatus::kDown, "down"}};

template <typename Key, size_t kSize>
const char* NameOf(const std::pair<Key, const char*> (&names)[kSize], Key key) {
  for (const auto& [value, name] : names) {
    if (value == key) {
      return name;
    }
  }
  return "";
}

}  // namespace

std::string WaveKey(uint64_t wave) {
  return absl::StrCat("op/wave/", wave);
}

std::string FormatPlan(const FleetPlan& plan) {
  json routes = json::array();
  for (const QueueConfig& queue : plan.queues) {
    routes.push_back({{"Name", queue.name},
                      {"Host", kHost},
                      {"Prefix", absl::StrCat("/", queue.name, "/")},
                      {"Service", queue.pool},
                      {"Priority", queue.priority},
                      {"MaxAttempts", queue.max_attempts},
                      {"Stretch", queue.stretch},
                      {"TargetDurationMs", queue.objective.count()}});
  }
  json services = json::array();
  for (const PoolConfig& pool : plan.pools) {
    services.push_back({{"Name", pool.name},
                        {"RejectsOverload", pool.rejects_overload},
                        {"Spare", pool.spare}});
  }
  return wire::Format({{"Version", plan.version},
                       {"Routes", std::move(routes)},
                       {"Services", std::move(services)}});
}

std::string FormatWave(const MaintenanceWave& wave) {
  return wire::Format(
      {{"Wave", wave.number},
       {"Machines", wave.instances},
       {"CompleteByS",
        std::chrono::duration<double>(wave.complete_within).count()},
       {"Cap", wave.max_down}});
}

std::string FormatWorker(const WorkerReport& report) {
  return wire::Format({{"born", report.key.incarnation},
                       {"Service", report.pool},
                       {"Address", report.address},
                       {"Zone", "dc-a"},
                       {"Machine", report.instance},
                       {"Capacity",
                        {{"Cpu", report.capacity.cpu_millicores},
                         {"MemMb", report.capacity.memory_mb}}},
                       {"Labels", {"plain", "rack-1"}},
                       {"State", report.draining ? "draining" : "ready"},
                       {"ClockMs", report.clock.count()}});
}

std::string FormatJob(const JobSpec& spec) {
  json steps = json::array();
  for (const StageSpec& stage : spec.stages) {
    steps.push_back({{"Count", stage.count},
                     {"Cpu", stage.per_task.cpu_millicores},
                     {"MemMb", stage.per_task.memory_mb},
                     {"EstimateMs", stage.estimate.count()},
                     {"After", stage.after},
                     {"Gang", stage.gang},
                     {"Perpetual", stage.perpetual},
                     {"MaxPerServer", stage.max_per_worker}});
  }
  return wire::Format({{"Spec", spec.payload}, {"Steps", std::move(steps)}});
}

json FormatItem(const StoreItem& item) {
  json row = {{"Key", item.key}, {"Revision", item.revision}};
  if (item.removed) {
    row["Tombstone"] = true;
    return row;
  }
  row["Value"] = absl::Base64Escape(item.value);
  if (item.lease != 0) {
    row["Lease"] = item.lease;
  }
  return row;
}

json FormatItems(const std::vector<StoreItem>& items) {
  json rows = json::array();
  for (const StoreItem& item : items) {
    rows.push_back(FormatItem(item));
  }
  return rows;
}

Transaction ParseTransaction(const json& body) {
  Transaction transaction;
  for (const json& row : body.at("ExpectedRev")) {
    transaction.expected.emplace_back(row.at("Key").get<std::string>(),
                                      row.at("Revision").get<uint64_t>());
  }
  for (const json& row : body.at("Puts")) {
    StoreWrite write;
    write.key = row.at("Key").get<std::string>();
    absl::Base64Unescape(row.at("Value").get_ref<const std::string&>(),
                         &write.value);
    write.lease = Optional<LeaseId>(row, "Lease");
    transaction.writes.push_back(std::move(write));
  }
  transaction.removals = body.at("Remove").get<std::vector<std::string>>();
  return transaction;
}

json FormatInstances(const std::vector<Instance>& instances) {
  json rows = json::array();
  for (const Instance& instance : instances) {
    rows.push_back({{"Machine", instance.id},
                    {"Pool", instance.pool},
                    {"State", NameOf(kStates, instance.state)},
                    {"Zone", "dc-a"},
                    {"Labels", {"plain", "rack-1"}},
                    {"Id", instance.worker}});
  }
  return {{"Machines", std::move(rows)}};
}

HttpResponse FormatInstanceAnswer(InstanceAnswer answer) {
  switch (answer) {
    case InstanceAnswer::kDone:
      return JsonResponse(http_status::kOk, json::object());
    case InstanceAnswer::kFenced:
      return JsonResponse(http_status::kConflict, {{"Reason", "fence"}});
    case InstanceAnswer::kBusy:
      return JsonResponse(http_status::kConflict, {{"Reason", "busy"}});
    case InstanceAnswer::kRefused:
      return JsonResponse(http_status::kBadRequest, json::object());
    case InstanceAnswer::kTurnedAway:
      break;
  }
  return JsonResponse(429, json::object());
}

bool ParseTask(absl::string_view text, TaskName* task) {
  const std::vector<absl::string_view> parts = absl::StrSplit(text, '.');
  if (parts.size() != 4) {
    return false;
  }
  task->job = std::string(parts[0]);
  return absl::SimpleAtoi(parts[1], &task->occurrence) &&
         absl::SimpleAtoi(parts[2], &task->stage) &&
         absl::SimpleAtoi(parts[3], &task->index);
}

HttpResponse FormatOrderAnswer(const OrderResponse& answer) {
  for (const AnswerText& text : kAnswers) {
    if (text.answer == answer.answer) {
      json body = {{"ClockMs", answer.clock.count()}};
      if (*text.reason != '\0') {
        body["Reason"] = text.reason;
      }
      return JsonResponse(text.status, body);
    }
  }
  return JsonResponse(503, json::object());
}

HttpResponse FormatHoldAnswer(const HoldResponse& answer) {
  if (answer.answer != OrderOutcome::kStarted) {
    return FormatOrderAnswer({answer.answer, answer.status.clock});
  }
  json running = json::array();
  for (const RunningTask& run : answer.status.running) {
    running.push_back(
        {FormatTaskName(run.name), run.run, run.checkpoint, run.percent});
  }
  json ended = json::array();
  for (const EndedRun& run : answer.status.ended) {
    ended.push_back({run.number, FormatTaskName(run.name), run.run,
                     NameOf(kEnds, run.end), run.checkpoint});
  }
  return JsonResponse(http_status::kOk,
                      {{"ClockMs", answer.status.clock.count()},
                       {"born", answer.status.incarnation},
                       {"Running", std::move(running)},
                       {"Ended", std::move(ended)}});
}

HttpResponse JsonResponse(int status, const json& body) {
  return {status, {{"Content-Type", "application/json"}}, wire::Format(body)};
}

std::string QueryValue(absl::string_view target, absl::string_view name) {
  const size_t query = target.find('?');
  if (query == absl::string_view::npos) {
    return "";
  }
  for (const absl::string_view part :
       absl::StrSplit(target.substr(query + 1), '&')) {
    const std::pair<absl::string_view, absl::string_view> field =
        absl::StrSplit(part, absl::MaxSplits('=', 1));
    if (field.first != name) {
      continue;
    }
    std::string value;
    for (size_t i = 0; i < field.second.size(); ++i) {
      const bool escaped =
          field.second[i] == '%' && i + 2 < field.second.size();
      value += escaped ? absl::HexStringToBytes(field.second.substr(i + 1, 2))
                       : std::string(1, field.second[i]);
      i += escaped ? 2 : 0;
    }
    return value;
  }
  return "";
}

}  // namespace figflow::soak
