#include "Http/http_client.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <future>
#include <memory>
#include <thread>
#include <vector>

#include "Common/metrics.h"
#include "Http/raw_socket.h"
#include "StandIns/Target/target_server.h"

namespace figflow {
namespace {

using std::chrono::milliseconds;

struct Call {
  std::string method = "GET";
  std::string target = "/";
  HttpHeaders headers = {};
  std::string body = {};
  milliseconds deadline{3000};
  bool fresh = false;
  size_t max_answer = 1 << 20;
  milliseconds answer_time{0};
  milliseconds stall_time{0};
  // Time until the request may be sent; 0 for no limit.
  milliseconds send_within{0};
};

class HttpClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpClientTest);
  CPPUNIT_TEST(FaultsOfTargetsAreReported);
  CPPUNIT_TEST(MalformedResponsesAreRefused);
  CPPUNIT_TEST(PostOnDyingConnectionArrivesOnce);
  CPPUNIT_TEST(LateResponseIsNotTakenForTheNext);
  CPPUNIT_TEST(TimedOutConnectionIsNotReused);
  CPPUNIT_TEST(AnswerThatIsThereIsDeliveredByALateThread);
  CPPUNIT_TEST(LateThreadStillTimesOutSilentTargets);
  CPPUNIT_TEST(AnswerTimeBeginsWithTheSending);
  CPPUNIT_TEST(RequestIsNotSentAfterItsLastMoment);
  CPPUNIT_TEST(AnswerThatKeepsComingOutlastsItsDeadline);
  CPPUNIT_TEST(AnswerThatStopsComingEndsEarly);
  CPPUNIT_TEST(MethodsShareOneConnection);
  CPPUNIT_TEST(FreshConnectionIsNeverReused);
  CPPUNIT_TEST(ConnectionLimitHolds);
  CPPUNIT_TEST(CancelEndsTheTransfer);
  CPPUNIT_TEST(OnlySilentTransfersAreCancelled);
  CPPUNIT_TEST(UnsendableRequestsAreRefused);
  CPPUNIT_TEST(DestructionEndsOpenTransfers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    server_ = *TargetServer::Start("127.0.0.1", 0, TargetLimits{64, 64, {}});
    client_ = std::make_unique<HttpClient>(HttpClientOptions(), metrics_);
  }
  void tearDown() override {
    client_.reset();
    server_.reset();
  }

