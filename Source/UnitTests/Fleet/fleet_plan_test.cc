// Plan changes that a daemon may have missed. The tests run the engine and the
// router against the model of the platform.
#include <chrono>
#include <string>
#include <vector>

#include "Fleet/fleet_test_support.h"
#include "absl/strings/str_cat.h"

namespace figflow::test {
namespace {

// A call that arrives this much later than one that a plan has decided is not
// decided by an earlier plan.
constexpr milliseconds kRollbackSlack{250};

class FleetPlanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetPlanTest);
  CPPUNIT_TEST(OutdatedPlanDeniesNoPath);
  CPPUNIT_TEST(ChangeIsInForceInTimeAfterALostWatch);
  CPPUNIT_TEST(UnknownPathIsDeniedAtOnce);
  CPPUNIT_TEST(UnknownPathIsDeniedOnceThePlanIsConfirmed);
  CPPUNIT_TEST(LaterCallIsNotHandledByAnEarlierPlan);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against callers that abandon a queue because a daemon that is cut
  // off from the store responds that it does not exist.
  void OutdatedPlanDeniesNoPath() {
    ModelFleet fleet(1);
    StartFleet(fleet, 1, 4, 0);
    fleet.Node(1)->store_cut = true;
    fleet.Run(seconds(1));
    ChangePlan(fleet, 2);
    fleet.Run(kApplyBound + seconds(1));
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(fleet, 0, "q1"));
    CPPUNIT_ASSERT_EQUAL(503, StatusOf(fleet, 1, "q1"));
  }

  // Guards against changes that are noticed only when a watch that the store
  // has lost times out.
  void ChangeIsInForceInTimeAfterALostWatch() {
    for (int offset = 0; offset < 10; ++offset) {
      ModelFleet fleet(2);
      StartFleet(fleet, 1, 4, 0);
      fleet.Run(milliseconds(200) * offset);
      fleet.store.SwallowWatches();
      ChangePlan(fleet, 2);
      fleet.Run(kApplyBound);
      for (int daemon = 0; daemon < 3; ++daemon) {
        CPPUNIT_ASSERT_EQUAL(200, StatusOf(fleet, daemon, "q1"));
      }
    }
  }

  // Guards against callers that wait for the response to a mistake of theirs.
  void UnknownPathIsDeniedAtOnce() {
    ModelFleet fleet(3);
    StartFleet(fleet, 1, 4, 0);
    fleet.Run(seconds(10));
    const MonoTime sent_at = fleet.time.Now();
    CPPUNIT_ASSERT_EQUAL(404, StatusOf(fleet, 1, "none"));
    CPPUNIT_ASSERT(responded_at_ - sent_at <= milliseconds(20));
  }

  // Guards against an unknown path that is refused as possibly existing
  // although the store responds.
  void UnknownPathIsDeniedOnceThePlanIsConfirmed() {
    ModelFleet fleet(4);
    StartFleet(fleet, 1, 4, 0);
    fleet.Node(1)->store_busy = true;
    fleet.Run(seconds(5));
    CPPUNIT_ASSERT_EQUAL(503, StatusOf(fleet, 1, "none"));
    fleet.Node(1)->store_busy = false;
    fleet.Run(milliseconds(400));
    const MonoTime sent_at = fleet.time.Now();
    CPPUNIT_ASSERT_EQUAL(404, StatusOf(fleet, 1, "none"));
    CPPUNIT_ASSERT(responded_at_ - sent_at <= milliseconds(300));
  }

  // Guards against a daemon that appears to return to an earlier plan: a call
  // for a new queue waits until the plan is confirmed, and a later call for a
  // removed queue is served meanwhile.
  void LaterCallIsNotHandledByAnEarlierPlan() {
    for (const int latency : {4, 100, 180, 260, 300, 400}) {
      ModelFleet fleet(5);
      StartFleet(fleet, 1, 4, 0);
      SetQueues(fleet, 2, {"q0", "q1"});
      fleet.Run(seconds(3));
      for (int i = 0; i < 30; ++i) {
        fleet.store.SwallowWatches();
        fleet.Run(milliseconds(100));
      }
      fleet.store.SwallowWatches();
      fleet.store.faults.latency = milliseconds(latency);
      SetQueues(fleet, 3, {"q0", "q2"});
      int earlier = 0;
      Submit(fleet, 1, "q2", &earlier);
      fleet.Run(kRollbackSlack + milliseconds(10));
      int later = 0;
      Submit(fleet, 1, "q1", &later);
      fleet.Run(seconds(3));
      CPPUNIT_ASSERT_MESSAGE(
          absl::StrCat(latency, " ms: ", earlier, " and ", later),
          earlier != 200 || later == 404);
    }
  }

 private:
  static void SetQueues(ModelFleet& fleet,
                        uint64_t version,
                        const std::vector<std::string>& names) {
    FleetPlan plan = SimplePlan(1);
    plan.version = version;
    const QueueConfig first = plan.queues[0];
    plan.queues.clear();
    for (const std::string& name : names) {
      plan.queues.push_back(first);
      plan.queues.back().name = name;
    }
    fleet.SetPlan(plan);
  }

  static void ChangePlan(ModelFleet& fleet, int queues) {
    std::vector<std::string> names;
    names.reserve(queues);
    for (int i = 0; i < queues; ++i) {
      names.push_back(absl::StrCat("q", i));
    }
    SetQueues(fleet, static_cast<uint64_t>(queues), names);
  }

  // Submits a job once. `response` receives the status.
  void Submit(ModelFleet& fleet,
              int daemon,
              const std::string& queue,
              int* response) {
    const std::string id = absl::StrCat("job", ++jobs_);
    fleet.Call(
        daemon,
        model::ModelRequest("POST", queue, id,
                            FormatJobSpec(SimpleJob(id, queue, 1, 1, 1'000))),
        [this, &fleet, response](int status, const std::string& /*body*/) {
          *response = status;
          responded_at_ = fleet.time.Now();
        });
  }

  // Submits a job once. Returns the status of the response, or 0 if there is
  // none within 1 s.
  int StatusOf(ModelFleet& fleet, int daemon, const std::string& queue) {
    int response = 0;
    Submit(fleet, daemon, queue, &response);
    fleet.Run(seconds(1));
    return response;
  }

  int jobs_ = 0;
  MonoTime responded_at_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetPlanTest);

}  // namespace
}  // namespace figflow::test
