#include <string>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "FleetConfig/config_fixture.h"

namespace figflow {
namespace {

using std::chrono::milliseconds;
using test::Daemon;
using test::FaultyStore;
using test::kTimeout;
using test::Sheet;

constexpr milliseconds kNoWait{0};

// Reads the head in every round, as if the check interval had passed.
ConfigStoreOptions AlwaysCheck() {
  ConfigStoreOptions options;
  options.check_interval = kNoWait;
  return options;
}

// Applies revisions 1 to `count`; project "a" has as many instances as the
// revision says.
void ApplyUpTo(Daemon& daemon, uint64_t count) {
  for (uint64_t revision = daemon.revision(); revision < count; ++revision) {
    CPPUNIT_ASSERT_EQUAL(
        absl::StrCat("ok:", revision + 1),
        daemon.Apply(
            Sheet(revision, {{"a", static_cast<int>(revision) + 1}, {"b", 1}}),
            absl::StrCat("id", revision + 1).c_str()));
  }
}

class ConfigFollowTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigFollowTest);
  CPPUNIT_TEST(FollowsTheStoreInTime);
  CPPUNIT_TEST(SilentWatchIsCoveredByReads);
  CPPUNIT_TEST(StaleReadsDoNotRevert);
  CPPUNIT_TEST(RestoredStoreIsHealed);
  CPPUNIT_TEST(UnreadableHeadKeepsWhatIsInForce);
  CPPUNIT_TEST(PeersDeltasInAnyOrder);
  CPPUNIT_TEST(RefusesDamagedDeltas);
  CPPUNIT_TEST(DivergedDaemonsConverge);
  CPPUNIT_TEST(StartsFromPeersWhileTheStoreIsDown);
  CPPUNIT_TEST(StartsWithTheHighestOfStoreAndPeers);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a change that is not in force everywhere within 4 s.
  void FollowsTheStoreInTime() {
    test::FakeKeyValueStore store;
    ConfigStoreOptions options;
    options.watch_wait = milliseconds(200);
    Daemon follower(store, options);
    Daemon writer(store);
    std::atomic<int> changes{0};
    follower.config.SetOnChange([&changes] { ++changes; });
    follower.config.Start();
    ApplyUpTo(writer, 5);
    const MonoTime deadline = writer.clock.Now() + std::chrono::seconds(4);
    while (follower.revision() < 5 && writer.clock.Now() < deadline) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    CPPUNIT_ASSERT_EQUAL(uint64_t{5}, follower.revision());
    follower.config.Stop();
    CPPUNIT_ASSERT(changes >= 1);
  }

