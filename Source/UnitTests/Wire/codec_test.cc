// The users' wire, decoded. Examples are written from their pages.
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Fleet/peer_calls.h"
#include "Fleet/route_choice.h"
#include "caller_protocol.h"
#include "fleet_codec.h"

namespace figflow {
namespace {

using std::chrono::milliseconds;

constexpr char kWorker[] =
    R"({"Service":"s","Address":"10.0.0.9:80","Zone":"z","Version":"v1",)"
    R"("Slots":8,"State":"ready","Sequence":1,"born":1792894133219,)"
    R"("Capacity":{"Cpu":64000,"MemMb":262144,"Gpu":0},)"
    R"("Labels":["a","r1-3"],"Machine":"m-1","ClockMs":482113})";

FleetPlan Plan() {
  const Result<FleetPlan> plan = wire::ParsePlan(
      R"({"Version":7,"Routes":[)"
      R"({"Name":"short","Host":"h.example","Prefix":"/a/","Service":"s",)"
      R"("MaxAttempts":2,"Stretch":1.6,"TargetDurationMs":600},)"
      R"({"Name":"long","Host":"h.example","Prefix":"/a/b/","Service":"t",)"
      R"("Priority":1,"Advice":{"DecideMs":5,"PeriodMs":2,"ValidMs":3000}}],)"
      R"("Services":[{"Name":"s","RejectsOverload":true},)"
      R"({"Name":"spare","Spare":true}],"Limits":{}})");
  CPPUNIT_ASSERT(plan.has_value());
  return *plan;
}

HttpRequest Request(const std::string& method,
                    const std::string& target,
                    const std::string& body = "") {
  return {method,
          target,
          {{"Host", "h.example:8080"}, {"Deadline-Ms", "1200"}},
          body};
}

class CodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CodecTest);
  CPPUNIT_TEST(PlanIsRead);
  CPPUNIT_TEST(CallLimitsAreRead);
  CPPUNIT_TEST(OddBodiesOfTheLargestSizeAreRefused);
  CPPUNIT_TEST(UnreadableQueueHidesNoOther);
  CPPUNIT_TEST(WorkerIsRead);
  CPPUNIT_TEST(BadWorkersAreRefused);
  CPPUNIT_TEST(WaveIsRead);
  CPPUNIT_TEST(CallsAreRead);
  CPPUNIT_TEST(BadCallsAreRefused);
  CPPUNIT_TEST(JobIsRead);
  CPPUNIT_TEST(RepliesByTable);
  CPPUNIT_TEST(PeerCallsSurvive);
  CPPUNIT_TEST(BadPeerCallsAreRefused);
  CPPUNIT_TEST(RoutesByTable);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against limits that are lost, and against a plan that unreadable
  // limits make unreadable.
  void CallLimitsAreRead() {
    const auto limits = [](const std::string& text) {
      const Result<FleetPlan> plan = wire::ParsePlan(
          R"({"Version":1,"Routes":[],"Services":[],"Limits":)" + text + "}");
      CPPUNIT_ASSERT_MESSAGE(text, plan.has_value());
      return plan->call_limits;
    };
    const CallLimits all =
        limits(R"({"MaxHeaderBytes":16384,"MaxBodyBytes":262144,)"
               R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000})");
    CPPUNIT_ASSERT_EQUAL(int64_t{16'384}, all.max_header_bytes);
    CPPUNIT_ASSERT_EQUAL(int64_t{262'144}, all.max_body_bytes);
    CPPUNIT_ASSERT(all.header_timeout == std::chrono::seconds(3));
    CPPUNIT_ASSERT(all.idle_timeout == std::chrono::seconds(15));
    for (const char* none :
         {"{}", "7", R"({"MaxBodyBytes":"x"})", R"({"MaxBodyBytes":-1})"}) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(none, int64_t{0},
                                   limits(none).max_body_bytes);
    }
  }

  // Guards against a document that exhausts the stack, or is taken for a job,
  // by its shape alone.
  void OddBodiesOfTheLargestSizeAreRefused() {
    constexpr size_t size = 262'144;
    std::string wide = "[";
    while (wide.size() + 4 < size) {
      wide += "[],";
    }
    wide += "0]";
    std::string members = "{";
    for (int i = 0; members.size() + 12 < size; ++i) {
      members += "\"" + std::to_string(i) + "\":0,";
    }
    members += "\"x\":0}";
    const FleetPlan plan = Plan();
    for (const std::string& body :
         {std::string(size, '['), std::string(size, '{'), wide, members,
          std::string(size, '1'), "\"" + std::string(size - 2, 'a') + "\""}) {
      const auto call =
          wire::ParseCall(Request("POST", "/a/5c0e7a21d94b36f8", body), plan);
      CPPUNIT_ASSERT_MESSAGE(body.substr(0, 10), !call.has_value());
    }
  }

  void PlanIsRead() {
    const FleetPlan plan = Plan();
    CPPUNIT_ASSERT_EQUAL(uint64_t{7}, plan.version);
    CPPUNIT_ASSERT_EQUAL(2, plan.queues[0].max_attempts);
    CPPUNIT_ASSERT(plan.queues[0].objective == milliseconds(600));
    CPPUNIT_ASSERT(!plan.queues[0].policy);
    CPPUNIT_ASSERT(plan.queues[1].policy.has_value());
    CPPUNIT_ASSERT(plan.pools[1].spare);
    CPPUNIT_ASSERT(!wire::ParsePlan("{}").has_value());
    CPPUNIT_ASSERT(!wire::ParsePlan("no json").has_value());
    CPPUNIT_ASSERT(
        !wire::ParsePlan(R"({"Version":"x","Routes":[]})").has_value());
  }

  // Guards against a plan that is refused as a whole for one queue.
  void UnreadableQueueHidesNoOther() {
    const Result<FleetPlan> plan = wire::ParsePlan(
        R"({"Version":7,"Routes":[7,{"Name":"a","Host":"h"},)"
        R"({"Name":"a","Host":"h","Prefix":"/a/","Service":"s",)"
        R"("MaxAttempts":-1},)"
        R"({"Name":"b","Host":"h","Prefix":"/b/","Service":"s"}],)"
        R"("Services":[]})");
    CPPUNIT_ASSERT(plan.has_value());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, plan->queues.size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), plan->queues[0].name);
  }

