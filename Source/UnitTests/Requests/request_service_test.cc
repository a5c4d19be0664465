#include "Requests/request_service.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>

#include "Requests/fakes.h"

namespace figflow {
namespace {

using std::chrono::milliseconds;
using Submitted = FakeDispatcher::Step;
using Transferred = FakeTransport::Step;
using Relayed = FakePeers::Step;

const HttpHeaders kKey = {{"Idempotency-Key", "k1"}};
const std::pair<Submitted, Refusal> kPermit{Submitted::kPermit, {}};
const std::pair<Submitted, Refusal> kHeld{Submitted::kHold, {}};
const FakeTransport::Plan kRefused{Transferred::kFail, false,
                                   ErrorCode::kUnavailable};
const FakeTransport::Plan kLost{Transferred::kFail, true,
                                ErrorCode::kUnknownOutcome};

std::pair<Submitted, Refusal> Refuse(Refusal refusal) {
  return {Submitted::kRefuse, refusal};
}

class RequestServiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestServiceTest);
  CPPUNIT_TEST(AttemptsAndRelays);
  CPPUNIT_TEST(TicketsAndClaims);
  CPPUNIT_TEST(ServesRelays);
  CPPUNIT_TEST(PassesMessagesWhole);
  CPPUNIT_TEST(UnrepeatableUsesFreshConnection);
  CPPUNIT_TEST(CancelsInEveryPhase);
  CPPUNIT_TEST(RelayCancelledByItsSender);
  CPPUNIT_TEST(RepeatedKeyGetsStoredResponse);
  CPPUNIT_TEST(StopWaitsThenAnswersTruthfully);
  CPPUNIT_TEST(StopDoesNotWaitForALostCallback);
  CPPUNIT_TEST(RefusesWhatItCannotRoute);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { Reset(); }

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
      const RelayAnswer answer = *Relay(test.headers);
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

