// Faults of workers, and kinds of work that involve several workers. The tests
// run the whole engine against the model of the platform.
#include <algorithm>
#include <string>

#include "Fleet/fleet_test_support.h"

namespace figflow::test {
namespace {

class FleetWorkTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetWorkTest);
  CPPUNIT_TEST(UnresponsiveWorkerIsNotReplacedTooEarly);
  CPPUNIT_TEST(WorkerWithLostResponses);
  CPPUNIT_TEST(OrdersExecutedLate);
  CPPUNIT_TEST(UnresponsiveIdleWorkerIsQueriedAgain);
  CPPUNIT_TEST(GreyWorkerFailsNoJob);
  CPPUNIT_TEST(FailingJobFailsAlone);
  CPPUNIT_TEST(CancelledJobStops);
  CPPUNIT_TEST(DrainingWorkerReceivesNoTasks);
  CPPUNIT_TEST(MovedWorkerReceivesNoTasks);
  CPPUNIT_TEST(PeakBorrowsInstances);
  CPPUNIT_TEST(PeakIsDetectedQuickly);
  CPPUNIT_TEST(WaveRespectsItsLimits);
  CPPUNIT_TEST(WaveSurvivesLossOfItsController);
  CPPUNIT_TEST(GangRunsTogether);
  CPPUNIT_TEST(GangLosesAWorker);
  CPPUNIT_TEST(PolicyTicketsArePassedToWorkers);
  CPPUNIT_TEST(FillersArePacedBeforeHarm);
  CPPUNIT_TEST(SpeculativeTaskDoesNotWaitForALease);
  CPPUNIT_TEST(CopiesCountTowardsTheLimitOfAWorker);
  CPPUNIT_TEST(ScheduledJobRunsInTime);
  CPPUNIT_TEST(StateShowsOwnersQueuesAndWaves);
  CPPUNIT_TEST(ChangedBoundsApplyToOwnedPools);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A worker that no daemon reaches continues to run until its lease ends, on a
  // clock that is 2% slow.
  void UnresponsiveWorkerIsNotReplacedTooEarly() {
    ModelFleet fleet(14);
    StartFleet(fleet, 1, 3, 0);
    fleet.workers.behaviour = [](const TaskName&) {
      return model::TaskBehaviour{seconds(5), false};
    };
    for (const std::string& id : fleet.workers.Ids("p0")) {
      fleet.workers.Find(id)->clock_rate = 0.98;
    }
    SubmitMany(fleet, "a", "q0", 10, milliseconds(100), 1, 4);
    fleet.Run(seconds(2));
    for (const std::string& id : fleet.workers.Ids("p0")) {
      if (!fleet.workers.Find(id)->running.empty()) {
        fleet.workers.Find(id)->cut = true;
        fleet.time.After(seconds(9),
                         [&fleet, id] { fleet.workers.Find(id)->cut = false; });
        break;
      }
    }
    fleet.Run(seconds(60));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(10, fleet.promises.completed());
  }

  void WorkerWithLostResponses() {
    ModelFleet fleet(15);
    StartFleet(fleet, 1, 3, 0);
    SubmitMany(fleet, "a", "q0", 60, milliseconds(100));
    const std::string id = fleet.workers.Ids("p0").front();
    fleet.time.After(seconds(1), [&fleet, id] {
      fleet.workers.Find(id)->answers_lost = true;
    });
    fleet.time.After(seconds(9), [&fleet, id] {
      fleet.workers.Find(id)->answers_lost = false;
    });
    fleet.Run(seconds(50));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(60, fleet.promises.completed());
  }

  void OrdersExecutedLate() {
    ModelFleet fleet(16);
    StartFleet(fleet, 1, 4, 0);
    fleet.workers.faults.late_share = 0.1;
    fleet.workers.faults.answer_lost_share = 0.05;
    SubmitMany(fleet, "a", "q0", 80, milliseconds(100));
    fleet.time.After(seconds(4), [&fleet] {
      fleet.Kill(std::max(0, fleet.OwnerOf("p0")), seconds(1));
    });
    fleet.time.After(seconds(10), [&fleet] {
      fleet.workers.faults.late_share = 0;
      fleet.workers.faults.answer_lost_share = 0;
    });
    fleet.Run(seconds(60));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(80, fleet.promises.completed());
  }