  void WorkerIsRead() {
    const Result<WorkerReport> worker = wire::ParseWorker("i-1", kWorker);
    CPPUNIT_ASSERT(worker.has_value());
    CPPUNIT_ASSERT_EQUAL(int64_t{1'792'894'133'219}, worker->key.incarnation);
    CPPUNIT_ASSERT_EQUAL(std::string("m-1"), worker->instance);
    CPPUNIT_ASSERT_EQUAL(std::string("r1-3"), worker->rack);
    CPPUNIT_ASSERT_EQUAL(int64_t{64'000}, worker->capacity.cpu_millicores);
    CPPUNIT_ASSERT(worker->clock == milliseconds(482'113));
    CPPUNIT_ASSERT(!worker->draining);
  }

  // Entries of other writers name no worker to use.
  void BadWorkersAreRefused() {
    const std::string good = kWorker;
    const std::pair<const char*, const char*> changes[] = {
        {R"("Service":"s")", R"("Service":5)"},
        {R"("State":"ready")", R"("State":"dreaming")"},
        {R"("State":"ready")", R"("State":null)"},
        {R"("Address":"10.0.0.9:80",)", ""},
        {R"("Capacity":{"Cpu":64000,"MemMb":262144,"Gpu":0})",
         R"("Capacity":[])"},
        {R"("Labels":["a","r1-3"])", R"("Labels":"a")"},
        {R"("Labels":["a","r1-3"])", R"("Labels":[1,2])"},
        {"{\"Service\"", "[\"Service\""},
    };
    for (const auto& [from, to] : changes) {
      std::string bad = good;
      bad.replace(bad.find(from), std::string(from).size(), to);
      CPPUNIT_ASSERT_MESSAGE(bad, !wire::ParseWorker("i-1", bad).has_value());
    }
    CPPUNIT_ASSERT(!wire::ParseWorker("i-1", "\xff\xfe").has_value());
  }

  void WaveIsRead() {
    const Result<MaintenanceWave> wave = wire::ParseWave(
        R"({"Wave":3,"Machines":["m-1","m-2"],"CompleteByS":20.5,"Cap":2})");
    CPPUNIT_ASSERT(wave.has_value());
    CPPUNIT_ASSERT(wave->complete_within == milliseconds(20'500));
    CPPUNIT_ASSERT_EQUAL(2, wave->max_down);
    CPPUNIT_ASSERT(!wire::ParseWave(R"({"Wave":3})").has_value());
  }

  void CallsAreRead() {
    const FleetPlan plan = Plan();
    const Result<CallerCall> query =
        wire::ParseCall(Request("GET", "/a/b/5c0e7a21d94b36f8"), plan);
    CPPUNIT_ASSERT(query.has_value());
    // The longest prefix counts.
    CPPUNIT_ASSERT_EQUAL(std::string("long"), query->queue);
    CPPUNIT_ASSERT_EQUAL(std::string("t"), query->pool);
    CPPUNIT_ASSERT(query->kind == CallKind::kQuery);
    CPPUNIT_ASSERT(query->patience == milliseconds(1'200));
    CPPUNIT_ASSERT(wire::ParseCall(Request("GET", "/a/"), plan)->kind ==
                   CallKind::kCountPending);
    CPPUNIT_ASSERT(wire::ParseCall(Request("DELETE", "/a/1"), plan)->kind ==
                   CallKind::kCancel);
  }

  void BadCallsAreRefused() {
    const FleetPlan plan = Plan();
    struct Case {
      HttpRequest request;
      ErrorCode code;
    };
    const Case cases[] = {
        {Request("GET", "/c/1"), ErrorCode::kNotFound},
        {Request("PUT", "/a/1"), ErrorCode::kInvalid},
        {Request("POST", "/a/"), ErrorCode::kInvalid},
        {Request("POST", "/a/1", "no json"), ErrorCode::kInvalid},
        {Request("POST", "/a/1", R"({"Steps":5})"), ErrorCode::kInvalid},
        {Request("POST", "/a/1", R"({"Steps":[{"Count":"x"}]})"),
         ErrorCode::kInvalid},
        {Request("GET", "/a/1/2"), ErrorCode::kInvalid},
        {{"GET", "/a/1", {}, ""}, ErrorCode::kNotFound},
    };
    for (const Case& test : cases) {
      const Result<CallerCall> call = wire::ParseCall(test.request, plan);
      CPPUNIT_ASSERT_MESSAGE(test.request.target, !call.has_value());
      CPPUNIT_ASSERT(call.error().code == test.code);
    }
  }

  void JobIsRead() {
    const Result<CallerCall> call = wire::ParseCall(
        Request("POST", "/a/5c0e7a21d94b36f8",
                R"({"Spec":"[text]","Steps":[{"Count":4,"Cpu":500,)"
                R"("MemMb":256,"EstimateMs":900,"Affinity":"r1-3"},)"
                R"({"Count":20,"Cpu":2000,"MemMb":1024,"EstimateMs":7000,)"
                R"("After":[0],"SavesProgress":true,"MayMiss":0,)"
                R"("Perpetual":true,"Fills":true,"TargetMs":40}]})"),
        Plan());
    CPPUNIT_ASSERT(call.has_value());
    const JobSpec& spec = call->spec;
    CPPUNIT_ASSERT_EQUAL(std::string("[text]"), spec.payload);
    CPPUNIT_ASSERT_EQUAL(std::string("r1-3"), spec.stages[0].preferred_rack);
    // A bound that is left out is no bound.
    CPPUNIT_ASSERT_EQUAL(-1, spec.stages[0].max_unavailable);
    CPPUNIT_ASSERT_EQUAL(0, spec.stages[1].max_unavailable);
    CPPUNIT_ASSERT(spec.stages[1].filler);
    CPPUNIT_ASSERT(spec.perpetual());
    CPPUNIT_ASSERT(CheckJobSpec(spec).has_value());
  }

  void RepliesByTable() {
    struct Case {
      CallOutcome outcome;
      JobStatus status;
      bool started;
      int http;
      const char* body;
    };
    const Case cases[] = {
        {CallOutcome::kAccepted, JobStatus::kLive, false, 200, ""},
        {CallOutcome::kState, JobStatus::kLive, false, 200, "queued"},
        {CallOutcome::kState, JobStatus::kLive, true, 200, "running"},
        {CallOutcome::kState, JobStatus::kCompleted, true, 200, "completed"},
        {CallOutcome::kState, JobStatus::kFailed, true, 200, "failed"},
        {CallOutcome::kState, JobStatus::kCancelled, true, 200, "cancelled"},
        {CallOutcome::kRefused, JobStatus::kLive, false, 503, ""},
        {CallOutcome::kUnavailable, JobStatus::kLive, false, 503, ""},
        // The caller may not take an unknown outcome for a refusal.
        {CallOutcome::kUnknown, JobStatus::kLive, false, 504, ""},
        {CallOutcome::kNoSuchJob, JobStatus::kLive, false, 410, ""},
        {CallOutcome::kNoSuchQueue, JobStatus::kLive, false, 404, ""},
        {CallOutcome::kMalformed, JobStatus::kLive, false, 400, ""},
    };
    for (const Case& test : cases) {
      CallerReply reply;
      reply.outcome = test.outcome;
      reply.status = test.status;
      reply.started = test.started;
      const HttpResponse response = wire::FormatReply(reply);
      CPPUNIT_ASSERT_EQUAL(test.http, response.status);
      CPPUNIT_ASSERT(response.body.find(test.body) != std::string::npos);
    }
  }

  // A field that one side forgot made every passed-on call fail.
  void PeerCallsSurvive() {
    PeerCall call;
    call.call.kind = CallKind::kSubmit;
    call.call.queue = "q";
    call.call.pool = "p";
    call.call.job = "j";
    call.call.patience = milliseconds(900);
    call.relay = true;
    JobSpec spec;
    spec.id = "j";
    spec.stages.resize(1);
    spec.stages[0].count = 2;
    call.spec_bytes = FormatJobSpec(spec);
    const Result<PeerCall> read = ParsePeerCall(FormatPeerCall(call));
    CPPUNIT_ASSERT(read.has_value());
    CPPUNIT_ASSERT(read->relay);
    CPPUNIT_ASSERT(read->call.patience == milliseconds(900));
    CPPUNIT_ASSERT_EQUAL(2, read->call.spec.stages[0].count);

    CallerReply reply;
    reply.outcome = CallOutcome::kRefused;
    reply.retry_after = milliseconds(700);
    reply.reason = "why";
    reply.fence = 41;
    const Result<CallerReply> back =
        ParsePeerResponse(FormatPeerResponse(reply));
    CPPUNIT_ASSERT(back.has_value());
    CPPUNIT_ASSERT_EQUAL(uint64_t{41}, back->fence);
    CPPUNIT_ASSERT_EQUAL(std::string("why"), back->reason);
    CPPUNIT_ASSERT(back->retry_after == milliseconds(700));

    const Result<PoolSyncRequest> question =
        ParsePoolSyncRequest(FormatPoolSyncRequest(
            {"p", {{"a"}, {{"b", 1}, {"c", 2}}, {"d"}, {"e", "f"}}}));
    CPPUNIT_ASSERT(question.has_value());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, question->orders.ended.size());
    CPPUNIT_ASSERT_EQUAL(int64_t{2},
                         question->orders.ended.rbegin()->incarnation);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, question->orders.lend.size());
  }

  void BadPeerCallsAreRefused() {
    HttpRequest request = FormatPeerCall(PeerCall());
    request.target = "/other";
    CPPUNIT_ASSERT(ParsePeerCall(request).error().code == ErrorCode::kNotFound);
    for (const std::string& body :
         {std::string(), std::string("\x81\x01"), std::string("\x80")}) {
      request = FormatPeerCall(PeerCall());
      request.body = body;
      CPPUNIT_ASSERT(ParsePeerCall(request).error().code ==
                     ErrorCode::kInvalid);
      CPPUNIT_ASSERT(!ParsePeerResponse({200, {}, body}).has_value());
    }
    CPPUNIT_ASSERT(!ParsePeerResponse({500, {}, ""}).has_value());
  }

  void RoutesByTable() {
    const PeerAddress owner{"o", "o:1"};
    const PeerAddress other{"x", "x:1"};
    using Action = RouteChoice::Action;
    struct Case {
      const char* what;
      RouteView view;
      RouteAttempts attempts;
      Action action;
      const char* address;
    };
    RouteView plain;
    plain.owner = owner;
    plain.owner_claim = 9;
    plain.peers = {owner, other};
    RouteView here = plain;
    here.owned_here = true;
    RouteView vacant = plain;
    vacant.owner.reset();
    RouteView stale = vacant;
    stale.stale = true;
    RouteView relayed = plain;
    relayed.relayed = true;
    RouteAttempts failed;
    failed.failed_claims = {9};
    RouteAttempts exhausted = failed;
    exhausted.relays = 99;
    const Case cases[] = {
        {"own pool", here, {}, Action::kServeLocally, ""},
        {"known owner", plain, {}, Action::kOwner, "o:1"},
        {"owner did not answer", plain, failed, Action::kRelay, "x:1"},
        {"take-over under way", vacant, {}, Action::kWait, ""},
        {"cut off from the store", stale, {}, Action::kRelay, "o:1"},
        {"no relay of a relay", relayed, failed, Action::kOwner, "o:1"},
        {"enough relays", plain, exhausted, Action::kOwner, "o:1"},
    };
    for (const Case& test : cases) {
      const RouteChoice choice = ChooseRoute(test.view, test.attempts);
      CPPUNIT_ASSERT_MESSAGE(test.what, choice.action == test.action);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.what, std::string(test.address),
                                   choice.peer.address);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);

}  // namespace
}  // namespace figflow
