// Tests which stages are placed beside others that cannot be.
#include <algorithm>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Scheduling/scheduler_driver.h"

namespace figflow::test {
namespace {

using std::chrono::milliseconds;

// More than any limit of the stages that are looked at in one go.
constexpr int kBlockedJobs = 100;

class DispatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DispatchTest);
  CPPUNIT_TEST(JobStartsBesidePerpetualTasksWithoutPlace);
  CPPUNIT_TEST(JobStartsBesideTasksWithoutLabelledWorker);
  CPPUNIT_TEST(JobStartsBesideTasksThatAreTooLarge);
  CPPUNIT_TEST(PerpetualTaskStartsBesideLargerOnes);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against accepted jobs that are never started on a nearly free pool:
  // perpetual stages with one task each that has no place, because of their
  // limit per worker, made the pool count as full.
  void JobStartsBesidePerpetualTasksWithoutPlace() {
    SchedulerDriver driver(kStart);
    ListWorkers(driver);
    for (int i = 0; i < kBlockedJobs; ++i) {
      JobSpec spec = Job(absl::StrCat("job", i), 3, {2, 2, 0});
      spec.stages[0].perpetual = true;
      spec.stages[0].max_per_worker = 1;
      driver.Submit(spec);
    }
    ExpectStart(driver, Job("small", 1, {100, 100, 0}));
  }

  // Same failure by stages that no worker may run.
  void JobStartsBesideTasksWithoutLabelledWorker() {
    SchedulerDriver driver(kStart);
    ListWorkers(driver);
    for (int i = 0; i < kBlockedJobs; ++i) {
      JobSpec spec = Job(absl::StrCat("job", i), 1, {100, 100, 0});
      spec.stages[0].required_label = "missing";
      driver.Submit(spec);
    }
    ExpectStart(driver, Job("small", 1, {100, 100, 0}));
  }

  // Same failure by tasks that are larger than any worker.
  void JobStartsBesideTasksThatAreTooLarge() {
    SchedulerDriver driver(kStart);
    ListWorkers(driver);
    for (int i = 0; i < kBlockedJobs; ++i) {
      driver.Submit(Job(absl::StrCat("job", i), 1, {1'001, 100, 0}));
    }
    ExpectStart(driver, Job("small", 1, {100, 100, 0}));
  }

  // Same failure on a pool that is in use: a perpetual task must start wherever
  // it fits.
  void PerpetualTaskStartsBesideLargerOnes() {
    SchedulerDriver driver(kStart);
    ListWorkers(driver);
    driver.Submit(Job("half", 2, {700, 700, 0}));
    driver.Write();
    for (int i = 0; i < kBlockedJobs; ++i) {
      JobSpec spec = Job(absl::StrCat("job", i), 1, {400, 100, 0});
      spec.stages[0].perpetual = true;
      driver.Submit(spec);
    }
    JobSpec spec = Job("perpetual", 1, {100, 100, 0});
    spec.stages[0].perpetual = true;
    ExpectStart(driver, spec);
  }

 private:
  static void ListWorkers(SchedulerDriver& driver) {
    for (const char* worker : {"a", "b"}) {
      driver.ListWorker(worker);
      driver.RespondToHold(worker, WorkerStatus());
    }
  }

  static JobSpec Job(const std::string& id, int tasks, const Resources& size) {
    JobSpec spec = SchedulerDriver::OneTask(id);
    spec.stages[0].count = tasks;
    spec.stages[0].per_task = size;
    return spec;
  }

  static void ExpectStart(SchedulerDriver& driver, const JobSpec& spec) {
    driver.Submit(spec);
    for (int i = 0; i < 20; ++i) {
      driver.Write();
      driver.Advance(milliseconds(10));
    }
    CPPUNIT_ASSERT(std::any_of(
        driver.starts.begin(), driver.starts.end(),
        [&](const StartOrder& start) { return start.task.job == spec.id; }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchTest);

}  // namespace
}  // namespace figflow::test
