#include "Http/http_server.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <condition_variable>
#include <future>
#include <mutex>
#include <thread>
#include <vector>

#include "Common/metrics.h"
#include "Http/http_headers.h"
#include "Http/raw_socket.h"

namespace figflow {
namespace {

using std::chrono::milliseconds;

class HttpServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpServerTest);
  CPPUNIT_TEST(RequestsAreReadOrRefused);
  CPPUNIT_TEST(HeadKeepsTheLengthOfTheTarget);
  CPPUNIT_TEST(PassesTheLargestHeaders);
  CPPUNIT_TEST(RespondsLaterFromAnotherThread);
  CPPUNIT_TEST(ReportsThatTheCallerLeft);
  CPPUNIT_TEST(StopAcceptingLetsRequestsFinish);
  CPPUNIT_TEST(StopAnswersWhatIsLeft);
  CPPUNIT_TEST(StopDoesNotRefuseWhatMayHaveRun);
  CPPUNIT_TEST(StopAnswersWhatArrivesMeanwhile);
  CPPUNIT_TEST(ConnectionLimitHoldsBackNewOnes);
  CPPUNIT_TEST(StripsConnectionFields);
  CPPUNIT_TEST_SUITE_END();

 public:
  void tearDown() override {
    held_.clear();
    server_.reset();
  }

  // Guards against requests that another parser would read differently, limits
  // that are not enforced, and refusals without a reason.
  void RequestsAreReadOrRefused() {
    Start([](const HttpRequest& request,
             const std::shared_ptr<HttpExchange>& exchange) {
      exchange->Respond(
          {200,
           {},
           request.method + " " + request.target + " " + request.body + "."});
    });
    const std::string host = "Host: a\r\n";
    const struct {
      const char* name;
      std::string request;
      const char* status;
      const char* text;
    } cases[] = {
        {"get", "GET /p/a/%2Fb?x=%20y&z HTTP/1.1\r\n" + host + "\r\n", "200",
         "GET /p/a/%2Fb?x=%20y&z ."},
        {"post", "POST / HTTP/1.1\r\n" + host + "Content-Length: 2\r\n\r\nhi",
         "200", "POST / hi."},
        {"chunked",
         "POST / HTTP/1.1\r\n" + host +
             "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n1\r\n!"
             "\r\n0\r\n\r\n",
         "200", "POST / hi!."},
        {"length and chunked",
         "POST / HTTP/1.1\r\n" + host +
             "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
         "400", "Figflow-Disposition: not-run"},
        {"two lengths",
         "POST / HTTP/1.1\r\n" + host +
             "Content-Length: 2\r\nContent-Length: 3\r\n\r\n",
         "400", "malformed-request"},
        {"other encoding",
         "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: gzip\r\n\r\n",
         "400", "malformed-request"},
        {"no path", "GET http://a/ HTTP/1.1\r\n" + host + "\r\n", "400",
         "malformed-request"},
        {"header limit",
         "GET / HTTP/1.1\r\n" + host + "A: " + std::string(5000, 'a') +
             "\r\n\r\n",
         "431", "header-too-large"},
        {"body limit",
         "POST / HTTP/1.1\r\n" + host + "Content-Length: 1001\r\n\r\n", "413",
         "body-too-large"},
        {"chunked body limit",
         "POST / HTTP/1.1\r\n" + host +
             "Transfer-Encoding: chunked\r\n\r\n3e9\r\n" +
             std::string(1001, 'a') + "\r\n0\r\n\r\n",
         "413", "Figflow-Disposition: not-run"},
        // These come from libmicrohttpd's parser.
        {"not HTTP", "hello\r\n\r\n", "", ""},
        {"bad field", "GET / HTTP/1.1\r\nHost a\r\n\r\n", "", ""},
        {"huge header",
         "GET / HTTP/1.1\r\nA: " + std::string(200000, 'a') + "\r\n\r\n", "",
         ""},
    };
    for (const auto& test : cases) {
      RawClient client(server_->port());
      client.Send(test.request);
      const std::string end = test.status[0] == '2' ? "." : "}";
      const std::string text = client.ReadUntil(end);
      CPPUNIT_ASSERT_MESSAGE(
          test.name + (": " + text),
          text.rfind(std::string("HTTP/1.1 ") + test.status, 0) == 0 ||
              test.status[0] == 0);
      CPPUNIT_ASSERT_MESSAGE(test.name + (": " + text),
                             text.find(test.text) != std::string::npos);
      CPPUNIT_ASSERT_MESSAGE(
          test.name + (": " + text),
          test.status[0] != 0 || text.find(" 200 ") == std::string::npos);
    }
  }

