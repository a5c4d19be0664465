// What the soak's checkers accept and report.
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Soak/callers.h"
#include "StandIns/Fleet/model_fleet.h"
#include "StandIns/Fleet/promises.h"

namespace figflow::soak {
namespace {

using model::Promises;
using std::chrono::seconds;

constexpr char kJob[] = "00000000000000aa";

MonoTime At(int second) {
  return MonoTime(seconds(second));
}

WorkerReport Worker() {
  WorkerReport report;
  report.key.id = "w1";
  report.pool = "p0";
  return report;
}

class CheckersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CheckersTest);
  CPPUNIT_TEST(FailedStateNeedsFailedRuns);
  CPPUNIT_TEST(GangFailsByItsMembersRuns);
  CPPUNIT_TEST(StartAfterCancelIsReported);
  CPPUNIT_TEST(DisturbedStartAfterCancelIsNot);
  CPPUNIT_TEST(SecondRunIsReported);
  CPPUNIT_TEST(RefusedJobThatStartedIsReported);
  CPPUNIT_TEST(RunningTasksAreListed);
  CPPUNIT_TEST(CalmNeedsTheWindowBefore);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    promises_ = Promises();
    promises_.SetPlan(model::SimplePlan(1));
    promises_.OnSubmitted(model::SimpleJob(kJob, "q0", 1, 2, 1'000));
  }

  // Guards against a job given up while attempts are left (the plan has 3).
  void FailedStateNeedsFailedRuns() {
    Fail(0, 1);
    Fail(0, 2);
    Fail(1, 3);
    promises_.OnShown(kJob, "failed");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, promises_.broken().size());
    Fail(0, 3);
    promises_.OnShown(kJob, "failed");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, promises_.broken().size());
  }

  // Guards against counting each member of a gang by itself.
  void GangFailsByItsMembersRuns() {
    JobSpec gang = model::SimpleJob(kJob, "q0", 1, 2, 1'000);
    gang.stages[0].gang = true;
    promises_.OnSubmitted(gang);
    Fail(0, 1);
    Fail(1, 2);
    Fail(0, 3);
    promises_.OnShown(kJob, "failed");
    CPPUNIT_ASSERT(promises_.broken().empty());
  }

  void StartAfterCancelIsReported() {
    promises_.OnCancelAcknowledged(kJob, At(10));
    promises_.OnStarted(Worker(), Task(0), 1, At(13));
    CPPUNIT_ASSERT(promises_.broken().empty());
    promises_.OnStarted(Worker(), Task(1), 1, At(14));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, promises_.broken().size());
  }

  // Guards against reports about daemons that are not in touch, and against
  // the excuse lasting longer than 3 s after the disturbance.
  void DisturbedStartAfterCancelIsNot() {
    promises_.OnCancelAcknowledged(kJob, At(10));
    promises_.SetDisturbed(At(18));
    promises_.OnStarted(Worker(), Task(0), 1, At(20));
    CPPUNIT_ASSERT(promises_.broken().empty());
    promises_.OnStarted(Worker(), Task(1), 1, At(22));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, promises_.broken().size());
  }

  void SecondRunIsReported() {
    promises_.OnStarted(Worker(), Task(0), 1, At(1));
    promises_.OnStarted(Worker(), Task(0), 2, At(2));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, promises_.broken().size());
  }

  void RefusedJobThatStartedIsReported() {
    promises_.OnRefused(kJob);
    CPPUNIT_ASSERT(promises_.Unfinished().empty());
    promises_.OnStarted(Worker(), Task(0), 1, At(1));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, promises_.Unfinished().size());
  }

  void RunningTasksAreListed() {
    promises_.OnStarted(Worker(), Task(0), 1, At(1));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, promises_.Running().size());
    promises_.OnEnded("w1", Task(0), 1, RunResult::kDone, At(2));
    CPPUNIT_ASSERT(promises_.Running().empty());
  }

  void CalmNeedsTheWindowBefore() {
    Disturbance disturbance;
    CPPUNIT_ASSERT(disturbance.CalmSince(At(1), seconds(3)));
    disturbance.Extend(At(10));
    disturbance.Extend(At(9));
    CPPUNIT_ASSERT(!disturbance.CalmSince(At(12), seconds(3)));
    CPPUNIT_ASSERT(disturbance.CalmSince(At(14), seconds(3)));
  }

 private:
  static TaskName Task(int index) { return {kJob, 0, 0, index}; }
  void Fail(int index, uint32_t run) {
    promises_.OnStarted(Worker(), Task(index), run, At(1));
    promises_.OnEnded("w1", Task(index), run, RunResult::kFailed, At(1));
  }

  Promises promises_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CheckersTest);

}  // namespace
}  // namespace figflow::soak