  // An idle worker that once did not respond was never queried again and
  // received no more tasks.
  void UnresponsiveIdleWorkerIsQueriedAgain() {
    ModelFleet fleet(17);
    StartFleet(fleet, 1, 1, 0);
    const std::string id = fleet.workers.Ids("p0").front();
    fleet.workers.Find(id)->cut = true;
    fleet.Submit(SimpleJob("a", "q0", 1, 2, 1'000), 0);
    fleet.Run(seconds(8));
    fleet.workers.Find(id)->cut = false;
    fleet.Run(seconds(6));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(1, fleet.promises.completed());
  }

  void GreyWorkerFailsNoJob() {
    ModelFleet fleet(18);
    StartFleet(fleet, 1, 4, 0);
    const std::string id = fleet.workers.Ids("p0").front();
    fleet.workers.Find(id)->grey = true;
    SubmitMany(fleet, "a", "q0", 60, milliseconds(100));
    fleet.Run(seconds(30));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(60, fleet.promises.completed());
  }

  void FailingJobFailsAlone() {
    ModelFleet fleet(19);
    StartFleet(fleet, 1, 4, 0);
    fleet.workers.behaviour = [](const TaskName& task) {
      return model::TaskBehaviour{milliseconds(300), task.job == "bad"};
    };
    fleet.Submit(SimpleJob("bad", "q0", 1, 1, 1'000), 0);
    SubmitMany(fleet, "a", "q0", 10, milliseconds(100));
    fleet.Run(seconds(30));
    AssertPromisesKept(fleet);
    // All jobs but the failing one have completed.
    CPPUNIT_ASSERT_EQUAL(10, fleet.promises.completed());
  }

  void CancelledJobStops() {
    ModelFleet fleet(20);
    StartFleet(fleet, 1, 4, 0);
    fleet.workers.behaviour = [](const TaskName&) {
      return model::TaskBehaviour{seconds(20), false};
    };
    SubmitMany(fleet, "a", "q0", 10, milliseconds(50), 1, 4);
    fleet.Run(seconds(2));
    for (int i = 0; i < 10; ++i) {
      fleet.Cancel("q0", absl::StrCat("a", i), i % 3);
    }
    fleet.Run(seconds(4));
    for (const std::string& id : fleet.workers.Ids("p0")) {
      CPPUNIT_ASSERT(fleet.workers.Find(id)->running.empty());
    }
    AssertPromisesKept(fleet);
  }

  void DrainingWorkerReceivesNoTasks() {
    ModelFleet fleet(21);
    StartFleet(fleet, 1, 2, 0);
    const std::string id = fleet.workers.Ids("p0").front();
    SubmitMany(fleet, "a", "q0", 40, milliseconds(100));
    fleet.Run(seconds(1));
    fleet.workers.Drain(id);
    // Longer than a task takes.
    fleet.Run(seconds(2));
    CPPUNIT_ASSERT(fleet.workers.Find(id)->running.empty());
    fleet.Run(seconds(20));
    AssertPromisesKept(fleet);
  }

  // The registry lists the old worker of a moved instance for 4.5 s more. It
  // looked idle and received tasks, which then waited for its lease to end.
  void MovedWorkerReceivesNoTasks() {
    ModelFleet fleet(22);
    StartFleet(fleet, 2, 3, 6);
    // p0 has a peak that exceeds the capacity of its three workers.
    SubmitMany(fleet, "a", "q0", 120, milliseconds(25), 2, 6, 2'000);
    // p1 receives a job every 500 ms; none of them may wait for a lease.
    SubmitMany(fleet, "b", "q1", 20, milliseconds(500), 1, 4);
    fleet.Run(seconds(12));
    fleet.Run(seconds(40));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(140, fleet.promises.completed());
  }

  void PeakBorrowsInstances() {
    ModelFleet fleet(23);
    StartFleet(fleet, 2, 4, 6);
    SubmitMany(fleet, "a", "q0", 160, milliseconds(20), 2, 6, 2'000);
    fleet.Run(seconds(4));
    CPPUNIT_ASSERT(fleet.instances.CountIn("p0") >= 8);
    fleet.Run(seconds(40));
    AssertPromisesKept(fleet);
    // The instances are returned after the peak.
    CPPUNIT_ASSERT(fleet.instances.CountIn("p0") <= 6);
  }

  // The demand of a queue exceeds the capacity of its pool from one moment to
  // the next. Instances were ordered up to 0.4 s later, while the backlog grew.
  void PeakIsDetectedQuickly() {
    for (int phase = 0; phase < 8; ++phase) {
      ModelFleet fleet(60 + phase);
      StartFleet(fleet, 2, 4, 6);
      fleet.Run(milliseconds(20 * phase));
      for (int i = 0; i < 30; ++i) {
        fleet.Submit(SimpleJob(absl::StrCat("a", i), "q0", 1, 6, 2'000),
                     i % fleet.daemons());
      }
      const int before = fleet.instances.CountIn("spare");
      // This covers a write, a report and the order; a move takes ten times as
      // long.
      fleet.Run(milliseconds(150));
      CPPUNIT_ASSERT_MESSAGE(absl::StrCat("phase ", phase),
                             fleet.instances.CountIn("spare") < before);
    }
  }

  void WaveRespectsItsLimits() {
    ModelFleet fleet(24);
    StartFleet(fleet, 2, 5, 2);
    StartPerpetual(fleet, "keep", "q0", 4);
    SubmitMany(fleet, "a", "q0", 100, milliseconds(100));
    fleet.Run(seconds(3));
    const MaintenanceWave wave = StartWave(fleet, 12, 3);
    fleet.Run(seconds(25));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(12, fleet.instances.Maintained(wave.number));
    const StoreItem* status =
        fleet.store.Find(model::ModelWaveStatusKey(wave.number));
    CPPUNIT_ASSERT(status != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string("completed"), status->value);
  }

  // The successor must learn which instances may be down.
  void WaveSurvivesLossOfItsController() {
    ModelFleet fleet(25);
    StartFleet(fleet, 2, 5, 2);
    SubmitMany(fleet, "a", "q0", 100, milliseconds(100));
    fleet.Run(seconds(3));
    const MaintenanceWave wave = StartWave(fleet, 12, 2);
    for (int i = 0; i < 4; ++i) {
      fleet.time.After(milliseconds(1'000 + 5'000 * i), [&fleet] {
        const int controller = fleet.OwnerOf("@instances");
        if (controller >= 0) {
          fleet.Kill(controller, seconds(1));
        }
      });
    }
    fleet.Run(seconds(60));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(12, fleet.instances.Maintained(wave.number));
  }

  void GangRunsTogether() {
    ModelFleet fleet(27);
    StartFleet(fleet, 1, 4, 0);
    for (int i = 0; i < 10; ++i) {
      JobSpec spec = SimpleJob(absl::StrCat("g", i), "q0", 1, 6, 4'000);
      spec.stages[0].gang = true;
      fleet.time.After(milliseconds(100 * i),
                       [&fleet, spec] { fleet.Submit(spec, 0); });
    }
    SubmitMany(fleet, "a", "q0", 20, milliseconds(100), 1, 4);
    fleet.Run(seconds(25));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(30, fleet.promises.completed());
  }

  void GangLosesAWorker() {
    ModelFleet fleet(28);
    StartFleet(fleet, 1, 4, 0);
    fleet.workers.behaviour = [](const TaskName&) {
      return model::TaskBehaviour{seconds(2), false};
    };
    JobSpec spec = SimpleJob("g", "q0", 1, 8, 4'000);
    spec.stages[0].gang = true;
    fleet.Submit(spec, 0);
    fleet.Run(seconds(1));
    for (const std::string& id : fleet.workers.Ids("p0")) {
      if (!fleet.workers.Find(id)->running.empty()) {
        fleet.workers.Crash(id);
        break;
      }
    }
    fleet.Run(seconds(25));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(1, fleet.promises.completed());
  }

  void PolicyTicketsArePassedToWorkers() {
    ModelFleet fleet(29);
    FleetPlan plan = SimplePlan(1);
    plan.queues[0].policy = PlacementPolicy();
    fleet.SetPlan(plan);
    // Idle instances leave the pool; some of each half stay.
    AddInstances(fleet, 1, 8, 0);
    fleet.AddDaemons(3);
    fleet.Run(seconds(2));
    // Half of the workers are allowed.
    fleet.workers.allows = [](const TaskName&, const std::string& worker) {
      return (worker.back() - '0') % 2 == 1;
    };
    SubmitMany(fleet, "a", "q0", 20, milliseconds(200), 2, 4);
    fleet.Run(seconds(20));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(20, fleet.promises.completed());
  }

  // Fillers must not keep a serving task above its target for 4 s.
  void FillersArePacedBeforeHarm() {
    ModelFleet fleet(30);
    StartFleet(fleet, 1, 1, 0);
    JobSpec serving = SimpleJob("s", "q0", 1, 1, 4'000);
    serving.stages[0].perpetual = true;
    serving.stages[0].latency_target = milliseconds(100);
    JobSpec fillers = SimpleJob("f", "q0", 1, 4, 4'000);
    fillers.stages[0].perpetual = true;
    fillers.stages[0].filler = true;
    // Each filler at full pace adds 40 ms to a tail latency of 30 ms.
    fleet.workers.load = [](const model::ModelWorker& worker,
                            const model::ModelWorker::Run& run) -> int64_t {
      if (run.name.job != "s") {
        return 0;
      }
      int64_t tail = 30;
      for (const auto& [task, other] : worker.running) {
        tail += other.filler ? 40 * other.pace / 100 : 0;
      }
      return tail;
    };
    fleet.Submit(serving, 0);
    fleet.Submit(fillers, 1);
    fleet.Run(seconds(5));
    milliseconds over_target{0};
    milliseconds longest_over_target{0};
    for (int i = 0; i < 100; ++i) {
      fleet.Run(milliseconds(100));
      const model::ModelWorker& worker = *fleet.workers.Find("w1");
      int64_t tail = 0;
      int pace = 0;
      for (const auto& [task, run] : worker.running) {
        tail = std::max(tail, fleet.workers.load(worker, run));
        pace += run.filler ? run.pace : 0;
      }
      over_target =
          tail > 100 ? over_target + milliseconds(100) : milliseconds(0);
      longest_over_target = std::max(longest_over_target, over_target);
    }
    CPPUNIT_ASSERT(longest_over_target < seconds(2));
    AssertPromisesKept(fleet);
  }

  // A second copy may run while the first one is unreachable.
  void SpeculativeTaskDoesNotWaitForALease() {
    ModelFleet fleet(31);
    StartFleet(fleet, 1, 8, 0);
    fleet.workers.behaviour = [](const TaskName&) {
      return model::TaskBehaviour{seconds(2), false};
    };
    JobSpec spec = SimpleJob("s", "q0", 1, 4, 4'000);
    spec.stages[0].speculative = true;
    fleet.Submit(spec, 0);
    fleet.Run(milliseconds(300));
    for (const std::string& id : fleet.workers.Ids("p0")) {
      model::ModelWorker* worker = fleet.workers.Find(id);
      worker->cut = !worker->running.empty();
    }
    // Detection takes 1 s and the work 2 s; waiting for a lease of 4 s would
    // take longer.
    fleet.Run(milliseconds(3'900));
    CPPUNIT_ASSERT_EQUAL(1, fleet.promises.completed());
    AssertPromisesKept(fleet);
  }

  // A copy that an unresponsive worker may still run counts towards the limit
  // of its stage there. Otherwise the worker received two more tasks when it
  // responded again.
  void CopiesCountTowardsTheLimitOfAWorker() {
    ModelFleet fleet(33);
    StartFleet(fleet, 1, 3, 0);
    fleet.workers.behaviour = [](const TaskName&) {
      return model::TaskBehaviour{seconds(2), false};
    };
    JobSpec spec = SimpleJob("s", "q0", 1, 6, 2'000);
    spec.stages[0].speculative = true;
    spec.stages[0].max_per_worker = 2;
    fleet.Submit(spec, 0);
    fleet.Run(milliseconds(300));
    const std::string unresponsive = fleet.workers.Ids("p0").front();
    CPPUNIT_ASSERT_EQUAL(size_t{2},
                         fleet.workers.Find(unresponsive)->running.size());
    fleet.workers.Find(unresponsive)->answers_lost = true;
    fleet.Run(milliseconds(1'150));
    fleet.workers.Find(unresponsive)->answers_lost = false;
    fleet.Run(seconds(8));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(1, fleet.promises.completed());
  }

  void ScheduledJobRunsInTime() {
    ModelFleet fleet(32);
    StartFleet(fleet, 1, 4, 0);
    JobSpec spec = SimpleJob("t", "q0", 1, 2, 1'000);
    spec.occurrences = 5;
    spec.first_due = fleet.time.WallNow() + seconds(1);
    spec.interval = seconds(2);
    fleet.Submit(spec, 0);
    fleet.Run(milliseconds(900));
    CPPUNIT_ASSERT(fleet.workers.Find("w1")->running.empty());
    fleet.time.After(seconds(3),
                     [&fleet] { fleet.Kill(fleet.OwnerOf("p0"), seconds(1)); });
    fleet.Run(seconds(25));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(1, fleet.promises.completed());
  }

  // Guards against a state dump that does not show why work or a wave waits.
  void StateShowsOwnersQueuesAndWaves() {
    ModelFleet fleet(33);
    StartFleet(fleet, 2, 2, 0);
    SubmitMany(fleet, "a", "q0", 200, milliseconds(10), 1, 4, 8'000);
    StartWave(fleet, 4, 1);
    fleet.Run(seconds(2));
    const nlohmann::json owner = fleet.Engine(fleet.OwnerOf("p0")).DumpState();
    const nlohmann::json controller =
        fleet.Engine(fleet.OwnerOf("@instances")).DumpState();
    // Two pools and the instances.
    CPPUNIT_ASSERT_EQUAL(size_t{3}, owner["owners"].size());
    CPPUNIT_ASSERT_EQUAL(std::string("q0"),
                         owner["queues"][0]["queue"].get<std::string>());
    CPPUNIT_ASSERT(owner["queues"][0]["waiting_tasks"].get<int>() > 100);
    const nlohmann::json& wave = controller["waves"][0];
    CPPUNIT_ASSERT_EQUAL(
        4, wave["waiting"].get<int>() + wave["ordered"].get<int>() +
               wave["down"].get<int>() + wave["over"].get<int>());
    CPPUNIT_ASSERT(wave["held_by"].get<std::string>() != "nothing");
  }

  // Guards against settings that apply only to pools claimed later. Under the
  // earlier bounds, the tasks of an unresponsive worker wait for 4 s after the
  // last renewal and then run for 1 s.
  void ChangedBoundsApplyToOwnedPools() {
    ModelFleet fleet(34);
    StartFleet(fleet, 1, 6, 0);
    // The first owner waits until then for leases of earlier owners.
    fleet.Run(seconds(7));
    ExecutionBounds bounds;
    bounds.max_lease = seconds(1);
    for (int daemon = 0; daemon < fleet.daemons(); ++daemon) {
      fleet.Engine(daemon).SetBounds(bounds);
    }
    fleet.workers.behaviour = [](const TaskName&) {
      return model::TaskBehaviour{seconds(1), false};
    };
    fleet.Submit(SimpleJob("a", "q0", 1, 2, 4'000), 0);
    fleet.Run(milliseconds(300));
    for (const std::string& id : fleet.workers.Ids("p0")) {
      model::ModelWorker& worker = *fleet.workers.Find(id);
      worker.cut = !worker.running.empty();
    }
    fleet.Run(milliseconds(4'500));
    CPPUNIT_ASSERT_EQUAL(1, fleet.promises.completed());
    AssertPromisesKept(fleet);
  }

 private:
  static void StartPerpetual(ModelFleet& fleet,
                             const std::string& id,
                             const std::string& queue,
                             int tasks) {
    JobSpec spec = SimpleJob(id, queue, 1, tasks, 2'000);
    spec.stages[0].perpetual = true;
    spec.stages[0].max_unavailable = 1;
    fleet.Submit(spec, 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetWorkTest);

}  // namespace
}  // namespace figflow::test
