#include <cppunit/extensions/HelperMacros.h>

#include <memory>

#include "Requests/request_service_fixture.h"

namespace figflow {
namespace {

class RequestServiceTest : public RequestServiceFixture {
  CPPUNIT_TEST_SUITE(RequestServiceTest);
  CPPUNIT_TEST(AttemptsAndRelays);
  CPPUNIT_TEST(TicketsAndClaims);
  CPPUNIT_TEST(ServesRelays);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a wrong disposition after any sequence of attempts, a relay
  // of more than one hop, and an unrepeatable request that is sent twice.
  void AttemptsAndRelays() {
    const auto no_target = Refuse(Refusal::kNoTarget);
    const FakeTransport::Plan late{Transferred::kFail, true,
                                   ErrorCode::kDeadlineExceeded};
    const FakeTransport::Plan large{Transferred::kFail, true,
                                    ErrorCode::kResourceExhausted};
    const struct {
      const char* name;
      HttpHeaders headers;
      std::deque<std::pair<Submitted, Refusal>> dispatch;
      std::deque<FakeTransport::Plan> transfers;
      std::deque<Relayed> relays;
      int tokens;
      const char* summary;
      size_t sent;  // transfers started
      size_t relayed;
    } cases[] = {
        {"answered", {}, {}, {}, {}, 0, "200", 1, 0},
        {"refused, then answered", {}, {}, {kRefused}, {}, 0, "200", 2, 0},
        {"unrepeatable refused, then answered",
         kKey,
         {},
         {kRefused},
         {},
         0,
         "200",
         2,
         0},
        {"refused always",
         {},
         {},
         {kRefused, kRefused, kRefused, kRefused},
         {},
         9,
         "503 not-run target-unreachable",
         4,
         0},
        {"lost, no token",
         {},
         {},
         {kLost},
         {},
         0,
         "502 unknown target-failed",
         1,
         0},
        {"lost, token", {}, {}, {kLost}, {}, 1, "200", 2, 0},
        {"lost, then refused",
         {},
         {},
         {kLost, kRefused, kRefused, kRefused},
         {},
         1,
         "502 unknown target-failed",
         4,
         0},
        {"lost, then queue full",
         {},
         {kPermit, Refuse(Refusal::kStopping)},
         {kLost},
         {},
         1,
         "502 unknown stopping",
         1,
         0},
        {"unrepeatable lost",
         kKey,
         {},
         {kLost},
         {},
         9,
         "502 unknown target-failed",
         1,
         0},
        {"late", {}, {}, {late}, {}, 0, "504 unknown deadline-passed", 1, 0},
        {"too large",
         {},
         {},
         {large},
         {},
         9,
         "502 unknown answer-too-large",
         1,
         0},
        {"deadline in queue",
         {},
         {Refuse(Refusal::kDeadlinePassed)},
         {},
         {},
         0,
         "504 not-run deadline-passed",
         0,
         0},
        {"no target, relayed", {}, {no_target}, {}, {}, 0, "201", 0, 1},
        {"queue full, relayed",
         {},
         {Refuse(Refusal::kQueueFull)},
         {},
         {},
         0,
         "201",
         0,
         1},
        {"relay not sent, other peer",
         {},
         {no_target},
         {},
         {Relayed::kNotSent},
         0,
         "201",
         0,
         2},
        {"relay refused by both",
         {},
         {no_target},
         {},
         {Relayed::kNotRun, Relayed::kNotRun},
         0,
         "503 not-run no-target",
         0,
         2},
        {"unknown at the peer",
         {},
         {no_target},
         {},
         {Relayed::kUnknown},
         0,
         "502 unknown",
         0,
         1},
        {"relay lost",
         {},
         {no_target},
         {},
         {Relayed::kLost},
         0,
         "502 unknown target-failed",
         0,
         1},
        {"relay lost, token",
         {},
         {no_target},
         {},
         {Relayed::kLost},
         1,
         "200",
         1,
         1},
        {"unrepeatable relay lost",
         kKey,
         {no_target},
         {},
         {Relayed::kLost},
         9,
         "502 unknown target-failed",
         0,
         1},
        {"lost, then relay refused",
         {},
         {kPermit, no_target},
         {kLost},
         {Relayed::kNotRun, Relayed::kNotRun},
         1,
         "502 unknown no-target",
         1,
         2},
        {"stopping is not relayed",
         {},
         {Refuse(Refusal::kStopping)},
         {},
         {},
         0,
         "503 not-run stopping",
         0,
         0},
    };
    for (const auto& test : cases) {
      Reset();
      peers_.AddPeer("e2", 3);
      peers_.AddPeer("e3", 3);
      peers_.AddPeer("e4", 9, true);
      dispatcher_.script = test.dispatch;
      dispatcher_.retry_tokens = test.tokens;
      transport_.script = test.transfers;
      peers_.script = test.relays;
      const auto exchange = Send(test.headers);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, std::string(test.summary),
                                   exchange->Summary());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, test.sent,
                                   transport_.requests.size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, test.relayed,
                                   peers_.relays.size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, test.sent,
                                   dispatcher_.reports.size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, 0, service_->InFlight());
    }
  }

