// Jobs whose queue gets another pool while they are under way. The tests run
// the engine and the router against the model of the platform.
#include <string>
#include <vector>

#include "Fleet/fleet_test_support.h"
#include "Fleet/route_history.h"
#include "Ownership/owner_record.h"

namespace figflow::test {
namespace {

constexpr seconds kLongTaskTime{15};

class FleetRoutesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetRoutesTest);
  CPPUNIT_TEST(JobIsServedAfterItsQueueGotAnotherPool);
  CPPUNIT_TEST(LaterDaemonsKnowTheFormerPool);
  CPPUNIT_TEST(RepeatedRequestMeetsAChangedPool);
  CPPUNIT_TEST(DaemonWithEarlierPlanDoesNotSubmitAgain);
  CPPUNIT_TEST(DaemonWithEarlierPlanDeniesNoJob);
  CPPUNIT_TEST(CancellationReachesTheFormerPool);
  CPPUNIT_TEST(CountIncludesTheFormerPool);
  CPPUNIT_TEST(UncertainFormerPoolIsNoRefusal);
  CPPUNIT_TEST(JobOfARemovedPoolIsKnown);
  CPPUNIT_TEST(NewRouteIsServedInTime);
  CPPUNIT_TEST(UnreadableRecordIsReplaced);
  CPPUNIT_TEST(HistoryKeepsThePoolsOfARoute);
  CPPUNIT_TEST(HistoryDropsTheOldestRemovedRoutes);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a job that is denied, and run a second time by a repeated
  // request, after the route of its queue was removed and added for another
  // pool.
  void JobIsServedAfterItsQueueGotAnotherPool() {
    ModelFleet fleet(1);
    StartJob(fleet);
    SetPoolOfQueue(fleet, 2, "");
    fleet.Run(kApplyBound);
    SetPoolOfQueue(fleet, 3, "p1");
    fleet.Run(kApplyBound);
    AssertJobIsKnown(fleet);
    fleet.Run(kLongTaskTime + seconds(5));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(1, fleet.promises.completed());
  }

  // Same failure at daemons that have seen no plan with the former pool.
  void LaterDaemonsKnowTheFormerPool() {
    ModelFleet fleet(2);
    StartJob(fleet);
    SetPoolOfQueue(fleet, 2, "");
    fleet.Run(kApplyBound);
    for (int daemon = 0; daemon < fleet.daemons(); ++daemon) {
      fleet.Kill(daemon, seconds(1));
    }
    SetPoolOfQueue(fleet, 3, "p1");
    fleet.Run(kApplyBound + seconds(5));
    AssertJobIsKnown(fleet);
    fleet.Run(kLongTaskTime + seconds(10));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(1, fleet.promises.completed());
  }

  // Same failure if one plan changes the pool and the request arrives again at
  // once, at a daemon that has the new plan.
  void RepeatedRequestMeetsAChangedPool() {
    ModelFleet fleet(3);
    StartJob(fleet);
    SetPoolOfQueue(fleet, 2, "p1");
    for (int i = 0; i < 20; ++i) {
      const int status = StatusOf(fleet, "POST", i % fleet.daemons());
      CPPUNIT_ASSERT_EQUAL(200, status);
    }
    fleet.Run(kLongTaskTime + seconds(5));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(1, fleet.promises.completed());
  }

