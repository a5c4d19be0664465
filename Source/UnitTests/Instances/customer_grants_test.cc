// Runs the ledger of grants against owners of scopes in virtual time.
#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "caps_model.h"

namespace figflow {
namespace {

using test::CapsModel;

const Resources kCore = {1'000, 1'000, 0};

CapsModel::Faults AllFaults() {
  CapsModel::Faults faults;
  faults.loss = 0.05;
  faults.late = 0.05;
  faults.owner_changes = true;
  faults.controller_changes = true;
  faults.plan_changes = true;
  return faults;
}

// Submits bursts of tasks of several sizes for two customers.
void SubmitAtRandom(CapsModel& model, int scopes) {
  for (const char* customer : {"a", "b"}) {
    if (model.Chance(0.02)) {
      const std::string scope = absl::StrCat("p", model.Random(0, scopes - 1));
      if (model.CountWaiting(scope, customer) < 40) {
        model.Submit(scope, customer,
                     {int64_t{250} * model.Random(1, 8),
                      int64_t{250} * model.Random(1, 8), 0},
                     model.Random(1, 10), model.Random(50, 3'000));
      }
    }
  }
}

class CustomerGrantsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CustomerGrantsTest);
  CPPUNIT_TEST(KeepsCapsUnderFaults);
  CPPUNIT_TEST(KeepsCapsWhileOnlyOneFaultOccurs);
  CPPUNIT_TEST(LoneCustomerGetsWholeCap);
  CPPUNIT_TEST(UnusedGrantsReturn);
  CPPUNIT_TEST(NothingWaitsLongUnderHalfOfCap);
  CPPUNIT_TEST(LargeUnitsOfTwoScopesStartInTurn);
  CPPUNIT_TEST(SkipsResourcesWithoutLimit);
  CPPUNIT_TEST(StartsGoOnDuringTakeOver);
  CPPUNIT_TEST(GrantsNothingWithoutCaps);
  CPPUNIT_TEST(ComputesLessOftenForManyPairs);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against starts above the cap by any sequence of losses, late
  // messages, take-overs and changes of the plan.
  void KeepsCapsUnderFaults() {
    int starts = 0;
    for (uint64_t seed = 1; seed <= 40; ++seed) {
      starts += RunSeed(seed, AllFaults());
    }
    CPPUNIT_ASSERT_MESSAGE("the model starts tasks", starts > 40 * 100);
  }

  // Guards against faults that only show without others: an owner that changes
  // often never holds a grant for long.
  void KeepsCapsWhileOnlyOneFaultOccurs() {
    for (uint64_t seed = 1; seed <= 16; ++seed) {
      CapsModel::Faults faults;
      const CapsModel::Faults all = AllFaults();
      switch (seed % 4) {
        case 0:
          faults.loss = all.loss;
          faults.late = 0.2;
          break;
        case 1:
          faults.owner_changes = true;
          faults.late = all.late;
          break;
        case 2:
          faults.controller_changes = true;
          faults.late = all.late;
          break;
        default:
          faults.plan_changes = true;
          faults.late = all.late;
          break;
      }
      RunSeed(seed, faults);
    }
  }

  // Guards against headroom that other scopes keep from the only one in use.
  void LoneCustomerGetsWholeCap() {
    CapsModel model(1, 12, {});
    model.SetPlan({{"a", {20'000, 20'000, 0}}});
    model.Run(2'000);
    model.Submit("p3", "a", kCore, 100, 60'000);
    model.Run(2'000);
    CPPUNIT_ASSERT_EQUAL(int64_t{20'000}, model.Occupied("a").cpu_millicores);
  }

  // Guards against grants that stay in a scope without work.
  void UnusedGrantsReturn() {
    CapsModel model(1, 12, {});
    model.SetPlan({{"a", {20'000, 20'000, 0}}});
    model.Run(2'000);
    model.Submit("p3", "a", kCore, 40, 3'000);
    model.Run(2'000);
    CPPUNIT_ASSERT_EQUAL(int64_t{20'000}, model.Occupied("a").cpu_millicores);
    model.CancelWaiting("p3", "a");
    model.Run(3'000);
    CPPUNIT_ASSERT_EQUAL(int64_t{0}, model.Occupied("a").cpu_millicores);
    model.Submit("p7", "a", kCore, 40, 60'000);
    model.Run(1'000);
    CPPUNIT_ASSERT_EQUAL(int64_t{20'000},
                         model.OccupiedIn("p7", "a").cpu_millicores);
  }

  // Guards against rule R6 being broken while all is sound: a customer with
  // under half of its cap in use waits because its grants are elsewhere.
  void NothingWaitsLongUnderHalfOfCap() {
    int longest = 0;
    for (uint64_t seed = 1; seed <= 10; ++seed) {
      CapsModel model(seed, 30, {});
      model.SetPlan({{"a", {20'000, 20'000, 0}}, {"b", {6'000, 9'000, 0}}});
      model.Run(3'000);
      model.longest_wait_ms = 0;
      model.Run(30'000, [&] { SubmitAtRandom(model, 30); });
      CPPUNIT_ASSERT_EQUAL(std::string(), model.violation);
      longest = std::max(longest, model.longest_wait_ms);
    }
    CPPUNIT_ASSERT_MESSAGE(absl::StrCat("waited ", longest, " ms"),
                           longest < 3'000);
  }

  // Guards against a cap that is split into shares of which none holds a task.
  void LargeUnitsOfTwoScopesStartInTurn() {
    CapsModel model(1, 4, {});
    model.SetPlan({{"a", {64'000, 128'000, 0}}});
    model.Run(2'000);
    model.Submit("p0", "a", {52'500, 1'000, 0}, 1, 1'000);
    model.Submit("p1", "a", {52'500, 1'000, 0}, 1, 1'000);
    model.Submit("p2", "a", kCore, 4'000, 500);
    model.Run(12'000);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, model.CountWaiting("p0", "a"));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, model.CountWaiting("p1", "a"));
    CPPUNIT_ASSERT_EQUAL(std::string(), model.violation);
  }

  // Guards against an amount of 0 in a cap being taken as a limit.
  void SkipsResourcesWithoutLimit() {
    CapsModel model(1, 4, {});
    model.SetPlan({{"a", {4'000, 0, 0}}});
    model.Run(2'000);
    model.Submit("p0", "a", {1'000, 500'000, 8}, 8, 60'000);
    model.Run(2'000);
    CPPUNIT_ASSERT_EQUAL(int64_t{4'000}, model.Occupied("a").cpu_millicores);
  }

  // Guards against starts that stop while the controller changes.
  void StartsGoOnDuringTakeOver() {
    CapsModel model(1, 6, {});
    model.SetPlan({{"a", {6'000, 6'000, 0}}});
    model.Run(2'000);
    model.Submit("p0", "a", kCore, 10'000, 200);
    model.Run(2'000);
    model.EndController(false, 2'500);
    for (int i = 0; i < 10; ++i) {
      const int before = model.starts;
      model.Run(500);
      CPPUNIT_ASSERT_MESSAGE(absl::StrCat("no start in span ", i),
                             model.starts > before);
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), model.violation);
  }

  // Guards against orders that grow although no customer has a cap.
  void GrantsNothingWithoutCaps() {
    CustomerGrants grants(1);
    FleetPlan plan;
    plan.customers.resize(1);
    plan.customers[0].name = "a";
    grants.SetPlan(plan, {"p"}, MonoTime(std::chrono::hours(1)));
    CPPUNIT_ASSERT(
        grants.Prepare({"p"}, true, MonoTime(std::chrono::hours(1))).empty());
  }

  // Guards against a controller that uses its processor share for grants: each
  // round computes all pairs of customers and scopes.
  void ComputesLessOftenForManyPairs() {
    FleetPlan plan;
    plan.version = 1;
    for (int i = 0; i < 86; ++i) {
      CustomerConfig customer;
      customer.name = absl::StrCat("c", i);
      customer.cap = kCore;
      plan.customers.push_back(customer);
    }
    std::set<std::string> scopes;
    for (int i = 0; i < 194; ++i) {
      scopes.insert(absl::StrCat("p", i));
    }
    const MonoTime now = MonoTime(std::chrono::hours(1));
    CustomerGrants grants(1);
    grants.SetPlan(plan, scopes, now);
    CustomerLoadReport report;
    report.present = true;
    report.owner_fence = 1;
    report.controller_fence = 1;
    report.plan_version = 1;
    for (const std::string& scope : scopes) {
      grants.OnReport(scope, report, now, now);
    }
    const auto grants_at = [&](std::chrono::milliseconds passed) {
      return grants.Prepare({"p0"}, true, now + passed).at("p0").owner_fence;
    };
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, grants_at(std::chrono::milliseconds(0)));
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, grants_at(std::chrono::milliseconds(50)));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1},
                         grants_at(std::chrono::milliseconds(250)));
  }

 private:
  static int RunSeed(uint64_t seed, const CapsModel::Faults& faults) {
    const int scopes = 2 + static_cast<int>(seed % 5);
    CapsModel model(seed, scopes, faults);
    model.SetPlan({{"a", {8'000, 8'000, 0}}, {"b", {5'000, 9'000, 0}}});
    model.Run(60'000, [&] { SubmitAtRandom(model, scopes); });
    CPPUNIT_ASSERT_EQUAL_MESSAGE(absl::StrCat("seed ", seed), std::string(),
                                 model.violation);
    return model.starts;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CustomerGrantsTest);

}  // namespace
}  // namespace figflow
