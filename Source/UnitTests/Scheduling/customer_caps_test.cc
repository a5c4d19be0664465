// Caps of customers in the scheduler of one scope.
#include <chrono>
#include <memory>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Scheduling/customer_limits.h"
#include "Scheduling/scheduler_driver.h"

namespace figflow {
namespace {

using std::chrono::milliseconds;
using test::kStart;
using test::SchedulerDriver;

constexpr milliseconds kDuration{5'000};

// A scheduler whose plan gives the customer "a" a cap of 10 cores.
class CappedDriver : public SchedulerDriver {
 public:
  CappedDriver() : SchedulerDriver(kStart) {
    SetCap({10'000, 0, 0}, 1);
    for (const char* worker : {"w1", "w2", "w3", "w4"}) {
      ListWorker(worker);
      RespondToHold(worker, WorkerStatus());
    }
  }

  void SetCap(const Resources& cap, uint64_t version) {
    auto plan = std::make_shared<FleetPlan>();
    plan->version = version;
    QueueConfig queue;
    queue.name = "q";
    queue.pool = "p";
    queue.max_attempts = 2;
    plan->queues = {queue};
    CustomerConfig customer;
    customer.name = "a";
    customer.cap = cap;
    plan->customers = {customer};
    scheduler().SetPlan(plan);
    plan_version_ = version;
    cap_ = cap;
  }

  CustomerGrantOrders Orders(int64_t millicores) {
    CustomerGrantOrders orders;
    orders.present = true;
    orders.sequence = {1, next_number_++};
    orders.plan_version = plan_version_;
    orders.owner_fence = 1;
    orders.report_made_at =
        std::chrono::duration_cast<milliseconds>(now().time_since_epoch());
    orders.duration = kDuration;
    orders.granted["a"] = {{millicores, kUnlimitedAmount, kUnlimitedAmount},
                           cap_};
    return orders;
  }
  void Grant(int64_t millicores) {
    scheduler().SetCustomerGrants(Orders(millicores), now());
    Step();
  }

  static JobSpec Tasks(const std::string& job,
                       const std::string& customer,
                       int count,
                       int64_t millicores) {
    JobSpec spec = OneTask(job);
    spec.customer = customer;
    spec.stages[0].count = count;
    spec.stages[0].per_task = {millicores, 10, 0};
    return spec;
  }
  void SubmitAndWrite(const JobSpec& spec) {
    Submit(spec);
    WriteAll();
  }
  void WriteAll() {
    while (!Write().empty()) {
    }
  }
  CustomerLoad Load() {
    const PoolReport report = scheduler().Report(now());
    return report.customers.customers.empty()
               ? CustomerLoad()
               : report.customers.customers.front();
  }

 private:
  uint64_t next_number_ = 1;
  uint64_t plan_version_ = 0;
  Resources cap_;
};

class CustomerCapsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CustomerCapsTest);
  CPPUNIT_TEST(StartsOnlyWithinGrant);
  CPPUNIT_TEST(OthersPassWaitingCustomer);
  CPPUNIT_TEST(GangStartsAsAWhole);
  CPPUNIT_TEST(SpeculativeCopyCountsBesideItsRun);
  CPPUNIT_TEST(PerpetualTaskRestartsWithinGrant);
  CPPUNIT_TEST(EvacuationKeepsTasksAboveGrant);
  CPPUNIT_TEST(GrantExpires);
  CPPUNIT_TEST(LateOrdersDoNotLastLonger);
  CPPUNIT_TEST(IgnoresOutdatedOrders);
  CPPUNIT_TEST(LoweredCapNeedsNewGrant);
  CPPUNIT_TEST(RemovedCustomerIsNotLimited);
  CPPUNIT_TEST(ReportsLoad);
  CPPUNIT_TEST(WireFormatIsCompatible);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against starts without a grant, or above it.
  void StartsOnlyWithinGrant() {
    CappedDriver driver;
    driver.SubmitAndWrite(CappedDriver::Tasks("j", "a", 8, 250));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, driver.starts.size());
    driver.Grant(1'100);
    driver.WriteAll();
    CPPUNIT_ASSERT_EQUAL(size_t{4}, driver.starts.size());
    driver.Grant(1'250);
    driver.WriteAll();
    CPPUNIT_ASSERT_EQUAL(size_t{5}, driver.starts.size());
  }

  // Guards against a customer at its cap that holds others back or makes its
  // pool ask for instances.
  void OthersPassWaitingCustomer() {
    CappedDriver driver;
    for (int i = 0; i < 50; ++i) {
      driver.SubmitAndWrite(
          CappedDriver::Tasks(absl::StrCat("j", i), "a", 8, 250));
    }
    const PoolReport report = driver.scheduler().Report(driver.now());
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, report.waiting_millicores);
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, report.backlog_millicore_ms);
    driver.SubmitAndWrite(CappedDriver::Tasks("other", "b", 8, 250));
    CPPUNIT_ASSERT_EQUAL(size_t{8}, driver.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::string("other"), driver.starts[0].task.job);
  }

  // Guards against a gang of which only some members fit the grant.
  void GangStartsAsAWhole() {
    CappedDriver driver;
    JobSpec gang = CappedDriver::Tasks("g", "a", 4, 250);
    gang.stages[0].gang = true;
    driver.Grant(999);
    driver.SubmitAndWrite(gang);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, driver.starts.size());
    CPPUNIT_ASSERT_EQUAL(int64_t{1'000},
                         driver.Load().largest_unit.cpu_millicores);
    driver.Grant(1'000);
    driver.WriteAll();
    CPPUNIT_ASSERT_EQUAL(size_t{4}, driver.starts.size());
  }

  // Guards against a copy that starts while the first run, which may still
  // exist, fills the grant.
  void SpeculativeCopyCountsBesideItsRun() {
    CappedDriver driver;
    JobSpec spec = CappedDriver::Tasks("s", "a", 1, 500);
    spec.stages[0].speculative = true;
    driver.Grant(900);
    driver.SubmitAndWrite(spec);
    const StartOrder start = driver.RespondToStart();
    const std::string worker = start.target.worker.id;
    driver.Advance(milliseconds(50));
    driver.RespondToHold(worker, test::Running(start));
    for (int i = 0; i < 3; ++i) {
      driver.Advance(milliseconds(300));
      if (driver.Hold(worker)) {
        driver.DropHoldResponse(worker);
      }
      driver.WriteAll();
    }
    CPPUNIT_ASSERT_EQUAL(int64_t{500}, driver.Load().occupied.cpu_millicores);
    CPPUNIT_ASSERT_EQUAL(int64_t{500}, driver.Load().waiting.cpu_millicores);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, driver.starts.size());
    driver.Grant(1'000);
    driver.WriteAll();
    CPPUNIT_ASSERT_EQUAL(size_t{2}, driver.starts.size());
  }

  // Guards against restarts that pass the grant since the job was accepted.
  void PerpetualTaskRestartsWithinGrant() {
    CappedDriver driver;
    JobSpec spec = CappedDriver::Tasks("s", "a", 1, 500);
    spec.stages[0].perpetual = true;
    driver.Grant(500);
    driver.SubmitAndWrite(spec);
    const StartOrder start = driver.RespondToStart();
    driver.Grant(400);
    driver.Advance(milliseconds(50));
    driver.RespondToHold(start.target.worker.id,
                         test::Ended(start, RunResult::kFailed));
    driver.WriteAll();
    driver.Advance(milliseconds(1'000));
    driver.WriteAll();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, driver.starts.size());
    driver.Grant(500);
    driver.WriteAll();
    CPPUNIT_ASSERT_EQUAL(size_t{2}, driver.starts.size());
  }

  // Guards against a perpetual task that is stopped for an evacuation and then
  // may not start elsewhere.
  void EvacuationKeepsTasksAboveGrant() {
    CappedDriver driver;
    JobSpec spec = CappedDriver::Tasks("s", "a", 1, 500);
    spec.stages[0].perpetual = true;
    driver.Grant(500);
    driver.SubmitAndWrite(spec);
    const StartOrder start = driver.RespondToStart();
    const std::string worker = start.target.worker.id;
    driver.Grant(400);
    driver.Advance(milliseconds(50));
    WorkerStatus status = test::Running(start);
    status.running[0].percent = 100;
    driver.RespondToHold(worker, status);
    driver.scheduler().SetEvacuating({worker}, {}, driver.now());
    driver.Advance(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, driver.stops.size());
    driver.Grant(500);
    driver.Advance(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, driver.stops.size());
  }

  // Guards against starts by a grant that the controller counts as expired.
  void GrantExpires() {
    CappedDriver driver;
    driver.Grant(1'000);
    driver.Advance(kDuration);
    driver.SubmitAndWrite(CappedDriver::Tasks("j", "a", 1, 250));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, driver.starts.size());
  }

  // Guards against an order that a paused daemon reads seconds later and that
  // then lasts as long as a new one.
  void LateOrdersDoNotLastLonger() {
    CappedDriver driver;
    const CustomerGrantOrders late = driver.Orders(1'000);
    driver.Advance(kDuration);
    driver.scheduler().SetCustomerGrants(late, driver.now());
    driver.SubmitAndWrite(CappedDriver::Tasks("j", "a", 1, 250));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, driver.starts.size());
  }

  // Guards against grants of an overtaken order, an earlier controller, or for
  // an earlier owner.
  void IgnoresOutdatedOrders() {
    CappedDriver driver;
    const CustomerGrantOrders overtaken = driver.Orders(10'000);
    driver.Grant(0);
    driver.scheduler().SetCustomerGrants(overtaken, driver.now());
    CustomerGrantOrders other_owner = driver.Orders(10'000);
    other_owner.owner_fence = 2;
    driver.scheduler().SetCustomerGrants(other_owner, driver.now());
    // A new controller has only announced itself.
    CustomerGrantOrders next = driver.Orders(0);
    next.sequence.controller_fence = 2;
    next.owner_fence = 0;
    driver.scheduler().SetCustomerGrants(next, driver.now());
    driver.scheduler().SetCustomerGrants(driver.Orders(10'000), driver.now());
    driver.SubmitAndWrite(CappedDriver::Tasks("j", "a", 1, 250));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, driver.starts.size());
  }

  // Guards against starts by the grants of the higher cap once all daemons
  // have the plan with the lower one.
  void LoweredCapNeedsNewGrant() {
    CappedDriver driver;
    driver.Grant(10'000);
    driver.SetCap({1'000, 0, 0}, 2);
    driver.SubmitAndWrite(CappedDriver::Tasks("j", "a", 1, 250));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, driver.starts.size());
    driver.Grant(1'000);
    driver.WriteAll();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, driver.starts.size());
  }

  // Guards against accepted jobs of a removed customer that never run.
  void RemovedCustomerIsNotLimited() {
    CappedDriver driver;
    driver.SubmitAndWrite(CappedDriver::Tasks("j", "a", 1, 250));
    driver.SetCap({}, 2);
    driver.Step();
    driver.WriteAll();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, driver.starts.size());
  }

  // Guards against reports that miss what the controller counts.
  void ReportsLoad() {
    CappedDriver driver;
    CPPUNIT_ASSERT(!driver.scheduler().Report(driver.now()).customers.present);
    driver.Grant(600);
    driver.SubmitAndWrite(CappedDriver::Tasks("j", "a", 8, 250));
    driver.Advance(milliseconds(100));
    const CustomerLoadReport report =
        driver.scheduler().Report(driver.now()).customers;
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, report.owner_fence);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, report.held.number);
    CPPUNIT_ASSERT(kDuration - milliseconds(100) == report.held_for);
    const CustomerLoad load = driver.Load();
    CPPUNIT_ASSERT_EQUAL(int64_t{500}, load.occupied.cpu_millicores);
    CPPUNIT_ASSERT_EQUAL(int64_t{1'500}, load.waiting.cpu_millicores);
    CPPUNIT_ASSERT_EQUAL(int64_t{600}, load.granted.cpu_millicores);
    CPPUNIT_ASSERT_EQUAL(6, load.tasks_over_grant);
  }

  // Guards against messages that a daemon of the earlier version cannot read,
  // or that lose an element.
  void WireFormatIsCompatible() {
    CappedDriver driver;
    driver.Grant(600);
    driver.SubmitAndWrite(CappedDriver::Tasks("j", "a", 8, 250));
    const PoolReport report = driver.scheduler().Report(driver.now());
    const Result<PoolReport> read = ParsePoolReport(FormatPoolReport(report));
    CPPUNIT_ASSERT(read.has_value());
    CPPUNIT_ASSERT(report.customers.made_at == read->customers.made_at);
    CPPUNIT_ASSERT(report.customers.held == read->customers.held);
    CPPUNIT_ASSERT(report.customers.held_for == read->customers.held_for);
    CPPUNIT_ASSERT_EQUAL(report.customers.plan_version,
                         read->customers.plan_version);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, read->customers.customers.size());
    CPPUNIT_ASSERT(read->customers.customers[0].largest_unit ==
                   report.customers.customers[0].largest_unit);
    CPPUNIT_ASSERT(read->customers.customers[0].granted ==
                   report.customers.customers[0].granted);
    const Result<PoolReport> without =
        ParsePoolReport(FormatPoolReport(PoolReport()));
    CPPUNIT_ASSERT(without && !without->customers.present);
    CPPUNIT_ASSERT(!ReadCustomerGrantOrders(nullptr).present);
    const CustomerGrantOrders orders = driver.Orders(700);
    const CustomerGrantOrders parsed =
        ReadCustomerGrantOrders(FormatCustomerGrantOrders(orders));
    CPPUNIT_ASSERT(parsed.present && parsed.sequence == orders.sequence);
    CPPUNIT_ASSERT(parsed.report_made_at == orders.report_made_at);
    CPPUNIT_ASSERT(parsed.duration == orders.duration);
    CPPUNIT_ASSERT_EQUAL(orders.plan_version, parsed.plan_version);
    CPPUNIT_ASSERT(parsed.granted.at("a").amount ==
                   orders.granted.at("a").amount);
    CPPUNIT_ASSERT(parsed.granted.at("a").cap == orders.granted.at("a").cap);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CustomerCapsTest);

}  // namespace
}  // namespace figflow
