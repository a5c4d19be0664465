// Tests that durable records can be read back, and that unreadable ones are
// refused with an error instead of a crash.
#include <random>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Scheduling/job.h"
#include "Scheduling/pool_report.h"
#include "Scheduling/worker_state.h"

namespace figflow {
namespace {

using std::chrono::milliseconds;

JobSpec FullSpec() {
  JobSpec spec;
  spec.id = "5c0e7a21d94b36f8";
  spec.queue = "q";
  spec.payload = "payload \x01\xff";
  StageSpec stage;
  stage.count = 3;
  stage.per_task = {500, 256, 1};
  stage.estimate = milliseconds(900);
  stage.gang = true;
  stage.required_label = "a";
  stage.preferred_rack = "r1";
  stage.max_per_worker = 2;
  stage.latency_target = milliseconds(50);
  stage.max_unavailable = 0;
  spec.stages = {stage, stage};
  spec.stages[1].after = {0};
  spec.stages[1].perpetual = true;
  spec.stages[1].gang = false;
  spec.occurrences = 4;
  spec.first_due = FromEpoch(milliseconds(1'700'000'000'000));
  spec.interval = milliseconds(3'000);
  spec.max_attempts = 4;
  return spec;
}

class RecordsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RecordsTest);
  CPPUNIT_TEST(SpecRoundTrips);
  CPPUNIT_TEST(BadSpecsAreRefused);
  CPPUNIT_TEST(ProgressRoundTrips);
  CPPUNIT_TEST(ProgressOfAnotherJobIsRefused);
  CPPUNIT_TEST(RandomBytesAreRefused);
  CPPUNIT_TEST(ReportRoundTrips);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SpecRoundTrips() {
    const JobSpec spec = FullSpec();
    const Result<JobSpec> read = ParseJobSpec(FormatJobSpec(spec));
    CPPUNIT_ASSERT(read.has_value());
    CPPUNIT_ASSERT_EQUAL(spec.payload, read->payload);
    CPPUNIT_ASSERT_EQUAL(4, read->max_attempts);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, read->stages.size());
    CPPUNIT_ASSERT(read->stages[0].gang);
    CPPUNIT_ASSERT(!read->stages[1].gang);
    CPPUNIT_ASSERT(read->stages[1].perpetual);
    CPPUNIT_ASSERT(read->stages[0].per_task == spec.stages[0].per_task);
    CPPUNIT_ASSERT_EQUAL(0, read->stages[0].max_unavailable);
    CPPUNIT_ASSERT_EQUAL(4, read->occurrences);
    CPPUNIT_ASSERT(read->first_due == spec.first_due);
  }

  void BadSpecsAreRefused() {
    JobSpec spec = FullSpec();
    CPPUNIT_ASSERT(CheckJobSpec(spec).has_value());
    spec.stages[0].after = {1};
    CPPUNIT_ASSERT(!CheckJobSpec(spec).has_value());
    spec = FullSpec();
    spec.stages[0].count = 0;
    CPPUNIT_ASSERT(!CheckJobSpec(spec).has_value());
    spec = FullSpec();
    spec.stages[0].per_task.cpu_millicores = -1;
    CPPUNIT_ASSERT(!CheckJobSpec(spec).has_value());
    spec = FullSpec();
    spec.stages[0].count = 2'000'000'000;
    CPPUNIT_ASSERT(!CheckJobSpec(spec).has_value());
    spec = FullSpec();
    spec.stages.clear();
    CPPUNIT_ASSERT(!CheckJobSpec(spec).has_value());
  }