  // Guards against a HEAD response that claims an empty resource.
  void HeadKeepsTheLengthOfTheTarget() {
    Start(
        [](const HttpRequest&, const std::shared_ptr<HttpExchange>& exchange) {
          exchange->Respond({200, {{"Content-Length", "77"}}, ""});
        });
    RawClient client(server_->port());
    client.Send("HEAD / HTTP/1.1\r\nHost: a\r\n\r\n");
    const std::string text = client.ReadUntil("\r\n\r\n");
    CPPUNIT_ASSERT_MESSAGE(
        text, text.find("Content-Length: 77\r\n") != std::string::npos);
  }

  // Guards against a connection closed without a response because the header
  // fields of request and response do not fit side by side.
  void PassesTheLargestHeaders() {
    Start(
        [](const HttpRequest&, const std::shared_ptr<HttpExchange>& exchange) {
          exchange->Respond(
              {200, {{"A", std::string(kMaxResponseHeadBytes, 'a')}}, "done!"});
        });
    RawClient client(server_->port());
    client.Send("GET / HTTP/1.1\r\nHost: a\r\nB: " + std::string(4000, 'b') +
                "\r\n\r\n");
    CPPUNIT_ASSERT(client.ReadUntil("done!").find("done!") !=
                   std::string::npos);
  }

  // Guards against lost wake-ups between suspending and responding, and
  // against responses that reach another caller.
  void RespondsLaterFromAnotherThread() {
    std::vector<std::thread> responders;
    std::mutex mutex;
    Start([&](const HttpRequest& request,
              const std::shared_ptr<HttpExchange>& exchange) {
      std::lock_guard<std::mutex> lock(mutex);
      responders.emplace_back([target = request.target, exchange] {
        exchange->Respond({200, {}, target + "!"});
        exchange->Respond({500, {}, "twice"});
      });
    });
    std::vector<std::thread> callers;
    callers.reserve(4);
    std::atomic<int> right{0};
    for (int c = 0; c < 4; ++c) {
      callers.emplace_back([&, c] {
        RawClient client(server_->port());
        for (int i = 0; i < 100; ++i) {
          const std::string target =
              "/" + std::to_string(c) + "-" + std::to_string(i);
          client.Send("GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n");
          right += client.ReadUntil("!").find("\r\n\r\n" + target + "!") !=
                           std::string::npos
                       ? 1
                       : 0;
        }
      });
    }
    for (auto& caller : callers) {
      caller.join();
    }
    for (auto& responder : responders) {
      responder.join();
    }
    CPPUNIT_ASSERT_EQUAL(400, right.load());
  }

  // Guards against work for a caller that has gone, and against a crash when
  // the response comes after it.
  void ReportsThatTheCallerLeft() {
    std::promise<void> left;
    StartHolding();
    RawClient client(server_->port());
    client.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    auto exchange = WaitHeld(1);
    exchange->SetCloseListener([&left] { left.set_value(); });
    client.Close();
    CPPUNIT_ASSERT(left.get_future().wait_for(std::chrono::seconds(3)) ==
                   std::future_status::ready);
    exchange->Respond({200, {}, "nobody reads this"});
    CPPUNIT_ASSERT(server_->WaitIdle(milliseconds(2000)));
  }

  // Guards against a stop that breaks requests in flight.
  void StopAcceptingLetsRequestsFinish() {
    StartHolding();
    RawClient client(server_->port());
    client.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    auto exchange = WaitHeld(1);
    server_->StopAccepting();
    RawClient second(server_->port());
    CPPUNIT_ASSERT(!second.connected());
    CPPUNIT_ASSERT(!server_->WaitIdle(milliseconds(20)));
    exchange->Respond({200, {}, "done!"});
    const std::string text = client.ReadUntil("done!");
    CPPUNIT_ASSERT(text.find("Connection: close") != std::string::npos);
    CPPUNIT_ASSERT(text.find("done!") != std::string::npos);
    CPPUNIT_ASSERT(server_->WaitIdle(milliseconds(2000)));
  }

  // Guards against callers left without an answer, and against a late Respond
  // that touches a stopped server.
  void StopAnswersWhatIsLeft() {
    StartHolding();
    RawClient client(server_->port());
    client.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    auto exchange = WaitHeld(1);
    server_->Stop();
    const std::string text = client.ReadUntil("}");
    CPPUNIT_ASSERT_MESSAGE(
        text, text.find("Figflow-Disposition: unknown") != std::string::npos);
    server_.reset();
    exchange->Respond({200, {}, ""});
  }

