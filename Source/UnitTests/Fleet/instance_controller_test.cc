// Handling of earlier controllers' decisions and of orders in progress by the
// instance controller.
#include <set>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Fleet/instance_controller_driver.h"
#include "Instances/wave_record.h"
#include "absl/strings/str_cat.h"

namespace figflow::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class InstanceControllerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InstanceControllerTest);
  CPPUNIT_TEST(RecordedMaintenanceWaitsForAnIdleWorker);
  CPPUNIT_TEST(RecordedMaintenanceWaitsForTheOwnersReport);
  CPPUNIT_TEST(MaintenanceWaitsWhileThePoolHasNoOwner);
  CPPUNIT_TEST(WorkerStaysEvacuatedDuringItsMove);
  CPPUNIT_TEST(EvacuationUsesTheLatestReport);
  CPPUNIT_TEST(MoveToPresentPoolEndsNoWorker);
  CPPUNIT_TEST(EarlierWorkerIsNotMoved);
  CPPUNIT_TEST(EarlierWorkerIsReportedAsEnded);
  CPPUNIT_TEST(MaintainedWorkerIsReportedAsEnded);
  CPPUNIT_TEST(RepeatedMaintenanceEndsNoWorker);
  CPPUNIT_TEST(OrderedMaintenanceEvacuatesTheNextWorker);
  CPPUNIT_TEST(HandOverNamesOrdersOfEarlierControllers);
  CPPUNIT_TEST(HandOverAfterACrashBlocksAllInstances);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a controller that ends perpetual tasks: an order that an
  // earlier controller recorded but never sent was executed regardless of what
  // ran on the instance by then.
  void RecordedMaintenanceWaitsForAnIdleWorker() {
    ControllerDriver driver;
    const std::string instance = driver.instances.Add("p", {1'000, 1'000, 0});
    const MaintenanceWave wave = driver.AddWave(instance);
    RecordOrderedMaintenance(driver, instance);
    WorkerLoad load = driver.LoadOn(instance);
    load.tasks = 1;
    load.perpetual_tasks = 1;
    driver.reports["p"].workers = {load};
    driver.Start({"p"});
    driver.controller->OnWaveRequested(wave, driver.time.Now());
    driver.RunFor(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(0, driver.instances.Maintained(1));
    driver.reports["p"].workers[0].tasks = 0;
    driver.reports["p"].workers[0].perpetual_tasks = 0;
    driver.RunFor(milliseconds(1'500));
    CPPUNIT_ASSERT_EQUAL(1, driver.instances.Maintained(1));
  }

  // Guards against a controller that ends perpetual tasks: an instance counted
  // as idle while its pool had no owner to report what runs there.
  void RecordedMaintenanceWaitsForTheOwnersReport() {
    ControllerDriver driver;
    const std::string instance = driver.instances.Add("p", {1'000, 1'000, 0});
    const MaintenanceWave wave = driver.AddWave(instance);
    RecordOrderedMaintenance(driver, instance);
    driver.pools_without_owner = {"p"};
    driver.Start({"p"});
    driver.controller->OnWaveRequested(wave, driver.time.Now());
    driver.RunFor(seconds(2));
    CPPUNIT_ASSERT_EQUAL(0, driver.instances.Maintained(1));
    driver.reports["p"].workers = {driver.LoadOn(instance)};
    driver.pools_without_owner.clear();
    driver.RunFor(milliseconds(1'500));
    CPPUNIT_ASSERT_EQUAL(1, driver.instances.Maintained(1));
  }

  // Same failure when the owner is lost after the maintenance was planned: the
  // next owner may use the worker, which it has no order to evacuate.
  void MaintenanceWaitsWhileThePoolHasNoOwner() {
    ControllerDriver driver;
    const std::string instance = driver.instances.Add("p", {1'000, 1'000, 0});
    const MaintenanceWave wave = driver.AddWave(instance);
    driver.reports["p"].workers = {driver.LoadOn(instance)};
    // Refuses the order until it is up again.
    driver.instances.Crash(instance, milliseconds(2'500));
    driver.Start({"p"});
    driver.controller->OnWaveRequested(wave, driver.time.Now());
    driver.RunFor(milliseconds(900));
    CPPUNIT_ASSERT(!driver.evacuate.empty());
    driver.pools_without_owner = {"p"};
    driver.RunFor(seconds(4));
    CPPUNIT_ASSERT_EQUAL(0, driver.instances.Maintained(1));
    driver.pools_without_owner.clear();
    driver.reports["p"].workers = {driver.LoadOn(instance)};
    driver.RunFor(seconds(2));
    CPPUNIT_ASSERT_EQUAL(1, driver.instances.Maintained(1));
  }

  // Guards against two controllers that order for an instance within the
  // interval: a second hand-over dropped what the first one had named.
  void HandOverNamesOrdersOfEarlierControllers() {
    HandOverRecord first;
    first.recently_ordered = {{"m-1", milliseconds(2'000)},
                              {"m-2", milliseconds(200)}};
    const HandOverRecord second = HandOverAgain(first);
    CPPUNIT_ASSERT(!second.active);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, second.recently_ordered.size());
    const milliseconds left = second.recently_ordered.at("m-1");
    CPPUNIT_ASSERT(left > milliseconds(0));
    CPPUNIT_ASSERT(left <= milliseconds(1'500));
  }

  // Same failure after a controller that did not hand over.
  void HandOverAfterACrashBlocksAllInstances() {
    HandOverRecord first;
    first.active = true;
    CPPUNIT_ASSERT(HandOverAgain(first).active);
  }

  // Guards against a move that ends tasks: a list of the instances that was
  // read before a slow move took effect ended the evacuation.
  void WorkerStaysEvacuatedDuringItsMove() {
    ControllerDriver driver(milliseconds(1'200));
    for (int i = 0; i < 4; ++i) {
      const std::string instance =
          driver.instances.Add("idle", {1'000, 1'000, 0});
      driver.reports["idle"].workers.push_back(driver.LoadOn(instance));
    }
    const std::string busy = driver.instances.Add("busy", {1'000, 1'000, 0});
    WorkerLoad load = driver.LoadOn(busy);
    load.tasks = 1;
    driver.reports["busy"].workers = {load};
    driver.reports["busy"].waiting_millicores = 1'000;
    driver.reports["busy"].backlog_millicore_ms = 2'000'000;
    driver.reports["busy"].offered_millicores = 1'500;
    driver.Start({"idle", "busy"});
    for (int i = 0; i < 100 && driver.platform.slow.moves == 0; ++i) {
      driver.RunFor(milliseconds(50));
    }
    CPPUNIT_ASSERT(driver.platform.slow.moves > 0);
    // An order must not leave after the ownership has become uncertain.
    CPPUNIT_ASSERT(driver.platform.slow.send_by == driver.lease_valid_until);
    // The backlog is cleared, so no further move is planned.
    driver.reports["busy"].waiting_millicores = 0;
    driver.reports["busy"].backlog_millicore_ms = 0;
    driver.reports["busy"].offered_millicores = 0;
    driver.RunFor(milliseconds(100));
    const std::set<std::string> moved = driver.evacuate;
    CPPUNIT_ASSERT(!moved.empty());
    driver.RunFor(milliseconds(900));
    CPPUNIT_ASSERT_EQUAL(4, driver.instances.CountIn("idle"));
    for (const std::string& worker : moved) {
      CPPUNIT_ASSERT_MESSAGE(absl::StrCat(worker, " may receive tasks"),
                             driver.evacuate.count(worker) > 0);
    }
  }

  // Guards against a move that ends tasks: the evacuation named the worker that
  // an outdated report of another pool listed on the instance.
  void EvacuationUsesTheLatestReport() {
    ControllerDriver driver(milliseconds(300));
    std::vector<WorkerLoad> idle;
    idle.reserve(4);
    for (int i = 0; i < 4; ++i) {
      idle.push_back(
          driver.LoadOn(driver.instances.Add("idle", {1'000, 1'000, 0})));
    }
    // The instances came from a pool that has had no owner since.
    for (const WorkerLoad& load : idle) {
      WorkerLoad earlier = load;
      earlier.worker = "earlier-" + load.worker;
      driver.reports["away"].workers.push_back(earlier);
    }
    const std::string busy = driver.instances.Add("busy", {1'000, 1'000, 0});
    WorkerLoad load = driver.LoadOn(busy);
    load.tasks = 1;
    driver.reports["busy"].workers = {load};
    driver.Start({"away", "idle", "busy"});
    driver.RunFor(milliseconds(100));
    driver.pools_without_owner = {"away"};
    driver.RunFor(milliseconds(1'000));
    driver.reports["idle"].workers = idle;
    driver.reports["busy"].waiting_millicores = 1'000;
    driver.reports["busy"].backlog_millicore_ms = 2'000'000;
    driver.reports["busy"].offered_millicores = 1'500;
    for (int i = 0; i < 100 && driver.platform.slow.moves == 0; ++i) {
      driver.RunFor(milliseconds(5));
    }
    CPPUNIT_ASSERT(driver.platform.slow.moves > 0);
    driver.RunFor(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(4, driver.instances.CountIn("idle"));
    CPPUNIT_ASSERT(!driver.evacuate.empty());
    for (const std::string& worker : driver.evacuate) {
      CPPUNIT_ASSERT_MESSAGE(absl::StrCat(worker, " has ended long ago"),
                             worker.rfind("earlier-", 0) != 0);
    }
  }

  // Lists four earlier workers in pool "left", whose instances have moved to
  // "joined", where their present workers run.
  static void ListEarlierWorkers(ControllerDriver& driver) {
    for (int i = 0; i < 4; ++i) {
      const std::string instance =
          driver.instances.Add("joined", {1'000, 1'000, 0});
      WorkerLoad present = driver.LoadOn(instance);
      present.tasks = 1;
      driver.reports["joined"].workers.push_back(present);
      WorkerLoad earlier = driver.LoadOn(instance);
      earlier.worker = absl::StrCat("earlier-", i);
      earlier.incarnation = kPresentIncarnation - 1;
      driver.reports["left"].workers.push_back(earlier);
    }
    // More work than the pool can do.
    driver.reports["joined"].waiting_millicores = 4'000;
    driver.reports["joined"].backlog_millicore_ms = 8'000'000;
    driver.reports["joined"].offered_millicores = 6'000;
  }

  // Guards against workers that are ended while they run: a move to the pool in
  // which the instance is succeeds, and was taken as the end of its worker.
  void MoveToPresentPoolEndsNoWorker() {
    ControllerDriver driver;
    ListEarlierWorkers(driver);
    driver.Start({"left", "joined"});
    driver.RunFor(seconds(3));
    for (const WorkerLoad& present : driver.reports["joined"].workers) {
      CPPUNIT_ASSERT_MESSAGE(
          absl::StrCat(present.worker, " runs, but is reported as ended"),
          driver.ended.count(present.Key()) == 0);
    }
  }

  // Guards against moves of instances by the report of a pool that they have
  // left: their present worker may have tasks.
  void EarlierWorkerIsNotMoved() {
    ControllerDriver driver;
    ListEarlierWorkers(driver);
    driver.Start({"left", "joined"});
    driver.RunFor(seconds(3));
    CPPUNIT_ASSERT_EQUAL(0, driver.platform.slow.moves);
  }

  // Guards against tasks that are sent to workers whose instance has left.
  void EarlierWorkerIsReportedAsEnded() {
    ControllerDriver driver;
    ListEarlierWorkers(driver);
    driver.Start({"left", "joined"});
    driver.RunFor(seconds(3));
    CPPUNIT_ASSERT_EQUAL(size_t{4}, driver.ended.size());
    for (const WorkerLoad& earlier : driver.reports["left"].workers) {
      CPPUNIT_ASSERT(driver.ended.count(earlier.Key()) > 0);
    }
  }

  // Same for an instance whose maintenance has begun.
  void MaintainedWorkerIsReportedAsEnded() {
    ControllerDriver driver;
    const std::string instance = driver.instances.Add("p", {1'000, 1'000, 0});
    const MaintenanceWave wave = driver.AddWave(instance);
    const WorkerLoad load = driver.LoadOn(instance);
    driver.reports["p"].workers = {load};
    driver.Start({"p"});
    driver.controller->OnWaveRequested(wave, driver.time.Now());
    driver.RunFor(seconds(3));
    CPPUNIT_ASSERT_EQUAL(1, driver.instances.Maintained(1));
    CPPUNIT_ASSERT(driver.ended == std::set<WorkerKey>{load.Key()});
  }

  // Guards against workers that are ended while they run: the order for a
  // maintenance that is done succeeds, and was taken as the end of the worker
  // that has started since.
  void RepeatedMaintenanceEndsNoWorker() {
    ControllerDriver driver;
    const std::string instance = driver.instances.Add("p", {1'000, 1'000, 0});
    const MaintenanceWave wave = driver.AddWave(instance);
    // An earlier controller has maintained the instance.
    InstanceOrder order;
    order.instance = instance;
    order.wave = 1;
    const auto earlier = driver.instances.ViewOf(driver.node);
    earlier->Maintain(order, [](const Result<InstanceAnswer>&) {});
    driver.time.RunFor(seconds(3));
    driver.store.Put(HandOverKey(), FormatHandOverRecord(HandOverRecord()));
    const WorkerLoad present = driver.LoadOn(instance);
    CPPUNIT_ASSERT(!present.worker.empty());
    driver.reports["p"].workers = {present};
    driver.Start({"p"});
    driver.controller->OnWaveRequested(wave, driver.time.Now());
    driver.RunFor(seconds(3));
    CPPUNIT_ASSERT_EQUAL(1, driver.instances.Maintained(1));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, driver.ended.count(present.Key()));
  }

  // Guards against a wave that never goes on: the worker for which a
  // maintenance was ordered ended before it began, and its successor was not
  // evacuated.
  void OrderedMaintenanceEvacuatesTheNextWorker() {
    ControllerDriver driver;
    const std::string instance = driver.instances.Add("p", {1'000, 1'000, 0});
    const MaintenanceWave wave = driver.AddWave(instance);
    const WorkerLoad first = driver.LoadOn(instance);
    driver.reports["p"].workers = {first};
    // Refuses the order until it is up again.
    driver.instances.Crash(instance, seconds(1));
    driver.Start({"p"});
    driver.controller->OnWaveRequested(wave, driver.time.Now());
    driver.RunFor(milliseconds(900));
    CPPUNIT_ASSERT(driver.evacuate.count(first.worker) > 0);
    driver.RunFor(milliseconds(150));
    WorkerLoad next = driver.LoadOn(instance);
    next.incarnation = kPresentIncarnation + 1;
    next.tasks = 1;
    driver.reports["p"].workers = {next};
    driver.RunFor(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(0, driver.instances.Maintained(1));
    CPPUNIT_ASSERT(driver.evacuate.count(next.worker) > 0);
  }

 private:
  // Lets an earlier controller have recorded an order of wave 1 for the
  // instance that it never sent. It handed over and had ordered nothing
  // recently.
  static void RecordOrderedMaintenance(ControllerDriver& driver,
                                       const std::string& instance) {
    WaveRecord record;
    record.due = driver.time.WallNow() + seconds(30);
    record.instances[instance] = MaintenanceStep::kOrdered;
    driver.store.Put(WaveKey(1), FormatWaveRecord(record));
    driver.store.Put(HandOverKey(), FormatHandOverRecord(HandOverRecord()));
  }

  // Lets a controller take over after `first` and hand over 0.5 s later.
  // Returns its record.
  static HandOverRecord HandOverAgain(const HandOverRecord& first) {
    ControllerDriver driver;
    const std::string instance = driver.instances.Add("p", {1'000, 1'000, 0});
    const MaintenanceWave wave = driver.AddWave(instance);
    driver.store.Put(HandOverKey(), FormatHandOverRecord(first));
    driver.Start({"p"});
    driver.controller->OnWaveRequested(wave, driver.time.Now());
    driver.RunFor(milliseconds(500));
    bool handed_over = false;
    driver.controller->HandOver([&handed_over] { handed_over = true; });
    driver.RunFor(milliseconds(100));
    CPPUNIT_ASSERT(handed_over);
    return *ParseHandOverRecord(driver.store.Find(HandOverKey())->value);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InstanceControllerTest);

}  // namespace
}  // namespace figflow::test
