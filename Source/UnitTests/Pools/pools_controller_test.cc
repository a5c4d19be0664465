#include "Pools/pools_controller.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Pools/pools_test_support.h"

namespace figflow::test {
namespace {

using WriteFault = FakeKeyValueStore::WriteFault;

const InstanceId kWorker("w0");

class PoolsControllerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PoolsControllerTest);
  CPPUNIT_TEST(SharesFollowJoinsAndReleases);
  CPPUNIT_TEST(LostAnswersAndRacesLeaveOneEffect);
  CPPUNIT_TEST(StoreDownKeepsTheTable);
  CPPUNIT_TEST(RestoredStoreIsBroughtForward);
  CPPUNIT_TEST(RequestInFlightDelaysMoveAndShare);
  CPPUNIT_TEST(RemovedShareWaitsForItsRequests);
  CPPUNIT_TEST(IdleStepsCallNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    kv_ = std::make_unique<FakeKeyValueStore>();
    input_ = {MonoTime(1h), WallTime(1000h), PoolsConfig{1, {Wanted("p", 1)}},
              std::vector<ListedInstance>{Worker(0)}};
  }

  void Rounds(std::initializer_list<Daemon*> daemons, int rounds = 4) {
    for (int i = 0; i < rounds; ++i) {
      for (Daemon* daemon : daemons) {
        daemon->Step(input_);
      }
    }
  }

