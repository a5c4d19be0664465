#include "Jobs/job_record.h"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

using nlohmann::json;

constexpr int kVersion = 1;

constexpr std::array<absl::string_view, 9> kStateNames = {
    "pending",  "placed", "running",   "checkpointed", "stopping",
    "finished", "failed", "cancelled", "refused"};
constexpr std::array<absl::string_view, 3> kPreemptionNames = {
    "none", "throttled", "checkpointing"};

struct Change {
  JobState from;
  JobState to;
};

constexpr Change kChanges[] = {
    {JobState::kPending, JobState::kPlaced},
    {JobState::kPending, JobState::kRefused},
    {JobState::kPending, JobState::kCancelled},
    {JobState::kCheckpointed, JobState::kPlaced},
    {JobState::kCheckpointed, JobState::kRefused},
    {JobState::kCheckpointed, JobState::kCancelled},
    {JobState::kPlaced, JobState::kRunning},
    {JobState::kPlaced, JobState::kPending},
    {JobState::kPlaced, JobState::kStopping},
    {JobState::kRunning, JobState::kRunning},
    {JobState::kRunning, JobState::kPending},
    {JobState::kRunning, JobState::kCheckpointed},
    {JobState::kRunning, JobState::kStopping},
    {JobState::kRunning, JobState::kFinished},
    {JobState::kRunning, JobState::kFailed},
    {JobState::kStopping, JobState::kStopping},
    {JobState::kStopping, JobState::kPending},
    {JobState::kStopping, JobState::kFinished},
    {JobState::kStopping, JobState::kCancelled},
};

json FormatSize(const TaskSize& size) {
  return {{"cores", size.cores},
          {"memory_mb", size.memory_mb},
          {"accelerators", size.accelerators}};
}

TaskSize ParseSize(const json& value) {
  return TaskSize{value.at("cores").get<double>(),
                  value.at("memory_mb").get<int64_t>(),
                  value.at("accelerators").get<int>()};
}

// Index of a name in a table of names; throws for others, as the accessors of
// json do.
template <typename Enum, size_t kSize>
Enum ParseName(const json& value,
               const std::array<absl::string_view, kSize>& names) {
  const auto text = value.get<std::string>();
  const auto it = std::find(names.begin(), names.end(), text);
  if (it == names.end()) {
    throw std::invalid_argument(absl::StrCat("unknown name ", text));
  }
  return static_cast<Enum>(it - names.begin());
}

JobRecord ParseMembers(const json& root) {
  JobRecord record;
  record.id = JobId(root.at("id").get<std::string>());
  record.project = ProjectId(root.at("project").get<std::string>());
  record.team = TeamId(root.at("team").get<std::string>());
  record.pool = PoolId(root.at("pool").get<std::string>());
  record.urgent = root.at("urgent").get<bool>();
  record.command = root.at("command").get<std::string>();
  record.declared = ParseSize(root.at("declared"));
  record.measured = ParseSize(root.at("measured"));
  record.state = ParseName<JobState>(root.at("state"), kStateNames);
  record.reason = root.at("reason").get<std::string>();
  record.worker = InstanceId(root.at("worker").get<std::string>());
  record.fencing_token = root.at("fencing_token").get<uint64_t>();
  record.preemption =
      ParseName<Preemption>(root.at("preemption"), kPreemptionNames);
  record.preempted_at =
      std::chrono::milliseconds(root.at("preempted_at_ms").get<int64_t>());
  record.after_stop = ParseName<JobState>(root.at("after_stop"), kStateNames);
  for (const json& failure : root.at("failures")) {
    record.failures.push_back(
        JobFailure{InstanceId(failure.at("worker").get<std::string>()),
                   failure.at("reason").get<std::string>()});
  }
  record.submitted_at =
      std::chrono::milliseconds(root.at("submitted_at_ms").get<int64_t>());
  record.write_id = root.at("write_id").get<std::string>();
  return record;
}

}  // namespace

absl::string_view JobStateName(JobState state) {
  return kStateNames.at(static_cast<size_t>(state));
}

bool MayChange(JobState from, JobState to) {
  return std::any_of(
      std::begin(kChanges), std::end(kChanges),
      [from, to](const Change& c) { return c.from == from && c.to == to; });
}

TaskSize EffectiveSize(const JobRecord& record) {
  return TaskSize{
      std::max(record.declared.cores, record.measured.cores),
      std::max(record.declared.memory_mb, record.measured.memory_mb),
      std::max(record.declared.accelerators, record.measured.accelerators)};
}

std::string FormatJob(const JobRecord& record) {
  json failures = json::array();
  for (const JobFailure& failure : record.failures) {
    failures.push_back(
        {{"worker", failure.worker.value()}, {"reason", failure.reason}});
  }
  const json root = {
      {"v", kVersion},
      {"id", record.id.value()},
      {"project", record.project.value()},
      {"team", record.team.value()},
      {"pool", record.pool.value()},
      {"urgent", record.urgent},
      {"command", record.command},
      {"declared", FormatSize(record.declared)},
      {"measured", FormatSize(record.measured)},
      {"state", std::string(JobStateName(record.state))},
      {"reason", record.reason},
      {"worker", record.worker.value()},
      {"fencing_token", record.fencing_token},
      {"preemption", std::string(kPreemptionNames.at(
                         static_cast<size_t>(record.preemption)))},
      {"preempted_at_ms", record.preempted_at.count()},
      {"after_stop", std::string(JobStateName(record.after_stop))},
      {"failures", std::move(failures)},
      {"submitted_at_ms", record.submitted_at.count()},
      {"write_id", record.write_id}};
  // A command or failure text that is not UTF-8 must not stop the controller.
  return root.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<JobRecord> ParseJob(absl::string_view text) {
  const json root = json::parse(text.begin(), text.end(), nullptr, false);
  if (!root.is_object() || !root.contains("v") || root["v"] != kVersion) {
    return Fail(ErrorCode::kInvalid, "jobs.parse", "",
                "not a job record of version 1");
  }
  try {
    return ParseMembers(root);
  } catch (const std::exception& e) {
    return Fail(ErrorCode::kInvalid, "jobs.parse", "", e.what());
  }
}

}  // namespace figflow