  // Guards against a second run of a job that a daemon with the earlier plan
  // submits to the former pool after the new pool has accepted it.
  void DaemonWithEarlierPlanDoesNotSubmitAgain() {
    ModelFleet fleet(9);
    fleet.workers.behaviour = [](const TaskName&) {
      return model::TaskBehaviour{kLongTaskTime, false};
    };
    StartFleet(fleet, 2, 2, 0);
    const int owner = fleet.OwnerOf("p0");
    const int late = (owner + 1) % fleet.daemons();
    const int other = (owner + 2) % fleet.daemons();
    fleet.Node(late)->store_cut = true;
    SetPoolOfQueue(fleet, 2, "p1");
    fleet.Run(milliseconds(500));
    fleet.promises.OnSubmitted(Job());
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(fleet, "POST", other));
    fleet.promises.OnAccepted("job", fleet.time.Now());
    CPPUNIT_ASSERT_EQUAL(504, StatusOf(fleet, "POST", late));
    fleet.Node(late)->store_cut = false;
    fleet.Run(seconds(3));
    AssertJobIsKnown(fleet);
    fleet.Run(kLongTaskTime + seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         absl::StrJoin(fleet.promises.broken(), "; "));
  }

  // Guards against a job that is denied by a daemon that is cut off from the
  // store and has not received the plan with the new pool.
  void DaemonWithEarlierPlanDeniesNoJob() {
    ModelFleet fleet(10);
    StartFleet(fleet, 2, 2, 0);
    const int late = (fleet.OwnerOf("p0") + 1) % fleet.daemons();
    fleet.Node(late)->store_cut = true;
    SetPoolOfQueue(fleet, 2, "p1");
    fleet.Run(milliseconds(500));
    fleet.promises.OnSubmitted(Job());
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(fleet, "POST", fleet.OwnerOf("p0")));
    fleet.Run(seconds(4));
    CPPUNIT_ASSERT_EQUAL(503, StatusOf(fleet, "GET", late));
    CPPUNIT_ASSERT_EQUAL(503, StatusOf(fleet, "DELETE", late));
    CPPUNIT_ASSERT_EQUAL(410, StatusOf(fleet, "GET", fleet.OwnerOf("p0"), "x"));
  }

  // Guards against a cancellation that is answered as if there were no such
  // job.
  void CancellationReachesTheFormerPool() {
    ModelFleet fleet(4);
    StartJob(fleet);
    SetPoolOfQueue(fleet, 2, "p1");
    fleet.Run(kApplyBound);
    fleet.promises.OnCancelAsked("job");
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(fleet, "DELETE", 1));
    fleet.Run(seconds(2));
    CPPUNIT_ASSERT(fleet.promises.Running().empty());
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(fleet, "GET", 2));
    CPPUNIT_ASSERT_EQUAL(std::string("cancelled"), body_);
  }

  // Guards against a count without the jobs that wait in the former pool.
  void CountIncludesTheFormerPool() {
    ModelFleet fleet(5);
    StartFleet(fleet, 2, 2, 0);
    const int64_t more_than_any_worker = 2 * kWorkerSize.cpu_millicores;
    fleet.Submit(SimpleJob("job", "q0", 1, 1, more_than_any_worker), 0);
    fleet.Run(seconds(1));
    SetPoolOfQueue(fleet, 2, "p1");
    fleet.Run(kApplyBound);
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(fleet, "GET", 0, ""));
    CPPUNIT_ASSERT_EQUAL(std::string("1"), body_);
  }

  // Guards against a refusal, which says that a job never runs, while the
  // former pool may run it.
  void UncertainFormerPoolIsNoRefusal() {
    ModelFleet fleet(6);
    StartJob(fleet);
    SetPoolOfQueue(fleet, 2, "p1");
    fleet.Run(kApplyBound);
    const int owner = fleet.OwnerOf("p0");
    CPPUNIT_ASSERT(owner >= 0);
    fleet.Suspend(owner, seconds(4));
    fleet.store.faults.silent = true;
    const int other = (owner + 1) % fleet.daemons();
    CPPUNIT_ASSERT_EQUAL(504, StatusOf(fleet, "POST", other));
    fleet.store.faults.silent = false;
  }

  // Guards against a job that is denied because no daemon owns its pool any
  // more.
  void JobOfARemovedPoolIsKnown() {
    ModelFleet fleet(7);
    StartJob(fleet);
    FleetPlan plan = SimplePlan(2);
    plan.version = 2;
    plan.queues[0].pool = "p1";
    plan.pools.erase(plan.pools.begin());
    fleet.SetPlan(plan);
    fleet.Run(kApplyBound);
    for (int daemon = 0; daemon < fleet.daemons(); ++daemon) {
      fleet.Kill(daemon, seconds(1));
    }
    fleet.Run(seconds(5));
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(fleet, "GET", 0));
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(fleet, "POST", 1));
  }

  // Guards against a new route that is refused until its record happens to be
  // written.
  void NewRouteIsServedInTime() {
    ModelFleet fleet(8);
    StartFleet(fleet, 2, 2, 0);
    FleetPlan plan = SimplePlan(2);
    plan.version = 2;
    plan.queues.push_back(plan.queues[0]);
    plan.queues.back().name = "q2";
    fleet.SetPlan(plan);
    fleet.Run(kApplyBound / 2);
    for (int daemon = 0; daemon < fleet.daemons(); ++daemon) {
      const std::string id = absl::StrCat("new", daemon);
      CPPUNIT_ASSERT_EQUAL(
          200, StatusOf(fleet, "POST", daemon, id,
                        FormatJobSpec(SimpleJob(id, "q2", 1, 1, 100)), "q2"));
    }
  }

  // Guards against a fleet that serves no call because the record of the routes
  // is unreadable.
  void UnreadableRecordIsReplaced() {
    ModelFleet fleet(11);
    fleet.store.Put(OwnerKey(kRoutesScope), "no CBOR");
    StartJob(fleet);
    AssertJobIsKnown(fleet);
  }

  void HistoryKeepsThePoolsOfARoute() {
    RouteHistory history;
    FleetPlan plan = SimplePlan(3);
    for (QueueConfig& queue : plan.queues) {
      queue.path_prefix = absl::StrCat("/", queue.name, "/");
    }
    const QueueConfig first = plan.queues[0];
    CPPUNIT_ASSERT(!history.Covers(plan));
    history.Add(plan);
    CPPUNIT_ASSERT(history.Covers(plan));
    CPPUNIT_ASSERT(history.FormerPools(first).empty());
    for (const std::string pool : {"p1", "p2"}) {
      ++plan.version;
      plan.queues[0].pool = pool;
      CPPUNIT_ASSERT(!history.IsLatestPool(plan.queues[0]));
      history.Add(plan);
    }
    const Result<RouteHistory> stored =
        ParseRouteHistory(FormatRouteHistory(history));
    CPPUNIT_ASSERT(stored.has_value());
    CPPUNIT_ASSERT(*stored == history);
    const std::vector<std::string> former = {"p1", "p0"};
    CPPUNIT_ASSERT(stored->FormerPools(plan.queues[0]) == former);
    // An earlier pool that serves the route again has to be recorded again.
    FleetPlan later = plan;
    ++later.version;
    later.queues[0].pool = "p0";
    CPPUNIT_ASSERT(!history.Covers(later));
    history.Add(later);
    CPPUNIT_ASSERT(history.IsLatestPool(later.queues[0]));
    CPPUNIT_ASSERT(!history.IsLatestPool(plan.queues[0]));
    CPPUNIT_ASSERT(history.Covers(plan));
    CPPUNIT_ASSERT(!ParseRouteHistory("no CBOR").has_value());
  }

  void HistoryDropsTheOldestRemovedRoutes() {
    RouteHistory history;
    FleetPlan plan = SimplePlan(1);
    QueueConfig kept = plan.queues[0];
    kept.path_prefix = "/kept/";
    QueueConfig removed = kept;
    for (int i = 0; i < 2'000; ++i) {
      removed.path_prefix = absl::StrCat("/removed", i, "/");
      plan.queues = {kept, removed};
      ++plan.version;
      history.Add(plan);
    }
    CPPUNIT_ASSERT(history.IsLatestPool(kept));
    CPPUNIT_ASSERT(history.IsLatestPool(removed));
    removed.path_prefix = "/removed0/";
    CPPUNIT_ASSERT(!history.IsLatestPool(removed));
    CPPUNIT_ASSERT(FormatRouteHistory(history).size() < 100'000);
  }

 private:
  // Starts a job of long tasks in pool "p0".
  static void StartJob(ModelFleet& fleet) {
    fleet.workers.behaviour = [](const TaskName&) {
      return model::TaskBehaviour{kLongTaskTime, false};
    };
    StartFleet(fleet, 2, 2, 0);
    fleet.Submit(Job(), 0);
    fleet.Run(seconds(1));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, fleet.promises.Running().size());
  }

  static JobSpec Job() { return SimpleJob("job", "q0", 1, 2, 1'000); }

  // Routes queue "q0" to the pool, or removes its route if `pool` is empty.
  static void SetPoolOfQueue(ModelFleet& fleet,
                             uint64_t version,
                             const std::string& pool) {
    FleetPlan plan = SimplePlan(2);
    plan.version = version;
    if (pool.empty()) {
      plan.queues.erase(plan.queues.begin());
    } else {
      plan.queues[0].pool = pool;
    }
    fleet.SetPlan(plan);
  }

  void AssertJobIsKnown(ModelFleet& fleet) {
    for (int daemon = 0; daemon < fleet.daemons(); ++daemon) {
      CPPUNIT_ASSERT_EQUAL(200, StatusOf(fleet, "GET", daemon));
      CPPUNIT_ASSERT_EQUAL(std::string("running"), body_);
      CPPUNIT_ASSERT_EQUAL(200, StatusOf(fleet, "POST", daemon));
    }
  }

  // Returns the status of the response to one call, or 0 if there is none.
  int StatusOf(ModelFleet& fleet,
               const std::string& method,
               int daemon,
               const std::string& job = "job",
               const std::string& spec = FormatJobSpec(Job()),
               const std::string& queue = "q0") {
    int response = -1;
    fleet.Call(daemon, model::ModelRequest(method, queue, job, spec),
               [&](int status, const std::string& body) {
                 response = status;
                 body_ = body;
               });
    while (response < 0) {
      fleet.Run(milliseconds(10));
    }
    return response;
  }

  std::string body_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetRoutesTest);

}  // namespace
}  // namespace figflow::test
