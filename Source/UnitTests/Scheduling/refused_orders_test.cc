// Tests workers that are lost for good while orders to them are under way:
// connections are refused, so each order fails at once.
#include <algorithm>
#include <string>
#include <utility>

#include <cppunit/extensions/HelperMacros.h>

#include "Scheduling/scheduler_driver.h"

namespace figflow::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Longer than any lease, including the allowance for a slow clock, and the
// detection of an unresponsive worker.
constexpr seconds kLongestLossTime{8};
constexpr milliseconds kDriveInterval{10};

// Fails all orders to a lost worker as soon as they are sent, and responds to
// the holds of the other worker.
class LostWorker {
 public:
  LostWorker(SchedulerDriver& driver, std::string id)
      : driver_(driver),
        id_(std::move(id)),
        starts_(driver.starts.size()),
        stops_(driver.stops.size()) {}

  void FailOrders() {
    while (starts_ < driver_.starts.size()) {
      const StartOrder start = driver_.starts[starts_++];
      if (start.target.worker.id == id_) {
        driver_.DropStartResponse(start);
      }
    }
    while (stops_ < driver_.stops.size()) {
      const StopOrder stop = driver_.stops[stops_++];
      if (stop.target.worker.id == id_) {
        driver_.DropStopResponse(stop);
      }
    }
    if (driver_.Hold(id_)) {
      driver_.DropHoldResponse(id_);
    }
  }

  void RunFor(milliseconds duration) {
    const MonoTime until = driver_.now() + duration;
    while (driver_.now() < until) {
      FailOrders();
      if (driver_.Hold("b")) {
        driver_.RespondToHold("b", WorkerStatus());
      }
      driver_.Write();
      driver_.Advance(kDriveInterval);
    }
  }

 private:
  SchedulerDriver& driver_;
  const std::string id_;
  // Number of orders that were handled.
  size_t starts_;
  size_t stops_;
};

class RefusedOrdersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RefusedOrdersTest);
  CPPUNIT_TEST(RepeatedStartDoesNotPostponeHolds);
  CPPUNIT_TEST(RepeatedStopDoesNotPostponeHolds);
  CPPUNIT_TEST_SUITE_END();

 public:
  static bool StartedOn(const SchedulerDriver& driver,
                        const std::string& job,
                        const std::string& worker) {
    return std::any_of(driver.starts.begin(), driver.starts.end(),
                       [&](const StartOrder& start) {
                         return start.task.job == job &&
                                start.target.worker.id == worker;
                       });
  }

  // Guards against tasks that stay with a lost worker forever: the failures of
  // a repeated start order postponed the holds that show the loss.
  void RepeatedStartDoesNotPostponeHolds() {
    SchedulerDriver driver(kStart);
    driver.ListWorker("a");
    driver.RespondToHold("a", WorkerStatus());
    driver.Submit("job");
    driver.Write();
    CPPUNIT_ASSERT(StartedOn(driver, "job", "a"));
    driver.ListWorker("b");
    driver.RespondToHold("b", WorkerStatus());

    LostWorker lost(driver, "a");
    driver.DropStartResponse();
    lost.RunFor(kLongestLossTime);
    CPPUNIT_ASSERT(StartedOn(driver, "job", "b"));
  }

  // Same failure by the stop order of a cancelled job beside another job on the
  // lost worker.
  void RepeatedStopDoesNotPostponeHolds() {
    SchedulerDriver driver(kStart);
    driver.ListWorker("a");
    driver.RespondToHold("a", WorkerStatus());
    for (const char* job : {"cancelled", "job"}) {
      JobSpec spec = SchedulerDriver::OneTask(job);
      spec.stages[0].per_task = {500, 500, 0};
      driver.Submit(spec);
      driver.Write();
      driver.RespondToStart();
    }
    CPPUNIT_ASSERT(StartedOn(driver, "cancelled", "a"));
    CPPUNIT_ASSERT(StartedOn(driver, "job", "a"));
    driver.ListWorker("b");
    driver.RespondToHold("b", WorkerStatus());

    LostWorker lost(driver, "a");
    driver.scheduler().Cancel("cancelled", 2, driver.now());
    driver.Step();
    lost.RunFor(kLongestLossTime);
    CPPUNIT_ASSERT(StartedOn(driver, "job", "b"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RefusedOrdersTest);

}  // namespace
}  // namespace figflow::test
