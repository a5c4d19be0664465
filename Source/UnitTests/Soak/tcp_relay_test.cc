// Faults of the relay that stands between the daemons and their platform.
#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include <cppunit/extensions/HelperMacros.h>

#include "Http/http_server.h"
#include "Process/http_call.h"
#include "Process/tcp_relay.h"

namespace figflow::test {
namespace {

using std::chrono::milliseconds;

constexpr uint16_t kRelayPort = 23990;
constexpr char kUrl[] = "http://127.0.0.1:23990/";
constexpr milliseconds kShort{600};

class TcpRelayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TcpRelayTest);
  CPPUNIT_TEST(PassesCalls);
  CPPUNIT_TEST(DelaysBothWays);
  CPPUNIT_TEST(HeldRequestsDoNotArrive);
  CPPUNIT_TEST(HeldAnswersAreCarriedOut);
  CPPUNIT_TEST(SilenceSparesNewConnections);
  CPPUNIT_TEST(ResetEndsOpenCalls);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    HttpServerOptions options;
    options.threads = 1;
    auto started = HttpServer::Start(
        options,
        [this](const HttpRequest& request,
               const std::shared_ptr<HttpExchange>& exchange) {
          ++requests_;
          if (request.target != "/wait") {
            exchange->Respond({200, {}, "answer"});
          }
        },
        metrics_);
    CPPUNIT_ASSERT(started.has_value());
    server_ = std::move(*started);
    relay_ = std::make_unique<TcpRelay>(kRelayPort, server_->port());
    requests_ = 0;
  }
  void tearDown() override {
    relay_.reset();
    server_.reset();
  }

  void PassesCalls() {
    const CallResult result = Call("GET", kUrl);
    CPPUNIT_ASSERT_EQUAL(200, result.status);
    CPPUNIT_ASSERT_EQUAL(std::string("answer"), result.body);
  }

  void DelaysBothWays() {
    relay_->SetFaults({milliseconds(150), false, false});
    const CallResult result = Call("GET", kUrl);
    CPPUNIT_ASSERT_EQUAL(200, result.status);
    CPPUNIT_ASSERT(result.elapsed >= milliseconds(300));
  }

  void HeldRequestsDoNotArrive() {
    relay_->SetFaults({milliseconds(0), true, false});
    CPPUNIT_ASSERT_EQUAL(0, Call("GET", kUrl, {}, "", kShort).status);
    CPPUNIT_ASSERT_EQUAL(0, requests_.load());
  }

  void HeldAnswersAreCarriedOut() {
    relay_->SetFaults({milliseconds(0), false, true});
    CPPUNIT_ASSERT_EQUAL(0, Call("GET", kUrl, {}, "", kShort).status);
    CPPUNIT_ASSERT_EQUAL(1, requests_.load());
  }

  void SilenceSparesNewConnections() {
    std::thread open([] {
      Call("GET", std::string(kUrl) + "wait", {}, "", milliseconds(2'000));
    });
    WaitForRequest();
    relay_->Silence();
    std::this_thread::sleep_for(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(200, Call("GET", kUrl).status);
    open.join();
  }

  void ResetEndsOpenCalls() {
    CallResult cut;
    std::thread open([&cut] {
      cut =
          Call("GET", std::string(kUrl) + "wait", {}, "", milliseconds(20'000));
    });
    WaitForRequest();
    relay_->Reset();
    open.join();
    CPPUNIT_ASSERT_EQUAL(0, cut.status);
    CPPUNIT_ASSERT(cut.elapsed < milliseconds(20'000));
  }

 private:
  void WaitForRequest() const {
    while (requests_ == 0) {
      std::this_thread::sleep_for(milliseconds(5));
    }
  }

  MetricsRegistry metrics_;
  std::atomic<int> requests_{0};
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<TcpRelay> relay_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TcpRelayTest);

}  // namespace
}  // namespace figflow::test
