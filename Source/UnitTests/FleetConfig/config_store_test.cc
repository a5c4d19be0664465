#include "FleetConfig/config_store.h"

#include <atomic>
#include <string>
#include <thread>
#include <vector>

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
using WriteFault = test::FakeKeyValueStore::WriteFault;

struct LostCase {
  const char* name;
  std::vector<WriteFault> faults;
  // The store is down from just after the first write on.
  bool down_after_write;
  const char* first;
  // Outcome of the same apply repeated without faults.
  const char* repeated;
};

const LostCase kLostCases[] = {
    {"no fault", {}, false, "ok:1", "ok:1"},
    {"answer lost", {WriteFault::kAnswerLost}, false, "ok:1", "ok:1"},
    {"request lost", {WriteFault::kRequestLost}, false, "ok:1", "ok:1"},
    {"request, then answer lost",
     {WriteFault::kRequestLost, WriteFault::kAnswerLost},
     false,
     "ok:1",
     "ok:1"},
    {"all requests lost", std::vector<WriteFault>(20, WriteFault::kRequestLost),
     false, "unknown-outcome", "ok:1"},
    {"answer lost, store down",
     {WriteFault::kAnswerLost},
     true,
     "unknown-outcome",
     "ok:1"},
    {"request lost, store down",
     {WriteFault::kRequestLost},
     true,
     "unknown-outcome",
     "ok:1"},
};

class ConfigStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigStoreTest);
  CPPUNIT_TEST(LostAnswersAreSettledByApplyId);
  CPPUNIT_TEST(UnavailableStoreChangesNothing);
  CPPUNIT_TEST(OneOfTwoRacingOperatorsWins);
  CPPUNIT_TEST(LostAnswerIsFoundUnderALaterApply);
  CPPUNIT_TEST(RefusesWhatItCannotBaseOn);
  CPPUNIT_TEST(HeadStaysSmallAndSnapshotsAreReplaced);
  CPPUNIT_TEST(LostSnapshotAnswersAreSettled);
  CPPUNIT_TEST(ConcurrentAppliesGetARevisionEach);
  CPPUNIT_TEST(TwoYearSizeFits);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against reporting a durable apply as failed, a lost one as done,
  // and against a repeated apply making a second revision.
  void LostAnswersAreSettledByApplyId() {
    for (const LostCase& c : kLostCases) {
      FaultyStore store;
      Daemon daemon(store);
      for (const WriteFault fault : c.faults) {
        store.QueueWriteFault(fault);
      }
      if (c.down_after_write) {
        store.after_write = [&store] { store.SetDown(true); };
      }
      const SheetDocument sheet = Sheet(0, {{"a", 1}});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          c.name, std::string(c.first),
          daemon.Apply(sheet, "id1", milliseconds(300)));
      // Nothing may be in force that is not known to be durable.
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          c.name, uint64_t{std::string(c.first) == "ok:1" ? 1U : 0U},
          daemon.revision());
      store.SetDown(false);
      for (int left = 0; left < 20; ++left) {
        (void)store.CompareAndSwap("drain-faults", 0, "", kTimeout);
      }
      Daemon other(store);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, std::string(c.repeated),
                                   other.Apply(sheet, "id1"));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, uint64_t{1}, store.HeadRevision());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, 1, other.Instances("a"));
    }
  }

  void UnavailableStoreChangesNothing() {
    FaultyStore store;
    Daemon daemon(store);
    store.SetDown(true);
    CPPUNIT_ASSERT_EQUAL(std::string("unavailable"),
                         daemon.Apply(Sheet(0, {{"a", 1}}), "id1"));
    store.SetDown(false);
    store.BeforeNextWrite([&store] { store.SetDown(true); });
    CPPUNIT_ASSERT_EQUAL(
        std::string("unavailable"),
        daemon.Apply(Sheet(0, {{"a", 1}}), "id1", milliseconds(150)));
    store.SetDown(false);
    CPPUNIT_ASSERT(!store.Head());
  }

  // Guards against the later writer undoing the earlier one's change, with and
  // without a snapshot to write.
  void OneOfTwoRacingOperatorsWins() {
    for (const bool lost : {false, true}) {
      FaultyStore store;
      Daemon one(store);
      Daemon two(store);
      CPPUNIT_ASSERT_EQUAL(std::string("ok:1"),
                           one.Apply(Sheet(0, {{"a", 1}, {"b", 1}}), "first"));
      std::string winner;
      store.BeforeNextWrite([&] {
        winner = two.Apply(Sheet(1, {{"a", 1}, {"b", 2}}), "two");
      });
      store.QueueWriteFault(WriteFault::kNone);
      store.QueueWriteFault(lost ? WriteFault::kRequestLost
                                 : WriteFault::kNone);
      CPPUNIT_ASSERT_EQUAL(std::string("conflict"),
                           one.Apply(Sheet(1, {{"a", 2}, {"b", 1}}), "one"));
      CPPUNIT_ASSERT_EQUAL(std::string("ok:2"), winner);
      CPPUNIT_ASSERT_EQUAL(
          std::string("revision 2 was applied meanwhile (apply id two)"),
          one.message);
      CPPUNIT_ASSERT_EQUAL(uint64_t{2}, one.revision());
      CPPUNIT_ASSERT_EQUAL(1, one.Instances("a"));
      CPPUNIT_ASSERT_EQUAL(2, one.Instances("b"));
      CPPUNIT_ASSERT_EQUAL(std::string("conflict"),
                           one.Apply(Sheet(1, {{"a", 2}, {"b", 1}}), "again"));
      CPPUNIT_ASSERT(one.message.find("apply id two") != std::string::npos);
      CPPUNIT_ASSERT_EQUAL(std::string("ok:3"),
                           one.Apply(Sheet(2, {{"a", 2}, {"b", 2}}), "one"));
    }
  }

  // Guards against a false conflict when another apply follows before the
  // lost answer is settled.
  void LostAnswerIsFoundUnderALaterApply() {
    FaultyStore store;
    Daemon one(store);
    Daemon two(store);
    store.QueueWriteFault(WriteFault::kAnswerLost);
    store.after_write = [&two] {
      CPPUNIT_ASSERT_EQUAL(std::string("ok:2"),
                           two.Apply(Sheet(1, {{"a", 2}}), "two"));
    };
    CPPUNIT_ASSERT_EQUAL(std::string("ok:1"),
                         one.Apply(Sheet(0, {{"a", 1}}), "one"));
    CPPUNIT_ASSERT(one.config.SyncOnce(milliseconds(0)));
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, one.revision());
    CPPUNIT_ASSERT_EQUAL(2, one.Instances("a"));
  }

  void RefusesWhatItCannotBaseOn() {
    FaultyStore store;
    Daemon daemon(store);
    const SheetDocument sheet = Sheet(0, {{"a", 1}});
    SheetDocument twice = sheet;
    twice.rows.push_back(sheet.rows[0]);
    daemon.peers.Add("gone", 9, /*suspect=*/true);
    CPPUNIT_ASSERT_EQUAL(std::string("invalid"), daemon.Apply(twice, "id"));
    CPPUNIT_ASSERT_EQUAL(std::string("invalid"), daemon.Apply(sheet, "a/b"));
    CPPUNIT_ASSERT_EQUAL(std::string("conflict"),
                         daemon.Apply(Sheet(3, {{"a", 1}}), "id"));
    CPPUNIT_ASSERT_EQUAL(std::string("ok:1"), daemon.Apply(sheet, "id"));
    CPPUNIT_ASSERT_EQUAL(std::string("conflict"),
                         daemon.Apply(Sheet(1, {{"a", 2}}), "id"));
    // No difference, no revision.
    CPPUNIT_ASSERT_EQUAL(std::string("ok:1"),
                         daemon.Apply(Sheet(1, {{"a", 1}}), "same"));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, daemon.peers.pushed.size());
    // A peer knows a revision that this daemon and the store do not have.
    daemon.peers.Add("peer", 2);
    CPPUNIT_ASSERT_EQUAL(std::string("unavailable"),
                         daemon.Apply(Sheet(1, {{"a", 2}}), "new"));
    CPPUNIT_ASSERT(daemon.config.DumpState()["unconfirmed"].empty());
    daemon.peers.Add("peer", 0);
    CPPUNIT_ASSERT_EQUAL(std::string(R"(["peer"])"),
                         daemon.config.DumpState()["unconfirmed"].dump());
  }

  void HeadStaysSmallAndSnapshotsAreReplaced() {
    FaultyStore store;
    Daemon daemon(store);
    std::map<std::string, int> instances;
    size_t largest = 0;
    for (int i = 0; i < 120; ++i) {
      instances[absl::StrCat("project-with-a-long-name-", i)] = 1;
      instances["a"] = i;
      CPPUNIT_ASSERT_EQUAL(
          absl::StrCat("ok:", i + 1),
          daemon.Apply(Sheet(static_cast<uint64_t>(i), instances),
                       absl::StrCat("id", i).c_str()));
      largest = std::max(largest, store.Head()->value.size());
    }
    CPPUNIT_ASSERT(largest <= kMaxHeadBytes);
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         store.List("config/snapshot/", kTimeout)->size());
    Daemon fresh(store);
    CPPUNIT_ASSERT(fresh.config.SyncOnce(milliseconds(0)));
    CPPUNIT_ASSERT_EQUAL(uint64_t{120}, fresh.revision());
    CPPUNIT_ASSERT(fresh.config.InForce()->rows ==
                   daemon.config.InForce()->rows);
    // Steps in the head serve peers that are a little behind.
    CPPUNIT_ASSERT(fresh.config.Pull(115).from_revision == 115);
  }

  void LostSnapshotAnswersAreSettled() {
    for (const WriteFault fault :
         {WriteFault::kAnswerLost, WriteFault::kRequestLost}) {
      FaultyStore store;
      Daemon daemon(store);
      std::map<std::string, int> many;
      for (int i = 0; i < 500; ++i) {
        many[absl::StrCat("p", i)] = 1;
      }
      store.QueueWriteFault(fault);
      CPPUNIT_ASSERT_EQUAL(std::string("ok:1"),
                           daemon.Apply(Sheet(0, many), "id"));
      Daemon fresh(store);
      CPPUNIT_ASSERT(fresh.config.SyncOnce(milliseconds(0)));
      CPPUNIT_ASSERT_EQUAL(size_t{500}, fresh.config.InForce()->rows.size());
    }
  }

  // Guards against two applies that report the same revision.
  void ConcurrentAppliesGetARevisionEach() {
    test::FakeKeyValueStore store;
    std::atomic<uint64_t> succeeded{0};
    std::vector<std::thread> operators;
    operators.reserve(4);
    for (int n = 0; n < 4; ++n) {
      operators.emplace_back([&store, &succeeded, n] {
        Daemon daemon(store);
        for (int i = 0; i < 10; ++i) {
          const std::string id = absl::StrCat("op", n, "-", i);
          const std::string outcome = daemon.Apply(
              Sheet(daemon.revision(), {{"a", 1 + n * 100 + i}}), id.c_str());
          succeeded += outcome.rfind("ok:", 0) == 0 ? 1 : 0;
        }
      });
    }
    for (std::thread& thread : operators) {
      thread.join();
    }
    Daemon last(store);
    CPPUNIT_ASSERT(last.config.SyncOnce(milliseconds(0)));
    CPPUNIT_ASSERT(succeeded >= 10);
    CPPUNIT_ASSERT_EQUAL(succeeded.load(), last.revision());
  }

  // 194 pools in 15 data centres with long names.
  void TwoYearSizeFits() {
    FaultyStore store;
    Daemon daemon(store);
    SheetDocument sheet;
    for (int pool = 0; pool < 194; ++pool) {
      for (int dc = 0; dc < 15; ++dc) {
        SheetRow row = Sheet(0, {{absl::StrCat("project-", pool), 2}}).rows[0];
        row.data_centre = DataCentreId(absl::StrCat("region-data-centre-", dc));
        sheet.rows.push_back(row);
      }
    }
    std::sort(sheet.rows.begin(), sheet.rows.end(), RowKeyLess);
    CPPUNIT_ASSERT_EQUAL(std::string("ok:1"), daemon.Apply(sheet, "big"));
    sheet.base_revision = 1;
    sheet.rows[7].instances = 3;
    CPPUNIT_ASSERT_EQUAL(std::string("ok:2"), daemon.Apply(sheet, "small"));
    // A change travels as its row, not as the whole document.
    CPPUNIT_ASSERT(daemon.peers.pushed.back().payload.size() < 500);
    CPPUNIT_ASSERT(store.Head()->value.size() < 1'000);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigStoreTest);

}  // namespace
}  // namespace figflow
