// Tests the effect of the instance controller's reports that workers have
// ended.
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Scheduling/scheduler_driver.h"

namespace figflow::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

WorkerStatus Running(const StartOrder& start) {
  WorkerStatus status;
  RunningTask running;
  running.name = start.task;
  running.run = start.run;
  running.percent = 50;
  status.running = {running};
  return status;
}

class ReportedEndsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReportedEndsTest);
  CPPUNIT_TEST(FalseReportStartsNoTaskTwice);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Runs a task on worker "a" beside the idle worker "b".
  static StartOrder StartOnA(SchedulerDriver& driver) {
    driver.ListWorker("a");
    driver.RespondToHold("a", WorkerStatus());
    driver.Submit("job");
    driver.Write();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, driver.starts.size());
    const StartOrder start = driver.RespondToStart();
    driver.ListWorker("b");
    driver.RespondToHold("b", WorkerStatus());
    return start;
  }

  // Guards against a task that runs twice at once: a report that a worker has
  // ended returned its tasks although it responded.
  void FalseReportStartsNoTaskTwice() {
    SchedulerDriver driver(kStart);
    const StartOrder start = StartOnA(driver);
    const MonoTime until = driver.now() + seconds(12);
    while (driver.now() < until) {
      driver.scheduler().OnWorkerEnded("a", driver.now());
      driver.Advance(milliseconds(50));
      if (driver.Hold("a")) {
        driver.RespondToHold("a", Running(start));
      }
      driver.ListWorker("a");
      driver.Write();
    }
    CPPUNIT_ASSERT_EQUAL(size_t{1}, driver.starts.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReportedEndsTest);

}  // namespace
}  // namespace figflow::test
