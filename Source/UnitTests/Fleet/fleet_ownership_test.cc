// Distribution of the pools among daemons of different sizes. The tests run the
// whole engine against the model of the platform.
#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "Fleet/fleet_test_support.h"
#include "Ownership/owner_record.h"

namespace figflow::test {
namespace {

constexpr int kLargeDaemons = 2;
constexpr int kSmallDaemons = 6;
const std::vector<std::string> kScopes = {"p0", "p1", "p2", kInstancesScope};

// The small daemons start first, so that only their size favours the large
// ones, which are daemons 6 and 7.
void StartUnevenFleet(ModelFleet& fleet) {
  fleet.SetPlan(SimplePlan(3));
  AddInstances(fleet, 3, 4, 0);
  fleet.AddDaemons(kSmallDaemons, 120);
  fleet.AddDaemons(kLargeDaemons, 500);
  fleet.Run(seconds(2));
}

bool IsLarge(int daemon) {
  return daemon >= kSmallDaemons;
}

int CountOwnedScopes(const ModelFleet& fleet, int daemon) {
  return static_cast<int>(std::count_if(
      kScopes.begin(), kScopes.end(),
      [&](const auto& scope) { return fleet.OwnerOf(scope) == daemon; }));
}

// Returns how long `scope` is without an owner, from the removal of its key.
milliseconds MeasureVacancy(ModelFleet& fleet, const std::string& scope) {
  for (int i = 0; i < 5'000 && fleet.OwnerOf(scope) >= 0; ++i) {
    fleet.Run(milliseconds(1));
  }
  milliseconds vacancy{0};
  while (vacancy < seconds(5) && fleet.OwnerOf(scope) < 0) {
    fleet.Run(milliseconds(1));
    ++vacancy;
  }
  return vacancy;
}

class FleetOwnershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetOwnershipTest);
  CPPUNIT_TEST(LargeDaemonsOwnThePools);
  CPPUNIT_TEST(NextLargestDaemonsTakeOverFromKilledOnes);
  CPPUNIT_TEST(StoreOutageMovesNoPoolToSmallDaemons);
  CPPUNIT_TEST(TakeOverDoesNotWaitForThePreviousOwner);
  CPPUNIT_TEST(AllDaemonsTrackAllMembers);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against pools owned by daemons that are too small for them, and
  // against a daemon that claims all pools.
  void LargeDaemonsOwnThePools() {
    for (uint64_t seed = 100; seed < 110; ++seed) {
      ModelFleet fleet(seed);
      StartUnevenFleet(fleet);
      CPPUNIT_ASSERT_EQUAL(2, CountOwnedScopes(fleet, 6));
      CPPUNIT_ASSERT_EQUAL(2, CountOwnedScopes(fleet, 7));
    }
  }

  void NextLargestDaemonsTakeOverFromKilledOnes() {
    ModelFleet fleet(111);
    StartUnevenFleet(fleet);
    SubmitMany(fleet, "a", "q0", 40, milliseconds(100));
    SubmitMany(fleet, "b", "q1", 40, milliseconds(100));
    fleet.Run(seconds(1));
    fleet.Kill(fleet.OwnerOf("p0"), seconds(60));
    fleet.Run(seconds(3));
    for (const std::string& scope : kScopes) {
      CPPUNIT_ASSERT_MESSAGE(scope, IsLarge(fleet.OwnerOf(scope)));
    }
    // Both large daemons are down, so the small ones divide the pools among
    // them.
    fleet.Kill(fleet.OwnerOf("p0"), seconds(60));
    fleet.Run(seconds(3));
    std::set<int> owners;
    for (const std::string& scope : kScopes) {
      owners.insert(fleet.OwnerOf(scope));
    }
    CPPUNIT_ASSERT(owners.count(-1) == 0);
    CPPUNIT_ASSERT_EQUAL(kScopes.size(), owners.size());
    fleet.Run(seconds(20));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(80, fleet.promises.completed());
  }

  // Guards against claims by the daemons that the store responds to first,
  // while the records of the others are missing.
  void StoreOutageMovesNoPoolToSmallDaemons() {
    for (uint64_t seed = 120; seed < 125; ++seed) {
      ModelFleet fleet(seed);
      StartUnevenFleet(fleet);
      fleet.store.faults.silent = true;
      fleet.store.faults.lapse = true;
      fleet.Run(seconds(5));
      fleet.store.faults.silent = false;
      for (int i = kSmallDaemons; i < fleet.daemons(); ++i) {
        fleet.Node(i)->store_cut = true;
      }
      fleet.Run(milliseconds(250));
      for (int i = kSmallDaemons; i < fleet.daemons(); ++i) {
        fleet.Node(i)->store_cut = false;
      }
      fleet.Run(seconds(3));
      for (const std::string& scope : kScopes) {
        CPPUNIT_ASSERT_MESSAGE(scope, IsLarge(fleet.OwnerOf(scope)));
      }
    }
  }

  // Guards against take-overs that wait for the daemon that hands over.
  void TakeOverDoesNotWaitForThePreviousOwner() {
    for (uint64_t seed = 130; seed < 135; ++seed) {
      ModelFleet fleet(seed);
      StartUnevenFleet(fleet);
      const int owner = fleet.OwnerOf("p0");
      fleet.Restart(owner);
      const milliseconds vacancy = MeasureVacancy(fleet, "p0");
      CPPUNIT_ASSERT_MESSAGE(absl::StrCat(vacancy.count(), " ms"),
                             vacancy <= milliseconds(60));
      fleet.Run(seconds(1));
      CPPUNIT_ASSERT(IsLarge(fleet.OwnerOf("p0")));
    }
  }

  // Guards against entries that hold only the owners' addresses: they could not
  // relay calls while the store is unavailable.
  void AllDaemonsTrackAllMembers() {
    ModelFleet fleet(140);
    StartUnevenFleet(fleet);
    for (int i = 0; i < fleet.daemons(); ++i) {
      CPPUNIT_ASSERT_EQUAL(size_t{kLargeDaemons + kSmallDaemons - 1},
                           fleet.Engine(i).Peers().size());
    }
    fleet.Kill(0, seconds(60));
    fleet.Run(seconds(3));
    CPPUNIT_ASSERT_EQUAL(size_t{kLargeDaemons + kSmallDaemons - 1},
                         fleet.Engine(1).Peers().size());
    fleet.Run(seconds(6));
    CPPUNIT_ASSERT_EQUAL(size_t{kLargeDaemons + kSmallDaemons - 2},
                         fleet.Engine(1).Peers().size());
    // An outage of the store removes all records.
    fleet.store.faults.silent = true;
    fleet.store.faults.lapse = true;
    fleet.Run(seconds(8));
    fleet.store.faults.silent = false;
    fleet.Run(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(size_t{kLargeDaemons + kSmallDaemons - 2},
                         fleet.Engine(1).Peers().size());
    fleet.Run(seconds(10));
    CPPUNIT_ASSERT_EQUAL(size_t{kLargeDaemons + kSmallDaemons - 2},
                         fleet.Engine(1).Peers().size());
    // The records of running daemons are removed.
    for (int i = 1; i < fleet.daemons(); ++i) {
      fleet.store.Revoke(MemberKey(absl::StrCat("d", i)));
    }
    fleet.Run(seconds(10));
    CPPUNIT_ASSERT_EQUAL(size_t{kLargeDaemons + kSmallDaemons - 2},
                         fleet.Engine(1).Peers().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetOwnershipTest);

}  // namespace
}  // namespace figflow::test
