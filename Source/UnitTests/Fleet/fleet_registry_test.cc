// Registry entries that were not written by a worker. The tests run the engine
// against the model of the platform.
#include <chrono>
#include <string>

#include "Fleet/fleet_test_support.h"

namespace figflow::test {
namespace {

class FleetRegistryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetRegistryTest);
  CPPUNIT_TEST(EntryFromTheFutureEndsNoWorker);
  CPPUNIT_TEST(EntryOfUnknownPoolEndsNoWorker);
  CPPUNIT_TEST(UnreadableEntriesHideNoOthers);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against tasks that start a second time because a malformed entry
  // counts as the next incarnation of the worker on their instance.
  void EntryFromTheFutureEndsNoWorker() {
    ModelFleet fleet(1);
    StartFleet(fleet, 1, 4, 0);
    JobSpec job = SimpleJob("a", "q0", 1, 4, 16'000);
    job.stages[0].perpetual = true;
    fleet.Submit(job, 0);
    fleet.Run(seconds(3));
    for (int i = 1; i <= 4; ++i) {
      WorkerReport malformed;
      malformed.key.incarnation =
          SinceEpoch(fleet.time.WallNow() + std::chrono::hours(24)).count();
      malformed.pool = "p0";
      malformed.address = "10.0.0.1:1";
      malformed.instance = absl::StrCat("m", i);
      malformed.capacity = kWorkerSize;
      fleet.store.Put(absl::StrCat(model::kModelWorkerPrefix, "odd", i),
                      model::FormatModelWorker(malformed));
    }
    fleet.Run(seconds(10));
    AssertPromisesKept(fleet);
  }

  // Guards against tasks that start a second time because an entry of a pool
  // that no plan names counts as the next worker on their instance.
  void EntryOfUnknownPoolEndsNoWorker() {
    ModelFleet fleet(3);
    StartFleet(fleet, 1, 8, 0);
    JobSpec job = SimpleJob("a", "q0", 1, 4, 4'000);
    job.stages[0].perpetual = true;
    fleet.Submit(job, 0);
    fleet.Run(seconds(3));
    CPPUNIT_ASSERT_EQUAL(size_t{4}, fleet.promises.Running().size());
    for (int i = 1; i <= 8; ++i) {
      WorkerReport unknown;
      // Later than those of the model.
      unknown.key.incarnation = 2'000;
      unknown.pool = "unknown";
      unknown.address = "10.0.0.1:1";
      unknown.instance = absl::StrCat("m", i);
      unknown.capacity = kWorkerSize;
      fleet.store.Put(absl::StrCat(model::kModelWorkerPrefix, "odd", i),
                      model::FormatModelWorker(unknown));
      fleet.Run(milliseconds(200));
    }
    fleet.Run(seconds(5));
    CPPUNIT_ASSERT_EQUAL(size_t{4}, fleet.promises.Running().size());
    AssertPromisesKept(fleet);
  }

  // Guards against a view of the registry that stops updating because of one
  // unreadable entry.
  void UnreadableEntriesHideNoOthers() {
    ModelFleet fleet(2);
    fleet.SetPlan(SimplePlan(1));
    for (const char* malformed : {"a", "w0", "zz"}) {
      fleet.store.Put(absl::StrCat(model::kModelWorkerPrefix, malformed),
                      "\x81\x81");
    }
    AddInstances(fleet, 1, 4, 0);
    fleet.AddDaemons(3);
    fleet.Run(seconds(2));
    SubmitMany(fleet, "a", "q0", 20, milliseconds(50));
    for (int i = 0; i < 10; ++i) {
      fleet.time.After(milliseconds(100 * i), [&fleet, i] {
        fleet.store.Put(absl::StrCat(model::kModelWorkerPrefix, "odd", i), "");
      });
    }
    fleet.Run(seconds(10));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(20, fleet.promises.completed());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetRegistryTest);

}  // namespace
}  // namespace figflow::test
