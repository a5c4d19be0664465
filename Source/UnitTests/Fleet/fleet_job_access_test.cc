// Jobs of customers, seen by other customers. The tests run the engine and the
// router against the model of the platform.
#include <chrono>
#include <memory>
#include <string>

#include "Fleet/fleet_test_support.h"
#include "absl/strings/str_cat.h"

namespace figflow::test {
namespace {

class FleetJobAccessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetJobAccessTest);
  CPPUNIT_TEST(JobOfAnotherCustomerIsUnknown);
  CPPUNIT_TEST(JobStaysItsCustomersAfterItsEnd);
  CPPUNIT_TEST(JobIsHiddenByTheNextOwner);
  CPPUNIT_TEST(JobIsHiddenWhereItIsReadFromTheStore);
  CPPUNIT_TEST(JobOfAFormerPoolIsNotSubmittedAgain);
  CPPUNIT_TEST(JobWithoutACustomerIsSeenByAll);
  CPPUNIT_TEST(OpenQueueSeesOnlyItsOwnJobs);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against customers that see, cancel or take over each other's jobs.
  void JobOfAnotherCustomerIsUnknown() {
    ModelFleet fleet(1);
    Start(fleet);
    CPPUNIT_ASSERT_EQUAL(200, Submit(fleet, "key-a"));
    for (int daemon = 0; daemon < 3; ++daemon) {
      AssertHidden(fleet, daemon);
      CPPUNIT_ASSERT_EQUAL(200, StatusOf(fleet, daemon, "GET", "key-a"));
      CPPUNIT_ASSERT_EQUAL(200, StatusOf(fleet, daemon, "POST", "key-a"));
    }
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(fleet, 0, "DELETE", "key-a"));
  }

  // Guards against an ended job that all customers see, and one that its
  // customer loses with a new key.
  void JobStaysItsCustomersAfterItsEnd() {
    ModelFleet fleet(2);
    Start(fleet);
    CPPUNIT_ASSERT_EQUAL(200, Submit(fleet, "key-a"));
    fleet.Run(seconds(5));
    SetPlan(fleet, 2, "p0", "new-a");
    fleet.Run(kApplyBound);
    for (int daemon = 0; daemon < 3; ++daemon) {
      AssertHidden(fleet, daemon);
      CPPUNIT_ASSERT_EQUAL(200, StatusOf(fleet, daemon, "GET", "new-a"));
    }
  }

  // Guards against a next owner that reads no customer from the records, of a
  // job that runs and of one that has ended.
  void JobIsHiddenByTheNextOwner() {
    for (const seconds age : {seconds(0), seconds(5)}) {
      ModelFleet fleet(3);
      Start(fleet);
      CPPUNIT_ASSERT_EQUAL(200, Submit(fleet, "key-a"));
      fleet.Run(age);
      fleet.Kill(fleet.OwnerOf("p0"), seconds(1));
      fleet.Run(seconds(6));
      for (int daemon = 0; daemon < 3; ++daemon) {
        AssertHidden(fleet, daemon);
        CPPUNIT_ASSERT_EQUAL(200, StatusOf(fleet, daemon, "GET", "key-a"));
      }
    }
  }

  // Guards against the path on which no owner decides: the plan has dropped the
  // pool that accepted the job. Its record is of a job that waits, or that has
  // ended.
  void JobIsHiddenWhereItIsReadFromTheStore() {
    for (const bool ended : {false, true}) {
      ModelFleet fleet(4);
      Start(fleet, ended ? 4 : 0);
      CPPUNIT_ASSERT_EQUAL(200, Submit(fleet, "key-a"));
      fleet.Run(seconds(5));
      SetPlan(fleet, 2, "p1", "key-a");
      fleet.Run(seconds(3));
      // The owner keeps the pool for as long as it lives.
      fleet.Kill(fleet.OwnerOf("p0"), seconds(1));
      fleet.Run(seconds(5));
      CPPUNIT_ASSERT_EQUAL(-1, fleet.OwnerOf("p0"));
      for (int daemon = 0; daemon < 3; ++daemon) {
        CPPUNIT_ASSERT_EQUAL(410, StatusOf(fleet, daemon, "GET", "key-b"));
        CPPUNIT_ASSERT_EQUAL(410, StatusOf(fleet, daemon, "POST", "key-b"));
        CPPUNIT_ASSERT_EQUAL(200, StatusOf(fleet, daemon, "GET", "key-a"));
      }
    }
  }

  // Guards against a second job under the id of another customer's job, which
  // the former pool of the queue has accepted.
  void JobOfAFormerPoolIsNotSubmittedAgain() {
    ModelFleet fleet(5);
    Start(fleet);
    CPPUNIT_ASSERT_EQUAL(200, Submit(fleet, "key-a"));
    SetPlan(fleet, 2, "p1", "key-a", /*keeps_pool=*/true);
    fleet.Run(kApplyBound);
    for (int daemon = 0; daemon < 3; ++daemon) {
      AssertHidden(fleet, daemon);
      CPPUNIT_ASSERT_EQUAL(200, StatusOf(fleet, daemon, "POST", "key-a"));
    }
  }

  // Guards against jobs that get lost for their callers when a deployment gets
  // customers.
  void JobWithoutACustomerIsSeenByAll() {
    ModelFleet fleet(6);
    StartFleet(fleet, 2, 4, 0);
    CPPUNIT_ASSERT_EQUAL(200, Submit(fleet, ""));
    SetPlan(fleet, 2, "p0", "key-a", /*keeps_pool=*/true);
    fleet.Run(kApplyBound);
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(fleet, 1, "GET", "key-a"));
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(fleet, 1, "GET", "key-b"));
    CPPUNIT_ASSERT_EQUAL(401, StatusOf(fleet, 1, "GET", ""));
  }

  // Guards against calls without a key that reach the jobs of a queue that
  // needs one, through an open queue of the same pool.
  void OpenQueueSeesOnlyItsOwnJobs() {
    ModelFleet fleet(7);
    Start(fleet);
    CPPUNIT_ASSERT_EQUAL(200, Submit(fleet, "key-a"));
    FleetPlan plan = MakePlan(2, "p0", "key-a", true);
    plan.queues.push_back(plan.queues[0]);
    plan.queues.back().name = "open";
    plan.queues.back().open = true;
    fleet.SetPlan(plan);
    fleet.Run(kApplyBound + seconds(1));
    for (const char* method : {"GET", "DELETE", "POST"}) {
      CPPUNIT_ASSERT_EQUAL(410, StatusOf(fleet, 0, method, "", "open"));
    }
    plan.version = 3;
    plan.queues[0].open = true;
    fleet.SetPlan(plan);
    fleet.Run(kApplyBound);
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(fleet, 0, "GET", ""));
  }

 private:
  // Queue "q0" of customers a and b, for `pool`. Pool "p0" is left out unless
  // the plan keeps it.
  static FleetPlan MakePlan(uint64_t version,
                            const std::string& pool,
                            const std::string& key,
                            bool keeps_pool) {
    FleetPlan plan = SimplePlan(2);
    plan.version = version;
    plan.queues.resize(1);
    plan.queues[0].pool = pool;
    if (!keeps_pool && pool != "p0") {
      plan.pools.erase(plan.pools.begin());
    }
    plan.requires_keys = true;
    plan.customers = {{"a", {key}, 0, {}}, {"b", {"key-b"}, 0, {}}};
    return plan;
  }

  static void SetPlan(ModelFleet& fleet,
                      uint64_t version,
                      const std::string& pool,
                      const std::string& key,
                      bool keeps_pool = false) {
    fleet.SetPlan(MakePlan(version, pool, key, keeps_pool));
  }

  static void Start(ModelFleet& fleet, int workers = 4) {
    SetPlan(fleet, 1, "p0", "key-a", /*keeps_pool=*/true);
    AddInstances(fleet, 2, workers, 1);
    fleet.AddDaemons(3);
    fleet.Run(seconds(4));
  }

  // Asserts that customer b gets the responses of an unknown job.
  static void AssertHidden(ModelFleet& fleet, int daemon) {
    for (const char* method : {"GET", "DELETE", "POST"}) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(method, 410,
                                   StatusOf(fleet, daemon, method, "key-b"));
    }
  }

  static int Submit(ModelFleet& fleet, const std::string& key) {
    return StatusOf(fleet, 0, "POST", key);
  }

  // Sends a call about job "known". Returns the status of the response, or 0 if
  // there is none.
  static int StatusOf(ModelFleet& fleet,
                      int daemon,
                      const std::string& method,
                      const std::string& key,
                      const std::string& queue = "q0") {
    HttpRequest request = model::ModelRequest(
        method, queue, "known",
        method == "POST" ? FormatJobSpec(SimpleJob("known", queue, 1, 1, 1'000))
                         : "");
    if (!key.empty()) {
      request.headers.emplace_back(model::kModelKeyHeader, key);
    }
    auto response = std::make_shared<int>(0);
    fleet.Call(daemon, request,
               [response](int status, const std::string& /*body*/) {
                 *response = status;
               });
    for (int i = 0; i < 310 && *response == 0; ++i) {
      fleet.Run(milliseconds(10));
    }
    return *response;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetJobAccessTest);

}  // namespace
}  // namespace figflow::test
