// Tests that a record which the store refuses for good delays no other one.
#include <set>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Scheduling/scheduler_driver.h"
#include "absl/strings/str_cat.h"

namespace figflow::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RefusedRecordsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RefusedRecordsTest);
  CPPUNIT_TEST(UnstoredJobIsRefusedAlone);
  CPPUNIT_TEST(StoredJobKeepsItsStateAndTriesAgain);
  CPPUNIT_TEST(CancelledJobIsWritten);
  CPPUNIT_TEST(RefusedRemovalDelaysNoOther);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a pool in which no job is accepted any more because of one
  // job. The refusal is true: the job never runs.
  void UnstoredJobIsRefusedAlone() {
    SchedulerDriver driver(kStart);
    driver.ListWorker("w");
    driver.RespondToHold("w", WorkerStatus());
    for (int i = 0; i < 20; ++i) {
      driver.Submit(absl::StrCat("job", i));
    }
    WriteUntilSettled(driver, "job7");
    for (int i = 0; i < 20; ++i) {
      const std::string id = absl::StrCat("job", i);
      CPPUNIT_ASSERT_EQUAL(i != 7, driver.scheduler().Query(id).has_value());
    }
    int refused = 0;
    for (const SubmitResponse& response : driver.submit_responses) {
      if (response.outcome == SubmitOutcome::kRefused) {
        ++refused;
        CPPUNIT_ASSERT(response.retry_after.count() > 0);
      }
    }
    CPPUNIT_ASSERT_EQUAL(1, refused);
    CPPUNIT_ASSERT_EQUAL(size_t{20}, driver.submit_responses.size());
    for (const StartOrder& start : driver.starts) {
      CPPUNIT_ASSERT(start.task.job != "job7");
    }
  }

  // Guards against results that no owner notes, and steps that never start,
  // because of the record of another job.
  void StoredJobKeepsItsStateAndTriesAgain() {
    SchedulerDriver driver(kStart);
    for (const char* worker : {"v", "w"}) {
      driver.ListWorker(worker);
      driver.RespondToHold(worker, WorkerStatus());
    }
    JobSpec large = SchedulerDriver::OneTask("large");
    large.stages.push_back(large.stages[0]);
    large.stages[1].after = {0};
    driver.Submit(large);
    driver.Write();
    const StartOrder first = driver.RespondToStart();
    driver.Advance(milliseconds(250));
    driver.RespondToHold(first.target.worker.id,
                         Ended(first, RunResult::kDone));
    // The second stage is planned, but not durable.
    WriteUntilSettled(driver, "large");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, driver.scheduler().RefusedRecords());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, driver.starts.size());
    // What was planned occupies no worker meanwhile.
    driver.Submit("a");
    driver.Submit("b");
    WriteUntilSettled(driver, "large");
    CPPUNIT_ASSERT(driver.scheduler().Query("b").has_value());
    CPPUNIT_ASSERT_EQUAL(size_t{3}, driver.starts.size());
    for (const StartOrder* start : {&driver.starts[1], &driver.starts[2]}) {
      driver.RespondToStart(StartOrder(*start));
    }
    // Nothing is lost: the record is written once the store takes it.
    driver.Advance(seconds(3));
    driver.Write();
    CPPUNIT_ASSERT_EQUAL(size_t{0}, driver.scheduler().RefusedRecords());
    SchedulerDriver next(driver.now(), 2);
    next.Load(driver.records());
    next.ListWorker("x");
    next.RespondToHold("x", WorkerStatus());
    next.Write();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, next.starts.size());
    CPPUNIT_ASSERT_EQUAL(1, next.starts[0].task.stage);
  }

  // Guards against a job that nobody can end because of its record.
  void CancelledJobIsWritten() {
    SchedulerDriver driver(kStart);
    driver.Submit("a");
    driver.Write();
    driver.ListWorker("w");
    driver.RespondToHold("w", WorkerStatus());
    WriteUntilSettled(driver, "a");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, driver.scheduler().RefusedRecords());
    driver.scheduler().Cancel("a", 7, driver.now());
    driver.Advance(milliseconds(10));
    driver.Write();
    CPPUNIT_ASSERT(driver.scheduler().Query("a")->status ==
                   JobStatus::kCancelled);
  }

  // Guards against records that stay in the store because of another one.
  void RefusedRemovalDelaysNoOther() {
    SchedulerDriver driver(kStart);
    for (const char* job : {"a", "b", "c"}) {
      driver.Submit(job);
      driver.Write();
      driver.scheduler().Cancel(job, 7, driver.now());
      driver.Write();
    }
    driver.Advance(seconds(121));
    const std::set<std::string> removed = WriteUntilSettled(driver, "b");
    CPPUNIT_ASSERT(removed == (std::set<std::string>{"a", "c"}));
  }

 private:
  // Writes all records while the store refuses those of `job`. Returns the jobs
  // of the records that were written.
  static std::set<std::string> WriteUntilSettled(SchedulerDriver& driver,
                                                 const std::string& job) {
    std::set<std::string> written;
    for (int i = 0; i < 200 && driver.scheduler().HasWrites(); ++i) {
      for (const RecordWrite& write : driver.WriteUnless(job)) {
        written.insert(write.job);
      }
    }
    CPPUNIT_ASSERT(!driver.scheduler().HasWrites());
    return written;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RefusedRecordsTest);

}  // namespace
}  // namespace figflow::test
