// Tests a daemon's gauges of a pool's queues.
#include <cppunit/extensions/HelperMacros.h>

#include "Scheduling/scheduler_driver.h"

namespace figflow::test {
namespace {

constexpr char kWaiting[] =
    "figflow_queue_waiting_tasks{pool=\"p\",queue=\"q\"}";

class GaugesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GaugesTest);
  CPPUNIT_TEST(ReleasedPoolHasNoWaitingTasks);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a queue whose waiting tasks two daemons report after its
  // pool has changed hands.
  void ReleasedPoolHasNoWaitingTasks() {
    SchedulerDriver driver(MonoTime(std::chrono::hours(1)));
    driver.ListWorker("a");
    driver.RespondToHold("a", WorkerStatus());
    driver.Submit("first");
    driver.Submit("second");
    driver.Write();
    driver.scheduler().Report(driver.now());
    CPPUNIT_ASSERT_EQUAL(int64_t{1},
                         driver.metrics().GetGauge(kWaiting).value());
    driver.scheduler().Abandon();
    CPPUNIT_ASSERT_EQUAL(int64_t{0},
                         driver.metrics().GetGauge(kWaiting).value());
    CPPUNIT_ASSERT_EQUAL(0, driver.scheduler().waiting_by_queue().at("q"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GaugesTest);

}  // namespace
}  // namespace figflow::test
