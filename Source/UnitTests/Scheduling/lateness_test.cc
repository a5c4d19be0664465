// Tests which workers an owner gives up as unresponsive when it was late
// itself.
#include <optional>

#include <cppunit/extensions/HelperMacros.h>

#include "Scheduling/scheduler_driver.h"

namespace figflow::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const MonoTime kTestStart = MonoTime(std::chrono::hours(1));
// Longer than any lease, including the allowance for a slow clock.
constexpr seconds kLongestLease{8};
constexpr milliseconds kTick{10};

class LatenessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LatenessTest);
  CPPUNIT_TEST(LateOwnerWaitsForHold);
  CPPUNIT_TEST(LateHoldFailureDoesNotEndWorker);
  CPPUNIT_TEST(AlwaysLateOwnerGivesUpWorkerEventually);
  CPPUNIT_TEST(UnresponsiveWorkerIsGivenUpAtLeaseEnd);
  CPPUNIT_TEST(UnlistedWorkerIsGivenUpAtLeaseEnd);
  CPPUNIT_TEST(NextOwnerGivesUpUnreachedWorker);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Runs the job's task on worker "a"; worker "b" has free capacity for another
  // run.
  static StartOrder RunOnFirstWorker(SchedulerDriver& driver) {
    driver.ListWorker("a");
    driver.RespondToHold("a", WorkerStatus());
    driver.Submit("job");
    driver.Write();
    StartOrder start = driver.RespondToStart();
    CPPUNIT_ASSERT_EQUAL(std::string("a"), start.target.worker.id);
    driver.Advance(milliseconds(100));
    driver.ListWorker("b");
    driver.RespondToHold("b", WorkerStatus());
    return start;
  }

  // Stops the responses of worker "a" while the owner is on time. Returns when
  // the task was planned again, or nothing if that takes longer than `limit`.
  static std::optional<MonoTime> PlannedAgain(SchedulerDriver& driver,
                                              milliseconds limit) {
    const MonoTime until = driver.now() + limit;
    while (driver.now() < until) {
      if (driver.HoldTimedOut("a")) {
        driver.DropHoldResponse("a");
      }
      if (driver.Hold("b")) {
        driver.RespondToHold("b", WorkerStatus());
      }
      if (!driver.Write().empty()) {
        return driver.now();
      }
      driver.Advance(kTick);
    }
    return std::nullopt;
  }

  // Guards against a run that is given up, and runs again, although only its
  // owner lacked processor time while the worker continued.
  void LateOwnerWaitsForHold() {
    SchedulerDriver driver(kTestStart);
    const StartOrder start = RunOnFirstWorker(driver);
    driver.DropHoldResponse("a");
    driver.Advance(3 * kTick);
    CPPUNIT_ASSERT(driver.Hold("a").has_value());
    driver.Advance(kLongestLease);
    CPPUNIT_ASSERT(driver.Write().empty());

    WorkerStatus done;
    EndedRun ended;
    ended.number = 1;
    ended.name = start.task;
    ended.run = start.run;
    ended.end = RunResult::kDone;
    done.ended = {ended};
    driver.RespondToHold("a", done);
    driver.Write();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, driver.starts.size());
    CPPUNIT_ASSERT(driver.scheduler().Query("job")->status ==
                   JobStatus::kCompleted);
  }

  // Guards against giving up a worker because of a hold whose timeout passed
  // unnoticed.
  void LateHoldFailureDoesNotEndWorker() {
    SchedulerDriver driver(kTestStart);
    RunOnFirstWorker(driver);
    driver.DropHoldResponse("a");
    driver.Advance(3 * kTick);
    driver.Advance(kLongestLease);
    driver.DropHoldResponse("a");
    CPPUNIT_ASSERT(driver.Write().empty());
    // One hold that fails in time is enough.
    CPPUNIT_ASSERT(PlannedAgain(driver, seconds(1)).has_value());
  }

  // Guards against work that waits forever on a lost worker because its owner
  // is always late.
  void AlwaysLateOwnerGivesUpWorkerEventually() {
    SchedulerDriver driver(kTestStart);
    RunOnFirstWorker(driver);
    driver.DropHoldResponse("a");
    bool planned = false;
    for (int i = 0; i < 20 && !planned; ++i) {
      driver.Advance(seconds(2));
      if (driver.Hold("a")) {
        driver.DropHoldResponse("a");
      }
      if (driver.Hold("b")) {
        driver.RespondToHold("b", WorkerStatus());
      }
      planned = !driver.Write().empty();
    }
    CPPUNIT_ASSERT(planned);
  }

  // Guards against work that waits longer than its lease for a lost worker of
  // an owner that is on time.
  void UnresponsiveWorkerIsGivenUpAtLeaseEnd() {
    SchedulerDriver driver(kTestStart);
    RunOnFirstWorker(driver);
    const MonoTime renewed = driver.HoldSentAt("a");
    const auto lease =
        *driver.Hold("a")->deadline -
        std::chrono::duration_cast<milliseconds>(renewed.time_since_epoch());
    const std::optional<MonoTime> planned = PlannedAgain(driver, seconds(20));
    CPPUNIT_ASSERT(planned.has_value());
    // A clock that is 2% slow, and two steps.
    CPPUNIT_ASSERT(*planned - renewed <= lease * 51 / 50 + 2 * kTick);
    CPPUNIT_ASSERT(*planned - renewed >= lease);
  }

  // Same failure for a worker that left the registry before it responded to its
  // order.
  void UnlistedWorkerIsGivenUpAtLeaseEnd() {
    SchedulerDriver driver(kTestStart);
    driver.ListWorker("a");
    driver.RespondToHold("a", WorkerStatus());
    driver.Submit("job");
    driver.Write();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, driver.starts.size());
    driver.scheduler().OnWorkerUnlisted("a", driver.now());
    driver.ListWorker("b");
    driver.RespondToHold("b", WorkerStatus());
    driver.Advance(milliseconds(350));
    driver.DropStartResponse();
    CPPUNIT_ASSERT(PlannedAgain(driver, kLongestLease).has_value());
  }

  // Guards against waiting forever for runs of an earlier owner because their
  // worker never responded to this one.
  void NextOwnerGivesUpUnreachedWorker() {
    SchedulerDriver earlier(kTestStart);
    RunOnFirstWorker(earlier);
    SchedulerDriver driver(earlier.now(), 2);
    driver.Load(earlier.records());
    driver.ListWorker("a");
    driver.ListWorker("b");
    driver.RespondToHold("b", WorkerStatus());
    CPPUNIT_ASSERT(PlannedAgain(driver, kLongestLease).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LatenessTest);

}  // namespace
}  // namespace figflow::test