  // Guards against changed messages, connection fields on another hop, and a
  // target whose response looks like one of figflow's.
  void PassesMessagesWhole() {
    transport_.answer = {418,
                         {{"X-A", "1"},
                          {"Keep-Alive", "5"},
                          {"Figflow-Leaving", "1"},
                          {"Figflow-Disposition", "not-run"}},
                         "body"};
    const auto exchange = Send(
        {{"X-B", "2"}, {"Connection", "X-C"}, {"X-C", "3"}, {"Host", "a"}});
    CPPUNIT_ASSERT_EQUAL(std::string("418"), exchange->Summary());
    CPPUNIT_ASSERT_EQUAL(std::string("body"), exchange->responses[0].body);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), exchange->Field("X-A"));
    CPPUNIT_ASSERT_EQUAL(std::string(), exchange->Field("Keep-Alive"));
    const HttpRequest& sent = *transport_.requests.at(0).message;
    CPPUNIT_ASSERT_EQUAL(std::string("/7?q"), sent.target);
    CPPUNIT_ASSERT_EQUAL(std::string("in"), sent.body);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, sent.headers.size());
    CPPUNIT_ASSERT(dispatcher_.reports.at(0).leaving);
    CPPUNIT_ASSERT_EQUAL(std::string("POST /*"),
                         dispatcher_.items.at(0).operation);
  }

  void UnrepeatableUsesFreshConnection() {
    Send({});
    Send(kKey);
    CPPUNIT_ASSERT(!transport_.requests.at(0).fresh_connection);
    CPPUNIT_ASSERT(transport_.requests.at(1).fresh_connection);
  }

  // Guards against work for cancelled requests, and a wrong disposition: only
  // what has not been sent is `not-run`.
  void CancelsInEveryPhase() {
    const struct {
      const char* name;
      std::deque<std::pair<Submitted, Refusal>> dispatch;
      std::deque<FakeTransport::Plan> transfers;
      std::deque<Relayed> relays;
      bool hold_claim;
      const char* summary;
    } cases[] = {
        {"queued", {kHeld}, {}, {}, false, "499 not-run cancelled"},
        {"connecting",
         {},
         {{Transferred::kHold, false, {}}},
         {},
         false,
         "499 not-run cancelled"},
        {"sent",
         {},
         {{Transferred::kHold, true, {}}},
         {},
         false,
         "499 unknown cancelled"},
        {"relayed",
         {Refuse(Refusal::kNoTarget)},
         {},
         {Relayed::kHold},
         false,
         "499 unknown cancelled"},
        {"claiming", {}, {}, {}, true, "499 not-run cancelled"},
    };
    for (const auto& test : cases) {
      for (const bool by_disconnect : {false, true}) {
        Reset();
        peers_.AddPeer("e2", 3);
        dispatcher_.script = test.dispatch;
        transport_.script = test.transfers;
        peers_.script = test.relays;
        claims_.hold = test.hold_claim;
        HttpHeaders headers = {{"Figflow-Request-Id", "r1"}};
        if (test.hold_claim) {
          headers.push_back(kKey[0]);
        }
        const auto exchange = Send(headers);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, std::string("none"),
                                     exchange->Summary());
        CPPUNIT_ASSERT_EQUAL(std::string("400 not-run request-id-in-use"),
                             Send(headers)->Summary());
        std::string summary = test.summary;
        if (by_disconnect) {
          exchange->on_close();
          summary =
              summary.substr(0, summary.rfind(' ')) + " caller-disconnected";
        } else {
          const std::string cancelled =
              Call("DELETE", "/figflow/requests/r1")->Summary();
          CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, "202" + summary.substr(3),
                                       cancelled);
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, summary, exchange->Summary());
        CPPUNIT_ASSERT_EQUAL(0, service_->InFlight());
        if (claims_.held != nullptr) {
          claims_.held(ClaimVerdict::kClaimed);
          CPPUNIT_ASSERT_EQUAL(size_t{0}, transport_.requests.size());
        }
        CPPUNIT_ASSERT_EQUAL(std::string("404 not-run no-such-request"),
                             Call("DELETE", "/figflow/requests/r1")->Summary());
      }
    }
  }

  // Guards against a relayed request that runs on after its sender cancelled.
  void RelayCancelledByItsSender() {
    transport_.script = {{Transferred::kHold, true, {}}};
    const auto answer = Relay({});
    CPPUNIT_ASSERT_EQUAL(0, answer->status);
    service_->HandleRelayCancelled(EntryId("e8"), 5);
    CPPUNIT_ASSERT_EQUAL(0, answer->status);
    service_->HandleRelayCancelled(EntryId("e9"), 5);
    CPPUNIT_ASSERT_EQUAL(499, answer->status);
    CPPUNIT_ASSERT(!answer->not_run);
  }

  // Guards against `unknown` where this entry instance still has the response.
  void RepeatedKeyGetsStoredResponse() {
    Send(kKey);
    claims_.verdict = ClaimVerdict::kAlreadyClaimed;
    transport_.answer.body = "another";
    const auto repeated = Send(kKey);
    CPPUNIT_ASSERT_EQUAL(std::string("200"), repeated->Summary());
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), repeated->responses[0].body);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, transport_.requests.size());
  }

  // Guards against a stop that interrupts work in flight, that hangs, or that
  // says `not-run` for what was sent.
  void StopWaitsThenAnswersTruthfully() {
    const FakeTransport::Plan held{Transferred::kHold, true, {}};
    transport_.script = {held, held};
    dispatcher_.script = {kPermit, kPermit, kHeld};
    const auto finished = Send({});
    const auto sent = Send({});
    const auto queued = Send({});
    service_->BeginStop();
    CPPUNIT_ASSERT_EQUAL(std::string("503 not-run stopping"),
                         Send({})->Summary());
    CPPUNIT_ASSERT_EQUAL(std::string("503 not-run stopping"),
                         Call("POST", "/figflow/tickets")->Summary());
    auto done = std::move(transport_.held.at(1).second);
    transport_.held.erase(1);
    done({true, {}, HttpResponse{200, {}, ""}});
    CPPUNIT_ASSERT_EQUAL(std::string("200"), finished->Summary());
    service_->Stop(milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(std::string("502 unknown stopping"), sent->Summary());
    CPPUNIT_ASSERT_EQUAL(std::string("503 not-run stopping"),
                         queued->Summary());
    CPPUNIT_ASSERT_EQUAL(0, service_->InFlight());
  }

  // Guards against a caller left without an answer, or with `not-run`, by an
  // attempt that does not end in time, and against a second answer.
  void StopDoesNotWaitForALostCallback() {
    transport_.script = {{Transferred::kHold, false, {}}};
    transport_.ignore_cancel = true;
    const auto exchange = Send({});
    service_->Stop(milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(std::string("502 unknown stopping"),
                         exchange->Summary());
    auto done = std::move(transport_.held.at(1).second);
    done({true, {}, HttpResponse{200, {}, ""}});
    CPPUNIT_ASSERT_EQUAL(std::string("502 unknown stopping"),
                         exchange->Summary());
  }

  void RefusesWhatItCannotRoute() {
    CPPUNIT_ASSERT_EQUAL(std::string("404 not-run unknown-project"),
                         Call("GET", "/p/none/")->Summary());
    CPPUNIT_ASSERT_EQUAL(std::string("404 not-run unknown-path"),
                         Call("GET", "/")->Summary());
    CPPUNIT_ASSERT_EQUAL(std::string("400 not-run malformed-request"),
                         Send({{"Figflow-Unrepeatable", "1"}})->Summary());
    const auto ticket = Call("POST", "/figflow/tickets");
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"ticket":"ticket-1"})"),
                         ticket->responses[0].body);
  }

 private:
  void Reset() {
    service_.reset();
    dispatcher_ = FakeDispatcher();
    transport_ = FakeTransport();
    peers_ = FakePeers();
    tickets_ = FakeTickets();
    claims_ = FakeClaims();
    service_ = std::make_unique<RequestService>(
        RequestServiceOptions(),
        RequestServiceParts{clock_, dispatcher_, transport_, peers_, tickets_,
                            claims_, projects_, metrics_});
  }
  std::shared_ptr<FakeExchange> Send(const HttpHeaders& headers) {
    auto exchange = std::make_shared<FakeExchange>();
    service_->Handle({"POST", "/p/shop/7?q", headers, "in"}, exchange);
    return exchange;
  }
  std::shared_ptr<FakeExchange> Call(const char* method, const char* target) {
    auto exchange = std::make_shared<FakeExchange>();
    service_->Handle({method, target, {}, ""}, exchange);
    return exchange;
  }
  std::shared_ptr<RelayAnswer> Relay(const HttpHeaders& headers) {
    RelayRequest relay;
    relay.relay_id = 5;
    relay.project = ProjectId("shop");
    relay.method = "GET";
    relay.target = "/a";
    relay.headers = headers;
    relay.remaining = milliseconds(1000);
    relay.hops = 1;
    auto answer = std::make_shared<RelayAnswer>();
    service_->HandleRelay(EntryId("e9"), relay, [answer](RelayAnswer given) {
      *answer = std::move(given);
    });
    return answer;
  }

  SystemClock clock_;
  MetricsRegistry metrics_;
  FakeProjects projects_;
  FakeDispatcher dispatcher_;
  FakeTransport transport_;
  FakePeers peers_;
  FakeTickets tickets_;
  FakeClaims claims_;
  std::unique_ptr<RequestService> service_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestServiceTest);

}  // namespace
}  // namespace figflow
