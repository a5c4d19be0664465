#include "Requests/attempt_decision.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "Requests/peer_choice.h"

namespace figflow {
namespace {

class AttemptDecisionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AttemptDecisionTest);
  CPPUNIT_TEST(DecidesTheNextStep);
  CPPUNIT_TEST(NeverClaimsNotRunAfterSending);
  CPPUNIT_TEST(SeesLeavingTargets);
  CPPUNIT_TEST(ChoosesAPeer);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a retry of what may have run, and a refusal of what could
  // be tried again.
  void DecidesTheNextStep() {
    const ErrorCode lost = ErrorCode::kUnknownOutcome;
    const ErrorCode down = ErrorCode::kUnavailable;
    const struct {
      const char* name;
      AttemptFacts facts;  // complete, error, now, before, repeatable, cancel,
                           // late, attempts
      NextStep next;
    } cases[] = {
        {"complete", {true}, NextStep::kDeliver},
        {"complete after cancel",
         {true, lost, true, false, true, true},
         NextStep::kDeliver},
        {"refused", {false, down, false}, NextStep::kRetry},
        {"refused, unrepeatable",
         {false, down, false, false, false},
         NextStep::kRetry},
        {"refused, last",
         {false, down, false, false, true, false, false, 3},
         NextStep::kAnswerNotRun},
        {"refused, late",
         {false, down, false, false, true, false, true},
         NextStep::kAnswerNotRun},
        {"refused, cancelled",
         {false, down, false, false, true, true},
         NextStep::kAnswerNotRun},
        {"failed", {false, lost, true}, NextStep::kRetryWithToken},
        {"failed, unrepeatable",
         {false, lost, true, false, false},
         NextStep::kAnswerUnknown},
        {"failed, last",
         {false, lost, true, false, true, false, false, 3},
         NextStep::kAnswerUnknown},
        {"failed, late",
         {false, lost, true, false, true, false, true},
         NextStep::kAnswerUnknown},
        {"refused after sending", {false, down, false, true}, NextStep::kRetry},
        {"refused after sending, last",
         {false, down, false, true, true, false, false, 3},
         NextStep::kAnswerUnknown},
        {"refused after sending, unrepeatable",
         {false, down, false, true, false},
         NextStep::kAnswerUnknown},
        {"too large",
         {false, ErrorCode::kResourceExhausted, true},
         NextStep::kAnswerUnknown},
        {"unsendable",
         {false, ErrorCode::kInvalid, false},
         NextStep::kAnswerNotRun},
    };
    for (const auto& test : cases) {
      CPPUNIT_ASSERT_MESSAGE(test.name,
                             DecideNextStep(test.facts) == test.next);
    }
  }

  // Guards against `not-run` for a request that some attempt has sent, and a
  // second run of an unrepeatable one, over all combinations of facts.
  void NeverClaimsNotRunAfterSending() {
    for (int bits = 0; bits < 128; ++bits) {
      for (const ErrorCode code :
           {ErrorCode::kUnavailable, ErrorCode::kUnknownOutcome,
            ErrorCode::kDeadlineExceeded, ErrorCode::kCancelled}) {
        AttemptFacts facts{false,
                           code,
                           (bits & 1) != 0,
                           (bits & 2) != 0,
                           (bits & 4) != 0,
                           (bits & 8) != 0,
                           (bits & 16) != 0,
                           1 + (bits >> 5)};
        const NextStep next = DecideNextStep(facts);
        const bool sent = facts.sent_now || facts.sent_before;
        CPPUNIT_ASSERT(!sent || next != NextStep::kAnswerNotRun);
        CPPUNIT_ASSERT(sent || next != NextStep::kAnswerUnknown);
        CPPUNIT_ASSERT(!sent || facts.repeatable ||
                       next == NextStep::kAnswerUnknown);
      }
    }
  }

  // Guards against work that goes on to a target that has said it is leaving.
  void SeesLeavingTargets() {
    const struct {
      HttpResponse response;
      bool leaving;
    } cases[] = {
        {{200, {{"figflow-leaving", "1"}}, ""}, true},
        {{200, {{"Figflow-Leaving", "0"}}, ""}, false},
        {{503, {{"Connection", "Close"}}, ""}, true},
        {{503, {}, ""}, false},
        {{200, {{"Connection", "close"}}, ""}, false},
    };
    for (const auto& test : cases) {
      CPPUNIT_ASSERT_EQUAL(test.leaving, ShowsLeaving(test.response));
    }
  }

  // Guards against relays to peers that cannot take them.
  void ChoosesAPeer() {
    std::map<EntryId, PeerView> peers;
    const auto add = [&peers](const char* id, const char* home, int slots,
                              bool suspect, bool stopping) {
      PeerView view;
      view.digest.entry = EntryId(id);
      view.digest.data_centre = DataCentreId(home);
      view.digest.free_slots = {{PoolId("p"), slots}};
      view.digest.stopping = stopping;
      view.suspect = suspect;
      peers[EntryId(id)] = view;
    };
    add("suspect", "a", 9, true, false);
    add("stopping", "a", 9, false, true);
    add("full", "a", 0, false, false);
    add("far", "b", 5, false, false);
    const auto choose = [&peers](const OpenRelays& open, uint64_t random,
                                 const std::vector<EntryId>& tried = {}) {
      return ChoosePeer(peers, PoolId("p"), DataCentreId("a"), open, tried,
                        random)
          .value();
    };
    CPPUNIT_ASSERT_EQUAL(std::string("far"), choose({}, 3));
    add("near1", "a", 1, false, false);
    add("near2", "a", 3, false, false);
    CPPUNIT_ASSERT_EQUAL(std::string("near1"), choose({}, 0));
    CPPUNIT_ASSERT_EQUAL(std::string("near2"), choose({}, 3));
    CPPUNIT_ASSERT_EQUAL(std::string("near2"),
                         choose({}, 0, {EntryId("near1")}));
    CPPUNIT_ASSERT_EQUAL(
        std::string("far"),
        choose({{EntryId("near1"), 1}, {EntryId("near2"), 3}}, 1));
    CPPUNIT_ASSERT_EQUAL(
        std::string(), choose({{EntryId("near1"), 1}, {EntryId("near2"), 3}}, 1,
                              {EntryId("far")}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AttemptDecisionTest);

}  // namespace
}  // namespace figflow
