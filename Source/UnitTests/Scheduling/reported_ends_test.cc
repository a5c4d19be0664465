// Tests the effect of the instance controller's reports that workers have
// ended.
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Scheduling/scheduler_driver.h"

namespace figflow::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ReportedEndsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReportedEndsTest);
  CPPUNIT_TEST(FalseReportStartsNoTaskTwice);
  CPPUNIT_TEST(RunsOfEndedWorkerStartElsewhereAfterTheirLease);
  CPPUNIT_TEST(ReportedWorkerGetsNoTasks);
  CPPUNIT_TEST(PlannedTaskLeavesReportedWorker);
  CPPUNIT_TEST(RespondingWorkerIsUsedAgain);
  CPPUNIT_TEST(ReportIsForgottenIfItIsNotRepeated);
  CPPUNIT_TEST(LaterWorkerOnInstanceEndsEarlierOne);
  CPPUNIT_TEST(WorkerOfUnknownStartEndsNoOther);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Runs a task on worker "a" beside the idle worker "b".
  static StartOrder StartOnA(SchedulerDriver& driver) {
    driver.ListWorker("a");
    driver.RespondToHold("a", WorkerStatus());
    driver.Submit("job");
    driver.Write();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, driver.starts.size());
    StartOrder start = driver.RespondToStart();
    driver.ListWorker("b");
    driver.RespondToHold("b", WorkerStatus());
    return start;
  }

  static void ReportEndOfA(SchedulerDriver& driver) {
    driver.scheduler().OnWorkerReportedEnded({"a", 1}, driver.now());
  }

  // Guards against a task that runs twice at once: a report that a worker has
  // ended returned its tasks although it responded.
  void FalseReportStartsNoTaskTwice() {
    SchedulerDriver driver(kStart);
    const StartOrder start = StartOnA(driver);
    const MonoTime until = driver.now() + seconds(12);
    while (driver.now() < until) {
      ReportEndOfA(driver);
      driver.Advance(milliseconds(50));
      if (driver.Hold("a")) {
        driver.RespondToHold("a", Running(start));
      }
      driver.ListWorker("a");
      driver.Write();
    }
    CPPUNIT_ASSERT_EQUAL(size_t{1}, driver.starts.size());
  }

  // Guards against tasks that are lost with a worker whose end is reported.
  void RunsOfEndedWorkerStartElsewhereAfterTheirLease() {
    SchedulerDriver driver(kStart);
    StartOnA(driver);
    const MonoTime leased_until{driver.starts.front().deadline};
    const MonoTime until = driver.now() + seconds(8);
    while (driver.now() < until && driver.starts.size() == 1) {
      ReportEndOfA(driver);
      driver.Advance(milliseconds(50));
      if (driver.Hold("a")) {
        driver.DropHoldResponse("a");
      }
      driver.Write();
    }
    CPPUNIT_ASSERT_EQUAL(size_t{2}, driver.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         driver.starts.back().target.worker.id);
    CPPUNIT_ASSERT(driver.now() > leased_until);
  }

  // Guards against tasks that are sent to a worker that has ended, which the
  // registry lists for some seconds more.
  void ReportedWorkerGetsNoTasks() {
    SchedulerDriver driver(kStart);
    driver.ListWorker("a");
    driver.RespondToHold("a", WorkerStatus());
    ReportEndOfA(driver);
    driver.ListWorker("a");
    driver.Submit("job");
    driver.Write();
    CPPUNIT_ASSERT(driver.starts.empty());
    CPPUNIT_ASSERT(driver.scheduler().Report(driver.now()).workers.empty());
  }

  // Guards against a start order to a worker that has ended meanwhile: its task
  // waits for the order's lease.
  void PlannedTaskLeavesReportedWorker() {
    SchedulerDriver driver(kStart);
    driver.ListWorker("a");
    driver.RespondToHold("a", WorkerStatus());
    driver.Submit("job");
    driver.ListWorker("b");
    driver.RespondToHold("b", WorkerStatus());
    ReportEndOfA(driver);
    driver.Write();
    driver.Advance(milliseconds(10));
    driver.Write();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, driver.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         driver.starts.back().target.worker.id);
  }

  // Guards against a worker that stays unused because of a false report.
  void RespondingWorkerIsUsedAgain() {
    SchedulerDriver driver(kStart);
    const StartOrder start = StartOnA(driver);
    ReportEndOfA(driver);
    for (int i = 0; i < 20; ++i) {
      driver.Advance(milliseconds(50));
      if (driver.Hold("a")) {
        driver.RespondToHold("a", Running(start));
      }
      ReportEndOfA(driver);
    }
    const PoolReport report = driver.scheduler().Report(driver.now());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, report.workers.size());
    CPPUNIT_ASSERT_EQUAL(1, report.workers.front().tasks);
  }

  // Guards against an idle worker that stays unused because of a false report:
  // it is not contacted, so it cannot refute the report.
  void ReportIsForgottenIfItIsNotRepeated() {
    SchedulerDriver driver(kStart);
    driver.ListWorker("a");
    driver.RespondToHold("a", WorkerStatus());
    ReportEndOfA(driver);
    driver.Submit("job");
    driver.Write();
    CPPUNIT_ASSERT(driver.starts.empty());
    driver.Advance(seconds(6));
    driver.Write();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, driver.starts.size());
  }

  // Guards against tasks that wait for a lease although the registry shows that
  // their worker has ended.
  void LaterWorkerOnInstanceEndsEarlierOne() {
    SchedulerDriver driver(kStart);
    StartOnA(driver);
    driver.scheduler().OnWorkerSuperseded({"a", 1}, driver.now());
    driver.Advance(milliseconds(50));
    driver.Write();
    CPPUNIT_ASSERT_EQUAL(size_t{2}, driver.starts.size());
  }

  // Guards against a task that runs twice at once: of two workers on an
  // instance that do not report their start, the one that was read last counted
  // as the later one.
  void WorkerOfUnknownStartEndsNoOther() {
    SchedulerDriver driver(kStart);
    driver.ListWorker("a", 0);
    driver.RespondToHold("a", WorkerStatus());
    driver.Submit("job");
    driver.Write();
    driver.RespondToStart();
    WorkerReport other;
    other.key = {"b", 0};
    other.pool = "p";
    other.instance = "instance-of-a";
    other.capacity = {1'000, 1'000, 0};
    driver.scheduler().OnWorkerListed(other, driver.now());
    driver.Step();
    driver.RespondToHold("b", WorkerStatus());
    driver.Write();
    driver.Advance(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, driver.starts.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReportedEndsTest);

}  // namespace
}  // namespace figflow::test