  // Guards against a share that stays unused after a member has released it.
  void SharesFollowJoinsAndReleases() {
    Daemon a(*kv_, "a", 1);
    Daemon b(*kv_, "b", 1);
    Rounds({&a});
    CPPUNIT_ASSERT_EQUAL(8, a.traffic.SlotsAt(kWorker));
    Rounds({&a, &b});
    CPPUNIT_ASSERT_EQUAL(4, a.traffic.SlotsAt(kWorker));
    CPPUNIT_ASSERT_EQUAL(4, b.traffic.SlotsAt(kWorker));
    b.traffic.in_flight_[{PoolId("p"), kWorker}] = 1;
    b.controller.Release();
    Rounds({&a, &b});
    CPPUNIT_ASSERT(!b.status.released);
    CPPUNIT_ASSERT_EQUAL(0, b.traffic.SlotsAt(kWorker));
    b.traffic.in_flight_.clear();
    Rounds({&a, &b});
    CPPUNIT_ASSERT(b.status.released && !b.status.removed);
    // One more epoch: the confirmation of b must be deleted.
    Daemon c(*kv_, "c", 1);
    Rounds({&a, &c});
    CPPUNIT_ASSERT_EQUAL(size_t{0}, kv_->Snapshot().count("confirm/a/b"));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, kv_->Snapshot().count("confirm/a/c"));
    c.controller.Release();
    Rounds({&a, &c});
    CPPUNIT_ASSERT_EQUAL(8, a.traffic.SlotsAt(kWorker));
  }

  // Guards against applying a change twice or not at all if the response of the
  // store is lost or another daemon writes first.
  void LostAnswersAndRacesLeaveOneEffect() {
    for (const WriteFault fault : {WriteFault::kNone, WriteFault::kAnswerLost,
                                   WriteFault::kRequestLost}) {
      setUp();
      Daemon a(*kv_, "a", 1);
      Daemon b(*kv_, "b", 1);
      kv_->BeforeNextWrite([&] { b.Step(input_); });
      for (int i = 0; i < 3; ++i) {
        kv_->QueueWriteFault(fault);
      }
      Rounds({&a, &b});
      const DataCentreDocument document = *a.store.Current();
      CPPUNIT_ASSERT_EQUAL(size_t{2}, document.entries.current.size());
      CPPUNIT_ASSERT_EQUAL(size_t{1}, document.instances.size());
      CPPUNIT_ASSERT_EQUAL(
          8, a.traffic.SlotsAt(kWorker) + b.traffic.SlotsAt(kWorker));
    }
  }

  // Guards against a daemon that stops serving while it cannot reach the store.
  void StoreDownKeepsTheTable() {
    Daemon a(*kv_, "a", 1);
    Rounds({&a});
    kv_->SetDown(true);
    input_.config = {2, {Wanted("p", 0)}};
    input_.now += 1h;
    Rounds({&a});
    CPPUNIT_ASSERT(a.status.error.has_value());
    CPPUNIT_ASSERT_EQUAL(8, a.traffic.SlotsAt(kWorker));
    kv_->SetDown(false);
    Rounds({&a});
    CPPUNIT_ASSERT_EQUAL(0, a.traffic.SlotsAt(kWorker));
    // A daemon that has never read a document has no targets.
    Daemon b(*kv_, "b", 1);
    kv_->SetDown(true);
    Rounds({&b});
    CPPUNIT_ASSERT(b.status.table.pools.size() == 1 && !b.status.member);
    CPPUNIT_ASSERT_EQUAL(0, b.traffic.SlotsAt(kWorker));
  }

  // Guards against epochs and ownership that revert to an earlier state if the
  // store is restored from an old copy.
  void RestoredStoreIsBroughtForward() {
    Daemon a(*kv_, "a", 1);
    Rounds({&a});
    const auto old = kv_->Snapshot();
    input_.config = {2, {Wanted("q", 1)}};
    Rounds({&a});
    const uint64_t change = a.store.Current()->change;
    kv_->Restore(old);
    CPPUNIT_ASSERT(a.store.Refresh());
    CPPUNIT_ASSERT(a.store.StoreIsBehind());
    Rounds({&a});
    const auto document =
        ParseDataCentreDocument(kv_->Snapshot().at("dc/a").value);
    CPPUNIT_ASSERT(document->change > change);
    CPPUNIT_ASSERT(document->instances.at(kWorker).pool == PoolId("q"));
    // The copy lacks a confirmation that b has not read yet.
    Daemon b(*kv_, "b", 1);
    Rounds({&a, &b}, 1);
    Rounds({&a}, 1);
    kv_->Restore(old);
    CPPUNIT_ASSERT(a.store.Refresh() && b.store.Refresh());
    Rounds({&a, &b}, 8);
    CPPUNIT_ASSERT_EQUAL(4, b.traffic.SlotsAt(kWorker));
  }

  // Guards against assigning an instance to another pool, or a slot to another
  // member, while an earlier request still uses it.
  void RequestInFlightDelaysMoveAndShare() {
    Daemon a(*kv_, "a", 1);
    Daemon b(*kv_, "b", 1);
    Rounds({&a});
    auto& in_flight = a.traffic.in_flight_[{PoolId("p"), kWorker}];
    in_flight = 6;
    Rounds({&a, &b});
    CPPUNIT_ASSERT_EQUAL(4, a.traffic.SlotsAt(kWorker));
    CPPUNIT_ASSERT_EQUAL(0, b.traffic.SlotsAt(kWorker));
    in_flight = 4;
    Rounds({&a, &b});
    CPPUNIT_ASSERT_EQUAL(4, b.traffic.SlotsAt(kWorker));
    input_.config = {2, {Wanted("q", 1)}};
    Rounds({&a, &b});
    CPPUNIT_ASSERT_EQUAL(0, a.traffic.SlotsAt(kWorker));
    CPPUNIT_ASSERT(b.store.Current()->instances.at(kWorker).pool ==
                   PoolId("p"));
    in_flight = 0;
    Rounds({&a, &b});
    CPPUNIT_ASSERT(b.store.Current()->instances.at(kWorker).pool ==
                   PoolId("q"));
    CPPUNIT_ASSERT_EQUAL(4, a.traffic.SlotsAt(kWorker));
  }

  // Guards against using the slots of a removed member while its requests may
  // still run, and against removing a member that has joined again because of a
  // stale list.
  void RemovedShareWaitsForItsRequests() {
    Daemon a(*kv_, "a", 1);
    Daemon b(*kv_, "b", 1);
    Rounds({&a, &b});
    CPPUNIT_ASSERT(!a.controller.RemoveEntry(EntryId("x")));
    CPPUNIT_ASSERT(a.controller.RemoveEntry(EntryId("b")));
    Rounds({&a});
    input_.now += kBound - 1ms;
    Rounds({&a});
    CPPUNIT_ASSERT_EQUAL(4, a.traffic.SlotsAt(kWorker));
    input_.now += 1ms;
    Rounds({&a});
    CPPUNIT_ASSERT_EQUAL(8, a.traffic.SlotsAt(kWorker));
    Rounds({&b});
    CPPUNIT_ASSERT(b.status.removed);
    CPPUNIT_ASSERT_EQUAL(0, b.traffic.SlotsAt(kWorker));

    ListedInstance entry;
    entry.id = InstanceId("b");
    entry.role = InstanceRole::kEntry;
    entry.boot = 4;
    input_.listed->push_back(entry);
    Daemon again(*kv_, "b", 2);
    Rounds({&a, &again});
    CPPUNIT_ASSERT_EQUAL(4, again.traffic.SlotsAt(kWorker));
    input_.listed->back().state = InstanceState::kGone;
    input_.listed->back().boot = 3;
    Rounds({&a, &again});
    CPPUNIT_ASSERT(again.status.member);
    input_.listed->back().boot = 4;
    Rounds({&a, &again});
    CPPUNIT_ASSERT(again.status.removed);
  }

  // Guards against store traffic while there is nothing to change.
  void IdleStepsCallNothing() {
    Daemon a(*kv_, "a", 1);
    Daemon b(*kv_, "b", 1);
    Rounds({&a, &b});
    const uint64_t calls = kv_->calls();
    for (int i = 0; i < 10; ++i) {
      a.controller.Step(input_);
    }
    CPPUNIT_ASSERT_EQUAL(calls, kv_->calls());
  }

 private:
  std::unique_ptr<FakeKeyValueStore> kv_;
  PoolsInput input_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PoolsControllerTest);

}  // namespace
}  // namespace figflow::test
