// Calls to workers, the policy service and instances, through a transport that
// answers from a table.
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>
#include "Common/json.h"

#include "Scheduling/job.h"
#include "Wire/table_transport.h"
#include "absl/strings/str_cat.h"
#include "instance_client.h"
#include "worker_client.h"

namespace figflow::test {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

class CallsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallsTest);
  CPPUNIT_TEST(StartAnswersByTable);
  CPPUNIT_TEST(StartCarriesWhatItNeeds);
  CPPUNIT_TEST(StartQuotesItsTexts);
  CPPUNIT_TEST(StopAndPaceNameTheRun);
  CPPUNIT_TEST(CallsToWorkersAreTimedFromTheirSending);
  CPPUNIT_TEST(HoldIsRead);
  CPPUNIT_TEST(BadHoldIsAnError);
  CPPUNIT_TEST(FullListOfEndsMayBePartial);
  CPPUNIT_TEST(UnsentOrderIsUnavailable);
  CPPUNIT_TEST(OddNumbersInAHoldAreAnError);
  CPPUNIT_TEST(PolicyIsAsked);
  CPPUNIT_TEST(InstancesAreListedPageByPage);
  CPPUNIT_TEST(InstanceOrdersByTable);
  CPPUNIT_TEST(InstanceOrdersCarryTheirLastMoment);
  CPPUNIT_TEST_SUITE_END();

 public:
  CallsTest()
      : workers_(transport_, clock_, "2.2.2.2:2"),
        instances_("3.3.3.3:3", transport_, clock_) {}

  void StartAnswersByTable() {
    struct Case {
      int status;
      const char* body;
      OrderOutcome answer;
    };
    const Case cases[] = {
        {200, R"({"ClockMs":5})", OrderOutcome::kStarted},
        {409, R"({"ClockMs":5,"Reason":"fence"})", OrderOutcome::kFenced},
        {409, R"({"ClockMs":5,"Reason":"old"})", OrderOutcome::kOutdated},
        {409, R"({"ClockMs":5,"Reason":"late"})", OrderOutcome::kLate},
        {409, R"({"ClockMs":5,"Reason":"room"})",
         OrderOutcome::kInsufficientCapacity},
        {409, R"({"ClockMs":5,"Reason":"ticket"})", OrderOutcome::kNoTicket},
        {409, R"({"ClockMs":5,"Reason":"new word"})", OrderOutcome::kRefused},
        {400, "", OrderOutcome::kRefused},
        {421, "", OrderOutcome::kReplaced},
        {429, "", OrderOutcome::kUnhealthy},
        {503, "", OrderOutcome::kUnhealthy},
    };
    for (const Case& test : cases) {
      transport_.status = test.status;
      transport_.body = test.body;
      const Result<OrderResponse> answer = Start();
      CPPUNIT_ASSERT(answer.has_value());
      CPPUNIT_ASSERT(answer->answer == test.answer);
    }
    transport_.status = 0;
    CPPUNIT_ASSERT(Start().error().code == ErrorCode::kUnknownOutcome);
  }

  // Guards against an order that counts as open though it was never sent.
  void UnsentOrderIsUnavailable() {
    transport_.status = 0;
    transport_.sent = false;
    transport_.error = ErrorCode::kDeadlineExceeded;
    CPPUNIT_ASSERT(Start().error().code == ErrorCode::kUnavailable);
  }

  void StartCarriesWhatItNeeds() {
    transport_.body = R"({"ClockMs":5})";
    Start();
    const json body = transport_.LastBody();
    CPPUNIT_ASSERT_EQUAL(std::string("5c0e7a21d94b36f8.0.1.17"),
                         body["Task"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(2, body["Run"].get<int>());
    CPPUNIT_ASSERT_EQUAL(486'000, body["DeadlineMs"].get<int>());
    CPPUNIT_ASSERT_EQUAL(7, body["Fence"].get<int>());
    CPPUNIT_ASSERT_EQUAL(std::string("text"), body["Spec"].get<std::string>());
    CPPUNIT_ASSERT(!body.contains("Checkpoint"));
    CPPUNIT_ASSERT(!body.contains("Ticket"));
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"),
                         transport_.requests.back().headers[0].second);
  }

  // Guards against a payload or checkpoint that breaks the body of an order.
  void StartQuotesItsTexts() {
    const std::string text = "a\"b\\c\n\x01\xc3\xa9{\"Run\":9}";
    auto job = std::make_shared<Job>();
    job->spec.payload = text;
    StartOrder order;
    order.target = Target();
    order.task = {"job\"", 1, 2, 3};
    order.run = 4;
    order.job = job;
    order.checkpoint = text;
    order.ticket = text;
    workers_.Start(order, [](const Result<OrderResponse>&) {});
    const json body = transport_.LastBody();
    CPPUNIT_ASSERT_EQUAL(text, body["Spec"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(text, body["Checkpoint"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(text, body["Ticket"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("job\".1.2.3"),
                         body["Task"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(4, body["Run"].get<int>());
  }

  void StopAndPaceNameTheRun() {
    workers_.Stop({Target(), {"job", 0, 1, 17}, 2},
                  [](const Result<OrderResponse>&) {});
    json expected = {{"Task", "job.0.1.17"}, {"Run", 2}, {"Fence", 7}};
    CPPUNIT_ASSERT(expected == transport_.LastBody());
    workers_.Pace({Target(), {"job", 0, 1, 17}, 2, 40},
                  [](const Result<OrderResponse>&) {});
    expected["Percent"] = 40;
    CPPUNIT_ASSERT(expected == transport_.LastBody());
  }

  // Guards against a worker that is taken for silent because its call left
  // late.
  void CallsToWorkersAreTimedFromTheirSending() {
    Start();
    CPPUNIT_ASSERT(transport_.answer_time.count() > 0);
    HoldOrder order;
    order.target = Target();
    order.answer_time = milliseconds(1'100);
    workers_.Hold(order, [](const Result<HoldResponse>&) {});
    CPPUNIT_ASSERT(order.answer_time == transport_.answer_time);
  }

  void HoldIsRead() {
    transport_.body =
        R"({"ClockMs":482113,"born":17,"Running":[)"
        R"(["5c0e7a21d94b36f8.0.1.17",2,"0bb8",41,1976],["other",1,"",0]],)"
        R"("Ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],)"
        R"([59,"strange",1,"lapsed",""]]})";
    const Result<HoldResponse> answer = Hold();
    CPPUNIT_ASSERT(answer.has_value());
    const WorkerStatus& status = answer->status;
    CPPUNIT_ASSERT_EQUAL(int64_t{17}, status.incarnation);
    // A run with a name of another form is not ours.
    CPPUNIT_ASSERT_EQUAL(size_t{1}, status.running.size());
    CPPUNIT_ASSERT_EQUAL(17, status.running[0].name.index);
    CPPUNIT_ASSERT_EQUAL(41, status.running[0].percent);
    CPPUNIT_ASSERT_EQUAL(int64_t{1'976}, status.running[0].load);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, status.ended.size());
    CPPUNIT_ASSERT(status.ended[0].end == RunResult::kDone);
    CPPUNIT_ASSERT(status.ended[1].end == RunResult::kLeaseExpired);
    const json body = transport_.LastBody();
    CPPUNIT_ASSERT_EQUAL(57, body["LastSeen"].get<int>());
    // Without a deadline the lease is left alone.
    CPPUNIT_ASSERT(!body.contains("DeadlineMs"));
  }

  // Guards against an odd row that is taken for another run, or left out: the
  // run would count as gone.
  void OddNumbersInAHoldAreAnError() {
    for (const char* odd :
         {"1e300", "-1", "1.5", "9223372036854775807", "\"7\""}) {
      for (const char* body : {R"({"ClockMs":$,"Running":[],"Ended":[]})",
                               R"({"ClockMs":5,"born":$,"Running":[],)"
                               R"("Ended":[]})",
                               R"({"ClockMs":5,"Running":[["j.0.0.0",$,"",4]],)"
                               R"("Ended":[]})",
                               R"({"ClockMs":5,"Running":[],)"
                               R"("Ended":[[$,"j.0.0.1",1,"done",""]]})",
                               R"({"ClockMs":5,"Running":[],)"
                               R"("Ended":[[1,"j.0.0.1",$,"done",""]]})"}) {
        transport_.body = body;
        transport_.body.replace(transport_.body.find('$'), 1, "3");
        CPPUNIT_ASSERT_MESSAGE(transport_.body, Hold().has_value());
        transport_.body = body;
        transport_.body.replace(transport_.body.find('$'), 1, odd);
        CPPUNIT_ASSERT_MESSAGE(transport_.body, !Hold().has_value());
      }
    }
  }

  // Guards against runs that count as lost because their ends are not listed
  // yet.
  void FullListOfEndsMayBePartial() {
    const auto body = [](int ends) {
      json rows = json::array();
      for (int i = 1; i <= ends; ++i) {
        rows.push_back({i, "j.0.0.1", i, "done", ""});
      }
      return json({{"ClockMs", 5}, {"Running", json::array()}, {"Ended", rows}})
          .dump();
    };
    transport_.body = body(499);
    CPPUNIT_ASSERT(!Hold()->status.more_ended);
    transport_.body = body(500);
    CPPUNIT_ASSERT(Hold()->status.more_ended);
  }

  void BadHoldIsAnError() {
    for (const char* body :
         {"", "[]", R"({"ClockMs":1})", R"({"ClockMs":"x","Running":[]})",
          R"({"ClockMs":1,"Running":[[1]],"Ended":[]})",
          R"({"ClockMs":1,"Running":[],"Ended":[[1,"t"]]})"}) {
      transport_.body = body;
      CPPUNIT_ASSERT_MESSAGE(body, !Hold().has_value());
    }
  }

  void PolicyIsAsked() {
    transport_.body = R"({"Good":[["i-1","t-1"]],"ValidMs":3000})";
    Result<PolicyResponse> answer = Fail(ErrorCode::kInternal, "", "", "");
    PolicyQuery question;
    question.stage.job = "5c0e7a21d94b36f8";
    question.stage.stage = 1;
    question.workers = {{"i-1", 1}, {"i-2", 1}};
    workers_.Ask(question, [&](const Result<PolicyResponse>& result) {
      answer = result;
    });
    CPPUNIT_ASSERT(answer.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("t-1"), answer->allowed[0].ticket);
    CPPUNIT_ASSERT(answer->lifetime == milliseconds(3'000));
    CPPUNIT_ASSERT_EQUAL(std::string("5c0e7a21d94b36f8.0.1"),
                         transport_.LastBody()["Step"].get<std::string>());
    transport_.status = 429;
    workers_.Ask(PolicyQuery(), [&](const Result<PolicyResponse>& result) {
      answer = result;
    });
    CPPUNIT_ASSERT(!answer.has_value());
  }

  void InstancesAreListedPageByPage() {
    transport_.body =
        R"({"Machines":[7,{"Machine":9},)"
        R"({"Machine":"m-1","Pool":"p","State":"up","Zone":"z",)"
        R"("Labels":["a","r1"],"Capacity":{"Cpu":1,"MemMb":1,"Gpu":0},)"
        R"("Id":"i-1"},{"Machine":"m-2","Pool":"p","State":"upkeep"}],)"
        R"("NextToken":null})";
    Result<std::vector<Instance>> list = Fail(ErrorCode::kInternal, "", "", "");
    const auto read = [&](Result<std::vector<Instance>> result) {
      list = std::move(result);
    };
    instances_.List(read);
    CPPUNIT_ASSERT(list.has_value());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, list->size());
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), (*list)[0].worker);
    CPPUNIT_ASSERT((*list)[1].state == InstanceStatus::kMaintenance);
    transport_.body = "nonsense";
    instances_.List(read);
    CPPUNIT_ASSERT(!list.has_value());
  }

  void InstanceOrdersByTable() {
    struct Case {
      int status;
      const char* body;
      InstanceAnswer answer;
    };
    const Case cases[] = {
        {200, "", InstanceAnswer::kDone},
        {400, "", InstanceAnswer::kRefused},
        {409, R"({"Reason":"fence"})", InstanceAnswer::kFenced},
        {409, R"({"Reason":"busy"})", InstanceAnswer::kBusy},
        {409, R"({"Reason":"wave"})", InstanceAnswer::kRefused},
        {429, "", InstanceAnswer::kTurnedAway},
        {503, "", InstanceAnswer::kTurnedAway},
    };
    for (const Case& test : cases) {
      transport_.status = test.status;
      transport_.body = test.body;
      Result<InstanceAnswer> answer = Fail(ErrorCode::kInternal, "", "", "");
      instances_.Maintain(
          {"m-1", "", 3, "holder", 12},
          [&](const Result<InstanceAnswer>& result) { answer = result; });
      CPPUNIT_ASSERT(answer.has_value());
      CPPUNIT_ASSERT(*answer == test.answer);
    }
    const HttpRequest& last = transport_.requests.back();
    CPPUNIT_ASSERT_EQUAL(std::string("holder"), last.headers[0].second);
    CPPUNIT_ASSERT_EQUAL(std::string("12"), last.headers[1].second);
  }

  // Guards against an order that is sent after its sender's lease.
  void InstanceOrdersCarryTheirLastMoment() {
    InstanceOrder order{"m-1", "p", 0, "holder", 12};
    order.send_by = clock_.Now() + milliseconds(700);
    instances_.Move(order, [](const Result<InstanceAnswer>&) {});
    CPPUNIT_ASSERT(transport_.send_by == order.send_by);
    order.send_by += milliseconds(100);
    instances_.Maintain(order, [](const Result<InstanceAnswer>&) {});
    CPPUNIT_ASSERT(transport_.send_by == order.send_by);
  }

 private:
  static OrderTarget Target() {
    OrderTarget target;
    target.worker.id = "i-1";
    target.worker.incarnation = 17;
    target.address = "4.4.4.4:4";
    target.fence = 7;
    return target;
  }

  Result<OrderResponse> Start() {
    auto job = std::make_shared<Job>();
    job->spec.payload = "text";
    StartOrder order;
    order.target = Target();
    order.task = {"5c0e7a21d94b36f8", 0, 1, 17};
    order.run = 2;
    order.job = job;
    order.deadline = milliseconds(486'000);
    Result<OrderResponse> answer = Fail(ErrorCode::kInternal, "", "", "");
    workers_.Start(
        order, [&](const Result<OrderResponse>& result) { answer = result; });
    return answer;
  }

  Result<HoldResponse> Hold() {
    HoldOrder order;
    order.target = Target();
    order.acknowledged = 57;
    Result<HoldResponse> answer = Fail(ErrorCode::kInternal, "", "", "");
    workers_.Hold(order,
                  [&](const Result<HoldResponse>& result) { answer = result; });
    return answer;
  }

  SystemClock clock_;
  TableTransport transport_;
  wire::WorkerClient workers_;
  wire::InstanceClient instances_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallsTest);

}  // namespace
}  // namespace figflow::test
