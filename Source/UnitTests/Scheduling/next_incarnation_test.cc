// Tests what orders, holds, leases and ended runs prove after a worker has
// started again under its id: the next incarnation has a clock and a count of
// ended runs of its own, and accepts orders that were meant for the earlier
// one.
#include <algorithm>
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
  status.running = {running};
  return status;
}

class NextIncarnationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NextIncarnationTest);
  CPPUNIT_TEST(RefusesOpenOrderOfLostRun);
  CPPUNIT_TEST(RefusesOrderThatIsFoundOpenLater);
  CPPUNIT_TEST(RefusesOpenOrderOfCancelledJob);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a task that runs twice at once: a copy of its start order
  // got no response, and the next incarnation of the worker carried it out
  // after the lease had run out and the task was started elsewhere.
  void RefusesOpenOrderOfLostRun() {
    SchedulerDriver driver(kStart);
    const StartOrder first = RunOnAByRepeatedOrder(driver);
    LoseLeaseOfA(driver);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, driver.starts.size());
    CPPUNIT_ASSERT(driver.stops.empty());
    driver.ListWorker("a", 2);
    ExpectStopAtNextIncarnation(driver, first);
  }

  // Same failure where the order is still in flight when the next incarnation
  // is listed.
  void RefusesOrderThatIsFoundOpenLater() {
    SchedulerDriver driver(kStart);
    OrderOnA(driver);
    const StartOrder first = driver.starts.back();
    driver.RespondToStart();
    driver.Advance(milliseconds(50));
    driver.RespondToHold("a", Running(first));
    driver.ListWorker("a", 2);
    CPPUNIT_ASSERT(driver.stops.empty());
    driver.DropStartResponse(first);
    ExpectStopAtNextIncarnation(driver, first);
  }

  // Guards against a task of a cancelled job that the next incarnation starts.
  void RefusesOpenOrderOfCancelledJob() {
    SchedulerDriver driver(kStart);
    const StartOrder first = RunOnAByRepeatedOrder(driver);
    driver.scheduler().Cancel("job", 2, driver.now());
    driver.Write();
    driver.ListWorker("a", 2);
    driver.stops.erase(
        std::remove_if(driver.stops.begin(), driver.stops.end(),
                       [](const StopOrder& stop) {
                         return stop.target.worker.incarnation == 1;
                       }),
        driver.stops.end());
    ExpectStopAtNextIncarnation(driver, first);
  }

 private:
  static void OrderOnA(SchedulerDriver& driver) {
    driver.ListWorker("a");
    driver.RespondToHold("a", WorkerStatus());
    driver.Submit("job");
    driver.Write();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, driver.starts.size());
    driver.ListWorker("b");
    driver.RespondToHold("b", WorkerStatus());
  }

  // Runs the task on worker "a": the first copy of the order gets no response,
  // the second one does.
  static StartOrder RunOnAByRepeatedOrder(SchedulerDriver& driver) {
    OrderOnA(driver);
    driver.DropStartResponse();
    driver.Advance(milliseconds(30));
    driver.RespondToHold("a", WorkerStatus());
    driver.Advance(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, driver.starts.size());
    const StartOrder first = driver.RespondToStart();
    driver.Advance(milliseconds(50));
    driver.RespondToHold("a", Running(first));
    driver.starts.erase(driver.starts.begin());
    return first;
  }

  // Lets worker "a" fall silent until its task starts on "b".
  static void LoseLeaseOfA(SchedulerDriver& driver) {
    const MonoTime until = driver.now() + seconds(8);
    while (driver.now() < until && driver.starts.size() == 1) {
      driver.Advance(milliseconds(50));
      if (driver.HoldTimedOut("a")) {
        driver.DropHoldResponse("a");
      }
      driver.Write();
    }
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         driver.starts.back().target.worker.id);
    driver.RespondToStart();
  }

  static void ExpectStopAtNextIncarnation(SchedulerDriver& driver,
                                          const StartOrder& first) {
    driver.Step();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, driver.stops.size());
    const StopOrder& stop = driver.stops.back();
    CPPUNIT_ASSERT_EQUAL(std::string("a"), stop.target.worker.id);
    CPPUNIT_ASSERT_EQUAL(int64_t{2}, stop.target.worker.incarnation);
    CPPUNIT_ASSERT(stop.task == first.task);
    CPPUNIT_ASSERT_EQUAL(first.run, stop.run);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NextIncarnationTest);

}  // namespace
}  // namespace figflow::test
