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

// Longest lease that a worker grants, and a reading of a clock that has just
// started.
constexpr milliseconds kLongestWorkerLease{6'000};
constexpr milliseconds kNewClock{1'000};

class NextIncarnationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NextIncarnationTest);
  CPPUNIT_TEST(RefusesOpenOrderOfLostRun);
  CPPUNIT_TEST(RefusesOrderThatIsFoundOpenLater);
  CPPUNIT_TEST(RefusesOpenOrderOfCancelledJob);
  CPPUNIT_TEST(MayHoldTheLongestLease);
  CPPUNIT_TEST(MayHoldTheLongestLeaseAfterItsResponse);
  CPPUNIT_TEST(MayHoldTheLongestLeaseWhenListed);
  CPPUNIT_TEST(HandedOverLeaseIsTheLongest);
  CPPUNIT_TEST(ConfirmedRunWaitsForItsOwnLease);
  CPPUNIT_TEST(GetsNoSecondCopyOfAnOrder);
  CPPUNIT_TEST(KeepsItsEndsAfterALostResponse);
  CPPUNIT_TEST(KeepsItsEndsAfterItsOwnResponse);
  CPPUNIT_TEST(KeepsItsEndsBesideAnOrderInFlight);
  CPPUNIT_TEST(RefusesNothingForTheEarlierOne);
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
    driver.stops.erase(std::remove_if(driver.stops.begin(), driver.stops.end(),
                                      [](const StopOrder& stop) {
                                        return stop.target.worker.incarnation ==
                                               1;
                                      }),
                       driver.stops.end());
    ExpectStopAtNextIncarnation(driver, first);
  }

  // Guards against a task that runs twice at once: a deadline on the clock of
  // the earlier incarnation grants the next one the longest lease, because its
  // clock starts anew.
  void MayHoldTheLongestLease() {
    SchedulerDriver driver(kStart);
    OrderOnA(driver);
    const MonoTime ordered_at = driver.now();
    driver.DropStartResponse();
    ExpectSecondStartAfterLongestLease(driver, ordered_at);
  }

  // Same failure where the next incarnation has responded to the order.
  void MayHoldTheLongestLeaseAfterItsResponse() {
    SchedulerDriver driver(kStart);
    OrderOnA(driver);
    const MonoTime ordered_at = driver.now();
    driver.RespondToStart(driver.starts.back(), kNewClock);
    ExpectSecondStartAfterLongestLease(driver, ordered_at);
  }

  // Same failure where the next incarnation is listed and does not respond: its
  // lease was taken for one of an earlier owner.
  void MayHoldTheLongestLeaseWhenListed() {
    SchedulerDriver driver(kStart);
    OrderOnA(driver);
    const MonoTime ordered_at = driver.now();
    driver.DropStartResponse();
    driver.ListWorker("a", 2);
    ExpectSecondStartAfterLongestLease(driver, ordered_at);
  }

  // Same failure across a change of owner.
  void HandedOverLeaseIsTheLongest() {
    SchedulerDriver driver(kStart);
    OrderOnA(driver);
    driver.DropStartResponse();
    const RemainingLeases leases =
        driver.scheduler().LeasesOfUnreachedWorkers(driver.now());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, leases.size());
    CPPUNIT_ASSERT(leases.begin()->second >= kLongestWorkerLease);
  }

  // Guards against work that waits for longer than needed: a run that this
  // incarnation has confirmed ends with it.
  void ConfirmedRunWaitsForItsOwnLease() {
    SchedulerDriver driver(kStart);
    OrderOnA(driver);
    const MonoTime ordered_at = driver.now();
    driver.RespondToStart();
    LoseLeaseOfA(driver);
    CPPUNIT_ASSERT(driver.now() < ordered_at + kLongestWorkerLease);
  }

  // Guards against a lease without end: each copy of an order grants the next
  // incarnation the longest lease again.
  void GetsNoSecondCopyOfAnOrder() {
    SchedulerDriver driver(kStart);
    OrderOnA(driver);
    driver.DropStartResponse();
    for (int i = 0; i < 40; ++i) {
      driver.Advance(milliseconds(50));
      if (driver.HoldTimedOut("a")) {
        CPPUNIT_ASSERT(!driver.Hold("a")->deadline.has_value());
        driver.DropHoldResponse("a");
      }
      driver.Write();
    }
    CPPUNIT_ASSERT_EQUAL(size_t{1}, driver.starts.size());
  }

  // Guards against a task that runs again although it is done: the number of
  // the last end that was read from the earlier incarnation made the next one
  // forget its first ends.
  void KeepsItsEndsAfterALostResponse() {
    SchedulerDriver driver(kStart);
    OrderSecondJobOnA(driver);
    driver.DropStartResponse();
    driver.Advance(milliseconds(30));
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, driver.Hold("a")->acknowledged);
  }

  void KeepsItsEndsAfterItsOwnResponse() {
    SchedulerDriver driver(kStart);
    OrderSecondJobOnA(driver);
    driver.RespondToStart(driver.starts.back(), kNewClock);
    driver.Advance(milliseconds(30));
    const HoldOrder hold = *driver.Hold("a");
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, hold.acknowledged);
    CPPUNIT_ASSERT(!hold.deadline.has_value());
  }

  void KeepsItsEndsBesideAnOrderInFlight() {
    SchedulerDriver driver(kStart);
    OrderSecondJobOnA(driver);
    for (int i = 0; i < 20; ++i) {
      driver.Advance(milliseconds(10));
      if (driver.Hold("a")) {
        CPPUNIT_ASSERT_EQUAL(uint64_t{0}, driver.Hold("a")->acknowledged);
      }
    }
    driver.RespondToStart();
    driver.Advance(milliseconds(300));
    if (driver.HoldSentAt("a") < driver.now()) {
      driver.RespondToHold("a", Running(driver.starts.back()));
      driver.Advance(milliseconds(300));
    }
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, driver.Hold("a")->acknowledged);
  }

  // Guards against a task that runs twice at once: the next incarnation
  // accepted a stop, which was taken for the stop of the run.
  void RefusesNothingForTheEarlierOne() {
    SchedulerDriver driver(kStart);
    OrderOnA(driver);
    const StartOrder first = driver.RespondToStart();
    driver.Advance(milliseconds(50));
    driver.RespondToHold("a", Running(first));
    for (int i = 0; i < 20; ++i) {
      driver.scheduler().SetEvacuating({"a"}, {}, driver.now());
      driver.Advance(milliseconds(100));
    }
    CPPUNIT_ASSERT_EQUAL(size_t{1}, driver.stops.size());
    driver.DropHoldResponse("a");
    driver.RespondToStop(kNewClock);
    driver.Advance(milliseconds(50));
    driver.RespondToHold("a", WorkerStatus());
    driver.Advance(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, driver.stops.size());
  }

 private:
  static void ExpectSecondStartAfterLongestLease(SchedulerDriver& driver,
                                                 MonoTime ordered_at) {
    LoseLeaseOfA(driver);
    CPPUNIT_ASSERT(driver.now() >= ordered_at + kLongestWorkerLease);
  }

  // Orders a task on worker "a" while the end of an earlier one is read and
  // durable, but not acknowledged.
  static void OrderSecondJobOnA(SchedulerDriver& driver) {
    driver.ListWorker("a");
    driver.RespondToHold("a", WorkerStatus());
    driver.Submit("first");
    driver.Write();
    const StartOrder first = driver.RespondToStart();
    driver.Advance(milliseconds(50));
    driver.RespondToHold("a", Ended(first, RunResult::kDone));
    driver.Submit("job");
    driver.Write();
    driver.Write();
    CPPUNIT_ASSERT_EQUAL(size_t{2}, driver.starts.size());
    CPPUNIT_ASSERT(!driver.Hold("a").has_value());
  }

  static void OrderOnA(SchedulerDriver& driver) {
    driver.ListWorker("a");
    driver.RespondToHold("a", WorkerStatus());
    // Leases of earlier owners have run out.
    driver.Advance(seconds(20));
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
    StartOrder first = driver.RespondToStart();
    driver.Advance(milliseconds(50));
    driver.RespondToHold("a", Running(first));
    driver.starts.erase(driver.starts.begin());
    return first;
  }

  // Lets worker "a" fall silent until its task starts on "b".
  static void LoseLeaseOfA(SchedulerDriver& driver) {
    const MonoTime until = driver.now() + seconds(9);
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
