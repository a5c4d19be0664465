// Tests that a scope gets instances for tasks that no present worker can ever
// hold: the scheduler's report is the input of the planner.
#include <chrono>
#include <set>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Instances/move_planner.h"
#include "Scheduling/scheduler_driver.h"
#include "absl/strings/str_cat.h"

namespace figflow::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kWorkers = 4;
constexpr int kLargeTasks = 3;

class LargeTasksTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LargeTasksTest);
  CPPUNIT_TEST(PoolGetsInstancesForTasksThatFitNoWorker);
  CPPUNIT_TEST(NothingIsPlannedForTasksThatFitNoInstance);
  CPPUNIT_TEST(NothingIsPlannedForTasksThatFitOnceOthersEnd);
  CPPUNIT_TEST(LaterStageAsksForNothingYet);
  CPPUNIT_TEST(IdleInstancesStayWhileTheyAreNeeded);
  CPPUNIT_TEST(LargeTasksTakePriorityOverBacklogs);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against large tasks that wait for ever: each worker runs a perpetual
  // task, so none has the capacity, while spare instances exist.
  void PoolGetsInstancesForTasksThatFitNoWorker() {
    SchedulerDriver driver(kStart);
    StartPerpetualTasks(driver);
    driver.Submit(Job("large", kLargeTasks, 820));
    driver.Write();
    MovePlanner planner;
    const MovePlan plan = planner.Plan(Input(driver), driver.now());
    CPPUNIT_ASSERT_EQUAL(size_t{kLargeTasks}, plan.moves.size());

    // The instance that has arrived is free for one task; the other two are
    // still needed.
    driver.ListWorker("new");
    CPPUNIT_ASSERT_EQUAL(
        size_t{kLargeTasks - 1},
        planner.Plan(Input(driver), driver.now()).moves.size());
    driver.RespondToHold("new", WorkerStatus());
    driver.Write();
    driver.Advance(milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(std::string("large"), driver.starts.back().task.job);
    CPPUNIT_ASSERT_EQUAL(
        size_t{kLargeTasks - 1},
        planner.Plan(Input(driver), driver.now()).moves.size());
  }

  // Guards against instances that are moved for tasks that cannot run there.
  void NothingIsPlannedForTasksThatFitNoInstance() {
    SchedulerDriver driver(kStart);
    StartPerpetualTasks(driver);
    driver.Submit(Job("too-large", 1, 1'001));
    JobSpec labelled = Job("labelled", 1, 820);
    labelled.stages[0].required_label = "missing";
    driver.Submit(labelled);
    driver.Write();
    MovePlanner planner;
    CPPUNIT_ASSERT(planner.Plan(Input(driver), driver.now()).moves.empty());
  }

  // Guards against moves for large tasks that only have to wait for the end of
  // others.
  void NothingIsPlannedForTasksThatFitOnceOthersEnd() {
    SchedulerDriver driver(kStart);
    StartPerpetualTasks(driver);
    AddWorker(driver, "empty");
    driver.Submit(Job("small", 1, 300));
    driver.Submit(Job("medium", 1, 700));
    driver.Write();
    driver.Submit(Job("large", kLargeTasks, 820));
    driver.Write();
    MovePlanner planner;
    CPPUNIT_ASSERT(planner.Plan(Input(driver), driver.now()).moves.empty());
  }

  // Guards against instances that are idle until the stages before have ended.
  void LaterStageAsksForNothingYet() {
    SchedulerDriver driver(kStart);
    StartPerpetualTasks(driver);
    JobSpec spec = Job("two-stages", 1, 100);
    spec.stages.push_back(Job("", 1, 820).stages[0]);
    spec.stages[1].after = {0};
    driver.Submit(spec);
    driver.Write();
    MovePlanner planner;
    CPPUNIT_ASSERT(planner.Plan(Input(driver), driver.now()).moves.empty());
  }

  // Guards against idle instances that return to the spare pool, or go to
  // another one, while a large task is about to use them.
  void IdleInstancesStayWhileTheyAreNeeded() {
    SchedulerDriver driver(kStart);
    StartPerpetualTasks(driver);
    for (int i = 0; i < 2 * kWorkers; ++i) {
      AddWorker(driver, absl::StrCat("idle", i));
    }
    MoveInput input = Input(driver);
    input.instance_count = kWorkers;
    input.spare.clear();
    MovePlanner planner;
    const auto evacuated = [&](int further_workers) {
      input.pools["p"].further_workers = further_workers;
      planner.Plan(input, driver.now());
      return planner.Plan(input, driver.now() + seconds(3)).evacuate.size();
    };
    CPPUNIT_ASSERT_EQUAL(size_t{0}, evacuated(1));
    CPPUNIT_ASSERT(evacuated(0) > 0);
  }

  // Guards against peaks of other queues that take all spare instances while a
  // large task has no worker at all.
  void LargeTasksTakePriorityOverBacklogs() {
    SchedulerDriver driver(kStart);
    StartPerpetualTasks(driver);
    driver.Submit(Job("large", 1, 820));
    driver.Write();
    MoveInput input = Input(driver);
    input.spare = {{"s", 0}};
    input.pools["peak"] = input.pools["p"];
    input.pools["peak"].pool = "peak";
    input.pools["peak"].further_workers = 0;
    input.pools["peak"].backlog_millicore_ms = 100'000'000;
    MovePlanner planner;
    const MovePlan plan = planner.Plan(input, driver.now());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, plan.moves.size());
    CPPUNIT_ASSERT_EQUAL(std::string("p"), plan.moves.front().pool);
  }

 private:
  static JobSpec Job(const std::string& id, int tasks, int64_t millicores) {
    JobSpec spec = SchedulerDriver::OneTask(id);
    spec.stages[0].count = tasks;
    spec.stages[0].per_task = {millicores, 10, 0};
    return spec;
  }

  static void AddWorker(SchedulerDriver& driver, const std::string& id) {
    driver.ListWorker(id);
    driver.RespondToHold(id, WorkerStatus());
  }

  // Starts a perpetual task on each worker.
  static void StartPerpetualTasks(SchedulerDriver& driver) {
    for (int i = 0; i < kWorkers; ++i) {
      AddWorker(driver, absl::StrCat("w", i));
    }
    JobSpec spec = Job("perpetual", kWorkers, 200);
    spec.stages[0].perpetual = true;
    spec.stages[0].max_per_worker = 1;
    driver.Submit(spec);
    driver.Write();
    driver.Advance(milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(size_t{kWorkers}, driver.starts.size());
    // The load of the submission itself must not ask for instances.
    driver.Advance(seconds(20));
  }

  static MoveInput Input(SchedulerDriver& driver) {
    MoveInput input;
    input.spare_pool = "spare";
    input.instance_count = 30;
    input.pools["p"] = driver.scheduler().Report(driver.now());
    for (int i = 0; i < 2 * kLargeTasks; ++i) {
      input.spare[absl::StrCat("s", i)] = 0;
    }
    return input;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LargeTasksTest);

}  // namespace
}  // namespace figflow::test
