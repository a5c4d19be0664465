#include "Peer/relay_table.h"

#include <functional>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Peer/served_relays.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

using std::chrono::milliseconds;

const EntryId kPeer("b");
constexpr uint64_t kPeerIncarnation = 5;
constexpr LinkId kLink = 3;
const MonoTime kRelayStart = MonoTime() + std::chrono::hours(1);

RelayAnswerMessage AnswerTo(uint64_t id, uint64_t incarnation) {
  return RelayAnswerMessage{id, incarnation, RelayAnswer{200, {}, "ok", false},
                            ""};
}

struct EndCase {
  const char* name;
  bool sent;
  std::function<void(RelayTable&, uint64_t)> event;
  // Name of the error code, "answered", or "" while it waits.
  const char* outcome;
};

const EndCase kEndCases[] = {
    {"answer", true,
     [](RelayTable& t, uint64_t id) {
       CPPUNIT_ASSERT(t.OnAnswer(kPeer, AnswerTo(id, 5)) ==
                      AnswerFate::kDelivered);
       CPPUNIT_ASSERT(t.OnAnswer(kPeer, AnswerTo(id, 5)) == AnswerFate::kLate);
     },
     "answered"},
    {"answer of another incarnation", true,
     [](RelayTable& t, uint64_t id) {
       CPPUNIT_ASSERT(t.OnAnswer(kPeer, AnswerTo(id, 6)) ==
                      AnswerFate::kUnmatched);
     },
     ""},
    {"answer of another peer", true,
     [](RelayTable& t, uint64_t id) {
       CPPUNIT_ASSERT(t.OnAnswer(EntryId("c"), AnswerTo(id, 5)) ==
                      AnswerFate::kUnmatched);
     },
     ""},
    {"answer with an unused id", true,
     [](RelayTable& t, uint64_t id) {
       CPPUNIT_ASSERT(t.OnAnswer(kPeer, AnswerTo(id + 1, 5)) ==
                      AnswerFate::kUnmatched);
     },
     ""},
    {"answer that cannot be delivered", true,
     [](RelayTable& t, uint64_t id) {
       RelayAnswerMessage answer = AnswerTo(id, 5);
       answer.failure = "too large";
       t.OnAnswer(kPeer, answer);
     },
     "unknown-outcome"},
    {"link fails after sending", true,
     [](RelayTable& t, uint64_t) { t.FailLink(kLink, "cut"); },
     "unknown-outcome"},
    {"link fails before sending", false,
     [](RelayTable& t, uint64_t) { t.FailLink(kLink, "cut"); }, "unavailable"},
    {"another link fails", true,
     [](RelayTable& t, uint64_t) { t.FailLink(kLink + 1, "cut"); }, ""},
    {"deadline after sending", true,
     [](RelayTable& t, uint64_t id) {
       CPPUNIT_ASSERT(t.Expire(kRelayStart + milliseconds(99)).empty());
       CPPUNIT_ASSERT_EQUAL(size_t{1},
                            t.Expire(kRelayStart + milliseconds(100)).size());
       CPPUNIT_ASSERT(t.OnAnswer(kPeer, AnswerTo(id, 5)) == AnswerFate::kLate);
     },
     "unknown-outcome"},
    {"deadline before sending", false,
     [](RelayTable& t, uint64_t id) {
       CPPUNIT_ASSERT(t.Expire(kRelayStart + milliseconds(100)).empty());
       CPPUNIT_ASSERT(!t.MarkSent(id));
     },
     "unavailable"},
    {"send refused", true,
     [](RelayTable& t, uint64_t id) { t.NotSent(id, "full"); }, "unavailable"},
    {"cancelled before sending", false,
     [](RelayTable& t, uint64_t id) {
       CPPUNIT_ASSERT(!t.Cancel(id));
       CPPUNIT_ASSERT(!t.MarkSent(id));
     },
     "unavailable"},
    {"cancelled after sending", true,
     [](RelayTable& t, uint64_t id) { CPPUNIT_ASSERT(t.Cancel(id)); }, ""},
    {"stop", true, [](RelayTable& t, uint64_t) { t.FailAll("stop"); },
     "unknown-outcome"},
};

class RelayTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayTableTest);
  CPPUNIT_TEST(EachEndHasItsOutcome);
  CPPUNIT_TEST(RelaysInFlightAreBounded);
  CPPUNIT_TEST(ServedRelaysRunOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a request that may have run and is reported as not sent,
  // and against answers given to the wrong request.
  void EachEndHasItsOutcome() {
    for (const EndCase& c : kEndCases) {
      RelayTable table(9, 10);
      std::string outcome;
      int calls = 0;
      RelayCallback done = [&](const Result<RelayAnswer>& result) {
        ++calls;
        outcome = result ? "answered"
                         : std::string(ErrorCodeName(result.error().code));
      };
      const uint64_t id = *table.Add(RelayRoute{kPeer, kPeerIncarnation, kLink},
                                     kRelayStart + milliseconds(100), &done);
      if (c.sent) {
        CPPUNIT_ASSERT(table.MarkSent(id));
      }
      c.event(table, id);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, std::string(c.outcome), outcome);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, calls == 0, table.UsesLink(kLink));
      table.FailAll("end");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, 1, calls);
    }
  }

  // Guards against memory that grows with a peer that never answers.
  void RelaysInFlightAreBounded() {
    RelayTable table(9, 2);
    for (const bool accepted : {true, true, false}) {
      RelayCallback done = [](const Result<RelayAnswer>&) {};
      CPPUNIT_ASSERT_EQUAL(
          accepted, table.Add(RelayRoute{kPeer, 5, kLink}, kRelayStart, &done)
                        .has_value());
    }
    table.Expire(kRelayStart);
    RelayCallback done = [](const Result<RelayAnswer>&) {};
    CPPUNIT_ASSERT(table.Add(RelayRoute{kPeer, 5, kLink}, kRelayStart, &done));
  }

  // Guards against a repeated request that runs a second time.
  void ServedRelaysRunOnce() {
    using Admission = ServedRelays::Admission;
    ServedRelays served(2);
    CPPUNIT_ASSERT(served.Begin(1, 7) == Admission::kAdmitted);
    CPPUNIT_ASSERT(served.Begin(1, 7) == Admission::kDuplicate);
    CPPUNIT_ASSERT(served.Begin(2, 7) == Admission::kAdmitted);
    CPPUNIT_ASSERT(served.Begin(1, 8) == Admission::kAdmitted);
    CPPUNIT_ASSERT(served.Begin(1, 9) == Admission::kFull);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, served.DropLink(1).size());
    CPPUNIT_ASSERT(!served.IsServed(1, 7));
    CPPUNIT_ASSERT(!served.AwaitNone(kRelayStart, kRelayStart));
    served.End(2, 7);
    CPPUNIT_ASSERT(served.AwaitNone(kRelayStart, kRelayStart));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTableTest);

}  // namespace
}  // namespace figflow
