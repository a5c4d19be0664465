#include <cppunit/extensions/HelperMacros.h>

#include <memory>

#include "Requests/request_service_fixture.h"

namespace figflow {
namespace {

// Messages, cancellation and the stop of the service.
class RequestLifecycleTest : public RequestServiceFixture {
  CPPUNIT_TEST_SUITE(RequestLifecycleTest);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestLifecycleTest);

}  // namespace
}  // namespace figflow
