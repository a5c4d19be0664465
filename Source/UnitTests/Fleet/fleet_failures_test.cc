// Tests how failures of runs count against workers and against jobs.
#include <string>

#include "Fleet/fleet_test_support.h"
#include "absl/strings/match.h"

namespace figflow::test {
namespace {

class FleetFailuresTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetFailuresTest);
  CPPUNIT_TEST(HopelessJobsExcludeNoSoundWorkers);
  CPPUNIT_TEST(FailingWorkerIsExcludedBesideHopelessJobs);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against sound workers that start nothing for up to 16 s: the
  // failures of a few wide jobs that cannot be done excluded all of a pool.
  void HopelessJobsExcludeNoSoundWorkers() {
    ModelFleet fleet(33);
    StartHopelessJobs(fleet);
    fleet.Run(seconds(12));
    CPPUNIT_ASSERT_EQUAL(60, fleet.promises.completed());
    fleet.Submit(SimpleJob("last", "q0", 1, 4, 2'000), 0);
    fleet.Run(seconds(2));
    CPPUNIT_ASSERT_EQUAL(61, fleet.promises.completed());
    AssertPromisesKept(fleet);
  }

  // Guards against attempts that are wasted on a worker that fails all it
  // starts, because failures no longer count while some jobs are hopeless.
  void FailingWorkerIsExcludedBesideHopelessJobs() {
    ModelFleet fleet(34);
    StartHopelessJobs(fleet);
    const std::string worker = fleet.workers.Ids("p0").front();
    fleet.workers.Find(worker)->grey = true;
    fleet.Run(seconds(20));
    fleet.workers.Find(worker)->grey = false;
    fleet.Run(seconds(30));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(60, fleet.promises.completed());
  }

 private:
  // Submits 60 sound jobs and three that always fail within 3 s.
  static void StartHopelessJobs(ModelFleet& fleet) {
    FleetPlan plan = SimplePlan(1);
    plan.queues[0].max_attempts = 4;
    fleet.SetPlan(plan);
    AddInstances(fleet, 1, 8, 0);
    fleet.AddDaemons(3);
    fleet.Run(seconds(2));
    fleet.workers.behaviour = [](const TaskName& task) {
      model::TaskBehaviour behaviour;
      behaviour.fails = absl::StartsWith(task.job, "hopeless");
      return behaviour;
    };
    SubmitMany(fleet, "a", "q0", 60, milliseconds(50), 1, 6, 1'000);
    SubmitMany(fleet, "hopeless", "q0", 3, milliseconds(1'000), 1, 24, 4'000);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetFailuresTest);

}  // namespace
}  // namespace figflow::test
