#include "Maintenance/failure_accountant.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Maintenance/maintenance_test_support.h"
#include "Maintenance/rollout_watcher.h"

namespace figflow::test {
namespace {

const std::optional<std::set<InstanceId>> kNoneBusy = std::set<InstanceId>();

const WallTime kStart{24h * 20'000};

class FailureAccountantTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FailureAccountantTest);
  CPPUNIT_TEST(LossesAreChargedUntilReplaced);
  CPPUNIT_TEST(WatcherFindsActiveRollouts);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against losses that are not charged, that are charged for ever, or
  // that a second or restarted daemon charges again.
  void LossesAreChargedUntilReplaced() {
    for (const bool returns : {false, true}) {
      FakeKeyValueStore kv;
      const BudgetStore budget(kv, "a/1", 50ms);
      const BudgetStore other(kv, "b/1", 50ms);
      FailureAccountant accountant(budget);
      FailureAccountant second(other);
      DataCentreDocument document;
      document.data_centre = DataCentreId("a");
      const PoolsConfig config{1, {Wanted("p", 2)}};
      std::vector<ListedInstance> listed = {Worker(0), Worker(1)};
      SyncInstances(document, listed, config, {kStart, "1"});
      const auto step = [&](std::chrono::minutes at) {
        CPPUNIT_ASSERT(accountant.Step(document, config, kStart + at));
        CPPUNIT_ASSERT(second.Step(document, config, kStart + at));
      };
      const auto unplanned = [&](std::chrono::minutes at) {
        return StatusNow(*budget.Read(kTestProject), kStart + at).unplanned;
      };
      step(0min);
      listed[0].state = InstanceState::kGone;
      SyncInstances(document, listed, config, {kStart + 1min, "2"});
      step(1min);
      CPPUNIT_ASSERT(unplanned(4min) == 3min);
      if (returns) {
        listed[0] = Worker(0, 2);
      } else {
        listed.push_back(Worker(7));
      }
      SyncInstances(document, listed, config, {kStart + 6min, "3"});
      CompleteMoves(document, {}, RemovalTracker(kBound), kNoneBusy, {},
                    {kStart + 6min, "4"});
      step(6min);
      FailureAccountant restarted(budget);
      CPPUNIT_ASSERT(restarted.Step(document, config, kStart + 7min));
      CPPUNIT_ASSERT(unplanned(9min) == 5min);
      const uint64_t calls = kv.calls();
      step(8min);
      CPPUNIT_ASSERT_EQUAL(calls, kv.calls());
    }
  }

  // Guards against a roll-out that no daemon drives, and against calls for
  // projects without one.
  void WatcherFindsActiveRollouts() {
    FakeKeyValueStore kv;
    const WaveStore waves(kv, kTestProject, "a/1", 50ms);
    RolloutWatcher watcher(kv);
    CPPUNIT_ASSERT(
        waves.Start("r", {{InstanceId("i"), DataCentreId("a"), {}}}));
    (void)kv.CompareAndSwap("wave/bad", 0, "{", 50ms);
    CPPUNIT_ASSERT(watcher.Poll(0ms));
    CPPUNIT_ASSERT(watcher.active() == std::set<ProjectId>{kTestProject});
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         watcher.unreadable().count(ProjectId("bad")));
    WaveStore driver(kv, kTestProject, "b/1", 50ms);
    const auto base = driver.ReadChanged();
    WaveDocument next = base->document;
    next.instances.begin()->second.stage = WaveStage::kDone;
    CPPUNIT_ASSERT(AdvanceRollout(next));
    CPPUNIT_ASSERT(driver.WriteOnce(*base, next));
    CPPUNIT_ASSERT(!driver.WriteOnce(*base, next));
    CPPUNIT_ASSERT(driver.ReadChanged()->document.state ==
                   RolloutState::kFinished);
    CPPUNIT_ASSERT(watcher.Poll(0ms));
    CPPUNIT_ASSERT(watcher.active().empty());
    kv.SetDown(true);
    CPPUNIT_ASSERT(!watcher.Poll(0ms));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailureAccountantTest);

}  // namespace
}  // namespace figflow::test
