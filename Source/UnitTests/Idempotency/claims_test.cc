#include <algorithm>
#include <iostream>
#include <thread>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Idempotency/claims_fixture.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

using namespace std::string_literals;
using std::chrono::milliseconds;
using std::chrono::seconds;
using test::Daemon;
using test::FakeKeyValueStore;
using test::FaultyStore;
using test::kScope;
using test::TwoDaemons;
using WriteFault = FakeKeyValueStore::WriteFault;

// Faults of the first claim's writes, and what the claimer and a second daemon
// that claims afterwards are told.
struct FaultCase {
  const char* name;
  // A/R: the next write's answer/request is lost; 1/*: one/all writes are held
  // back; D: store down; r/s: reads fail from the start/from the first write;
  // w: writes are refused after those held back. Ends before the second claim.
  const char* faults;
  // Held-back writes arrive before the second claim, else after it.
  bool arrives_before;
  const char* first;
  const char* second;
};

constexpr FaultCase kFaultCases[] = {
    {"no fault", "", true, "claimed", "already"},
    {"answer lost after the effect", "A", true, "claimed", "already"},
    {"request lost", "R", true, "claimed", "already"},
    {"request lost, then answer", "RA", true, "claimed", "already"},
    {"write arrives after it was repeated", "1", true, "claimed", "already"},
    {"all writes late, before the second claim", "*", true, "unknown-outcome",
     "already"},
    {"all writes late, after the second claim", "*", false, "unknown-outcome",
     "claimed"},
    {"one write late, others refused", "1w", true, "unknown-outcome",
     "already"},
    {"answer lost, then reads fail", "As", true, "unknown-outcome", "already"},
    {"request lost, then reads fail", "Rs", true, "unknown-outcome", "claimed"},
    {"reads fail", "r", true, "unavailable", "claimed"},
    {"store down", "D", true, "unavailable", "claimed"},
};

// Another key of the shard that `key` is in.
std::string SameShard(const std::string& key, int skip) {
  const auto shard = [](const std::string& k) {
    return DigestOf(kScope, k)[0] % StoreClaimRegistry::kShards;
  };
  for (int i = 0;; ++i) {
    std::string other = absl::StrCat("other", i);
    if (shard(other) == shard(key) && skip-- == 0) {
      return other;
    }
  }
}