  // Guards against a second run of a key, and `not-run` for a key that may
  // have run before.
  void TicketsAndClaims() {
    const auto failed = [](ErrorCode code) {
      return Result<ClaimVerdict>(Fail(code, "kv", "", ""));
    };
    const TicketCheck no_ticket{TicketVerdict::kNotATicket, EntryId()};
    const TicketCheck other{TicketVerdict::kOtherEntry, EntryId("e2")};
    const Result<ClaimVerdict> claimed = ClaimVerdict::kClaimed;
    const struct {
      const char* name;
      TicketCheck ticket;
      Result<ClaimVerdict> claim;
      std::deque<Relayed> relays;
      const char* summary;
      size_t sent;
    } cases[] = {
        {"ticket", {TicketVerdict::kRun, EntryId()}, claimed, {}, "200", 1},
        {"used",
         {TicketVerdict::kAlreadyUsed, EntryId()},
         claimed,
         {},
         "409 unknown ticket-already-used",
         0},
        {"restarted",
         {TicketVerdict::kEarlierIncarnation, EntryId()},
         claimed,
         {},
         "409 unknown ticket-issuer-restarted",
         0},
        {"invalid",
         {TicketVerdict::kInvalid, EntryId()},
         claimed,
         {},
         "409 unknown ticket-invalid",
         0},
        {"other entry", other, claimed, {}, "201", 0},
        {"refused there", other, claimed, {Relayed::kNotRun}, "503 not-run", 0},
        {"issuer gone",
         other,
         claimed,
         {Relayed::kNotSent},
         "502 unknown issuer-unreachable",
         0},
        {"issuer lost",
         other,
         claimed,
         {Relayed::kLost},
         "502 unknown issuer-unreachable",
         0},
        {"claimed", no_ticket, claimed, {}, "200", 1},
        {"duplicate",
         no_ticket,
         ClaimVerdict::kAlreadyClaimed,
         {},
         "409 unknown already-claimed",
         0},
        {"store down",
         no_ticket,
         failed(ErrorCode::kUnavailable),
         {},
         "503 not-run store-unavailable",
         0},
        {"claim lost",
         no_ticket,
         failed(ErrorCode::kUnknownOutcome),
         {},
         "503 not-run claim-outcome-unknown",
         0},
        {"claim late",
         no_ticket,
         failed(ErrorCode::kDeadlineExceeded),
         {},
         "504 not-run store-unavailable",
         0},
    };
    for (const auto& test : cases) {
      Reset();
      // Tickets go to their issuer, whatever slots others have.
      peers_.AddPeer("e3", 9);
      tickets_.check = test.ticket;
      claims_.verdict = test.claim;
      peers_.script = test.relays;
      const auto exchange = Send(kKey);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, std::string(test.summary),
                                   exchange->Summary());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, test.sent,
                                   transport_.requests.size());
      for (const auto& [to, relay] : peers_.relays) {
        CPPUNIT_ASSERT_EQUAL(std::string("e2"), to.value());
        CPPUNIT_ASSERT(FindHeader(relay.headers, kAuthorisedHeader) == nullptr);
      }
    }
  }

  // Guards against a second hop, a second claim for an authorised relay, a
  // caller that passes itself off as a relay, and a wrong not_run flag.
  void ServesRelays() {
    const HttpHeaders authorised = {{"Idempotency-Key", "k1"},
                                    {kAuthorisedHeader, "1"}};
    const struct {
      const char* name;
      HttpHeaders headers;
      Refusal refusal;
      bool refuse;
      const char* status;
      bool not_run;
    } cases[] = {
        {"served", {}, {}, false, "200", false},
        {"no second hop", {}, Refusal::kNoTarget, true, "503", true},
        {"authorised", authorised, {}, false, "200", false},
        {"not authorised", kKey, {}, false, "409", false},
    };
    for (const auto& test : cases) {
      Reset();
      peers_.AddPeer("e2", 9);
      claims_.verdict = ClaimVerdict::kAlreadyClaimed;
      if (test.refuse) {
        dispatcher_.script = {Refuse(test.refusal)};
      }
      const RelayResponse answer = *Relay(test.headers);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, std::string(test.status),
                                   std::to_string(answer.status));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, test.not_run, answer.not_run);
      CPPUNIT_ASSERT_EQUAL(size_t{0}, peers_.relays.size());
      for (const TransferRequest& sent : transport_.requests) {
        CPPUNIT_ASSERT(FindHeader(sent.message->headers, kAuthorisedHeader) ==
                       nullptr);
      }
    }
    // What a caller sends as authorised is claimed all the same.
    CPPUNIT_ASSERT_EQUAL(std::string("409 unknown already-claimed"),
                         Send(authorised)->Summary());
    Reset();
    peers_.AddPeer("e2", 9);
    dispatcher_.script = {Refuse(Refusal::kNoTarget)};
    Send(kKey);
    CPPUNIT_ASSERT(FindHeader(peers_.relays.at(0).second.headers,
                              kAuthorisedHeader) != nullptr);
    CPPUNIT_ASSERT_EQUAL(1, peers_.relays.at(0).second.hops);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestServiceTest);

}  // namespace
}  // namespace figflow
