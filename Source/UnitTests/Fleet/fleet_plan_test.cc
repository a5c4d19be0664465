// The operators' plan on daemons that may have missed a change of it: the
// engine and the router against the model of the platform.
#include <chrono>
#include <string>

#include "Fleet/fleet_test_support.h"
#include "absl/strings/str_cat.h"

namespace figflow::test {
namespace {

// Time after which a change that the store has acknowledged is in force.
constexpr milliseconds kApplyBound{2'000};

class FleetPlanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetPlanTest);
  CPPUNIT_TEST(PathIsNotDeniedByAPlanThatMayBeOld);
  CPPUNIT_TEST(ChangeIsInForceInTimeAfterALostWatch);
  CPPUNIT_TEST(UnknownPathIsDeniedAtOnce);
  CPPUNIT_TEST(UnknownPathIsDeniedOnceThePlanIsConfirmed);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against callers that give a queue up because a daemon that is cut
  // off from the store says that it does not exist.
  void PathIsNotDeniedByAPlanThatMayBeOld() {
    ModelFleet fleet(1);
    Begin(fleet, 1, 4, 0);
    fleet.Node(1)->store_cut = true;
    fleet.Run(seconds(1));
    ChangePlan(fleet, 2);
    fleet.Run(kApplyBound + seconds(1));
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(fleet, 0, "q1"));
    CPPUNIT_ASSERT_EQUAL(503, StatusOf(fleet, 1, "q1"));
  }

  // Guards against changes that are seen only when a watch that the store has
  // lost runs out.
  void ChangeIsInForceInTimeAfterALostWatch() {
    for (int offset = 0; offset < 10; ++offset) {
      ModelFleet fleet(2);
      Begin(fleet, 1, 4, 0);
      fleet.Run(milliseconds(200) * offset);
      fleet.store.SwallowWatches();
      ChangePlan(fleet, 2);
      fleet.Run(kApplyBound);
      for (int daemon = 0; daemon < 3; ++daemon) {
        CPPUNIT_ASSERT_EQUAL(200, StatusOf(fleet, daemon, "q1"));
      }
    }
  }

  // Guards against callers that wait for the answer to a mistake of theirs.
  void UnknownPathIsDeniedAtOnce() {
    ModelFleet fleet(3);
    Begin(fleet, 1, 4, 0);
    fleet.Run(seconds(10));
    const MonoTime begun = fleet.time.Now();
    CPPUNIT_ASSERT_EQUAL(404, StatusOf(fleet, 1, "none"));
    CPPUNIT_ASSERT(answered_at_ - begun <= milliseconds(20));
  }

  // Guards against an unknown path that is refused as if it may exist although
  // the store answers.
  void UnknownPathIsDeniedOnceThePlanIsConfirmed() {
    ModelFleet fleet(4);
    Begin(fleet, 1, 4, 0);
    fleet.Node(1)->store_busy = true;
    fleet.Run(seconds(5));
    CPPUNIT_ASSERT_EQUAL(503, StatusOf(fleet, 1, "none"));
    fleet.Node(1)->store_busy = false;
    fleet.Run(milliseconds(400));
    const MonoTime begun = fleet.time.Now();
    CPPUNIT_ASSERT_EQUAL(404, StatusOf(fleet, 1, "none"));
    CPPUNIT_ASSERT(answered_at_ - begun <= milliseconds(300));
  }

 private:
  static void ChangePlan(ModelFleet& fleet, int queues) {
    FleetPlan plan = SimplePlan(1);
    plan.version = static_cast<uint64_t>(queues);
    for (int i = 1; i < queues; ++i) {
      QueueConfig queue = plan.queues[0];
      queue.name = absl::StrCat("q", i);
      plan.queues.push_back(queue);
    }
    fleet.SetPlan(plan);
  }

  // Hands a job in once; the status of the answer, 0 if there is none in 1 s.
  int StatusOf(ModelFleet& fleet, int daemon, const std::string& queue) {
    int answer = 0;
    const std::string id = absl::StrCat("job", ++jobs_);
    fleet.Call(
        daemon,
        model::ModelRequest("POST", queue, id,
                            FormatJobSpec(SimpleJob(id, queue, 1, 1, 1'000))),
        [&](int status, const std::string& /*body*/) {
          answer = status;
          answered_at_ = fleet.time.Now();
        });
    fleet.Run(seconds(1));
    return answer;
  }

  int jobs_ = 0;
  MonoTime answered_at_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetPlanTest);

}  // namespace
}  // namespace figflow::test
