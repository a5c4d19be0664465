// Tests the evacuation of perpetual tasks when few other workers can take them.
#include <chrono>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Scheduling/scheduler_driver.h"

namespace figflow::test {
namespace {

using std::chrono::milliseconds;

class PerpetualTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PerpetualTest);
  CPPUNIT_TEST(TaskWithoutAlternativeWorkerIsNotStopped);
  CPPUNIT_TEST(StopsOnlyTasksWithAlternativeWorker);
  CPPUNIT_TEST(ReportHasMinWorkersForLimits);
  CPPUNIT_TEST(MovedTaskAvoidsWorkersToEvacuateLater);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a task that an evacuation stops although no other worker can
  // take it: it was out of service for 9 s.
  void TaskWithoutAlternativeWorkerIsNotStopped() {
    SchedulerDriver driver(kStart);
    Run(driver, {"a", "b"}, 1);
    Evacuate(driver, {"a"});
    CPPUNIT_ASSERT(driver.stops.empty());
    AddWorker(driver, "c");
    Evacuate(driver, {"a"});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, driver.stops.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a"),
                         driver.stops.front().target.worker.id);
  }

  // Same failure for two tasks that rely on one free place.
  void StopsOnlyTasksWithAlternativeWorker() {
    SchedulerDriver driver(kStart);
    Run(driver, {"a", "b", "c"}, 2);
    AddWorker(driver, "d");
    Evacuate(driver, {"a", "b"});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, driver.stops.size());
  }

  // Guards against an instance controller that adds one worker at a time for
  // tasks that need several.
  void ReportHasMinWorkersForLimits() {
    SchedulerDriver driver(kStart);
    Run(driver, {"a", "b", "c"}, 1, 8);
    const auto min_workers = [&driver] {
      return driver.scheduler().Report(driver.now()).min_perpetual_workers;
    };
    CPPUNIT_ASSERT_EQUAL(8, min_workers());
    for (const char* worker : {"d", "e", "f", "g", "h"}) {
      AddWorker(driver, worker);
    }
    driver.Write();
    // Each task has its worker, and a task on an evacuated worker needs another
    // one.
    CPPUNIT_ASSERT_EQUAL(8, min_workers());
    driver.scheduler().Cancel("job", 2, driver.now());
    driver.Write();
    CPPUNIT_ASSERT_EQUAL(0, min_workers());
  }

  // Guards against a task that a wave moves from one worker to another
  // repeatedly.
  void MovedTaskAvoidsWorkersToEvacuateLater() {
    SchedulerDriver driver(kStart);
    Run(driver, {"a"}, 1);
    const RunningTask first = TaskOn(driver.starts.front());
    for (const char* worker : {"b", "c", "d"}) {
      AddWorker(driver, worker);
    }
    driver.scheduler().SetEvacuatingLater({"b", "d"}, driver.now());
    Evacuate(driver, {"a"});
    EndedRun ended;
    ended.number = 1;
    ended.name = first.name;
    ended.run = first.run;
    ended.end = RunResult::kStopped;
    WorkerStatus status;
    status.ended = {ended};
    driver.scheduler().SetEvacuatingLater({"b", "d"}, driver.now());
    driver.RespondToHold("a", status);
    driver.Write();
    driver.Advance(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, driver.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::string("c"),
                         driver.starts.back().target.worker.id);
  }

 private:
  static RunningTask TaskOn(const StartOrder& start) {
    RunningTask running;
    running.name = start.task;
    running.run = start.run;
    running.percent = 100;
    return running;
  }

  static void AddWorker(SchedulerDriver& driver, const std::string& id) {
    driver.ListWorker(id);
    driver.RespondToHold(id, WorkerStatus());
  }

  // Runs a job of perpetual tasks, at most one on each worker, until each is at
  // work.
  static void Run(SchedulerDriver& driver,
                  const std::vector<std::string>& workers,
                  int max_unavailable,
                  int tasks = 0) {
    for (const std::string& worker : workers) {
      AddWorker(driver, worker);
    }
    JobSpec spec;
    spec.id = "job";
    spec.queue = "q";
    StageSpec stage;
    stage.count = tasks == 0 ? static_cast<int>(workers.size()) : tasks;
    stage.per_task = {100, 100, 0};
    stage.perpetual = true;
    stage.max_per_worker = 1;
    stage.max_unavailable = max_unavailable;
    spec.stages = {stage};
    driver.Submit(spec);
    driver.Write();
    for (const StartOrder& start : driver.starts) {
      OrderResponse answer;
      answer.clock = std::chrono::duration_cast<milliseconds>(
          driver.now().time_since_epoch());
      driver.scheduler().OnStartResponse(start, answer, driver.now());
    }
    driver.Advance(milliseconds(50));
    ReportAllAtWork(driver);
  }

  // Lets all workers report that the tasks started there are at work.
  static void ReportAllAtWork(SchedulerDriver& driver) {
    for (const StartOrder& start : driver.starts) {
      if (!driver.Hold(start.target.worker.id)) {
        continue;
      }
      WorkerStatus status;
      status.running = {TaskOn(start)};
      driver.RespondToHold(start.target.worker.id, status);
    }
  }

  static void Evacuate(SchedulerDriver& driver,
                       const std::set<std::string>& workers) {
    for (int i = 0; i < 30; ++i) {
      driver.scheduler().SetEvacuating(workers, {}, driver.now());
      driver.Advance(milliseconds(100));
      if (driver.stops.empty()) {
        ReportAllAtWork(driver);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PerpetualTest);

}  // namespace
}  // namespace figflow::test