class ClaimsTest : public CppUnit::TestFixture, TwoDaemons {
  CPPUNIT_TEST_SUITE(ClaimsTest);
  CPPUNIT_TEST(FaultsNeverLetTwoRun);
  CPPUNIT_TEST(OneOfTwoRacingDaemonsWins);
  CPPUNIT_TEST(ClaimsAreBatched);
  CPPUNIT_TEST(QuietShardNeedsOneWrite);
  CPPUNIT_TEST(RestartedDaemonDoesNotRunAgain);
  CPPUNIT_TEST(ClaimsExpireAfterRetention);
  CPPUNIT_TEST(FullDocumentRefuses);
  CPPUNIT_TEST(SlowStoreIsAnsweredOnTime);
  CPPUNIT_TEST(StoppingAnswersEverything);
  CPPUNIT_TEST(UnreadableDocumentIsNotReplaced);
  CPPUNIT_TEST(DocumentSurvivesFormatting);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against two claimers that are both told to run, and against
  // "unavailable" for a claim that is in the store.
  void FaultsNeverLetTwoRun() {
    for (const FaultCase& c : kFaultCases) {
      FaultyStore store;
      Daemon a(store, clock, "a");
      Daemon b(store, clock, "b");
      const absl::string_view faults = c.faults;
      for (const char fault : faults) {
        if (fault == 'A' || fault == 'R') {
          store.QueueWriteFault(fault == 'A' ? WriteFault::kAnswerLost
                                             : WriteFault::kRequestLost);
        }
      }
      store.hold_back = absl::StrContains(faults, '1');
      if (absl::StrContains(faults, '*')) {
        store.hold_back = 1000;
      }
      store.SetDown(absl::StrContains(faults, 'D'));
      store.reads_fail = absl::StrContains(faults, 'r');
      store.writes_fail = absl::StrContains(faults, 'w');
      if (absl::StrContains(faults, 's')) {
        store.BeforeNextWrite([&store] { store.reads_fail = true; });
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, std::string(c.first),
                                   a.Claim("k", milliseconds(300)));
      store.SetDown(false);
      store.reads_fail = false;
      store.writes_fail = false;
      store.hold_back = 0;
      if (c.arrives_before) {
        store.ReleaseWrites();
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, std::string(c.second), b.Claim("k"));
      store.ReleaseWrites();
      for (Daemon* daemon : {&a, &b}) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, "already"s, daemon->Claim("k"));
      }
    }
  }

  // Guards against two winners, or none, when daemons claim the same keys.
  void OneOfTwoRacingDaemonsWins() {
    std::vector<std::future<std::string>> answers;
    answers.reserve(500);
    store.SetGate(false);
    for (int i = 0; i < 200; ++i) {
      answers.push_back(a.Start(absl::StrCat(i)));
      answers.push_back(b.Start(absl::StrCat(i)));
    }
    store.SetGate(true);
    for (size_t i = 0; i < answers.size(); i += 2) {
      const std::string first = answers[i].get();
      const std::string second = answers[i + 1].get();
      CPPUNIT_ASSERT(first != second);
      CPPUNIT_ASSERT_EQUAL("alreadyclaimed"s,
                           std::min(first, second) + std::max(first, second));
    }
  }

  // Guards against one write per claim. Each shard needs one write for what
  // was there when it started and one for all that came meanwhile.
  void ClaimsAreBatched() {
    std::vector<std::future<std::string>> answers;
    answers.reserve(500);
    store.SetGate(false);
    for (int i = 0; i < 500; ++i) {
      answers.push_back(a.Start(absl::StrCat(i % 490)));
    }
    store.SetGate(true);
    int claimed = 0;
    for (auto& answer : answers) {
      claimed += answer.get() == "claimed";
    }
    std::cout << "500 claims: " << store.writes() << " writes\n";
    CPPUNIT_ASSERT_EQUAL(490, claimed);
    CPPUNIT_ASSERT(store.writes() <= 2 * StoreClaimRegistry::kShards);
  }

  // Guards against a read before each write, and after a conflict against
  // writes that fail because another daemon keeps changing the document.
  void QuietShardNeedsOneWrite() {
    a.Claim("k");
    for (int i = 0; i < 5; ++i) {
      const uint64_t calls = store.calls();
      CPPUNIT_ASSERT_EQUAL("claimed"s, a.Claim(SameShard("k", i)));
      CPPUNIT_ASSERT_EQUAL(uint64_t{1}, store.calls() - calls);
    }
    const uint64_t writes = store.writes();
    b.Claim(SameShard("k", 5));
    a.Claim(SameShard("k", 6));
    CPPUNIT_ASSERT_EQUAL(uint64_t{3}, store.writes() - writes);
  }

  // Guards against a restarted daemon that takes an earlier process's claim for
  // its own, even if the incarnation is the same by mistake.
  void RestartedDaemonDoesNotRunAgain() {
    CPPUNIT_ASSERT_EQUAL("claimed"s, Daemon(store, clock, "a", 1).Claim("k"));
    for (const uint64_t incarnation : {1, 2}) {
      CPPUNIT_ASSERT_EQUAL("already"s,
                           Daemon(store, clock, "a", incarnation).Claim("k"));
    }
  }

  // Guards against documents that grow without end.
  void ClaimsExpireAfterRetention() {
    CPPUNIT_ASSERT_EQUAL("claimed"s, a.Claim("k"));
    const size_t size = store.Snapshot().begin()->second.value.size();
    clock.shift_hours = 2;
    CPPUNIT_ASSERT_EQUAL("claimed"s, a.Claim(SameShard("k", 0)));
    CPPUNIT_ASSERT_EQUAL(size, store.Snapshot().begin()->second.value.size());
    CPPUNIT_ASSERT_EQUAL("claimed"s, a.Claim("k"));
  }

  // Guards against a document above the store's limit, and against forgetting
  // claims to make room.
  void FullDocumentRefuses() {
    Daemon small(store, clock, "a", 1, 2000);
    CPPUNIT_ASSERT_EQUAL("claimed"s, small.Claim("k"));
    int claimed = 0;
    while (small.Claim(SameShard("k", claimed)) == "claimed") {
      ++claimed;
    }
    CPPUNIT_ASSERT(claimed > 10);
    CPPUNIT_ASSERT(store.Snapshot().begin()->second.value.size() <= 2000);
    CPPUNIT_ASSERT_EQUAL("unavailable"s, small.Claim(SameShard("k", claimed)));
    CPPUNIT_ASSERT_EQUAL("already"s, small.Claim("k"));
    clock.shift_hours = 2;
    CPPUNIT_ASSERT_EQUAL("claimed"s, small.Claim(SameShard("k", claimed)));
  }

  // Guards against claims that wait behind a store that does not answer.
  void SlowStoreIsAnsweredOnTime() {
    std::vector<std::future<std::string>> answers;
    answers.reserve(500);
    store.SetGate(false);
    for (int i = 0; i < 64; ++i) {
      answers.push_back(a.Start(absl::StrCat(i), milliseconds(50)));
    }
    // The four claims that the pool's threads are waiting for stay open.
    const MonoTime give_up = clock.Now() + seconds(5);
    size_t answered = 0;
    while (answered < 32 && clock.Now() < give_up) {
      std::this_thread::sleep_for(milliseconds(10));
      answered =
          std::count_if(answers.begin(), answers.end(), [](const auto& answer) {
            return answer.wait_for(seconds(0)) == std::future_status::ready;
          });
    }
    store.SetGate(true);
    CPPUNIT_ASSERT(answered >= 32);
  }

  // Guards against claims that are never answered.
  void StoppingAnswersEverything() {
    std::vector<std::future<std::string>> answers;
    answers.reserve(500);
    store.SetGate(false);
    auto daemon = std::make_unique<Daemon>(store, clock, "a");
    for (int i = 0; i < 100; ++i) {
      answers.push_back(daemon->Start(absl::StrCat(i)));
    }
    auto opened = std::async(std::launch::async, [this] {
      std::this_thread::sleep_for(milliseconds(50));
      store.SetGate(true);
    });
    daemon.reset();
    for (auto& answer : answers) {
      CPPUNIT_ASSERT(answer.wait_for(seconds(0)) == std::future_status::ready);
    }
  }

  // Guards against overwriting claims of a version that is not understood.
  void UnreadableDocumentIsNotReplaced() {
    for (const char* text : {"", "[]", "{\"v\":2,\"w\":[],\"c\":{}}",
                             "{\"v\":1,\"w\":[],\"c\":{\"x\":[0,1,2]}}",
                             "{\"v\":1,\"w\":[[1]],\"c\":{}}"}) {
      FaultyStore store;
      Daemon a(store, clock, "a");
      Daemon b(store, clock, "b");
      a.Claim("k");
      const auto [key, versioned] = *store.Snapshot().begin();
      (void)store.FakeKeyValueStore::CompareAndSwap(key, versioned.revision,
                                                    text, seconds(1));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, "unavailable"s,
                                   a.Claim(SameShard("k", 0)));
      CPPUNIT_ASSERT_EQUAL(std::string(text), store.Snapshot().at(key).value);
    }
  }

  // Guards against a change of owner by formatting, pruning or a second writer,
  // and against a size bound that is too low.
  void DocumentSurvivesFormatting() {
    ClaimDocument document;
    const ClaimWriter writers[] = {{"\x01\"entry", 1, "n"}, {"b", 2, "n"}};
    for (uint64_t i = 0; i < 200; ++i) {
      document.Add(DigestOf(kScope, absl::StrCat(i)), writers[i % 2],
                   UINT64_MAX - i, seconds(UINT32_MAX - i % 2));
    }
    CPPUNIT_ASSERT(document.Format().size() <= document.MaxBytes());
    ClaimDocument parsed = *ClaimDocument::Parse(document.Format());
    parsed.Prune(seconds(UINT32_MAX));
    CPPUNIT_ASSERT_EQUAL(size_t{100}, parsed.size());
    const ClaimDigest digest = DigestOf(kScope, "4");
    CPPUNIT_ASSERT(parsed.IsClaimOf(digest, writers[0], UINT64_MAX - 4));
    CPPUNIT_ASSERT(!parsed.IsClaimOf(digest, writers[1], UINT64_MAX - 4));
    CPPUNIT_ASSERT(!parsed.IsClaimOf(digest, writers[0], UINT64_MAX - 5));
    CPPUNIT_ASSERT(DigestOf(ProjectId("a"), "bc") !=
                   DigestOf(ProjectId("ab"), "c"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimsTest);

}  // namespace
}  // namespace figflow
