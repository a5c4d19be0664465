#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Jobs/failure_attribution.h"
#include "Jobs/jobs_fixture.h"
#include "Jobs/placement.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace figflow {
namespace {

using std::chrono::milliseconds;
using test::MakeJob;

constexpr milliseconds kNow{10'000};

struct PlacementCase {
  const char* name;
  // Cores of w1, w2, ...; a negative number marks a worker as not usable.
  std::vector<int> workers;
  // "<id>/<cores>" and marks: ! urgent, @<n> running on wn, M measured 6 cores,
  // L 900 MB, B of team b, X failed on w1, T throttled, S stopping,
  // C<ms> checkpointing for that long.
  const char* jobs;
  // Cores that each team may use; 0: no quota.
  double quota;
  const char* expected;
};

const PlacementCase kPlacementCases[] = {
    {"urgent first", {4}, "a/4 u/4/!", 0, "place u w1;"},
    {"no worker counts twice", {4}, "a/3 b/3", 0, "place a w1;"},
    {"fullest worker that fits", {8, 6, 4}, "a/5", 0, "place a w2;"},
    {"measured size counts", {4, 8}, "a/2/M", 0, "place a w2;"},
    {"fits no worker even empty",
     {4, 64},
     "a/65",
     0,
     "refuse a: needs 65 cores, 100 MB, 0 accelerators; no worker of pool pool "
     "has that, the largest has 64 cores, 1000 MB, 0 accelerators;"},
    {"fits a worker that is busy", {8}, "a/8 b/8/@1", 0, ""},
    {"fits a worker that is closed", {-8}, "a/8", 0, ""},
    {"no worker listed", {}, "a/8", 0, ""},
    {"avoids workers it failed on", {8, 8}, "a/8/X", 0, "place a w2;"},
    {"quota used up", {16}, "r/3/@1 a/2 b/2/B", 4, "place b w1;"},
    {"above the quota",
     {16},
     "a/5",
     4,
     "refuse a: needs 5 cores, 100 MB, 0 accelerators; the quota of team team "
     "is 4 cores, 10000 MB, 0 accelerators;"},
    {"throttles first", {8}, "r/8/@1 u/4/!", 0, "throttle r;"},
    {"throttled cores are free", {8}, "r/8/@1/T u/4/!", 0, "place u w1;"},
    {"throttling frees no memory", {8}, "r/8/@1/L u/4/!/L", 0, "checkpoint r;"},
    {"fewest checkpoints",
     {8, 8},
     "a/4/@1 b/4/@1 c/8/@2 u/6/!",
     0,
     "checkpoint c;"},
    {"waits for the checkpoint", {8}, "r/8/@1/C900 u/8/!", 0, ""},
    {"stops without a checkpoint", {8}, "r/8/@1/C1000 u/8/!", 0, "stop r;"},
    {"a stopping job holds its place", {8}, "r/8/@1/S u/8/!", 0, ""},
    {"no preemption of urgent work", {8}, "r/8/@1/! u/8/!", 0, ""},
    {"no preemption for other work", {8}, "r/8/@1 a/8", 0, ""},
    {"one room for one urgent job",
     {8, 8},
     "r/8/@1 s/8/@2 u/8/! v/8/! x/8/!",
     0,
     "checkpoint r;checkpoint s;"},
    {"room being made counts once",
     {8, 8},
     "r/8/@1/C100 s/8/@2 u/8/! v/8/!",
     0,
     "checkpoint s;"},
    {"room being made is kept", {8}, "r/6/@1/C100 u/8/! a/2", 0, ""},
};

using Mark = void (*)(JobRecord& job, const std::string& value);
const std::map<char, Mark> kMarks = {
    {'!', [](auto& job, auto&) { job.urgent = true; }},
    {'M', [](auto& job, auto&) { job.measured.cores = 6; }},
    {'L', [](auto& job, auto&) { job.declared.memory_mb = 900; }},
    {'B', [](auto& job, auto&) { job.team = TeamId("b"); }},
    {'T', [](auto& job, auto&) { job.preemption = Preemption::kThrottled; }},
    {'S', [](auto& job, auto&) { job.state = JobState::kStopping; }},
    {'X',
     [](auto& job, auto&) {
       job.failures.push_back({InstanceId("w1"), "exit 1"});
     }},
    {'@',
     [](auto& job, auto& value) {
       job.state = JobState::kRunning;
       job.worker = InstanceId("w" + value);
     }},
    {'C',
     [](auto& job, auto& value) {
       job.preemption = Preemption::kCheckpointing;
       job.preempted_at = kNow - milliseconds(std::stoi(value));
     }},
};

std::vector<JobRecord> ParseJobs(absl::string_view text) {
  std::vector<JobRecord> jobs;
  for (const absl::string_view item :
       absl::StrSplit(text, ' ', absl::SkipEmpty())) {
    const std::vector<std::string> parts = absl::StrSplit(item, '/');
    JobRecord job = MakeJob(parts[0], std::stod(parts[1]));
    for (size_t i = 2; i < parts.size(); ++i) {
      kMarks.at(parts[i][0])(job, parts[i].substr(1));
    }
    jobs.push_back(std::move(job));
  }
  return jobs;
}

struct AttributionCase {
  const char* name;
  // "<job><worker>" for a failure, in capitals for a finished run.
  const char* ends;
  const char* bad_workers;
  const char* bad_jobs;
};

constexpr AttributionCase kAttributionCases[] = {
    {"two jobs are too few", "a1 b1 A2 B2", "", ""},
    {"worker fails three jobs", "a1 b1 c1 A2 B2 C2", "1", ""},
    {"one job three times", "a1 a1 a1", "", ""},
    {"jobs that fail elsewhere too", "a1 b1 c1 a2 b2 c2", "", ""},
    {"job fails on three good workers", "j1 j2 j3 A1 B2 C3", "", "j"},
    {"two good workers are too few", "j1 j2 j3 A1 B2", "", ""},
    {"a failing rack proves nothing", "j1 j2 j3 k1 k2 k3", "", ""},
    {"bad worker does not count", "j1 j2 j3 A1 B2 C3 x1 y1 z1", "1", ""},
    {"its own run proves nothing", "j1 j2 j3 J1 B2 C3", "", ""},
};

class JobDecisionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobDecisionsTest);
  CPPUNIT_TEST(PlacementFollowsItsRules);
  CPPUNIT_TEST(FailuresAreAttributed);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against overcommitted workers and quotas, false refusals, urgent
  // work that waits, and preemption that frees nothing.
  void PlacementFollowsItsRules() {
    for (const PlacementCase& c : kPlacementCases) {
      PlacementInput input;
      for (const int cores : c.workers) {
        const std::string id = absl::StrCat("w", input.workers.size() + 1);
        input.workers.push_back({InstanceId(id), PoolId("pool"),
                                 TaskSize{std::abs(cores) * 1.0, 1000, 0},
                                 cores > 0});
      }
      input.jobs = ParseJobs(c.jobs);
      if (c.quota > 0) {
        input.quotas[TeamId("team")] = TaskSize{c.quota, 10'000, 0};
        input.quotas[TeamId("b")] = TaskSize{c.quota, 10'000, 0};
      }
      const char* names[] = {"place", "refuse", "throttle", "checkpoint",
                             "stop"};
      std::string text;
      for (const auto& d : PlanPlacement(input, BestFit(), kNow)) {
        absl::StrAppend(
            &text, names[static_cast<int>(d.action)], " ", d.job.value(),
            d.action == PlacementAction::kPlace    ? " "
            : d.action == PlacementAction::kRefuse ? ": "
                                                   : "",
            d.worker.value(),
            d.action == PlacementAction::kRefuse ? d.reason : "", ";");
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, std::string(c.expected), text);
    }
  }

  // Guards against good workers taken out of service and good jobs given up.
  void FailuresAreAttributed() {
    for (const AttributionCase& c : kAttributionCases) {
      std::vector<RunEnd> ends;
      for (const std::string& end :
           std::vector<std::string>(absl::StrSplit(c.ends, ' '))) {
        const bool failed = std::islower(end[0]) != 0;
        ends.push_back(
            {JobId(std::string(1, static_cast<char>(std::tolower(end[0])))),
             InstanceId(end.substr(1)), failed});
      }
      std::string workers;
      for (const InstanceId& worker : BadWorkers(ends)) {
        workers += worker.value();
      }
      std::string jobs;
      for (const JobId& job : BadJobs(ends)) {
        jobs += job.value();
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, std::string(c.bad_workers), workers);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, std::string(c.bad_jobs), jobs);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobDecisionsTest);

}  // namespace
}  // namespace figflow
