// Faults of daemons and of the store. Each test runs the whole engine against
// the model of the platform, with one fault.
#include <algorithm>
#include <string>

#include "Fleet/fleet_test_support.h"
#include "Ownership/owner_record.h"

namespace figflow::test {
namespace {

class FleetFaultTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetFaultTest);
  CPPUNIT_TEST(JobsCompleteWithoutFaults);
  CPPUNIT_TEST(SameJobTwiceRunsOnce);
  CPPUNIT_TEST(KilledOwnerLosesNothing);
  CPPUNIT_TEST(SuspendedOwnerSendsNoOrdersAfterTakeOver);
  CPPUNIT_TEST(AllDaemonsKilledAtOnce);
  CPPUNIT_TEST(RollingRestartRefusesNoJob);
  CPPUNIT_TEST(HandOversInARowDoNotProlongALease);
  CPPUNIT_TEST(HandedOverLeasesDoNotOutliveTheNextOwner);
  CPPUNIT_TEST(LostStoreResponses);
  CPPUNIT_TEST(WritesExecutedLate);
  CPPUNIT_TEST(CutOffOwnerLeavesNoOutcomeUnknown);
  CPPUNIT_TEST(AllDaemonsDetectTheEndOfAStoreOutage);
  CPPUNIT_TEST(UnresponsiveStoreRefusesAtOnce);
  CPPUNIT_TEST(LostWatchIsDetected);
  CPPUNIT_TEST(LostHistoryIsReadAgain);
  CPPUNIT_TEST(StoreRejectsTheOwner);
  CPPUNIT_TEST(OwnerWithoutStoreResponsesIsReplaced);
  CPPUNIT_TEST(RevokedKeyIsDetected);
  CPPUNIT_TEST(OwnersNeverReadAreStale);
  CPPUNIT_TEST(OverloadedOwnerHandsOver);
  CPPUNIT_TEST(OverloadOfAllDaemonsLosesNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void JobsCompleteWithoutFaults() {
    ModelFleet fleet(1);
    StartFleet(fleet, 2, 4, 0);
    SubmitMany(fleet, "a", "q0", 40, milliseconds(50));
    SubmitMany(fleet, "b", "q1", 40, milliseconds(50));
    fleet.Run(seconds(15));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(80, fleet.promises.completed());
  }

  void SameJobTwiceRunsOnce() {
    ModelFleet fleet(2);
    StartFleet(fleet, 1, 4, 0);
    const JobSpec job = SimpleJob("a", "q0", 1, 4, 1'000);
    for (int i = 0; i < 3; ++i) {
      fleet.time.After(milliseconds(5 * i),
                       [&fleet, job, i] { fleet.Submit(job, i); });
    }
    // Submits the job again after it has ended.
    fleet.time.After(seconds(5), [&fleet, job] { fleet.Submit(job, 1); });
    fleet.Run(seconds(10));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(1, fleet.promises.completed());
  }

  void KilledOwnerLosesNothing() {
    ModelFleet fleet(3);
    StartFleet(fleet, 1, 4, 0);
    SubmitMany(fleet, "a", "q0", 60, milliseconds(100));
    fleet.time.After(seconds(2),
                     [&fleet] { fleet.Kill(fleet.OwnerOf("p0"), seconds(4)); });
    fleet.Run(seconds(30));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(60, fleet.promises.completed());
  }

  // A suspended owner resumes with orders that it decided before. By then
  // another daemon owns the pool.
  void SuspendedOwnerSendsNoOrdersAfterTakeOver() {
    ModelFleet fleet(4);
    StartFleet(fleet, 1, 4, 0);
    SubmitMany(fleet, "a", "q0", 80, milliseconds(100));
    for (int i = 1; i <= 3; ++i) {
      fleet.time.After(seconds(2 * i), [&fleet] {
        const int owner = fleet.OwnerOf("p0");
        if (owner >= 0) {
          fleet.Suspend(owner, seconds(4));
        }
      });
    }
    fleet.Run(seconds(40));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(80, fleet.promises.completed());
  }

  void AllDaemonsKilledAtOnce() {
    ModelFleet fleet(5);
    StartFleet(fleet, 2, 4, 0);
    SubmitMany(fleet, "a", "q0", 60, milliseconds(60));
    SubmitMany(fleet, "b", "q1", 60, milliseconds(60));
    fleet.time.After(seconds(2), [&fleet] {
      for (int i = 0; i < fleet.daemons(); ++i) {
        fleet.Kill(i, seconds(1));
      }
    });
    fleet.Run(seconds(40));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(120, fleet.promises.completed());
  }

  void RollingRestartRefusesNoJob() {
    ModelFleet fleet(6);
    StartFleet(fleet, 1, 4, 0);
    SubmitMany(fleet, "a", "q0", 150, milliseconds(100));
    for (int i = 0; i < 3; ++i) {
      fleet.time.After(seconds(2 + 4 * i), [&fleet, i] { fleet.Restart(i); });
    }
    fleet.Run(seconds(40));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(150, fleet.promises.completed());
    CPPUNIT_ASSERT_EQUAL(0,
                         fleet.first_answers[503] + fleet.first_answers[504]);
  }

  // Guards against a perpetual task of a lost worker that stays out of service
  // for as long as daemons are restarted: each new owner waited for the longest
  // lease that an earlier one could have granted.
  void HandOversInARowDoNotProlongALease() {
    ModelFleet fleet(64);
    StartFleet(fleet, 1, 4, 0);
    JobSpec spec = SimpleJob("keep", "q0", 1, 2, 2'000);
    spec.stages[0].perpetual = true;
    spec.stages[0].max_per_worker = 1;
    fleet.Submit(spec, 0);
    fleet.Run(seconds(8));
    const auto tasks_at_work = [&fleet] {
      int tasks = 0;
      for (const std::string& id : fleet.workers.Ids("p0")) {
        const model::ModelWorker& worker = *fleet.workers.Find(id);
        tasks += worker.cut ? 0 : static_cast<int>(worker.running.size());
      }
      return tasks;
    };
    CPPUNIT_ASSERT_EQUAL(2, tasks_at_work());
    for (const std::string& id : fleet.workers.Ids("p0")) {
      model::ModelWorker& worker = *fleet.workers.Find(id);
      if (!worker.running.empty()) {
        worker.cut = true;
        break;
      }
    }
    const MonoTime cut_at = fleet.time.Now();
    for (int i = 1; i <= 4; ++i) {
      fleet.time.After(milliseconds(1'500 * i), [&fleet] {
        fleet.Restart(std::max(0, fleet.OwnerOf("p0")));
      });
    }
    while (tasks_at_work() < 2 && fleet.time.Now() < cut_at + seconds(30)) {
      fleet.Run(milliseconds(50));
    }
    // A task may be out of service for 6 s after its run, and for 3 s more.
    CPPUNIT_ASSERT_MESSAGE(
        absl::StrCat(WholeMilliseconds(fleet.time.Now() - cut_at).count(),
                     " ms"),
        fleet.time.Now() - cut_at <= seconds(9));
    AssertPromisesKept(fleet);
  }

  // Guards against a run that is started elsewhere while it still exists: the
  // leases that one owner handed over were granted anew by the next one, which
  // then crashed.
  void HandedOverLeasesDoNotOutliveTheNextOwner() {
    ModelFleet fleet(65);
    fleet.workers.SetClockRate(0.98);
    StartFleet(fleet, 1, 4, 0);
    fleet.workers.behaviour = [](const TaskName&) {
      return model::TaskBehaviour{seconds(15), false};
    };
    fleet.Submit(SimpleJob("a", "q0", 1, 1, 2'000), 0);
    fleet.Run(seconds(8));
    model::ModelWorker* worker = nullptr;
    for (const std::string& id : fleet.workers.Ids("p0")) {
      if (!fleet.workers.Find(id)->running.empty()) {
        worker = fleet.workers.Find(id);
      }
    }
    CPPUNIT_ASSERT(worker != nullptr);
    worker->cut = true;
    fleet.Run(milliseconds(2'200));
    fleet.Restart(fleet.OwnerOf("p0"));
    fleet.Run(milliseconds(300));
    const std::string record = LeaseRecordKey("p0");
    CPPUNIT_ASSERT(fleet.OwnerOf("p0") >= 0);
    worker->cut = false;
    fleet.Run(seconds(2));
    CPPUNIT_ASSERT(!worker->running.empty());
    CPPUNIT_ASSERT(fleet.store.Find(record) == nullptr);
    worker->cut = true;
    fleet.Kill(fleet.OwnerOf("p0"), seconds(1));
    fleet.Run(seconds(40));
    AssertPromisesKept(fleet);
  }

  void LostStoreResponses() {
    ModelFleet fleet(7);
    StartFleet(fleet, 1, 4, 0);
    fleet.store.faults.lost_share = 0.35;
    SubmitMany(fleet, "a", "q0", 60, milliseconds(100));
    fleet.Run(seconds(40));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(60, fleet.promises.completed());
  }

  // A write that the store executes seconds later must not restore an older
  // record.
  void WritesExecutedLate() {
    ModelFleet fleet(8);
    StartFleet(fleet, 1, 4, 0);
    fleet.store.faults.lost_share = 0.35;
    fleet.store.faults.lost_late = true;
    SubmitMany(fleet, "a", "q0", 60, milliseconds(100));
    fleet.time.After(seconds(4), [&fleet] {
      fleet.Kill(std::max(0, fleet.OwnerOf("p0")), seconds(1));
    });
    fleet.time.After(seconds(8),
                     [&fleet] { fleet.store.faults.lost_share = 0; });
    fleet.Run(seconds(50));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(60, fleet.promises.completed());
  }

  // Guards against daemons that keep waiting for watches that the store has
  // dropped and therefore do not learn of the new owners.
  void AllDaemonsDetectTheEndOfAStoreOutage() {
    ModelFleet fleet(35);
    StartFleet(fleet, 1, 4, 0);
    fleet.store.faults.silent = true;
    fleet.store.faults.lapse = true;
    fleet.Run(milliseconds(5'300));
    fleet.store.faults.silent = false;
    fleet.Run(milliseconds(700));
    fleet.first_answers.clear();
    for (int i = 0; i < fleet.daemons(); ++i) {
      fleet.Submit(SimpleJob(absl::StrCat("a", i), "q0", 1, 2, 1'000), i);
    }
    fleet.Run(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(fleet.daemons(), fleet.first_answers[200]);
    fleet.Run(seconds(10));
    AssertPromisesKept(fleet);
  }

  // Guards against sending jobs to an owner that cannot respond: their callers
  // would wait and could not submit them again.
  void CutOffOwnerLeavesNoOutcomeUnknown() {
    ModelFleet fleet(34);
    StartFleet(fleet, 1, 4, 0);
    const int owner = fleet.OwnerOf("p0");
    fleet.Node(owner)->peers_cut = true;
    const auto submit = [&](const std::string& prefix, int i) {
      const int other = (owner + 1 + i % 2) % fleet.daemons();
      fleet.Submit(SimpleJob(absl::StrCat(prefix, i), "q0", 1, 2, 1'000),
                   other);
    };
    // The first calls detect the failure.
    submit("a", 0);
    submit("a", 1);
    fleet.Run(milliseconds(600));
    fleet.first_answers.clear();
    fleet.longest_answer.clear();
    for (int i = 0; i < 20; ++i) {
      submit("b", i);
      fleet.Run(milliseconds(50));
    }
    fleet.Run(milliseconds(600));
    CPPUNIT_ASSERT_EQUAL(20, fleet.first_answers[503]);
    CPPUNIT_ASSERT_MESSAGE(
        absl::StrCat(
            std::chrono::duration_cast<milliseconds>(fleet.longest_answer[503])
                .count(),
            " ms"),
        fleet.longest_answer[503] <= milliseconds(600));
    fleet.Node(owner)->peers_cut = false;
    fleet.Run(seconds(30));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(22, fleet.promises.completed());
  }

  // Guards against holding callers until their deadline during an outage of the
  // store, with a response that forbids a retry.
  void UnresponsiveStoreRefusesAtOnce() {
    ModelFleet fleet(9);
    StartFleet(fleet, 1, 4, 0);
    fleet.store.faults.silent = true;
    fleet.Run(seconds(1));
    fleet.first_answers.clear();
    fleet.longest_answer.clear();
    SubmitMany(fleet, "a", "q0", 20, milliseconds(100));
    fleet.Run(seconds(3));
    CPPUNIT_ASSERT(fleet.first_answers[503] >= 15);
    // The lease has expired by then, so no call waits for an owner any more.
    CPPUNIT_ASSERT(fleet.longest_answer[503] <= milliseconds(1'200));
    fleet.longest_answer.clear();
    SubmitMany(fleet, "b", "q0", 20, milliseconds(50));
    fleet.Run(seconds(2));
    CPPUNIT_ASSERT(fleet.longest_answer[503] <= milliseconds(100));
    fleet.store.faults.silent = false;
    fleet.Run(seconds(30));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(40, fleet.promises.completed());
  }

  // An owner did not see new workers for 14 s, because the store lost its watch
  // during an outage while the connection stayed open.
  void LostWatchIsDetected() {
    ModelFleet fleet(10);
    // Without a spare pool, idle instances are not moved away.
    FleetPlan plan = SimplePlan(1);
    plan.pools.pop_back();
    fleet.SetPlan(plan);
    AddInstances(fleet, 1, 1, 0);
    fleet.AddDaemons(3);
    fleet.Run(seconds(2));
    fleet.store.SwallowWatches();
    fleet.Run(milliseconds(10));
    for (int i = 0; i < 4; ++i) {
      fleet.instances.Add("p0", kWorkerSize);
    }
    fleet.Run(milliseconds(3'500));
    // The 20 tasks of 4 cores need all five workers, which run 4 each.
    fleet.Submit(SimpleJob("a", "q0", 1, 20, 4'000), 0);
    fleet.Run(milliseconds(400));
    size_t running = 0;
    for (const std::string& id : fleet.workers.Ids("p0")) {
      running += fleet.workers.Find(id)->running.size();
    }
    CPPUNIT_ASSERT_EQUAL(size_t{20}, running);
    fleet.Run(seconds(5));
    AssertPromisesKept(fleet);
  }

  void LostHistoryIsReadAgain() {
    ModelFleet fleet(11);
    StartFleet(fleet, 1, 2, 0);
    const std::vector<std::string> before = fleet.workers.Ids("p0");
    // The change and the loss of the history coincide.
    fleet.store.SwallowWatches();
    fleet.workers.Drain(before.front());
    fleet.instances.Add("p0", kWorkerSize);
    fleet.store.ForgetHistory();
    fleet.Run(seconds(4));
    SubmitMany(fleet, "a", "q0", 10, milliseconds(50));
    fleet.Run(milliseconds(300));
    CPPUNIT_ASSERT(fleet.workers.Find(before.front())->running.empty());
    fleet.Run(seconds(10));
    AssertPromisesKept(fleet);
  }

  void StoreRejectsTheOwner() {
    ModelFleet fleet(12);
    StartFleet(fleet, 1, 4, 0);
    SubmitMany(fleet, "a", "q0", 80, milliseconds(100));
    fleet.time.After(seconds(2), [&fleet] {
      const int owner = fleet.OwnerOf("p0");
      const model::NodePtr node = fleet.Node(owner);
      node->store_busy = true;
      fleet.time.After(seconds(7), [node] { node->store_busy = false; });
    });
    fleet.Run(seconds(30));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(80, fleet.promises.completed());
  }

  // Renewals that reached the store kept the lease of an owner that received no
  // responses, so that no daemon could take over for as long as the network
  // partition lasted.
  void OwnerWithoutStoreResponsesIsReplaced() {
    ModelFleet fleet(26);
    StartFleet(fleet, 1, 4, 0);
    const int owner = fleet.OwnerOf("p0");
    fleet.Node(owner)->store_answers_lost = true;
    fleet.Run(milliseconds(2'600));
    CPPUNIT_ASSERT(fleet.OwnerOf("p0") != owner);
    SubmitMany(fleet, "a", "q0", 20, milliseconds(50));
    fleet.Run(seconds(3));
    CPPUNIT_ASSERT(fleet.first_answers[200] >= 18);
    fleet.Node(owner)->store_answers_lost = false;
    fleet.Run(seconds(20));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(20, fleet.promises.completed());
  }

  void RevokedKeyIsDetected() {
    ModelFleet fleet(13);
    StartFleet(fleet, 1, 4, 0);
    SubmitMany(fleet, "a", "q0", 60, milliseconds(100));
    fleet.time.After(seconds(2), [&fleet] {
      // The owner is cut off from the store, so it does not see the removal of
      // its key.
      const model::NodePtr node = fleet.Node(fleet.OwnerOf("p0"));
      node->store_cut = true;
      fleet.store.Revoke("figflow/owner/p0");
      fleet.time.After(seconds(5), [node] { node->store_cut = false; });
    });
    fleet.Run(seconds(30));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(60, fleet.promises.completed());
  }

  // A daemon that had never read the owners' keys took its view of them as
  // recent, due to an overflow, and waited for an owner instead of relaying to
  // a peer.
  void OwnersNeverReadAreStale() {
    ModelFleet fleet(63);
    fleet.store.faults.silent = true;
    fleet.SetPlan(SimplePlan(1));
    fleet.AddDaemons(2);
    fleet.Run(seconds(1));
    CPPUNIT_ASSERT(fleet.Engine(0).OwnersStaleness(fleet.time.Now()) >
                   std::chrono::hours(24));
    fleet.store.faults.silent = false;
    fleet.Run(seconds(3));
    // The staleness counts from the start of a watch, which waits for some
    // seconds.
    CPPUNIT_ASSERT(fleet.Engine(0).OwnersStaleness(fleet.time.Now()) <
                   seconds(7));
  }

  // A daemon that got a fraction of its processor kept its pools for 7 s, with
  // tasks waiting beside idle workers.
  void OverloadedOwnerHandsOver() {
    ModelFleet fleet(61);
    StartFleet(fleet, 2, 4, 0);
    fleet.Run(seconds(8));
    SubmitMany(fleet, "a", "q0", 60, milliseconds(100));
    fleet.Run(seconds(3));
    const int slow = fleet.OwnerOf("p0");
    fleet.Engine(slow).SetLagProbe([] { return milliseconds(80); });
    fleet.Run(seconds(2));
    CPPUNIT_ASSERT(fleet.OwnerOf("p0") >= 0);
    CPPUNIT_ASSERT(fleet.OwnerOf("p0") != slow);
    CPPUNIT_ASSERT(fleet.OwnerOf("@instances") != slow);
    fleet.Run(seconds(20));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(60, fleet.promises.completed());
  }

  // Pools must neither stay without an owner nor change owners all the time.
  void OverloadOfAllDaemonsLosesNothing() {
    ModelFleet fleet(62);
    StartFleet(fleet, 2, 4, 0);
    SubmitMany(fleet, "a", "q0", 60, milliseconds(200));
    for (int daemon = 0; daemon < fleet.daemons(); ++daemon) {
      fleet.Engine(daemon).SetLagProbe([] { return milliseconds(80); });
    }
    int changes = 0;
    int owner = fleet.OwnerOf("p0");
    for (int i = 0; i < 300; ++i) {
      fleet.Run(milliseconds(100));
      const int present = fleet.OwnerOf("p0");
      changes += present >= 0 && present != owner ? 1 : 0;
      owner = present >= 0 ? present : owner;
    }
    // Each of the three daemons hands over at most every 10 s.
    CPPUNIT_ASSERT(changes <= 9);
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(60, fleet.promises.completed());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetFaultTest);

}  // namespace
}  // namespace figflow::test
