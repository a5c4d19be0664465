#include "Pools/instance_ownership.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Pools/ledger.h"
#include "Pools/move_planner.h"
#include "Pools/pools_test_support.h"

namespace figflow::test {
namespace {

const std::optional<std::set<InstanceId>> kNoneBusy = std::set<InstanceId>();

const WallTime kStart = FromEpoch(std::chrono::hours(24 * 20'000));

DocumentChange At(std::chrono::milliseconds offset) {
  static int writes = 0;
  return {kStart + offset, absl::StrCat("write", ++writes)};
}

// Returns a document with the given numbers of instances in the spare pool and
// in pools p and q.
DataCentreDocument Filled(int spare, int p, int q) {
  DataCentreDocument document;
  document.data_centre = DataCentreId("a");
  std::vector<ListedInstance> listed;
  listed.reserve(spare + p + q);
  for (int i = 0; i < spare + p + q; ++i) {
    listed.push_back(Worker(i));
  }
  SyncInstances(document, listed, {1, {Wanted("p", p), Wanted("q", q)}},
                At(0s));
  return document;
}

struct PlanCase {
  const char* name;
  int spare, p, q;
  int wanted_p, wanted_q;
  int max_moves;
  // Instances per pool after the planned moves, and the number of moves.
  int spare_after, p_after, q_after;
  int moves;
};

constexpr PlanCase kPlanCases[] = {
    {"as wanted", 2, 2, 2, 2, 2, 9, 2, 2, 2, 0},
    {"spare pool fills a shortage", 2, 2, 2, 3, 2, 9, 1, 3, 2, 1},
    {"surplus moves directly to a shortage", 2, 3, 2, 2, 3, 9, 2, 2, 3, 1},
    {"surplus moves to the spare pool", 0, 4, 2, 1, 2, 9, 3, 1, 2, 3},
    {"surplus, spare and shortage", 1, 3, 0, 2, 3, 9, 0, 2, 2, 2},
    {"limit of moves per day", 4, 0, 0, 4, 0, 3, 1, 3, 0, 3},
    {"no moves allowed", 2, 2, 2, 4, 0, 0, 2, 2, 2, 0},
    {"spare pool is empty", 0, 2, 2, 4, 2, 9, 0, 2, 2, 0},
};

class InstanceOwnershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InstanceOwnershipTest);
  CPPUNIT_TEST(MovesAreFewAndLimited);
  CPPUNIT_TEST(OlderConfigurationPlansNothing);
  CPPUNIT_TEST(ListBringsInstancesInAndOut);
  CPPUNIT_TEST(RebootingInstanceStays);
  CPPUNIT_TEST(LedgerCountsEachInstantOnce);
  CPPUNIT_TEST(MaintenanceExcludesMovesAndNeedsItsOwnConfirmation);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against unnecessary moves and against exceeding the limit of moves
  // per day.
  void MovesAreFewAndLimited() {
    for (const PlanCase& c : kPlanCases) {
      DataCentreDocument document = Filled(c.spare, c.p, c.q);
      const PoolsConfig config{2,
                               {Wanted("p", c.wanted_p, c.max_moves),
                                Wanted("q", c.wanted_q, c.max_moves)}};
      int moves = 0;
      // The second round must plan no further move, even though the clock was
      // set back by a day.
      for (const auto offset : {0h, -24h}) {
        for (const PlannedMove& move :
             PlanMoves(document, config, kStart + offset)) {
          CPPUNIT_ASSERT(BeginMove(document, move.instance, move.to_pool,
                                   move.to_project, At(offset)));
          ++moves;
        }
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, c.moves, moves);
      const auto count = [&](const char* pool) {
        return CountInPool(document, PoolId(pool));
      };
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, c.spare_after, count(kSparePool));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, c.p_after, count("p"));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, c.q_after, count("q"));
    }
  }

  // Guards against two daemons with different configuration revisions that move
  // the same instances back and forth.
  void OlderConfigurationPlansNothing() {
    DataCentreDocument document = Filled(2, 1, 0);
    document.config_revision = 7;
    const PoolSettings target = Wanted("p", 2);
    CPPUNIT_ASSERT(PlanMoves(document, {6, {target}}, kStart).empty());
    CPPUNIT_ASSERT(PlanMoves(document, {0, {target}}, kStart).empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         PlanMoves(document, {7, {target}}, kStart).size());
    SyncInstances(document, {Worker(9)}, {6, {target}}, At(0s));
    CPPUNIT_ASSERT_EQUAL(1, CountInPool(document, PoolId("p")));
  }

  // Guards against removing instances or adding lost ones again because of a
  // stale or incomplete list.
  void ListBringsInstancesInAndOut() {
    const PoolsConfig config{1, {Wanted("p", 2)}};
    DataCentreDocument document = Filled(0, 2, 0);
    const InstanceId id("w0");
    const auto sync = [&](InstanceState state, uint64_t boot,
                          const PoolsConfig& with) {
      ListedInstance listed = Worker(0, boot, 4);
      listed.state = state;
      return SyncInstances(document, {listed}, with, At(1s));
    };
    CPPUNIT_ASSERT(!SyncInstances(document, {}, config, At(1s)));
    CPPUNIT_ASSERT(!sync(InstanceState::kLeaving, 1, config));
    CPPUNIT_ASSERT(sync(InstanceState::kLive, 3, config));
    CPPUNIT_ASSERT_EQUAL(4, document.instances.at(id).slots);
    CPPUNIT_ASSERT(!sync(InstanceState::kLive, 1, config));
    CPPUNIT_ASSERT(!sync(InstanceState::kGone, 2, config));
    CPPUNIT_ASSERT(sync(InstanceState::kGone, 3, config));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, document.instances.count(id));
    CPPUNIT_ASSERT(!sync(InstanceState::kLive, 3, config));
    CPPUNIT_ASSERT(!sync(InstanceState::kLeaving, 4, config));
    // A member may still have earlier requests to the instance in flight.
    CPPUNIT_ASSERT(sync(InstanceState::kLive, 4, config));
    CPPUNIT_ASSERT(document.instances.at(id).stage == InstanceStage::kDraining);
    ListedInstance other = Worker(50);
    other.data_centre = DataCentreId("b");
    ListedInstance entry = Worker(51);
    entry.role = InstanceRole::kEntry;
    CPPUNIT_ASSERT(!SyncInstances(document, {other, entry}, config, At(1s)));
  }

  // Guards against a reboot that counts as failed because the list shows the
  // instance as gone while it reboots.
  void RebootingInstanceStays() {
    DataCentreDocument document = Filled(0, 1, 0);
    const InstanceId id("w0");
    const OperationId operation("op");
    CPPUNIT_ASSERT(BeginMaintenance(document, id, operation, At(0s)).value());
    ListedInstance gone = Worker(0);
    gone.state = InstanceState::kGone;
    CPPUNIT_ASSERT(!SyncInstances(document, {gone}, {}, At(1s)));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, document.instances.count(id));
    // It is lost if it stays away after its operation.
    CPPUNIT_ASSERT(EndMaintenance(document, id, operation));
    CPPUNIT_ASSERT(SyncInstances(document, {gone}, {}, At(2s)));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, document.instances.count(id));
  }

  // Guards against counting time twice or not at all if clocks differ or are
  // set back.
  void LedgerCountsEachInstantOnce() {
    DataCentreDocument document = Filled(1, 0, 0);
    const InstanceId id("w0");
    const auto move = [&](const char* pool, std::chrono::milliseconds at) {
      CPPUNIT_ASSERT(
          BeginMove(document, id, PoolId(pool), ProjectId(pool), At(at)));
      CPPUNIT_ASSERT(CompleteMoves(document, {}, RemovalTracker(kBound),
                                   kNoneBusy, MonoTime(), At(at)));
    };
    move("p", 10s);
    move("q", 25s);
    move("p", 20s);  // The clock was set back by 5 s: q is charged no time.
    ListedInstance gone = Worker(0);
    gone.state = InstanceState::kGone;
    CPPUNIT_ASSERT(SyncInstances(document, {gone}, {}, At(40s)));
    // The instance is added again at an earlier time than it departed.
    CPPUNIT_ASSERT(SyncInstances(document, {Worker(0, 2)}, {}, At(30s)));
    CPPUNIT_ASSERT(CompleteMoves(document, {}, RemovalTracker(kBound),
                                 kNoneBusy, {}, At(30s)));
    const auto totals = LedgerTotals(document, kStart + 45s);
    const std::map<ProjectId, std::chrono::milliseconds> expected = {
        {ProjectId(kSparePool), 15s},
        {ProjectId("p"), 30s},
        {ProjectId("q"), 0s}};
    CPPUNIT_ASSERT(expected == totals);
    CPPUNIT_ASSERT(LedgerTotals(document, kStart) ==
                   LedgerTotals(document, kStart + 40s));
  }

  // Guards against a reboot based on a confirmation of an earlier drain, and
  // against moving an instance in maintenance.
  void MaintenanceExcludesMovesAndNeedsItsOwnConfirmation() {
    DataCentreDocument document = Filled(1, 0, 0);
    const InstanceId id("w0");
    const OperationId operation("op");
    document.entries.current = {{EntryId("e"), 1, 0, {}}};
    CPPUNIT_ASSERT(BeginMaintenance(document, id, operation, At(0s)).value());
    CPPUNIT_ASSERT(!BeginMaintenance(document, id, operation, At(0s)).value());
    CPPUNIT_ASSERT(!BeginMaintenance(document, id, OperationId("x"), At(0s)));
    CPPUNIT_ASSERT(!BeginMove(document, id, PoolId("p"), {}, At(0s)));
    CPPUNIT_ASSERT(!EndMaintenance(document, id, OperationId("x")));
    const RemovalTracker waits(kBound);
    Confirmations confirmed;
    confirmed[EntryId("e")] = {
        EntryId("e"), 1, "", {{id, document.instances.at(id).drain_id}}};
    CPPUNIT_ASSERT(!IsDrained(document, id, {}, waits, MonoTime()));
    CPPUNIT_ASSERT(IsDrained(document, id, confirmed, waits, MonoTime()));
    CPPUNIT_ASSERT(EndMaintenance(document, id, operation));
    CPPUNIT_ASSERT(BeginMaintenance(document, id, operation, At(0s)).value());
    CPPUNIT_ASSERT(!IsDrained(document, id, confirmed, waits, MonoTime()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InstanceOwnershipTest);

}  // namespace
}  // namespace figflow::test
