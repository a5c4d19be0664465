#ifndef REQUESTS_REQUEST_SERVICE_FIXTURE_H_
#define REQUESTS_REQUEST_SERVICE_FIXTURE_H_

#include <cppunit/TestFixture.h>

#include <chrono>
#include <memory>
#include <utility>

#include "Requests/fakes.h"
#include "Requests/request_service.h"

namespace figflow {

using std::chrono::milliseconds;
using Submitted = FakeDispatcher::Step;
using Transferred = FakeTransport::Step;
using Relayed = FakePeers::Step;

inline const HttpHeaders kKey = {{"Idempotency-Key", "k1"}};
inline const std::pair<Submitted, Refusal> kPermit{Submitted::kPermit, {}};
inline const std::pair<Submitted, Refusal> kHeld{Submitted::kHold, {}};
inline const FakeTransport::Plan kRefused{Transferred::kFail, false,
                                          ErrorCode::kUnavailable};
inline const FakeTransport::Plan kLost{Transferred::kFail, true,
                                       ErrorCode::kUnknownOutcome};

inline std::pair<Submitted, Refusal> Refuse(Refusal refusal) {
  return {Submitted::kRefuse, refusal};
}

// A request service on fakes of all its parts, new for each test.
class RequestServiceFixture : public CppUnit::TestFixture {
 public:
  void setUp() override { Reset(); }

 protected:
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
  std::shared_ptr<RelayResponse> Relay(const HttpHeaders& headers) {
    RelayRequest relay;
    relay.relay_id = 5;
    relay.project = ProjectId("shop");
    relay.method = "GET";
    relay.target = "/a";
    relay.headers = headers;
    relay.remaining = milliseconds(1000);
    relay.hops = 1;
    auto answer = std::make_shared<RelayResponse>();
    service_->HandleRelay(EntryId("e9"), relay, [answer](RelayResponse given) {
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

}  // namespace figflow

#endif  // REQUESTS_REQUEST_SERVICE_FIXTURE_H_
