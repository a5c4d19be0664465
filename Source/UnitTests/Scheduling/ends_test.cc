// Tests the effect of run results on tasks after workers were given up and
// pools have changed hands.
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Scheduling/scheduler_driver.h"

namespace figflow::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class EndsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndsTest);
  CPPUNIT_TEST(EarlierDoneRunCompletesPlannedTask);
  CPPUNIT_TEST(NextOwnerAppliesEarlierDoneRun);
  CPPUNIT_TEST(EarlierDoneRunStopsLaterRun);
  CPPUNIT_TEST(EarlierFailedRunCounts);
  CPPUNIT_TEST(NextOwnerCountsFailureOnce);
  CPPUNIT_TEST(JobOfUnknownQueueKeepsMaxAttempts);
  CPPUNIT_TEST(WorkerIsInUseUntilResultsAreDurable);
  CPPUNIT_TEST(StoppingRunOccupiesCapacityAfterCancel);
  CPPUNIT_TEST(StoppingRunOccupiesCapacityAfterTaskIsDone);
  CPPUNIT_TEST(NoStartOrderAfterLastFailure);
  CPPUNIT_TEST(EndOfIncarnationDoesNotAffectNextOne);
  CPPUNIT_TEST(UnconfirmedOrderMayReachNextIncarnation);
  CPPUNIT_TEST(IncarnationFoundByHoldMayGetEarlierOrder);
  CPPUNIT_TEST(EvacuatedIncarnationMayGetEarlierOrder);
  CPPUNIT_TEST(EarlierOwnersOrderMayReachNextIncarnation);
  CPPUNIT_TEST(NextIncarnationMayHaveAcceptedOrder);
  CPPUNIT_TEST(EntryOfEarlierIncarnationIsNotUsed);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Runs the job's task on worker "a", which then does not respond until its
  // lease has run out. Returns the first order.
  static StartOrder LoseFirstRun(SchedulerDriver& driver) {
    driver.ListWorker("a");
    driver.RespondToHold("a", WorkerStatus());
    driver.Submit("job");
    driver.Write();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, driver.starts.size());
    StartOrder first = driver.RespondToStart();
    driver.Advance(milliseconds(100));
    // Longer than any lease.
    const MonoTime lost = driver.now() + seconds(8);
    while (driver.now() < lost || !driver.Hold("a")) {
      if (driver.Hold("a")) {
        driver.DropHoldResponse("a");
      }
      driver.Advance(milliseconds(70));
    }
    return first;
  }

  // Adds worker "b", on which the task is planned again.
  static void PlanSecondRun(SchedulerDriver& driver) {
    driver.ListWorker("b");
    driver.RespondToHold("b", WorkerStatus());
    driver.Advance(milliseconds(10));
  }

  static JobStatus StatusOf(SchedulerDriver& driver) {
    const std::optional<JobView> view = driver.scheduler().Query("job");
    CPPUNIT_ASSERT(view.has_value());
    return view->status;
  }

  // Guards against a task that runs again although its first run is done: the
  // ended run was acknowledged without effect while the next run was planned.
  void EarlierDoneRunCompletesPlannedTask() {
    SchedulerDriver driver(kStart);
    const StartOrder first = LoseFirstRun(driver);
    PlanSecondRun(driver);
    driver.RespondToHold("a", Ended(first, RunResult::kDone));
    driver.Write();
    driver.Write();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, driver.starts.size());
    CPPUNIT_ASSERT(StatusOf(driver) == JobStatus::kCompleted);
    driver.Advance(milliseconds(300));
    CPPUNIT_ASSERT(driver.Hold("a").has_value());
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, driver.Hold("a")->acknowledged);
  }

  // Same failure across a change of owner: the record names a second run that
  // was never ordered.
  void NextOwnerAppliesEarlierDoneRun() {
    SchedulerDriver earlier(kStart);
    const StartOrder first = LoseFirstRun(earlier);
    PlanSecondRun(earlier);
    earlier.Write();

    SchedulerDriver driver(earlier.now(), 2);
    driver.Load(earlier.records());
    driver.ListWorker("b");
    driver.ListWorker("a");
    driver.RespondToHold("b", WorkerStatus());
    driver.RespondToHold("a", Ended(first, RunResult::kDone));
    driver.Write();
    driver.Write();
    CPPUNIT_ASSERT_EQUAL(size_t{0}, driver.starts.size());
    CPPUNIT_ASSERT(StatusOf(driver) == JobStatus::kCompleted);
  }

  // Guards against a later run that continues, and counts, although the task is
  // done.
  void EarlierDoneRunStopsLaterRun() {
    SchedulerDriver driver(kStart);
    const StartOrder first = LoseFirstRun(driver);
    PlanSecondRun(driver);
    driver.Write();
    CPPUNIT_ASSERT_EQUAL(size_t{2}, driver.starts.size());
    const StartOrder second = driver.RespondToStart();
    driver.RespondToHold("a", Ended(first, RunResult::kDone));
    driver.Write();
    CPPUNIT_ASSERT(StatusOf(driver) == JobStatus::kCompleted);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, driver.stops.size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         driver.stops.front().target.worker.id);
    CPPUNIT_ASSERT_EQUAL(second.run, driver.stops.front().run);
  }

  // Guards against more attempts than the queue allows: the failure of a run
  // that was given up was missing from the count.
  void EarlierFailedRunCounts() {
    SchedulerDriver driver(kStart);
    const StartOrder first = LoseFirstRun(driver);
    PlanSecondRun(driver);
    driver.Write();
    const StartOrder second = driver.RespondToStart();
    driver.RespondToHold("a", Ended(first, RunResult::kFailed));
    driver.Write();
    CPPUNIT_ASSERT(StatusOf(driver) == JobStatus::kLive);
    driver.Advance(milliseconds(50));
    driver.RespondToHold("b", Ended(second, RunResult::kFailed));
    driver.Write();
    CPPUNIT_ASSERT(StatusOf(driver) == JobStatus::kFailed);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, driver.starts.size());
  }

  // Guards against a failure that two owners count because the worker lists it
  // until it is acknowledged: the job would fail with an attempt left.
  void NextOwnerCountsFailureOnce() {
    SchedulerDriver earlier(kStart);
    earlier.ListWorker("a");
    earlier.RespondToHold("a", WorkerStatus());
    earlier.Submit("job");
    earlier.Write();
    const StartOrder first = earlier.RespondToStart();
    earlier.Advance(milliseconds(50));
    earlier.RespondToHold("a", Ended(first, RunResult::kFailed));
    earlier.Write();

    SchedulerDriver driver(earlier.now(), 2);
    driver.Load(earlier.records());
    driver.ListWorker("a");
    driver.RespondToHold("a", Ended(first, RunResult::kFailed));
    driver.Write();
    CPPUNIT_ASSERT(StatusOf(driver) == JobStatus::kLive);
  }

  // Guards against a job that fails with its first run because its queue was
  // removed in the meantime, or is not yet in the plan of the pool's owner.
  void JobOfUnknownQueueKeepsMaxAttempts() {
    SchedulerDriver driver(kStart);
    driver.ListWorker("a");
    driver.RespondToHold("a", WorkerStatus());
    JobSpec spec = driver.OneTask("job");
    spec.max_attempts = 2;
    driver.Submit(spec);
    driver.scheduler().SetPlan(std::make_shared<FleetPlan>());
    driver.Write();
    const StartOrder first = driver.RespondToStart();
    driver.Advance(milliseconds(50));
    driver.RespondToHold("a", Ended(first, RunResult::kFailed));
    driver.Write();
    CPPUNIT_ASSERT(StatusOf(driver) == JobStatus::kLive);
  }

  // Guards against the move of an instance that holds the only copy of a
  // result: the next owner would start the task again.
  void WorkerIsInUseUntilResultsAreDurable() {
    SchedulerDriver driver(kStart);
    driver.ListWorker("a");
    driver.RespondToHold("a", WorkerStatus());
    driver.Submit("job");
    driver.Write();
    const StartOrder first = driver.RespondToStart();
    driver.Advance(milliseconds(50));
    driver.RespondToHold("a", Ended(first, RunResult::kDone));
    const auto tasks = [&driver] {
      const PoolReport report = driver.scheduler().Report(driver.now());
      CPPUNIT_ASSERT_EQUAL(size_t{1}, report.workers.size());
      return report.workers.front().tasks;
    };
    CPPUNIT_ASSERT(tasks() > 0);
    driver.Write();
    CPPUNIT_ASSERT_EQUAL(0, tasks());
  }

  // Evacuates the worker until its run gets a stop order, then ends the
  // evacuation.
  static void StopByEvacuation(SchedulerDriver& driver,
                               const std::string& worker) {
    const size_t before = driver.stops.size();
    for (int i = 0; i < 20; ++i) {
      driver.scheduler().SetEvacuating({worker}, {}, driver.now());
      driver.Advance(milliseconds(100));
    }
    CPPUNIT_ASSERT_EQUAL(before + 1, driver.stops.size());
    driver.scheduler().SetEvacuating({}, {}, driver.now());
  }

  // Guards against a worker loaded above its capacity: the capacity of a run
  // that an evacuation stops was free as soon as its job was cancelled.
  void StoppingRunOccupiesCapacityAfterCancel() {
    SchedulerDriver driver(kStart);
    driver.ListWorker("a");
    driver.RespondToHold("a", WorkerStatus());
    driver.Submit("job");
    driver.Write();
    const StartOrder first = driver.RespondToStart();
    driver.Advance(milliseconds(50));
    driver.RespondToHold("a", Running(first));
    StopByEvacuation(driver, "a");
    driver.RespondToHold("a", Running(first));
    driver.scheduler().Cancel("job", 2, driver.now());
    driver.Write();
    driver.Submit("next");
    driver.Write();
    driver.Advance(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, driver.starts.size());
  }

  // Same failure when the result of an earlier run completes the task.
  void StoppingRunOccupiesCapacityAfterTaskIsDone() {
    SchedulerDriver driver(kStart);
    const StartOrder first = LoseFirstRun(driver);
    PlanSecondRun(driver);
    driver.Write();
    const StartOrder second = driver.RespondToStart();
    driver.Advance(milliseconds(50));
    driver.RespondToHold("b", Running(second));
    StopByEvacuation(driver, "b");
    driver.RespondToHold("b", Running(second));
    driver.RespondToHold("a", Ended(first, RunResult::kDone));
    driver.Write();
    driver.Submit("next");
    driver.Submit("after");
    driver.Write();
    driver.Advance(milliseconds(50));
    // Worker "a" is idle, "b" still runs the second run.
    CPPUNIT_ASSERT_EQUAL(size_t{3}, driver.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a"),
                         driver.starts.back().target.worker.id);
  }

  // Guards against a start after the last attempt has failed: the order of the
  // next run was repeated until the job's status was durable.
  void NoStartOrderAfterLastFailure() {
    SchedulerDriver driver(kStart);
    const StartOrder first = LoseFirstRun(driver);
    PlanSecondRun(driver);
    driver.Write();
    const StartOrder second = driver.RespondToStart();
    driver.Advance(milliseconds(50));
    driver.RespondToHold("b", Ended(second, RunResult::kFailed));
    driver.Write();
    // The task failed on "b", but no other worker can be reached.
    CPPUNIT_ASSERT_EQUAL(size_t{3}, driver.starts.size());
    driver.scheduler().OnStartResponse(
        driver.starts.back(),
        Fail(ErrorCode::kUnknownOutcome, "worker.start", "b", "lost"),
        driver.now());
    driver.Step();
    driver.RespondToHold("a", Ended(first, RunResult::kFailed));
    driver.Advance(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(size_t{3}, driver.starts.size());
  }

  // Guards against a task that runs twice: the end of an incarnation is
  // reported by id for some seconds, and the next incarnation under that id was
  // taken for ended.
  void EndOfIncarnationDoesNotAffectNextOne() {
    SchedulerDriver driver(kStart);
    driver.ListWorker("a");
    driver.RespondToHold("a", WorkerStatus());
    driver.scheduler().OnWorkerReportedEnded({"a", 1}, driver.now());
    driver.ListWorker("a", 2);
    driver.Advance(milliseconds(300));
    driver.RespondToHold("a", WorkerStatus());
    driver.Submit("job");
    driver.Write();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, driver.starts.size());
    driver.RespondToStart();
    PlanSecondRun(driver);
    driver.scheduler().OnWorkerReportedEnded({"a", 1}, driver.now());
    driver.Advance(milliseconds(50));
    driver.Write();
    driver.Advance(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, driver.starts.size());
  }

  // Guards against a task that runs twice: the next incarnation under the same
  // id and address may carry out an order that the earlier one did not respond
  // to.
  void UnconfirmedOrderMayReachNextIncarnation() {
    SchedulerDriver driver(kStart);
    DropResponseToOrder(driver);
    driver.ListWorker("a", 2);
    ExpectStartAfterStop(driver);
  }

  // Same failure before the registry lists the next incarnation: a hold shows
  // it.
  void IncarnationFoundByHoldMayGetEarlierOrder() {
    SchedulerDriver driver(kStart);
    DropResponseToOrder(driver);
    WorkerStatus next_incarnation;
    next_incarnation.incarnation = 2;
    driver.Advance(milliseconds(30));
    driver.RespondToHold("a", next_incarnation);
    ExpectStartAfterStop(driver);
  }

  // Same failure while the next incarnation is evacuated.
  void EvacuatedIncarnationMayGetEarlierOrder() {
    SchedulerDriver driver(kStart);
    DropResponseToOrder(driver);
    driver.ListWorker("a", 2);
    driver.scheduler().SetEvacuating({"a"}, {}, driver.now());
    ExpectStartAfterStop(driver);
  }

  // Same failure across a change of owner: orders of the earlier owner may take
  // effect until the next incarnation has seen the later fence.
  void EarlierOwnersOrderMayReachNextIncarnation() {
    SchedulerDriver earlier(kStart);
    DropResponseToOrder(earlier);
    SchedulerDriver driver(earlier.now(), 2);
    driver.Load(earlier.records());
    driver.ListWorker("a", 2);
    driver.ListWorker("b");
    driver.RespondToHold("b", WorkerStatus());
    driver.Write();
    CPPUNIT_ASSERT(driver.starts.empty());
    AcceptStop(driver);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, driver.starts.size());
  }

  // Guards against a task that runs twice at once: an idle worker restarts
  // under its id, and its next incarnation accepts an order before it is known.
  void NextIncarnationMayHaveAcceptedOrder() {
    SchedulerDriver driver(kStart);
    OrderOnA(driver);
    driver.RespondToStart();
    driver.ListWorker("a", 2);
    ExpectStartAfterStop(driver);
  }

  // Guards against tasks that are sent to an incarnation that has ended, whose
  // entry is read after the one of the next incarnation was.
  void EntryOfEarlierIncarnationIsNotUsed() {
    SchedulerDriver driver(kStart);
    driver.ListWorker("a", 2);
    driver.RespondToHold("a", WorkerStatus());
    driver.ListWorker("a", 1);
    const PoolReport report = driver.scheduler().Report(driver.now());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, report.workers.size());
    CPPUNIT_ASSERT_EQUAL(int64_t{2}, report.workers.front().incarnation);
  }

 private:
  // Orders a task on worker "a". Worker "b" has free capacity.
  static void OrderOnA(SchedulerDriver& driver) {
    driver.ListWorker("a");
    driver.RespondToHold("a", WorkerStatus());
    driver.Submit("job");
    driver.Write();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, driver.starts.size());
    PlanSecondRun(driver);
  }

  // Orders a task on worker "a" and drops the response.
  static void DropResponseToOrder(SchedulerDriver& driver) {
    OrderOnA(driver);
    driver.DropStartResponse();
  }

  // Lets the next incarnation of "a" accept the stop of the run and report that
  // the run does not exist.
  static void AcceptStop(SchedulerDriver& driver) {
    CPPUNIT_ASSERT_EQUAL(size_t{1}, driver.stops.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a"),
                         driver.stops.front().target.worker.id);
    CPPUNIT_ASSERT_EQUAL(int64_t{2},
                         driver.stops.front().target.worker.incarnation);
    driver.RespondToStop();
    // A hold that was in flight before proves nothing yet.
    for (int i = 0; i < 2; ++i) {
      driver.Advance(milliseconds(300));
      if (driver.Hold("a")) {
        driver.RespondToHold("a", WorkerStatus());
      }
    }
    driver.Write();
    driver.Advance(milliseconds(10));
  }

  // Checks that the task starts on "b" once the next incarnation of "a" refuses
  // its first run, and not because that incarnation lists no runs yet.
  static void ExpectStartAfterStop(SchedulerDriver& driver) {
    driver.Advance(milliseconds(50));
    driver.Write();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, driver.starts.size());
    driver.Advance(milliseconds(300));
    driver.RespondToHold("a", WorkerStatus());
    driver.Advance(milliseconds(300));
    driver.Write();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, driver.starts.size());
    AcceptStop(driver);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, driver.starts.size());
    CPPUNIT_ASSERT(driver.starts.back().run > driver.starts.front().run);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndsTest);

}  // namespace
}  // namespace figflow::test
