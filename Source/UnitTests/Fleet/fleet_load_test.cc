// Cost of owners and followers at a peak of a large pool. The test runs the
// whole engine against the model of the platform.
#include "Fleet/fleet_test_support.h"

namespace figflow::test {
namespace {

class FleetLoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetLoadTest);
  CPPUNIT_TEST(StepsOfAPoolAreBoundedAtAPeak);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an owner that scans all workers and all waiting jobs for
  // each response, which takes all its processor time at a peak of a large
  // pool.
  void StepsOfAPoolAreBoundedAtAPeak() {
    ModelFleet fleet(60);
    // Without a spare pool, all instances stay.
    FleetPlan plan = SimplePlan(1);
    plan.pools.pop_back();
    fleet.SetPlan(plan);
    AddInstances(fleet, 1, 48, 0);
    fleet.AddDaemons(3);
    fleet.Run(seconds(2));
    SubmitMany(fleet, "a", "q0", 200, milliseconds(10), 2, 8);
    const Counter& steps =
        fleet.metrics().GetCounter("figflow_pool_steps_total");
    const Counter& starts =
        fleet.metrics().GetCounter("figflow_start_orders_total");
    const uint64_t steps_before = steps.value();
    const uint64_t starts_before = starts.value();
    fleet.Run(seconds(2));
    // Checks that the load reaches the peak this test is about.
    CPPUNIT_ASSERT(starts.value() - starts_before > 1'000);
    // One step in 5 ms.
    CPPUNIT_ASSERT(steps.value() - steps_before <= 401);
    fleet.Run(seconds(20));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(200, fleet.promises.completed());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetLoadTest);

}  // namespace
}  // namespace figflow::test
