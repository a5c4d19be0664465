// Tests responses to holds that list a part of the ended runs only.
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Scheduling/scheduler_driver.h"

namespace figflow::test {
namespace {

using std::chrono::milliseconds;

class PartialListsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PartialListsTest);
  CPPUNIT_TEST(RunThatIsNotListedYetIsNotLost);
  CPPUNIT_TEST(StoppedRunMayHaveEndedAsDone);
  CPPUNIT_TEST(NextOwnerWaitsForAllEnds);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against tasks that run again although they are done: during an
  // outage of the store more runs ended than one response lists, and the others
  // were taken for lost.
  void RunThatIsNotListedYetIsNotLost() {
    SchedulerDriver driver(kStart);
    StartBoth(driver);
    driver.Advance(milliseconds(50));
    driver.RespondToHold("a", FirstEnd(driver));
    ExpectNoFurtherStart(driver);
    driver.RespondToHold("a", SecondEnd(driver));
    ExpectCompleted(driver);
  }

  // Same failure for a run that an evacuation has stopped.
  void StoppedRunMayHaveEndedAsDone() {
    SchedulerDriver driver(kStart);
    StartBoth(driver);
    for (int i = 0; i < 20; ++i) {
      driver.scheduler().SetEvacuating({"a"}, {}, driver.now());
      driver.Advance(milliseconds(100));
    }
    CPPUNIT_ASSERT_EQUAL(size_t{2}, driver.stops.size());
    for (const StopOrder& stop : std::vector<StopOrder>(driver.stops)) {
      driver.stops.push_back(stop);
      driver.RespondToStop();
    }
    driver.Advance(milliseconds(50));
    driver.RespondToHold("a", FirstEnd(driver));
    driver.Advance(milliseconds(300));
    driver.RespondToHold("a", FirstEnd(driver));
    ExpectNoFurtherStart(driver);
    driver.RespondToHold("a", SecondEnd(driver));
    ExpectCompleted(driver);
  }

  // Same failure after a change of owner.
  void NextOwnerWaitsForAllEnds() {
    SchedulerDriver earlier(kStart);
    StartBoth(earlier);
    SchedulerDriver driver(earlier.now(), 2);
    driver.Load(earlier.records());
    driver.starts = earlier.starts;
    driver.ListWorker("a");
    driver.ListWorker("b");
    driver.RespondToHold("b", WorkerStatus());
    driver.RespondToHold("a", FirstEnd(driver));
    ExpectNoFurtherStart(driver);
    driver.RespondToHold("a", SecondEnd(driver));
    ExpectCompleted(driver);
  }

 private:
  // Starts the job's two tasks on worker "a". Worker "b" is idle.
  static void StartBoth(SchedulerDriver& driver) {
    driver.ListWorker("a");
    driver.RespondToHold("a", WorkerStatus());
    JobSpec spec = SchedulerDriver::OneTask("job");
    spec.stages[0].count = 2;
    spec.stages[0].per_task = {500, 500, 0};
    driver.Submit(spec);
    driver.Write();
    CPPUNIT_ASSERT_EQUAL(size_t{2}, driver.starts.size());
    for (const StartOrder& start : std::vector<StartOrder>(driver.starts)) {
      driver.RespondToStart(start);
    }
    driver.ListWorker("b");
    driver.RespondToHold("b", WorkerStatus());
  }

  static WorkerStatus FirstEnd(const SchedulerDriver& driver) {
    WorkerStatus status = Ended(driver.starts[0], RunResult::kDone);
    status.more_ended = true;
    return status;
  }
  static WorkerStatus SecondEnd(const SchedulerDriver& driver) {
    return Ended(driver.starts[1], RunResult::kDone, 2);
  }

  static void ExpectNoFurtherStart(SchedulerDriver& driver) {
    driver.Write();
    driver.Advance(milliseconds(300));
    driver.Write();
    CPPUNIT_ASSERT_EQUAL(size_t{2}, driver.starts.size());
    CPPUNIT_ASSERT(driver.Hold("a").has_value());
  }
  static void ExpectCompleted(SchedulerDriver& driver) {
    driver.Write();
    driver.Write();
    CPPUNIT_ASSERT(driver.scheduler().Query("job")->status ==
                   JobStatus::kCompleted);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, driver.starts.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PartialListsTest);

}  // namespace
}  // namespace figflow::test
