// Tests queues with a placement policy under bursts.
#include <string>

#include "Fleet/fleet_test_support.h"

namespace figflow::test {
namespace {

constexpr int kPolicyPools = 16;

class FleetPolicyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetPolicyTest);
  CPPUNIT_TEST(BurstOfJobsIsStarted);
  CPPUNIT_TEST(PoolsOfOneDaemonShareThePolicyService);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against jobs that never start: all stages queried the policy at
  // once, and their tickets had expired when the responses arrived.
  void BurstOfJobsIsStarted() {
    ModelFleet fleet(31);
    StartPolicyFleet(fleet, 1, 3);
    SubmitMany(fleet, "a", "q0", 40, milliseconds(25), 1, 2);
    fleet.Run(seconds(15));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(40, fleet.promises.completed());
  }

  // Same failure where the queries of other pools come first: the service
  // handles the calls of one daemon in turn.
  void PoolsOfOneDaemonShareThePolicyService() {
    ModelFleet fleet(32);
    StartPolicyFleet(fleet, kPolicyPools, 1);
    for (int pool = 0; pool < kPolicyPools; ++pool) {
      SubmitMany(fleet, absl::StrCat("a", pool, "-"), absl::StrCat("q", pool),
                 2, milliseconds(10), 1, 2);
    }
    fleet.Run(seconds(20));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(2 * kPolicyPools, fleet.promises.completed());
  }

 private:
  static void StartPolicyFleet(ModelFleet& fleet, int pools, int daemons) {
    model::ModelWorkers::PolicyService& service = fleet.workers.policy;
    service.query_time = milliseconds(100);
    service.time_per_worker = milliseconds(15);
    PlacementPolicy policy;
    policy.query_time = service.query_time;
    policy.time_per_worker = service.time_per_worker;
    policy.ticket_lifetime = service.ticket_lifetime;
    FleetPlan plan = SimplePlan(pools);
    for (QueueConfig& queue : plan.queues) {
      queue.policy = policy;
    }
    // Without a spare pool all instances stay.
    plan.pools.pop_back();
    fleet.SetPlan(plan);
    AddInstances(fleet, pools, 8, 0);
    fleet.AddDaemons(daemons);
    fleet.Run(seconds(2));
    fleet.workers.allows = [](const TaskName&, const std::string&) {
      return true;
    };
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetPolicyTest);

}  // namespace
}  // namespace figflow::test