  void SilentWatchIsCoveredByReads() {
    FaultyStore store;
    Daemon writer(store);
    Daemon follower(store, AlwaysCheck());
    CPPUNIT_ASSERT(follower.config.SyncOnce(kNoWait));
    store.silent_watch = true;
    ApplyUpTo(writer, 2);
    CPPUNIT_ASSERT(follower.config.SyncOnce(kNoWait));
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, follower.revision());
  }

  // Guards against an old answer of the store putting an old configuration in
  // force, here or, by a wrong repair, in the store.
  void StaleReadsDoNotRevert() {
    for (const size_t stale : {1, 2, 4}) {
      FaultyStore store;
      Daemon daemon(store, AlwaysCheck());
      ApplyUpTo(daemon, 1);
      const VersionedValue old = *store.Head();
      ApplyUpTo(daemon, 3);
      const VersionedValue current = *store.Head();
      store.stale_reads.assign(stale, old);
      CPPUNIT_ASSERT(daemon.config.SyncOnce(kNoWait));
      CPPUNIT_ASSERT_EQUAL(uint64_t{3}, daemon.revision());
      CPPUNIT_ASSERT_EQUAL(3, daemon.Instances("a"));
      CPPUNIT_ASSERT_EQUAL(current.revision, store.Head()->revision);
      CPPUNIT_ASSERT_EQUAL(uint64_t{0},
                           daemon.Count("figflow_config_healed_total"));
      CPPUNIT_ASSERT(store.List("config/snapshot/", kTimeout)->empty());
    }
  }

  // Guards against a restore of the store undoing accepted configurations.
  void RestoredStoreIsHealed() {
    struct Case {
      const char* name;
      // Revision that the copy holds; 0 for an empty store.
      uint64_t copied;
      // The next step is an apply instead of following.
      bool apply;
    };
    for (const Case& c :
         {Case{"older copy", 2, false}, Case{"empty store", 0, false},
          Case{"older copy, apply", 2, true},
          Case{"empty store, apply", 0, true}}) {
      FaultyStore store;
      Daemon one(store, AlwaysCheck());
      Daemon two(store, AlwaysCheck());
      ApplyUpTo(one, c.copied);
      const auto copy = store.Snapshot();
      ApplyUpTo(one, 4);
      CPPUNIT_ASSERT(two.config.SyncOnce(kNoWait));
      store.Restore(copy);
      if (c.apply) {
        ApplyUpTo(one, 5);
      } else {
        CPPUNIT_ASSERT(one.config.SyncOnce(kNoWait));
      }
      const uint64_t expected = c.apply ? 5 : 4;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, expected, store.HeadRevision());
      CPPUNIT_ASSERT(two.config.SyncOnce(kNoWait));
      Daemon fresh(store);
      CPPUNIT_ASSERT(fresh.config.SyncOnce(kNoWait));
      for (const Daemon* daemon : {&one, &two, &fresh}) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, expected, daemon->revision());
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(expected),
                             daemon->Instances("a"));
      }
      CPPUNIT_ASSERT_EQUAL(uint64_t{1},
                           one.Count("figflow_config_healed_total"));
      CPPUNIT_ASSERT_EQUAL(uint64_t{0},
                           two.Count("figflow_config_healed_total"));
    }
  }

  void UnreadableHeadKeepsWhatIsInForce() {
    FaultyStore store;
    Daemon daemon(store, AlwaysCheck());
    ApplyUpTo(daemon, 2);
    std::string higher = store.Head()->value;
    higher.replace(higher.find(R"("revision":2)"), 12, R"("revision":7)");
    for (const std::string& head :
         {std::string("{"), std::string("[]"), std::string("{}"), higher}) {
      CPPUNIT_ASSERT(store.CompareAndSwap(kHeadKey, store.Head()->revision,
                                          head, kTimeout));
      CPPUNIT_ASSERT(!daemon.config.SyncOnce(kNoWait));
      CPPUNIT_ASSERT_EQUAL(std::string("invalid"),
                           daemon.Apply(Sheet(2, {{"a", 9}}), "id9"));
      CPPUNIT_ASSERT_EQUAL(uint64_t{2}, daemon.revision());
      CPPUNIT_ASSERT_EQUAL(head, store.Head()->value);
    }
  }

  // Guards against gaps, repetitions and late deltas changing what is in
  // force, and against a gap that is never filled.
  void PeersDeltasInAnyOrder() {
    FaultyStore store;
    Daemon source(store);
    ApplyUpTo(source, 2);
    const ConfigDelta old_whole = source.config.Pull(0);
    ApplyUpTo(source, 4);
    const auto& deltas = source.peers.pushed;
    struct Case {
      const char* name;
      std::vector<size_t> order;
      const char* outcomes;
      uint64_t revision;
    };
    for (const Case& c : {Case{"in order", {1, 2, 3, 4}, "aaaa", 4},
                          Case{"repeated", {1, 1, 2, 1, 2, 2}, "akakkk", 2},
                          Case{"reordered", {2, 1, 4, 3, 2, 3}, "gaggaa", 3},
                          Case{"gap", {1, 3, 4}, "agg", 1}}) {
      Daemon daemon(store);
      std::string outcomes;
      for (const size_t number : c.order) {
        outcomes +=
            "akgr"[static_cast<int>(daemon.config.OnDelta(deltas[number - 1]))];
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, std::string(c.outcomes), outcomes);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, c.revision, daemon.revision());
      // A pull fills the rest.
      const ConfigDelta rest = source.config.Pull(daemon.config.PullRevision());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, c.revision, rest.from_revision);
      (void)daemon.config.OnDelta(rest);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, uint64_t{4}, daemon.revision());
      CPPUNIT_ASSERT(source.config.Pull(4).payload.empty());
      CPPUNIT_ASSERT(daemon.config.OnDelta(source.config.Pull(4)) ==
                     DeltaOutcome::kKnown);
      CPPUNIT_ASSERT(daemon.config.OnDelta(old_whole) == DeltaOutcome::kKnown);
      CPPUNIT_ASSERT(daemon.config.InForce()->rows ==
                     source.config.InForce()->rows);
    }
  }

  void RefusesDamagedDeltas() {
    FaultyStore store;
    Daemon source(store);
    ApplyUpTo(source, 2);
    ConfigDelta damaged = source.peers.pushed[0];
    damaged.payload.replace(damaged.payload.find("pool-a"), 6, "pool-z");
    ConfigDelta whole = source.config.Pull(0);
    whole.payload.replace(whole.payload.find("pool-a"), 6, "pool-z");
    for (const ConfigDelta& delta :
         {damaged, whole, ConfigDelta{0, 9, "{}"}, ConfigDelta{0, 9, "x"},
          ConfigDelta{0, 9, R"({"steps":[{}]})"}}) {
      Daemon daemon(store);
      CPPUNIT_ASSERT(daemon.config.OnDelta(delta) == DeltaOutcome::kRefused);
      CPPUNIT_ASSERT_EQUAL(uint64_t{0}, daemon.revision());
    }
  }

  // Two daemons that did not know of each other applied to two copies of the
  // store. Guards against deltas being put on top of other contents, and
  // against the difference staying after the next apply.
  void DivergedDaemonsConverge() {
    FaultyStore store;
    FaultyStore lost;
    Daemon one(store, AlwaysCheck());
    Daemon two(lost, AlwaysCheck());
    CPPUNIT_ASSERT_EQUAL(std::string("ok:1"),
                         one.Apply(Sheet(0, {{"a", 1}, {"b", 1}}), "one"));
    CPPUNIT_ASSERT_EQUAL(std::string("ok:1"),
                         two.Apply(Sheet(0, {{"a", 2}}), "two"));
    lost.Restore(store.Snapshot());
    CPPUNIT_ASSERT(two.config.SyncOnce(kNoWait));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1},
                         two.Count("figflow_config_diverged_total"));
    CPPUNIT_ASSERT_EQUAL(2, two.Instances("a"));
    CPPUNIT_ASSERT_EQUAL(std::string("ok:2"),
                         one.Apply(Sheet(1, {{"a", 3}, {"b", 1}}), "next"));
    CPPUNIT_ASSERT(two.config.OnDelta(one.peers.pushed.back()) ==
                   DeltaOutcome::kGap);
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, two.config.PullRevision());
    CPPUNIT_ASSERT(two.config.OnDelta(one.config.Pull(0)) ==
                   DeltaOutcome::kApplied);
    CPPUNIT_ASSERT_EQUAL(3, two.Instances("a"));
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, two.config.PullRevision());
    // An apply through a diverged daemon replaces the other contents.
    Daemon three(lost, AlwaysCheck());
    ConfigDelta own = EncodeWhole(*one.config.InForce());
    CPPUNIT_ASSERT(three.config.OnDelta(own) == DeltaOutcome::kApplied);
    CPPUNIT_ASSERT_EQUAL(std::string("ok:3"),
                         three.Apply(Sheet(2, {{"a", 4}}), "last"));
    Daemon fresh(lost);
    CPPUNIT_ASSERT(fresh.config.SyncOnce(kNoWait));
    CPPUNIT_ASSERT_EQUAL(4, fresh.Instances("a"));
    CPPUNIT_ASSERT_EQUAL(-1, fresh.Instances("b"));
  }

  void StartsFromPeersWhileTheStoreIsDown() {
    FaultyStore store;
    Daemon source(store);
    ApplyUpTo(source, 3);
    store.SetDown(true);
    ConfigStoreOptions options;
    options.bootstrap.wait = milliseconds(30);
    Daemon fresh(store, options);
    CPPUNIT_ASSERT(!fresh.config.SyncOnce(kNoWait));
    CPPUNIT_ASSERT(!fresh.config.NotReadyReason().empty());
    fresh.peers.Add("source", 3);
    std::this_thread::sleep_for(milliseconds(40));
    CPPUNIT_ASSERT(!fresh.config.NotReadyReason().empty());
    CPPUNIT_ASSERT(fresh.config.OnDelta(source.config.Pull(0)) ==
                   DeltaOutcome::kApplied);
    CPPUNIT_ASSERT_EQUAL(std::string(), fresh.config.NotReadyReason());
    CPPUNIT_ASSERT_EQUAL(3, fresh.Instances("a"));
    // Ready for good: a later lag is not a reason to stop serving.
    fresh.peers.Add("source", 4);
    CPPUNIT_ASSERT_EQUAL(std::string(), fresh.config.NotReadyReason());
  }

  // Guards against a new daemon that takes an older configuration from a
  // restored store, and against an apply on top of it.
  void StartsWithTheHighestOfStoreAndPeers() {
    FaultyStore store;
    Daemon source(store);
    ApplyUpTo(source, 1);
    const auto copy = store.Snapshot();
    ApplyUpTo(source, 3);
    store.Restore(copy);
    Daemon fresh(store, AlwaysCheck());
    fresh.peers.Add("source", 3);
    CPPUNIT_ASSERT(fresh.config.SyncOnce(kNoWait));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, fresh.revision());
    CPPUNIT_ASSERT(!fresh.config.NotReadyReason().empty());
    CPPUNIT_ASSERT_EQUAL(std::string("unavailable"),
                         fresh.Apply(Sheet(1, {{"a", 9}}), "id9"));
    CPPUNIT_ASSERT(fresh.config.OnDelta(source.config.Pull(1)) ==
                   DeltaOutcome::kApplied);
    CPPUNIT_ASSERT_EQUAL(std::string(), fresh.config.NotReadyReason());
    CPPUNIT_ASSERT(fresh.config.SyncOnce(kNoWait));
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, store.HeadRevision());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigFollowTest);

}  // namespace
}  // namespace figflow
