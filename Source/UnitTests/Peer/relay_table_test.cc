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

RelayResponseMessage MakeRelayResponse(uint64_t id, uint64_t incarnation) {
  return RelayResponseMessage{id, incarnation,
                              RelayResponse{200, {}, "ok", false}, ""};
}

struct OutcomeCase {
  const char* name;
  bool sent;
  std::function<void(RelayTable&, uint64_t)> event;
  // Name of the error code, "answered", or "" while the relay is pending.
  const char* outcome;
};

const OutcomeCase kOutcomeCases[] = {
    {"answer", true,
     [](RelayTable& t, uint64_t id) {
       CPPUNIT_ASSERT(t.OnResponse(kPeer, MakeRelayResponse(id, 5)) ==
                      ResponseOutcome::kDelivered);
       CPPUNIT_ASSERT(t.OnResponse(kPeer, MakeRelayResponse(id, 5)) ==
                      ResponseOutcome::kLate);
     },
     "answered"},
    {"response of another incarnation", true,
     [](RelayTable& t, uint64_t id) {
       CPPUNIT_ASSERT(t.OnResponse(kPeer, MakeRelayResponse(id, 6)) ==
                      ResponseOutcome::kUnmatched);
     },
     ""},
    {"response of another peer", true,
     [](RelayTable& t, uint64_t id) {
       CPPUNIT_ASSERT(t.OnResponse(EntryId("c"), MakeRelayResponse(id, 5)) ==
                      ResponseOutcome::kUnmatched);
     },
     ""},
    {"response with an unused id", true,
     [](RelayTable& t, uint64_t id) {
       CPPUNIT_ASSERT(t.OnResponse(kPeer, MakeRelayResponse(id + 1, 5)) ==
                      ResponseOutcome::kUnmatched);
     },
     ""},
    {"response that cannot be delivered", true,
     [](RelayTable& t, uint64_t id) {
       RelayResponseMessage response = MakeRelayResponse(id, 5);
       response.delivery_error = "too large";
       t.OnResponse(kPeer, response);
     },
     "unknown-outcome"},
    {"link failure after sending", true,
     [](RelayTable& t, uint64_t) { t.FailLink(kLink, "cut"); },
     "unknown-outcome"},
    {"link failure before sending", false,
     [](RelayTable& t, uint64_t) { t.FailLink(kLink, "cut"); }, "unavailable"},
    {"failure of another link", true,
     [](RelayTable& t, uint64_t) { t.FailLink(kLink + 1, "cut"); }, ""},
    {"deadline after sending", true,
     [](RelayTable& t, uint64_t id) {
       CPPUNIT_ASSERT(t.Expire(kRelayStart + milliseconds(99)).empty());
       CPPUNIT_ASSERT_EQUAL(size_t{1},
                            t.Expire(kRelayStart + milliseconds(100)).size());
       CPPUNIT_ASSERT(t.OnResponse(kPeer, MakeRelayResponse(id, 5)) ==
                      ResponseOutcome::kLate);
     },
     "unknown-outcome"},
    {"deadline before sending", false,
     [](RelayTable& t, uint64_t id) {
       CPPUNIT_ASSERT(t.Expire(kRelayStart + milliseconds(100)).empty());
       CPPUNIT_ASSERT(!t.MarkSent(id));
     },
     "unavailable"},
    {"send refused", true,
     [](RelayTable& t, uint64_t id) { t.OnNotSent(id, "full"); },
     "unavailable"},
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
  CPPUNIT_TEST(EachEventYieldsItsOutcome);
  CPPUNIT_TEST(RelaysInFlightAreBounded);
  CPPUNIT_TEST(ServedRelaysRunOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a request that may have run but is reported as not sent, and
  // against a response that is delivered to another request.
  void EachEventYieldsItsOutcome() {
    for (const OutcomeCase& c : kOutcomeCases) {
      RelayTable table(9, 10);
      std::string outcome;
      int callback_count = 0;
      RelayCallback done = [&](const Result<RelayResponse>& result) {
        ++callback_count;
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
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, callback_count == 0,
                                   table.UsesLink(kLink));
      table.FailAll("end");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, 1, callback_count);
    }
  }

  // Guards against unbounded memory use when a peer never responds.
  void RelaysInFlightAreBounded() {
    RelayTable table(9, 2);
    for (const bool accepted : {true, true, false}) {
      RelayCallback done = [](const Result<RelayResponse>&) {};
      CPPUNIT_ASSERT_EQUAL(
          accepted, table.Add(RelayRoute{kPeer, 5, kLink}, kRelayStart, &done)
                        .has_value());
    }
    table.Expire(kRelayStart);
    RelayCallback done = [](const Result<RelayResponse>&) {};
    CPPUNIT_ASSERT(table.Add(RelayRoute{kPeer, 5, kLink}, kRelayStart, &done));
  }

  // Guards against a duplicate relay request that runs a second time.
  void ServedRelaysRunOnce() {
    using Admission = ServedRelays::Admission;
    ServedRelays served(2);
    CPPUNIT_ASSERT(served.Admit(1, 7) == Admission::kAdmitted);
    CPPUNIT_ASSERT(served.Admit(1, 7) == Admission::kDuplicate);
    CPPUNIT_ASSERT(served.Admit(2, 7) == Admission::kAdmitted);
    CPPUNIT_ASSERT(served.Admit(1, 8) == Admission::kAdmitted);
    CPPUNIT_ASSERT(served.Admit(1, 9) == Admission::kFull);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, served.RemoveLink(1).size());
    CPPUNIT_ASSERT(!served.IsServed(1, 7));
    CPPUNIT_ASSERT(!served.WaitUntilEmpty(kRelayStart, kRelayStart));
    served.Remove(2, 7);
    CPPUNIT_ASSERT(served.WaitUntilEmpty(kRelayStart, kRelayStart));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTableTest);

}  // namespace
}  // namespace figflow
