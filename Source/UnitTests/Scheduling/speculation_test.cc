// Tests copies of speculative tasks beside workers that leave orders without a
// response and carry them out late.
#include <set>
#include <string>
#include <utility>

#include <cppunit/extensions/HelperMacros.h>

#include "Scheduling/scheduler_driver.h"

namespace figflow::test {
namespace {

using std::chrono::milliseconds;

constexpr int kMaxPerWorker = 2;

class SpeculationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SpeculationTest);
  CPPUNIT_TEST(LateRunCountsBesideALaterRunOfItsTask);
  CPPUNIT_TEST(LostStartResponsesDoNotCopyTasks);
  CPPUNIT_TEST(WorkerWithoutHoldResponsesIsCopied);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a worker that gets more tasks of a stage than its limit: a
  // run whose start order may still be carried out did not count once its task
  // was assigned to the same worker again.
  void LateRunCountsBesideALaterRunOfItsTask() {
    SchedulerDriver driver(kStart);
    AddWorker(driver, "a");
    Submit(driver);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, OrderedOn(driver, "a").size());
    AddWorker(driver, "b");
    LoseWorker(driver, "a");
    // Both tasks are copied to "b", which then does not respond either.
    driver.Write();
    CPPUNIT_ASSERT_EQUAL(size_t{2}, OrderedOn(driver, "b").size());
    LoseWorker(driver, "b");

    // The stop of the second task's run takes effect on "a"; the other one gets
    // no response.
    for (const StopOrder& stop : std::vector<StopOrder>(driver.stops)) {
      if (stop.target.worker.id == "a" && stop.task.index == 1) {
        driver.scheduler().OnStopResponse(stop, Accepted(driver), driver.now());
      }
    }
    for (int i = 0; i < 40; ++i) {
      if (driver.Hold("a")) {
        driver.RespondToHold("a", WorkerStatus());
      }
      driver.Write();
      // A change in the registry makes the scheduler place tasks again.
      driver.ListWorker("a");
      driver.Advance(milliseconds(10));
    }
    // The run of the first task that may still start, and one more.
    std::set<Run> later = OrderedOn(driver, "a");
    later.erase({"job.0.0.0", 1});
    later.erase({"job.0.0.1", 1});
    CPPUNIT_ASSERT(!later.empty());
    CPPUNIT_ASSERT(later.size() + 1 <= kMaxPerWorker);
  }

  // Guards against running tasks that are started elsewhere because of lost
  // responses to other orders, while their worker reports them.
  void LostStartResponsesDoNotCopyTasks() {
    SchedulerDriver driver(kStart);
    AddWorker(driver, "a");
    Submit(driver);
    AddWorker(driver, "b");
    for (const StartOrder& start : std::vector<StartOrder>(driver.starts)) {
      driver.scheduler().OnStartResponse(
          start, Fail(ErrorCode::kUnknownOutcome, "worker.start", "a", "lost"),
          driver.now());
    }
    driver.Step();
    CPPUNIT_ASSERT(driver.stops.empty());
    WorkerStatus status;
    for (const StartOrder& start : driver.starts) {
      RunningTask running;
      running.name = start.task;
      running.run = start.run;
      status.running.push_back(running);
    }
    AwaitHold(driver, "a");
    driver.RespondToHold("a", status);
    driver.Write();
    driver.Advance(milliseconds(200));
    CPPUNIT_ASSERT(OrderedOn(driver, "b").empty());
    CPPUNIT_ASSERT(driver.stops.empty());
  }

  void WorkerWithoutHoldResponsesIsCopied() {
    SchedulerDriver driver(kStart);
    AddWorker(driver, "a");
    Submit(driver);
    AddWorker(driver, "b");
    LoseWorker(driver, "a");
    driver.Write();
    CPPUNIT_ASSERT_EQUAL(size_t{2}, OrderedOn(driver, "b").size());
  }

 private:
  // Name of the task, and number of the run.
  using Run = std::pair<std::string, uint32_t>;

  // Returns the runs that the worker was ordered to start.
  static std::set<Run> OrderedOn(const SchedulerDriver& driver,
                                 const std::string& worker) {
    std::set<Run> runs;
    for (const StartOrder& start : driver.starts) {
      if (start.target.worker.id == worker) {
        runs.emplace(FormatTaskName(start.task), start.run);
      }
    }
    return runs;
  }

  static void AwaitHold(SchedulerDriver& driver, const std::string& worker) {
    for (int i = 0; i < 100 && !driver.Hold(worker); ++i) {
      driver.Advance(milliseconds(10));
    }
    CPPUNIT_ASSERT(driver.Hold(worker).has_value());
  }

  static void AddWorker(SchedulerDriver& driver, const std::string& id) {
    driver.ListWorker(id);
    driver.RespondToHold(id, WorkerStatus());
  }

  // Submits a job of two speculative tasks and makes it durable.
  static void Submit(SchedulerDriver& driver) {
    JobSpec spec = SchedulerDriver::OneTask("job");
    spec.stages[0].count = 2;
    spec.stages[0].per_task = {200, 200, 0};
    spec.stages[0].speculative = true;
    spec.stages[0].max_per_worker = kMaxPerWorker;
    driver.Submit(spec);
    driver.Write();
  }

  static OrderResponse Accepted(const SchedulerDriver& driver) {
    OrderResponse answer;
    answer.clock = std::chrono::duration_cast<milliseconds>(
        driver.now().time_since_epoch());
    return answer;
  }

  // No order to the worker gets a response, until its tasks are copied.
  static void LoseWorker(SchedulerDriver& driver, const std::string& id) {
    const size_t stops_before = driver.stops.size();
    for (const StartOrder& start : std::vector<StartOrder>(driver.starts)) {
      if (start.target.worker.id == id) {
        driver.scheduler().OnStartResponse(
            start, Fail(ErrorCode::kUnknownOutcome, "worker.start", id, "lost"),
            driver.now());
      }
    }
    driver.Step();
    for (int i = 0; i < 20 && driver.stops.size() == stops_before; ++i) {
      if (driver.Hold(id)) {
        driver.DropHoldResponse(id);
      }
      driver.Advance(milliseconds(50));
    }
    CPPUNIT_ASSERT(driver.stops.size() > stops_before);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SpeculationTest);

}  // namespace
}  // namespace figflow::test
