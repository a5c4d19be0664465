// Pools that are split between owners: the whole engine against the model of
// the platform.
#include <algorithm>
#include <set>
#include <string>

#include "Fleet/fleet_test_support.h"

namespace figflow::test {
namespace {

class FleetPartsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetPartsTest);
  CPPUNIT_TEST(PartsOfAPoolHaveTheirOwnOwners);
  CPPUNIT_TEST(LostOwnerOfAPartLosesNothing);
  CPPUNIT_TEST(PendingJobsOfAllPartsAreCounted);
  CPPUNIT_TEST(EachPartBorrowsInstances);
  CPPUNIT_TEST(WaveReachesAllParts);
  CPPUNIT_TEST(UnknownListOfInstancesDoesNotStopTheStart);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a large pool whose whole load falls to one daemon.
  void PartsOfAPoolHaveTheirOwnOwners() {
    ModelFleet fleet(70);
    Begin(fleet, 1, 78, 0);
    std::set<int> owners;
    for (const char* scope : {"p0/0", "p0/1", "p0/2"}) {
      owners.insert(fleet.OwnerOf(scope));
    }
    CPPUNIT_ASSERT_EQUAL(size_t{3}, owners.size());
    CPPUNIT_ASSERT(owners.count(-1) == 0);
    CPPUNIT_ASSERT_EQUAL(-1, fleet.OwnerOf("p0"));
    SubmitMany(fleet, "a", "q0", 100, milliseconds(10));
    fleet.Run(seconds(10));
    AssertKept(fleet);
    CPPUNIT_ASSERT_EQUAL(100, fleet.promises.completed());
  }

  void LostOwnerOfAPartLosesNothing() {
    ModelFleet fleet(71);
    Begin(fleet, 2, 52, 0);
    SubmitMany(fleet, "a", "q0", 100, milliseconds(50));
    SubmitMany(fleet, "b", "q1", 100, milliseconds(50));
    for (const char* scope : {"p0/0", "p1/1"}) {
      fleet.time.After(seconds(2), [&fleet, scope] {
        fleet.Kill(std::max(0, fleet.OwnerOf(scope)), seconds(3));
      });
    }
    fleet.Run(seconds(30));
    AssertKept(fleet);
    CPPUNIT_ASSERT_EQUAL(200, fleet.promises.completed());
  }

  // Guards against callers that are told the count of one part.
  void PendingJobsOfAllPartsAreCounted() {
    ModelFleet fleet(72);
    Begin(fleet, 1, 52, 0);
    // No worker has room for these.
    SubmitMany(fleet, "a", "q0", 40, milliseconds(5), 1, 1, 17'000);
    fleet.Run(seconds(2));
    for (int daemon = 0; daemon < fleet.daemons(); ++daemon) {
      std::string counted;
      fleet.Call(daemon, model::ModelRequest("GET", "q0", "", ""),
                 [&counted](int status, const std::string& body) {
                   counted = absl::StrCat(status, " ", body);
                 });
      fleet.Run(seconds(1));
      CPPUNIT_ASSERT_EQUAL(std::string("200 40"), counted);
    }
  }

  void EachPartBorrowsInstances() {
    ModelFleet fleet(73);
    Begin(fleet, 1, 40, 40);
    SubmitMany(fleet, "a", "q0", 400, milliseconds(10), 2, 8, 2'000);
    fleet.Run(seconds(5));
    CPPUNIT_ASSERT(fleet.instances.CountIn("p0") >= 60);
    fleet.Run(seconds(60));
    AssertKept(fleet);
    CPPUNIT_ASSERT_EQUAL(400, fleet.promises.completed());
  }

  void WaveReachesAllParts() {
    ModelFleet fleet(74);
    Begin(fleet, 1, 56, 0);
    SubmitMany(fleet, "a", "q0", 60, milliseconds(100));
    const MaintenanceWave wave = StartWave(fleet, 20, 6);
    fleet.Run(seconds(30));
    AssertKept(fleet);
    CPPUNIT_ASSERT_EQUAL(20, fleet.instances.Maintained(wave.number));
  }

  // Guards against a new fleet without owners while the platform's list of
  // instances is away.
  void UnknownListOfInstancesDoesNotStopTheStart() {
    ModelFleet fleet(75);
    fleet.instances.list_away = true;
    Begin(fleet, 1, 4, 0);
    fleet.Run(seconds(4));
    CPPUNIT_ASSERT(fleet.OwnerOf("p0") >= 0);
    SubmitMany(fleet, "a", "q0", 10, milliseconds(50));
    fleet.Run(seconds(10));
    AssertKept(fleet);
    CPPUNIT_ASSERT_EQUAL(10, fleet.promises.completed());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetPartsTest);

}  // namespace
}  // namespace figflow::test
