// Tests which workers get tasks after failed runs.
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Scheduling/scheduler_driver.h"

namespace figflow::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// How long a task may wait beside free workers (platform contract).
constexpr seconds kLongestWait{3};

class FailuresTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FailuresTest);
  CPPUNIT_TEST(OnlyWorkerIsTriedAgain);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a pool that starts nothing for up to 16 s because its only
  // worker has failed some runs.
  void OnlyWorkerIsTriedAgain() {
    SchedulerDriver driver(kStart);
    driver.ListWorker("a");
    driver.RespondToHold("a", WorkerStatus());
    JobSpec spec = SchedulerDriver::OneTask("job");
    spec.stages[0].perpetual = true;
    driver.Submit(spec);
    driver.Write();
    for (uint64_t failures = 1; failures <= 6; ++failures) {
      CPPUNIT_ASSERT_EQUAL(size_t{failures}, driver.starts.size());
      Fail(driver, driver.RespondToStart(), failures);
      const MonoTime until = driver.now() + kLongestWait;
      while (driver.now() < until && driver.starts.size() == failures) {
        driver.Write();
        driver.Advance(milliseconds(50));
      }
    }
    CPPUNIT_ASSERT_EQUAL(size_t{7}, driver.starts.size());
  }

 private:
  static void Fail(SchedulerDriver& driver,
                   const StartOrder& start,
                   uint64_t number) {
    while (!driver.Hold("a")) {
      driver.Advance(milliseconds(10));
    }
    driver.RespondToHold("a", Ended(start, RunResult::kFailed, number));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailuresTest);

}  // namespace
}  // namespace figflow::test
