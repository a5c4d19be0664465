#include "Scheduling/job.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <tuple>
#include <utility>

#include "Common/json.h"

#include "Common/cbor.h"
#include "Scheduling/worker_state.h"

namespace figflow {
namespace {

using nlohmann::json;

constexpr char kProgressStep[] = "job.progress";
constexpr char kAcceptedStep[] = "job.accepted";
constexpr std::array<absl::string_view, 4> kStatusNames = {
    "live", "completed", "failed", "cancelled"};
constexpr std::array<absl::string_view, 5> kPhaseNames = {
    "waiting", "planned", "starting", "running", "done"};

Result<JobStatus> ParseStatus(const json& value) {
  const int status = value.get<int>();
  if (status < 0 || status >= static_cast<int>(kStatusNames.size())) {
    return Fail(ErrorCode::kInvalid, kProgressStep, "", "unknown status");
  }
  return static_cast<JobStatus>(status);
}

// [[indices of done tasks], [[index, run, failures, checkpoint, worker id,
// worker incarnation] for each task that has begun and is not done]]
json FormatStageProgress(const Stage& stage) {
  json done = json::array();
  json begun = json::array();
  for (size_t i = 0; i < stage.tasks.size(); ++i) {
    const Task& task = stage.tasks[i];
    if (task.phase == TaskPhase::kDone) {
      done.push_back(i);
      continue;
    }
    if (task.run == 0) {
      continue;
    }
    json row = json::array({i, task.run, task.failures, task.checkpoint});
    if (task.phase != TaskPhase::kWaiting && task.worker != nullptr) {
      row.push_back(task.worker->report.key.id);
      row.push_back(task.worker->report.key.incarnation);
    }
    begun.push_back(std::move(row));
  }
  // A finished stage is stored as `true` instead of a list of tasks.
  if (stage.finished()) {
    return json::array({true, json::array()});
  }
  return json::array({std::move(done), std::move(begun)});
}

void MarkDone(Stage& stage, size_t index) {
  Task& task = stage.tasks.at(index);
  if (task.phase != TaskPhase::kDone) {
    task.phase = TaskPhase::kDone;
    ++stage.done;
    --stage.waiting;
  }
}

void ApplyStageProgress(const json& row,
                        const TaskName& stage_name,
                        Stage& stage,
                        Job& job,
                        std::vector<RecordedAssignment>& assignments) {
  if (row.at(0).is_boolean()) {
    for (size_t i = 0; i < stage.tasks.size(); ++i) {
      MarkDone(stage, i);
    }
    return;
  }
  for (const json& index : row.at(0)) {
    MarkDone(stage, index.get<size_t>());
  }
  for (const json& entry : row.at(1)) {
    const auto index = entry.at(0).get<int>();
    Task& task = stage.tasks.at(index);
    task.run = entry.at(1).get<uint32_t>();
    task.failures = entry.at(2).get<uint16_t>();
    job.SetCheckpoint(task, entry.at(3).get<std::string>());
    if (entry.size() > 4) {
      task.phase = TaskPhase::kStarting;
      --stage.waiting;
      TaskName name = stage_name;
      name.index = index;
      assignments.push_back(
          {std::move(name),
           {entry.at(4).get<std::string>(), entry.at(5).get<int64_t>()}});
    }
  }
}

// [[occurrence, stage, index, run, ...] for each task with lost runs]
json FormatLostRuns(const Job& job) {
  json rows = json::array();
  for (const auto& [number, occurrence] : job.occurrences) {
    for (size_t i = 0; i < occurrence.stages.size(); ++i) {
      const std::vector<Task>& tasks = occurrence.stages[i].tasks;
      for (size_t k = 0; k < tasks.size(); ++k) {
        if (tasks[k].lost_runs.empty()) {
          continue;
        }
        json row = json::array({number, i, k});
        for (const uint32_t run : tasks[k].lost_runs) {
          row.push_back(run);
        }
        rows.push_back(std::move(row));
      }
    }
  }
  return rows;
}

bool HasFinished(const json& stages) {
  return std::all_of(stages.begin(), stages.end(), [](const json& stage) {
    return stage.at(0).is_boolean();
  });
}

bool HasBegun(const json& stages) {
  return std::any_of(stages.begin(), stages.end(), [](const json& stage) {
    return stage.at(0).is_boolean() || !stage.at(0).empty() ||
           !stage.at(1).empty();
  });
}

// Returns how many of the occurrences in a record are applied. Those after
// them are the last ones of the job so far, and none of their tasks has begun.
size_t CountToApply(const json& occurrences, int next_occurrence) {
  size_t count = occurrences.size();
  while (count > 0) {
    const json& last = occurrences[count - 1];
    if (last.at(0).get<int>() != next_occurrence - 1 || HasBegun(last.at(1))) {
      break;
    }
    --next_occurrence;
    --count;
  }
  return count;
}

void ApplyLostRuns(const json& rows, Job& job) {
  for (const json& row : rows) {
    const int number = row.at(0).get<int>();
    const bool is_closed =
        number < job.next_occurrence && job.occurrences.count(number) == 0;
    if (is_closed) {
      continue;
    }
    Stage& stage =
        job.occurrences.at(number).stages.at(row.at(1).get<size_t>());
    Task& task = stage.tasks.at(row.at(2).get<size_t>());
    for (size_t i = 3; i < row.size(); ++i) {
      task.lost_runs.push_back(row.at(i).get<uint32_t>());
    }
  }
}

}  // namespace

absl::string_view JobStatusName(JobStatus status) {
  return kStatusNames[static_cast<size_t>(status)];
}

absl::string_view TaskPhaseName(TaskPhase phase) {
  return kPhaseNames[static_cast<size_t>(phase)];
}

bool Occurrence::finished() const {
  return std::all_of(stages.begin(), stages.end(),
                     [](const Stage& stage) { return stage.finished(); });
}

void Job::SetSpec(JobSpec value) {
  spec = std::move(value);
  perpetual_ = spec.perpetual();
}

Occurrence& Job::OpenOccurrence(int number, MonoTime due) {
  Occurrence& occurrence = occurrences[number];
  occurrence.number = number;
  occurrence.due = due;
  occurrence.stages.resize(spec.stages.size());
  for (size_t i = 0; i < spec.stages.size(); ++i) {
    occurrence.stages[i].tasks.resize(spec.stages[i].count);
    occurrence.stages[i].waiting = spec.stages[i].count;
  }
  next_occurrence = std::max(next_occurrence, number + 1);
  return occurrence;
}

void Job::SetCheckpoint(Task& task, std::string value) {
  const auto long_bytes = [](const std::string& checkpoint) {
    return checkpoint.size() > kShortCheckpoint ? checkpoint.size() : 0;
  };
  checkpoint_bytes -= long_bytes(task.checkpoint);
  checkpoint_bytes += long_bytes(value);
  task.checkpoint = std::move(value);
}

void Job::CloseFinishedOccurrences() {
  for (auto it = occurrences.begin(); it != occurrences.end();) {
    it = it->second.finished() ? occurrences.erase(it) : std::next(it);
  }
}

bool Job::AllDone() const {
  return next_occurrence >= std::max(1, spec.occurrences) &&
         std::all_of(occurrences.begin(), occurrences.end(),
                     [](const auto& item) { return item.second.finished(); });
}

bool IsStageReady(const Job& job, const Occurrence& occurrence, size_t stage) {
  const std::vector<int>& after = job.spec.stages[stage].after;
  return occurrence.stages[stage].waiting > 0 &&
         std::all_of(after.begin(), after.end(), [&](int earlier) {
           return occurrence.stages[earlier].finished();
         });
}

Stage& TaskRef::GetStage() const {
  return job->occurrences.at(occurrence).stages[stage];
}

Task& TaskRef::Get() const {
  return GetStage().tasks[index];
}

bool operator<(const TaskRef& a, const TaskRef& b) {
  return std::tie(a.job->spec.id, a.occurrence, a.stage, a.index) <
         std::tie(b.job->spec.id, b.occurrence, b.stage, b.index);
}

namespace {

// Records of jobs without a customer lack this element.
JobParty ParseOwner(const json& row) {
  if (row.size() <= 4) {
    return {};
  }
  return {row.at(4).at(0).get<std::string>(),
          row.at(4).at(1).get<std::string>()};
}

}  // namespace

std::string FormatProgress(const Job& job) {
  json occurrences = json::array();
  json lost_runs = json::array();
  if (job.live()) {
    lost_runs = FormatLostRuns(job);
    for (const auto& [number, occurrence] : job.occurrences) {
      json stages = json::array();
      for (const Stage& stage : occurrence.stages) {
        stages.push_back(FormatStageProgress(stage));
      }
      occurrences.push_back(json::array({number, std::move(stages)}));
    }
  }
  json record = json::array({static_cast<int>(job.status), job.next_occurrence,
                             std::move(occurrences)});
  const bool has_owner = !job.spec.customer.empty();
  if (!lost_runs.empty() || has_owner) {
    record.push_back(std::move(lost_runs));
  }
  if (has_owner) {
    // A daemon that is not the owner reads a job's state from this record only.
    record.push_back(json::array({job.spec.customer, job.spec.queue}));
  }
  return FormatCbor(record);
}

Result<std::vector<RecordedAssignment>> ApplyProgress(absl::string_view bytes,
                                                      Job& job) {
  using Assignments = std::vector<RecordedAssignment>;
  return ParseCbor<Assignments>(
      bytes, kProgressStep, [&job](const json& row) -> Result<Assignments> {
        Assignments assignments;
        const Result<JobStatus> status = ParseStatus(row.at(0));
        if (!status) {
          return tl::unexpected<Error>(status.error());
        }
        job.status = *status;
        job.next_occurrence = row.at(1).get<int>();
        const JobParty owner = ParseOwner(row);
        if (!owner.customer.empty()) {
          job.spec.customer = owner.customer;
          job.spec.queue = owner.queue;
        }
        const json& occurrences = row.at(2);
        const size_t count =
            job.spec.scheduled()
                ? CountToApply(occurrences, job.next_occurrence)
                : occurrences.size();
        job.next_occurrence -= static_cast<int>(occurrences.size() - count);
        for (size_t k = 0; k < occurrences.size(); ++k) {
          const int number = occurrences[k].at(0).get<int>();
          const json& stages = occurrences[k].at(1);
          if (stages.size() != job.spec.stages.size()) {
            return Fail(
                ErrorCode::kInvalid, kProgressStep, job.spec.id,
                "the record and the job differ in their number of stages");
          }
          if (k >= count || (job.spec.scheduled() && HasFinished(stages))) {
            continue;
          }
          Occurrence& occurrence = job.OpenOccurrence(number, job.arrived);
          for (size_t i = 0; i < stages.size(); ++i) {
            const TaskName name{job.spec.id, number, static_cast<int>(i), 0};
            try {
              ApplyStageProgress(stages[i], name, occurrence.stages[i], job,
                                 assignments);
            } catch (const std::out_of_range&) {
              return Fail(ErrorCode::kInvalid, kProgressStep, job.spec.id,
                          "the record names a task that the job does not have");
            }
          }
        }
        // Records without lost runs lack this element.
        if (row.size() > 3) {
          try {
            ApplyLostRuns(row.at(3), job);
          } catch (const std::out_of_range&) {
            return Fail(ErrorCode::kInvalid, kProgressStep, job.spec.id,
                        "a lost run names a task that the job does not have");
          }
        }
        return assignments;
      });
}

Result<JobView> ReadJobView(absl::string_view bytes) {
  return ParseCbor<JobView>(
      bytes, kProgressStep, [](const json& row) -> Result<JobView> {
        const Result<JobStatus> status = ParseStatus(row.at(0));
        if (!status) {
          return tl::unexpected<Error>(status.error());
        }
        // Progress is first written when a task has been assigned.
        return JobView{*status, true, ParseOwner(row)};
      });
}

std::string FormatAcceptedJob(const Job& job) {
  return FormatCbor(json::array(
      {SinceEpoch(job.submitted).count(),
       json::binary(
           std::vector<uint8_t>(job.spec_bytes.begin(), job.spec_bytes.end())),
       json::binary([&job] {
         const std::string progress = FormatProgress(job);
         return std::vector<uint8_t>(progress.begin(), progress.end());
       }())}));
}

Result<AcceptedJob> ParseAcceptedJob(absl::string_view bytes) {
  return ParseCbor<AcceptedJob>(
      bytes, kAcceptedStep, [](const json& row) -> Result<AcceptedJob> {
        const auto text = [](const json& field) {
          const json::binary_t& binary = field.get_binary();
          return std::string(binary.begin(), binary.end());
        };
        AcceptedJob accepted;
        accepted.job = std::make_shared<Job>();
        Job& job = *accepted.job;
        job.submitted =
            FromEpoch(std::chrono::milliseconds(row.at(0).get<int64_t>()));
        job.spec_bytes = text(row.at(1));
        Result<JobSpec> spec = ParseJobSpec(job.spec_bytes);
        if (!spec) {
          return tl::unexpected<Error>(spec.error());
        }
        job.SetSpec(std::move(*spec));
        accepted.progress = text(row.at(2));
        return accepted;
      });
}

}  // namespace figflow
