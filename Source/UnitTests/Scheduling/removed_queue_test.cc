// Tests jobs whose queue is removed while they are under way.
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Scheduling/scheduler_driver.h"

namespace figflow::test {
namespace {

using std::chrono::milliseconds;

class RemovedQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RemovedQueueTest);
  CPPUNIT_TEST(PolicyOfRemovedQueueIsQueried);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an accepted job that never goes on: once its queue, which
  // has a placement policy, is removed, its start orders carried no ticket.
  void PolicyOfRemovedQueueIsQueried() {
    SchedulerDriver driver(kStart);
    driver.ListWorker("a");
    driver.RespondToHold("a", WorkerStatus());
    driver.scheduler().SetPlan(std::make_shared<FleetPlan>());
    driver.Submit("job");
    driver.Write();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, driver.starts.size());
    driver.RefuseStart(driver.starts.back(), OrderOutcome::kNoTicket);
    driver.Write();
    driver.Advance(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, driver.starts.size());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, driver.queries.size());
    driver.RespondToQuery();
    driver.Write();
    CPPUNIT_ASSERT_EQUAL(size_t{2}, driver.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::string("ticket"), driver.starts.back().ticket);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RemovedQueueTest);

}  // namespace
}  // namespace figflow::test