  // Guards against a false refusal: callers of the users' platform take 503 as
  // certain that the request never runs.
  void StopDoesNotRefuseWhatMayHaveRun() {
    HttpServerOptions options;
    options.stopped_status = 504;
    StartHolding(options);
    RawClient client(server_->port());
    client.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    auto exchange = WaitHeld(1);
    server_->Stop();
    const std::string text = client.ReadUntil("}");
    CPPUNIT_ASSERT_MESSAGE(text, text.find("HTTP/1.1 504") == 0);
    server_.reset();
    exchange->Respond({200, {}, ""});
  }

  // Guards against a stop that aborts the process: an open connection brings a
  // request after Stop has answered those in flight.
  void StopAnswersWhatArrivesMeanwhile() {
    std::promise<void> entered;
    std::promise<void> released;
    std::atomic<int> requests{0};
    std::vector<std::shared_ptr<HttpExchange>> unanswered;
    HttpServerOptions options;
    options.threads = 1;
    Start(
        [&](const HttpRequest&, const std::shared_ptr<HttpExchange>& exchange) {
          unanswered.push_back(exchange);
          if (++requests == 1) {
            entered.set_value();
            released.get_future().wait();
          }
        },
        options);
    RawClient first(server_->port());
    RawClient second(server_->port());
    first.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    entered.get_future().wait();
    second.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    std::thread stopper([this] { server_->Stop(); });
    std::this_thread::sleep_for(milliseconds(200));
    released.set_value();
    stopper.join();
    CPPUNIT_ASSERT(first.ReadUntil("}").find(" 503 ") != std::string::npos);
    CPPUNIT_ASSERT(second.ReadUntil("}").find(" 503 ") != std::string::npos);
    unanswered.clear();
  }

  // Guards against unbounded connections; the excess must wait, not fail.
  void ConnectionLimitHoldsBackNewOnes() {
    HttpServerOptions options;
    options.threads = 1;
    options.max_connections = 1;
    StartHolding(options);
    auto first = std::make_unique<RawClient>(server_->port());
    first->Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    auto exchange = WaitHeld(1);
    RawClient second(server_->port());
    second.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    std::this_thread::sleep_for(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(1, server_->InFlight());
    exchange->Respond({200, {}, "1!"});
    first->ReadUntil("1!");
    first.reset();
    WaitHeld(2)->Respond({200, {}, "2!"});
    CPPUNIT_ASSERT(second.ReadUntil("2!").find("2!") != std::string::npos);
  }

  // Guards against connection and framing fields passed on to another hop.
  void StripsConnectionFields() {
    HttpHeaders headers = {{"Connection", "close, X-Private"},
                           {"x-private", "1"},
                           {"Keep-Alive", "5"},
                           {"TE", "trailers"},
                           {"Transfer-Encoding", "chunked"},
                           {"Upgrade", "h2c"},
                           {"Content-Length", "5"},
                           {"Accept", "*/*"}};
    StripHopByHop(headers, false);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, headers.size());
    CPPUNIT_ASSERT_EQUAL(std::string("Accept"), headers[0].first);
  }

 private:
  void Start(HttpHandler handler, HttpServerOptions options = {}) {
    options.limits.max_body_bytes = 1000;
    options.limits.max_header_bytes = 4096;
    server_ = *HttpServer::Start(options, std::move(handler), metrics_);
  }
  // Keeps each exchange for the test to answer.
  void StartHolding(const HttpServerOptions& options = {}) {
    Start(
        [this](const HttpRequest&,
               const std::shared_ptr<HttpExchange>& exchange) {
          std::lock_guard<std::mutex> lock(mutex_);
          held_.push_back(exchange);
          changed_.notify_all();
        },
        options);
  }
  std::shared_ptr<HttpExchange> WaitHeld(size_t count) {
    std::unique_lock<std::mutex> lock(mutex_);
    CPPUNIT_ASSERT(changed_.wait_for(lock, std::chrono::seconds(3),
                                     [&] { return held_.size() >= count; }));
    return held_[count - 1];
  }

  MetricsRegistry metrics_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::shared_ptr<HttpExchange>> held_;
  std::unique_ptr<HttpServer> server_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);

}  // namespace
}  // namespace figflow
