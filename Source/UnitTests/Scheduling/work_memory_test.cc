// Tests that the memory of accepted jobs is bounded as a total, and that jobs
// within the bound are completed.
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Scheduling/scheduler_driver.h"
#include "Scheduling/work_memory.h"
#include "absl/strings/str_cat.h"

namespace figflow::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Largest value that the store of the deployments takes.
constexpr size_t kValueBytes = 1'048'576;
constexpr int kLargestJob = 20'000;

JobSpec SmallTasks(const std::string& id, int tasks) {
  JobSpec spec = SchedulerDriver::OneTask(id);
  spec.stages[0].count = tasks;
  spec.stages[0].per_task = {10, 1, 0};
  return spec;
}

// Returns a job whose occurrences are all due.
JobSpec Overdue(const std::string& id, int tasks, int occurrences) {
  JobSpec spec = SmallTasks(id, tasks);
  spec.occurrences = occurrences;
  spec.first_due = FromEpoch(milliseconds(1'600'000'000'000));
  spec.interval = seconds(1);
  return spec;
}

class WorkMemoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkMemoryTest);
  CPPUNIT_TEST(OverdueOccurrencesOpenInParts);
  CPPUNIT_TEST(LargeOccurrencesOpenOneByOne);
  CPPUNIT_TEST(ManyScheduledJobsShareTheLimit);
  CPPUNIT_TEST(EarlierRecordWithAllOccurrencesIsRead);
  CPPUNIT_TEST(JobsBeyondTheLimitAreRefused);
  CPPUNIT_TEST(PoolsOfAProcessShareItsLimit);
  CPPUNIT_TEST(FinishedJobsReleaseTheirTasks);
  CPPUNIT_TEST(EachOccurrenceRunsOnce);
  CPPUNIT_TEST(StartOrdersToAWorkerAreBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a scheduled job that takes all memory of each owner of its
  // pool, and whose record the store does not take.
  void OverdueOccurrencesOpenInParts() {
    SchedulerDriver driver(kStart);
    driver.ListWorker("w");
    JobSpec spec = Overdue("s", 12, 100'000);
    spec.stages.push_back(spec.stages[0]);
    spec.stages[1].after = {0};
    AcceptAndOpen(driver, spec);
    CPPUNIT_ASSERT(CountWaiting(driver) >= 12);
    CPPUNIT_ASSERT(CountWaiting(driver) <= kLargestJob);
    CPPUNIT_ASSERT(driver.records().at("s").progress.size() < kValueBytes);
    // The next owner is in the same position.
    SchedulerDriver next(kStart, 2);
    next.Load(driver.records());
    next.Step();
    CPPUNIT_ASSERT(CountWaiting(next) <= kLargestJob);
    // Ordinary jobs go on meanwhile.
    next.ListWorker("w");
    next.Submit("ordinary");
    next.Write();
    CPPUNIT_ASSERT(next.scheduler().Query("ordinary").has_value());
  }

  // Guards against a bound of occurrences that leaves their tasks unbounded.
  void LargeOccurrencesOpenOneByOne() {
    SchedulerDriver driver(kStart);
    AcceptAndOpen(driver, Overdue("s", kLargestJob, 500));
    CPPUNIT_ASSERT_EQUAL(kLargestJob, CountWaiting(driver));
  }

  // Guards against a bound for each job that leaves their number unbounded.
  void ManyScheduledJobsShareTheLimit() {
    SchedulerDriver driver(kStart);
    for (int i = 0; i < 12; ++i) {
      AcceptAndOpen(driver, Overdue(absl::StrCat("s", i), 24, 7'200));
    }
    CPPUNIT_ASSERT(CountWaiting(driver) <= kLargestJob);
    for (int i = 0; i < 12; ++i) {
      const std::string id = absl::StrCat("s", i);
      CPPUNIT_ASSERT(driver.scheduler().Query(id).has_value());
      CPPUNIT_ASSERT(driver.records().at(id).progress.size() < kValueBytes);
    }
  }

  // Guards against an earlier version's record that ends its reader. What has
  // begun is kept, and nothing that has finished is opened again.
  void EarlierRecordWithAllOccurrencesIsRead() {
    Job job;
    const JobSpec spec = Overdue("s", 24, 86'400);
    job.SetSpec(spec);
    job.spec_bytes = FormatJobSpec(spec);
    for (int number = 0; number < spec.occurrences; ++number) {
      job.OpenOccurrence(number, kStart);
    }
    for (const int number : {0, 2, 4'000}) {
      Stage& stage = job.occurrences.at(number).stages[0];
      for (auto& task : stage.tasks) {
        task.phase = TaskPhase::kDone;
      }
      stage.done = stage.waiting;
      stage.waiting = 0;
    }
    job.occurrences.erase(1);
    job.occurrences.at(3).stages[0].tasks[7].run = 5;
    JobRecords records;
    records.accepted = FormatAcceptedJob(job);
    records.progress = FormatProgress(job);

    Job read;
    read.SetSpec(spec);
    CPPUNIT_ASSERT(ApplyProgress(records.progress, read).has_value());
    CPPUNIT_ASSERT_EQUAL(4'001, read.next_occurrence);
    for (const int number : {0, 1, 2, 4'000}) {
      CPPUNIT_ASSERT_EQUAL(size_t{0}, read.occurrences.count(number));
    }
    CPPUNIT_ASSERT_EQUAL(uint32_t{5},
                         read.occurrences.at(3).stages[0].tasks[7].run);

    SchedulerDriver driver(kStart);
    driver.Load({{"s", records}});
    CPPUNIT_ASSERT(driver.scheduler().Query("s").has_value());
  }

  // Guards against accepted jobs without a bound. A refusal is final, and what
  // ends makes room.
  void JobsBeyondTheLimitAreRefused() {
    SchedulerDriver driver(kStart);
    int accepted = 0;
    while (accepted < 100 && TrySubmit(driver, accepted)) {
      ++accepted;
    }
    CPPUNIT_ASSERT(accepted >= 1);
    CPPUNIT_ASSERT(accepted < 100);
    CPPUNIT_ASSERT(driver.scheduler().WorkMemoryInUse() <= kPoolWorkMemory);
    CPPUNIT_ASSERT(!driver.scheduler().Query(Id(accepted)).has_value());
    // All that was accepted passes to the next owner.
    SchedulerDriver next(kStart, 2);
    next.Load(driver.records());
    for (int i = 0; i < accepted; ++i) {
      CPPUNIT_ASSERT(next.scheduler().Query(Id(i)).has_value());
    }
    CPPUNIT_ASSERT(!TrySubmit(next, accepted));
    next.scheduler().Cancel(Id(0), 7, next.now());
    next.Write();
    CPPUNIT_ASSERT(TrySubmit(next, accepted));
  }

  // Guards against a bound of each pool that says nothing about a daemon that
  // owns several.
  void PoolsOfAProcessShareItsLimit() {
    const auto process = std::make_shared<WorkMemory>(kPoolWorkMemory);
    SchedulerDriver first(kStart, 1, process);
    SchedulerDriver second(kStart, 1, process);
    int accepted = 0;
    while (accepted < 100 && TrySubmit(first, accepted)) {
      ++accepted;
    }
    CPPUNIT_ASSERT(!TrySubmit(second, accepted));
    first.scheduler().Cancel(Id(0), 7, first.now());
    first.Write();
    CPPUNIT_ASSERT(TrySubmit(second, accepted));
  }

  void FinishedJobsReleaseTheirTasks() {
    SchedulerDriver driver(kStart);
    CPPUNIT_ASSERT(TrySubmit(driver, 0));
    const size_t before = driver.scheduler().WorkMemoryInUse();
    driver.scheduler().Cancel(Id(0), 7, driver.now());
    driver.Write();
    CPPUNIT_ASSERT(driver.scheduler().WorkMemoryInUse() < before / 100);
    driver.Advance(seconds(121));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, driver.scheduler().WorkMemoryInUse());
  }

  // Guards against occurrences that are skipped or run again because they were
  // opened late.
  void EachOccurrenceRunsOnce() {
    SchedulerDriver driver(kStart);
    driver.ListWorker("w");
    driver.RespondToHold("w", WorkerStatus());
    JobSpec spec = Overdue("s", 400, 40);
    spec.stages[0].per_task = {1, 1, 0};
    driver.Submit(spec);
    std::set<std::string> done;
    uint64_t number = 0;
    for (int round = 0; round < 5'000 && !IsCompleted(driver, "s"); ++round) {
      driver.Write();
      WorkerStatus status;
      for (const StartOrder& start : std::exchange(driver.starts, {})) {
        CPPUNIT_ASSERT(done.insert(FormatTaskName(start.task)).second);
        driver.RespondToStart(start);
        status.ended.push_back(
            Ended(start, RunResult::kDone, ++number).ended[0]);
      }
      driver.Advance(milliseconds(250));
      if (driver.Hold("w")) {
        driver.RespondToHold("w", status);
      }
    }
    CPPUNIT_ASSERT(IsCompleted(driver, "s"));
    CPPUNIT_ASSERT_EQUAL(size_t{16'000}, done.size());
  }

  // Guards against a request in memory for each task of a large job.
  void StartOrdersToAWorkerAreBounded() {
    SchedulerDriver driver(kStart);
    driver.ListWorker("w");
    driver.RespondToHold("w", WorkerStatus());
    JobSpec spec = SmallTasks("a", 500);
    spec.stages[0].per_task = {1, 1, 0};
    driver.Submit(spec);
    driver.Write();
    const size_t in_flight = driver.starts.size();
    CPPUNIT_ASSERT(in_flight > 0);
    CPPUNIT_ASSERT(in_flight <= 200);
    for (size_t i = 0; i < driver.starts.size(); ++i) {
      driver.RespondToStart(StartOrder(driver.starts[i]));
    }
    CPPUNIT_ASSERT_EQUAL(size_t{500}, driver.starts.size());
  }

 private:
  static std::string Id(int number) { return absl::StrCat("job-", number); }

  // Submits a job of the largest size. Returns whether it was accepted.
  static bool TrySubmit(SchedulerDriver& driver, int number) {
    const size_t answered = driver.submit_responses.size();
    driver.Submit(SmallTasks(Id(number), kLargestJob));
    driver.Write();
    CPPUNIT_ASSERT_EQUAL(answered + 1, driver.submit_responses.size());
    const SubmitResponse& response = driver.submit_responses.back();
    if (response.outcome == SubmitOutcome::kRefused) {
      CPPUNIT_ASSERT(response.retry_after.count() > 0);
      return false;
    }
    CPPUNIT_ASSERT(response.outcome == SubmitOutcome::kAccepted);
    return true;
  }

  // Lets the store take the job, and its occurrences once they are open.
  static void AcceptAndOpen(SchedulerDriver& driver, const JobSpec& spec) {
    driver.Submit(spec);
    driver.Write();
    driver.Write();
  }

  static bool IsCompleted(SchedulerDriver& driver, const std::string& job) {
    const std::optional<JobView> view = driver.scheduler().Query(job);
    return view && view->status == JobStatus::kCompleted;
  }

  static int CountWaiting(SchedulerDriver& driver) {
    driver.scheduler().Report(driver.now());
    return driver.scheduler().waiting_by_queue().at("q");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkMemoryTest);

}  // namespace
}  // namespace figflow::test