  // Guards against an incomplete response passed on as complete, and against a
  // wrong `sent` flag.
  void FaultsOfTargetsAreReported() {
    const struct {
      const char* name;
      TargetMode mode;
      Call call;
      bool sent;
      ErrorCode code;
    } cases[] = {
        {"truncated",
         TargetMode::kTruncated,
         {},
         true,
         ErrorCode::kUnknownOutcome},
        {"close-delimited",
         TargetMode::kCloseDelimited,
         {},
         true,
         ErrorCode::kUnknownOutcome},
        {"die", TargetMode::kDie, {}, true, ErrorCode::kUnknownOutcome},
        {"slow",
         TargetMode::kNormal,
         {"GET", "/sleep/400", {}, "", milliseconds(40)},
         true,
         ErrorCode::kDeadlineExceeded},
        {"too large",
         TargetMode::kNormal,
         {"GET", "/size/2000", {}, "", milliseconds(3000), false, 1000},
         true,
         ErrorCode::kResourceExhausted},
        {"deadline passed",
         TargetMode::kNormal,
         {"GET", "/", {}, "", milliseconds(-1)},
         false,
         ErrorCode::kDeadlineExceeded},
    };
    for (const auto& test : cases) {
      server_->state().SetMode(test.mode);
      const TransferResult result = Fetch(test.call);
      CPPUNIT_ASSERT_MESSAGE(test.name, !result.response);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          test.name, std::string(ErrorCodeName(test.code)),
          std::string(ErrorCodeName(result.response.error().code)));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, test.sent, result.sent);
    }
    const std::string gone = server_->address();
    server_.reset();
    const TransferResult refused = Fetch({}, gone);
    CPPUNIT_ASSERT(!refused.sent);
    CPPUNIT_ASSERT(refused.response.error().code == ErrorCode::kUnavailable);
  }

  // Guards against framing that can hide a truncated or foreign body.
  void MalformedResponsesAreRefused() {
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const struct {
      const char* name;
      std::string response;
      const char* body;  // null: refused
    } cases[] = {
        {"plain", head + "Content-Length: 2\r\n\r\nok", "ok"},
        {"chunked",
         head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok"},
        {"trailer",
         head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
                "Content-Length: 9\r\n\r\n",
         "ok"},
        {"interim",
         "HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" + head +
             "Content-Length: 2\r\n\r\nok",
         "ok"},
        {"chunk cut", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nok",
         nullptr},
        {"last chunk missing",
         head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", nullptr},
        {"two lengths",
         head + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok!", nullptr},
        {"length and chunked",
         head + "Content-Length: 2\r\nTransfer-Encoding: "
                "chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
         nullptr},
        {"negative length", head + "Content-Length: -2\r\n\r\nok", nullptr},
        {"gzip", head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
         nullptr},
        {"large head",
         head + "A: " + std::string(17000, 'a') +
             "\r\nContent-Length: 2\r\n\r\nok",
         nullptr},
        {"no length", head + "\r\nok", nullptr},
        {"empty", "", nullptr},
        {"not HTTP", "hello\r\n\r\n", nullptr},
        {"head cut", head + "Content-Le", nullptr},
    };
    for (const auto& test : cases) {
      RawServer server(test.response);
      const TransferResult result = Fetch({}, server.address());
      CPPUNIT_ASSERT_MESSAGE(test.name, result.sent);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, test.body != nullptr,
                                   result.response.has_value());
      if (test.body != nullptr) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(test.name, std::string(test.body),
                                     result.response->body);
      }
    }
  }

  // Guards against libcurl's own resend on a new connection when a reused one
  // closes before the first response byte.
  void PostOnDyingConnectionArrivesOnce() {
    CPPUNIT_ASSERT(Fetch({}).response.has_value());
    server_->state().SetMode(TargetMode::kDie);
    const TransferResult result =
        Fetch({"POST", "/", {{"Idempotency-Key", "k"}}, "body"});
    CPPUNIT_ASSERT_EQUAL(1, server_->state().executions("k"));
    CPPUNIT_ASSERT(result.sent);
    CPPUNIT_ASSERT(!result.response);
  }

  // Guards against a second response on an idle connection that becomes the
  // response to the next request.
  void LateResponseIsNotTakenForTheNext() {
    server_->state().SetMode(TargetMode::kLate);
    CPPUNIT_ASSERT_EQUAL(std::string("GET /a 0\n"),
                         Fetch({"GET", "/a"}).response->body);
    std::this_thread::sleep_for(milliseconds(80));
    server_->state().SetMode(TargetMode::kNormal);
    CPPUNIT_ASSERT_EQUAL(std::string("GET /b 0\n"),
                         Fetch({"GET", "/b"}).response->body);
  }

  // Guards against an order that leaves a paused process after the permission
  // for it has run out.
  void RequestIsNotSentAfterItsLastMoment() {
    Call call = {"POST", "/", {{"Idempotency-Key", "k"}}, "body"};
    call.send_within = milliseconds(2'000);
    CPPUNIT_ASSERT(Fetch(call).response.has_value());
    call.headers = {{"Idempotency-Key", "late"}};
    call.send_within = milliseconds(50);
    std::future<TransferResult> late;
    HoldThread(milliseconds(200),
               [&] { late = FetchLater(call, server_->address()); });
    const TransferResult result = late.get();
    CPPUNIT_ASSERT(!result.sent);
    CPPUNIT_ASSERT(result.response.error().code ==
                   ErrorCode::kDeadlineExceeded);
    CPPUNIT_ASSERT_EQUAL(0, server_->state().executions("late"));
  }

  // Guards against a response that comes after its deadline and is taken for
  // the response to the next request.
  void TimedOutConnectionIsNotReused() {
    Fetch({"GET", "/sleep/60", {}, "", milliseconds(30)});
    CPPUNIT_ASSERT_EQUAL(std::string("GET /next 0\n"),
                         Fetch({"GET", "/next"}).response->body);
    CPPUNIT_ASSERT(Stat("\"accepted_connections\":2"));
  }

  // Guards against a time-out although the answer came in time: the thread
  // was late, and looked at the time before it read the socket.
  void AnswerThatIsThereIsDeliveredByALateThread() {
    auto late = FetchLater({"GET", "/sleep/100", {}, "", milliseconds(1'000)},
                           server_->address());
    HoldThread(milliseconds(1'200));
    const TransferResult result = late.get();
    CPPUNIT_ASSERT(result.response.has_value());
    CPPUNIT_ASSERT_EQUAL(200, result.response->status);
  }

  // Guards against targets that are waited for without end once the thread was
  // late.
  void LateThreadStillTimesOutSilentTargets() {
    auto silent = FetchLater({"GET", "/sleep/2000", {}, "", milliseconds(50)},
                             server_->address());
    HoldThread(milliseconds(200));
    CPPUNIT_ASSERT(silent.wait_for(std::chrono::seconds(1)) ==
                   std::future_status::ready);
    const TransferResult result = silent.get();
    CPPUNIT_ASSERT(result.sent);
    CPPUNIT_ASSERT(result.response.error().code ==
                   ErrorCode::kDeadlineExceeded);
  }

  // Guards against a worker that is taken for silent because its order left
  // late.
  void AnswerTimeBeginsWithTheSending() {
    CPPUNIT_ASSERT_EQUAL(200, Fetch({}).response->status);
    std::future<TransferResult> answered;
    std::future<TransferResult> silent;
    HoldThread(milliseconds(1'200), [&] {
      Call call{"GET", "/sleep/40"};
      call.deadline = milliseconds(1'000);
      call.answer_time = milliseconds(1'000);
      answered = FetchLater(call, server_->address());
      call.target = "/sleep/3000";
      silent = FetchLater(call, server_->address());
    });
    CPPUNIT_ASSERT(answered.get().response.has_value());
    const TransferResult result = silent.get();
    CPPUNIT_ASSERT(result.sent);
    CPPUNIT_ASSERT(result.response.error().code ==
                   ErrorCode::kDeadlineExceeded);
    CPPUNIT_ASSERT(result.service_time < milliseconds(2'500));
  }

  // Guards against a large answer on a slow link that is thrown away at its
  // deadline, and asked for again without end.
  void AnswerThatKeepsComingOutlastsItsDeadline() {
    std::vector<std::string> pieces = {
        "HTTP/1.1 200 OK\r\nContent-Length: 16000\r\n\r\n"};
    pieces.resize(9, std::string(2'000, 'x'));
    RawServer server(pieces, milliseconds(100));
    Call call;
    call.deadline = milliseconds(300);
    call.stall_time = milliseconds(250);
    const TransferResult result = Fetch(call, server.address());
    CPPUNIT_ASSERT(result.response.has_value());
    CPPUNIT_ASSERT_EQUAL(size_t{16'000}, result.response->body.size());
    CPPUNIT_ASSERT(result.head_time < milliseconds(200));
    CPPUNIT_ASSERT(result.service_time > milliseconds(600));
  }

  // Guards against an answer that is cut off in the middle and waited for to
  // the end of a long deadline.
  void AnswerThatStopsComingEndsEarly() {
    RawServer server({"HTTP/1.1 200 OK\r\nContent-Length: 16000\r\n\r\n",
                      std::string(2'000, 'x')},
                     milliseconds(1'500));
    Call call;
    call.deadline = milliseconds(6'000);
    call.stall_time = milliseconds(200);
    const TransferResult result = Fetch(call, server.address());
    CPPUNIT_ASSERT(result.response.error().code ==
                   ErrorCode::kDeadlineExceeded);
    CPPUNIT_ASSERT(result.service_time < milliseconds(1'400));
  }

  // Guards against options of one request that stay set for the next.
  void MethodsShareOneConnection() {
    const struct {
      Call call;
      const char* body;
    } cases[] = {
        {{"POST", "/a", {}, "12345"}, "POST /a 5\n"},
        {{"GET", "/%2Fb/../c?x=%20"}, "GET /%2Fb/../c?x=%20 0\n"},
        {{"HEAD", "/d"}, ""},
        {{"DELETE", "/e"}, "DELETE /e 0\n"},
        {{"PUT", "/f"}, "PUT /f 0\n"},
        {{"PATCH", "/g", {}, "1"}, "PATCH /g 1\n"},
        {{"GET", "/h", {}, "12"}, "GET /h 2\n"},
        {{"GET", "/i"}, "GET /i 0\n"},
    };
    for (const auto& test : cases) {
      const TransferResult result = Fetch(test.call);
      CPPUNIT_ASSERT_MESSAGE(test.call.target, result.response.has_value());
      CPPUNIT_ASSERT_EQUAL(std::string(test.body), result.response->body);
    }
    CPPUNIT_ASSERT(Stat("\"accepted_connections\":1"));
  }

  // Guards against an unrepeatable request on a connection that its target may
  // be closing, and against leaving its connection for others.
  void FreshConnectionIsNeverReused() {
    Fetch({});
    Fetch({"POST", "/", {}, "b", milliseconds(3000), true});
    Fetch({});
    CPPUNIT_ASSERT(Stat("\"accepted_connections\":2"));
  }

  // Guards against more connections to a target than this daemon's share,
  // which idle connections count towards.
  void ConnectionLimitHolds() {
    client_->SetConnectionLimit(server_->address(), 2);
    std::vector<std::future<TransferResult>> results;
    for (int i = 0; i < 12; ++i) {
      Call call{"GET", "/sleep/10"};
      call.fresh = i % 2 == 0;
      results.push_back(FetchLater(call, server_->address()));
    }
    for (auto& result : results) {
      CPPUNIT_ASSERT(result.get().response.has_value());
    }
    CPPUNIT_ASSERT_MESSAGE(server_->state().StatsJson(),
                           Stat("\"max_connections\":2"));
    client_->SetConnectionLimit(server_->address(), 0);
    const TransferResult late = Fetch({"GET", "/", {}, "", milliseconds(30)});
    CPPUNIT_ASSERT(!late.sent);
    CPPUNIT_ASSERT(late.response.error().code == ErrorCode::kDeadlineExceeded);
  }

  // Guards against a cancelled transfer that holds its slot to the deadline.
  void CancelEndsTheTransfer() {
    const MonoTime start = SystemClock().Now();
    uint64_t id = 0;
    std::future<TransferResult> result =
        FetchLater({"GET", "/sleep/500"}, server_->address(), &id);
    std::this_thread::sleep_for(milliseconds(20));
    client_->Cancel(id);
    CPPUNIT_ASSERT(result.get().response.error().code == ErrorCode::kCancelled);
    CPPUNIT_ASSERT(SystemClock().Now() - start < milliseconds(400));
    client_->Cancel(id);  // An ended transfer is left alone.
  }

  // Guards against a large answer that is thrown away in the middle to be asked
  // for again.
  void OnlySilentTransfersAreCancelled() {
    uint64_t silent_id = 0;
    std::future<TransferResult> silent =
        FetchLater({"GET", "/sleep/1000"}, server_->address(), &silent_id);
    RawServer server({"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", "body"},
                     milliseconds(300));
    uint64_t arriving_id = 0;
    std::future<TransferResult> arriving =
        FetchLater({}, server.address(), &arriving_id);
    std::this_thread::sleep_for(milliseconds(100));
    client_->CancelIfSilent(silent_id);
    client_->CancelIfSilent(arriving_id);
    CPPUNIT_ASSERT(silent.get().response.error().code == ErrorCode::kCancelled);
    CPPUNIT_ASSERT(arriving.get().response.has_value());
  }

  // Guards against a caller's text that adds fields or a second request.
  void UnsendableRequestsAreRefused() {
    const Call cases[] = {{"GET", "/", {{"A", "b\r\nC: d"}}},
                          {"GET", "/", {{"A\nB", "c"}}},
                          {"GET", "/ HTTP/1.1\r\nA: b"},
                          {"GET /x", "/"},
                          {"", "/"}};
    for (const Call& call : cases) {
      const TransferResult result = Fetch(call);
      CPPUNIT_ASSERT(!result.sent);
      CPPUNIT_ASSERT(result.response.error().code == ErrorCode::kInvalid);
    }
    CPPUNIT_ASSERT_EQUAL(0, server_->state().requests());
  }

  // Guards against callbacks that are lost when the client goes away.
  void DestructionEndsOpenTransfers() {
    auto open = FetchLater({"GET", "/sleep/200"}, server_->address());
    client_.reset();
    CPPUNIT_ASSERT(open.get().response.error().code == ErrorCode::kCancelled);
  }

 private:
  std::future<TransferResult> FetchLater(const Call& call,
                                         const std::string& address,
                                         uint64_t* id = nullptr) {
    TransferRequest request;
    request.address = address;
    request.message = std::make_shared<const HttpRequest>(
        HttpRequest{call.method, call.target, call.headers, call.body});
    request.deadline = SystemClock().Now() + call.deadline;
    request.fresh_connection = call.fresh;
    request.max_answer_bytes = call.max_answer;
    request.answer_time = call.answer_time;
    request.stall_time = call.stall_time;
    if (call.send_within.count() > 0) {
      request.send_by = SystemClock().Now() + call.send_within;
    }
    auto promise = std::make_shared<std::promise<TransferResult>>();
    const uint64_t started =
        client_->Start(std::move(request), [promise](TransferResult result) {
          promise->set_value(std::move(result));
        });
    if (id != nullptr) {
      *id = started;
    }
    return promise->get_future();
  }
  TransferResult Fetch(const Call& call) {
    return Fetch(call, server_->address());
  }
  TransferResult Fetch(const Call& call, const std::string& address) {
    return FetchLater(call, address).get();
  }
  // Keeps the thread that serves the target busy for some time, in which
  // `meanwhile` runs here.
  void HoldThread(
      milliseconds time,
      const std::function<void()>& meanwhile = [] {}) {
    TransferRequest request;
    request.address = server_->address();
    request.message =
        std::make_shared<const HttpRequest>(HttpRequest{"GET", "/", {}, ""});
    request.deadline = SystemClock().Now() + std::chrono::seconds(3);
    std::promise<void> begun;
    std::promise<void> ended;
    client_->Start(std::move(request), [&](const TransferResult&) {
      begun.set_value();
      std::this_thread::sleep_for(time);
      ended.set_value();
    });
    begun.get_future().wait();
    meanwhile();
    ended.get_future().wait();
  }
  bool Stat(const std::string& part) {
    return server_->state().StatsJson().find(part) != std::string::npos;
  }

  MetricsRegistry metrics_;
  std::unique_ptr<TargetServer> server_;
  std::unique_ptr<HttpClient> client_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);

}  // namespace
}  // namespace figflow
