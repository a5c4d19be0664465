#include "Scheduling/job_spec.h"

#include <algorithm>
#include <numeric>

#include "Common/json.h"

#include "Common/cbor.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

using nlohmann::json;

constexpr char kStep[] = "job.spec";
// A job with more tasks is a mistake of its submitter: its record would not fit
// into one value of the store.
constexpr int kMaxTasks = 20'000;
constexpr size_t kMaxStages = 256;
// The members of a gang begin together, and all are named in one record.
constexpr int kMaxGangTasks = 5'000;
constexpr size_t kMaxIdBytes = 64;
constexpr int kMaxOccurrences = 100'000;

enum StageFlag : uint32_t {
  kGang = 1U << 0U,
  kSameRack = 1U << 1U,
  kSavesProgress = 1U << 2U,
  kSpeculative = 1U << 3U,
  kPerpetual = 1U << 4U,
  kFiller = 1U << 5U,
};

// Maps a flag of a stage to its member.
struct FlagMember {
  StageFlag flag;
  bool StageSpec::*member;
};
constexpr FlagMember kFlags[] = {{kGang, &StageSpec::gang},
                                 {kSameRack, &StageSpec::same_rack},
                                 {kSavesProgress, &StageSpec::saves_progress},
                                 {kSpeculative, &StageSpec::speculative},
                                 {kPerpetual, &StageSpec::perpetual},
                                 {kFiller, &StageSpec::filler}};

json FormatStage(const StageSpec& stage) {
  uint32_t flags = 0;
  for (const FlagMember& entry : kFlags) {
    flags |= stage.*entry.member ? entry.flag : 0U;
  }
  return json::array({stage.count, stage.per_task.cpu_millicores,
                      stage.per_task.memory_mb, stage.per_task.accelerators,
                      stage.estimate.count(), stage.after, flags,
                      stage.required_label, stage.preferred_rack, stage.image,
                      stage.max_per_worker, stage.latency_target.count(),
                      stage.max_unavailable});
}

StageSpec ParseStage(const json& row) {
  StageSpec stage;
  stage.count = row.at(0).get<int>();
  stage.per_task.cpu_millicores = row.at(1).get<int64_t>();
  stage.per_task.memory_mb = row.at(2).get<int64_t>();
  stage.per_task.accelerators = row.at(3).get<int64_t>();
  stage.estimate = std::chrono::milliseconds(row.at(4).get<int64_t>());
  stage.after = row.at(5).get<std::vector<int>>();
  const auto flags = row.at(6).get<uint32_t>();
  for (const FlagMember& entry : kFlags) {
    stage.*entry.member = (flags & entry.flag) != 0;
  }
  stage.required_label = row.at(7).get<std::string>();
  stage.preferred_rack = row.at(8).get<std::string>();
  stage.image = row.at(9).get<std::string>();
  stage.max_per_worker = row.at(10).get<int>();
  stage.latency_target = std::chrono::milliseconds(row.at(11).get<int64_t>());
  stage.max_unavailable = row.at(12).get<int>();
  return stage;
}

double Fraction(int64_t amount, int64_t capacity) {
  return capacity > 0
             ? static_cast<double>(amount) / static_cast<double>(capacity)
             : 0;
}

}  // namespace

Resources& Resources::operator+=(const Resources& other) {
  cpu_millicores += other.cpu_millicores;
  memory_mb += other.memory_mb;
  accelerators += other.accelerators;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  cpu_millicores -= other.cpu_millicores;
  memory_mb -= other.memory_mb;
  accelerators -= other.accelerators;
  return *this;
}

Resources operator*(const Resources& each, int64_t count) {
  return {each.cpu_millicores * count, each.memory_mb * count,
          each.accelerators * count};
}

bool operator==(const Resources& a, const Resources& b) {
  return a.cpu_millicores == b.cpu_millicores && a.memory_mb == b.memory_mb &&
         a.accelerators == b.accelerators;
}

double DominantShare(const Resources& amount, const Resources& capacity) {
  return std::max({Fraction(amount.cpu_millicores, capacity.cpu_millicores),
                   Fraction(amount.memory_mb, capacity.memory_mb),
                   Fraction(amount.accelerators, capacity.accelerators), 0.0});
}

bool JobSpec::perpetual() const {
  return std::any_of(stages.begin(), stages.end(),
                     [](const StageSpec& stage) { return stage.perpetual; });
}

int64_t JobSpec::task_count() const {
  return std::accumulate(
      stages.begin(), stages.end(), int64_t{0},
      [](int64_t sum, const StageSpec& stage) { return sum + stage.count; });
}

Result<void> CheckJobSpec(const JobSpec& spec) {
  const auto fail = [&](const std::string& message) {
    return Fail(ErrorCode::kInvalid, kStep, spec.id, message);
  };
  if (spec.id.size() > kMaxIdBytes) {
    return fail("the id is too long");
  }
  if (spec.id.empty() || spec.stages.empty() ||
      spec.stages.size() > kMaxStages) {
    return fail("no id, no stage or too many stages");
  }
  if (spec.occurrences < 0 || spec.occurrences > kMaxOccurrences ||
      spec.interval.count() < 0) {
    return fail("occurrences or interval out of range");
  }
  for (size_t i = 0; i < spec.stages.size(); ++i) {
    const StageSpec& stage = spec.stages[i];
    const Resources& size = stage.per_task;
    if (stage.count <= 0 || stage.count > kMaxTasks ||
        size.cpu_millicores < 0 || size.memory_mb < 0 ||
        size.accelerators < 0 || stage.max_per_worker < 0) {
      return fail(absl::StrCat("stage ", i, " has a number out of range"));
    }
    if (stage.gang && stage.count > kMaxGangTasks) {
      return fail(absl::StrCat("stage ", i, " is too large a gang"));
    }
    for (const int earlier : stage.after) {
      if (earlier < 0 || earlier >= static_cast<int>(i)) {
        return fail(absl::StrCat("stage ", i,
                                 " depends on a stage that is no earlier one"));
      }
    }
  }
  if (spec.task_count() > kMaxTasks) {
    return fail("too many tasks");
  }
  return {};
}

std::string FormatJobSpec(const JobSpec& spec) {
  json stages = json::array();
  for (const StageSpec& stage : spec.stages) {
    stages.push_back(FormatStage(stage));
  }
  return FormatCbor(
      json::array({spec.id, spec.queue, spec.payload, std::move(stages),
                   spec.occurrences, SinceEpoch(spec.first_due).count(),
                   spec.interval.count(), spec.max_attempts, spec.customer}));
}

Result<JobSpec> ParseJobSpec(absl::string_view bytes) {
  return ParseCbor<JobSpec>(bytes, kStep, [](const json& row) {
    JobSpec spec;
    spec.id = row.at(0).get<std::string>();
    spec.queue = row.at(1).get<std::string>();
    spec.payload = row.at(2).get<std::string>();
    for (const json& stage : row.at(3)) {
      spec.stages.push_back(ParseStage(stage));
    }
    spec.occurrences = row.at(4).get<int>();
    spec.first_due =
        FromEpoch(std::chrono::milliseconds(row.at(5).get<int64_t>()));
    spec.interval = std::chrono::milliseconds(row.at(6).get<int64_t>());
    // Records of earlier versions lack these elements.
    spec.max_attempts = row.size() > 7 ? row.at(7).get<int>() : 0;
    spec.customer = row.size() > 8 ? row.at(8).get<std::string>() : "";
    return spec;
  });
}

}  // namespace figflow