  void ProgressRoundTrips() {
    Job job;
    job.SetSpec(FullSpec());
    Occurrence& occurrence = job.OpenOccurrence(2, MonoTime());
    WorkerState worker;
    worker.report.key = {"w", 17};
    Stage& stage = occurrence.stages[0];
    stage.tasks[0].phase = TaskPhase::kDone;
    ++stage.done;
    --stage.waiting;
    stage.tasks[1].phase = TaskPhase::kRunning;
    stage.tasks[1].run = 5;
    stage.tasks[1].worker = &worker;
    stage.tasks[1].checkpoint = "c";
    --stage.waiting;
    stage.tasks[2].run = 3;
    stage.tasks[2].failures = 2;
    stage.tasks[2].lost_runs = {1, 3};

    Job read;
    read.SetSpec(FullSpec());
    const auto assignments = ApplyProgress(FormatProgress(job), read);
    CPPUNIT_ASSERT(assignments.has_value());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, assignments->size());
    CPPUNIT_ASSERT_EQUAL(std::string("w"), (*assignments)[0].worker.id);
    CPPUNIT_ASSERT_EQUAL(int64_t{17}, (*assignments)[0].worker.incarnation);
    CPPUNIT_ASSERT_EQUAL(3, read.next_occurrence);
    const Stage& restored = read.occurrences.at(2).stages[0];
    CPPUNIT_ASSERT_EQUAL(1, restored.done);
    CPPUNIT_ASSERT_EQUAL(1, restored.waiting);
    CPPUNIT_ASSERT_EQUAL(uint32_t{5}, restored.tasks[1].run);
    CPPUNIT_ASSERT_EQUAL(std::string("c"), restored.tasks[1].checkpoint);
    // Attempts continue to count after a take-over.
    CPPUNIT_ASSERT_EQUAL(2, static_cast<int>(restored.tasks[2].failures));
    CPPUNIT_ASSERT(restored.tasks[1].lost_runs.empty());
    CPPUNIT_ASSERT(restored.tasks[2].lost_runs ==
                   (std::vector<uint32_t>{1, 3}));
  }

  void ProgressOfAnotherJobIsRefused() {
    Job job;
    job.SetSpec(FullSpec());
    job.OpenOccurrence(0, MonoTime());
    JobSpec other = FullSpec();
    other.stages.pop_back();
    Job read;
    read.SetSpec(other);
    CPPUNIT_ASSERT(!ApplyProgress(FormatProgress(job), read).has_value());
  }

  void RandomBytesAreRefused() {
    std::mt19937 random(7);
    const std::string spec = FormatJobSpec(FullSpec());
    Job job;
    job.SetSpec(FullSpec());
    job.spec_bytes = spec;
    job.OpenOccurrence(0, MonoTime());
    const std::string samples[] = {spec, FormatProgress(job),
                                   FormatAcceptedJob(job)};
    for (int i = 0; i < 3'000; ++i) {
      std::string bytes = samples[i % 3];
      for (int k = 0; k < 3; ++k) {
        bytes[random() % bytes.size()] = static_cast<char>(random());
      }
      bytes.resize(random() % bytes.size());
      // None of these calls may crash; most return an error.
      (void)ParseJobSpec(bytes);
      (void)ParseAcceptedJob(bytes);
      (void)ReadJobView(bytes);
      Job target;
      target.SetSpec(FullSpec());
      (void)ApplyProgress(bytes, target);
    }
    CPPUNIT_ASSERT(!ParseJobSpec("").has_value());
    CPPUNIT_ASSERT(!ParseJobSpec(spec.substr(0, 9)).has_value());
  }

  void ReportRoundTrips() {
    PoolReport report;
    report.pool = "p";
    report.backlog_millicore_ms = 5;
    report.unplaced_tasks = 2;
    report.workers.push_back({"w", "m", 3, 1, 500, 16'000, true, false});
    const Result<PoolReport> read = ParsePoolReport(FormatPoolReport(report));
    CPPUNIT_ASSERT(read.has_value());
    CPPUNIT_ASSERT_EQUAL(2, read->unplaced_tasks);
    CPPUNIT_ASSERT_EQUAL(std::string("m"), read->workers[0].instance);
    CPPUNIT_ASSERT(read->workers[0].evacuating);
    CPPUNIT_ASSERT(!ParsePoolReport("x").has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordsTest);

}  // namespace
}  // namespace figflow
