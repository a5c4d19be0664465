// Customers' keys in the plan and in callers' HTTP requests, and the plan in
// responses to pings.
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Fleet/peer_calls.h"
#include "Scheduling/customer_keys.h"
#include "caller_protocol.h"
#include "fleet_codec.h"

namespace figflow::test {
namespace {

using std::chrono::milliseconds;

FleetPlan Plan(const std::string& customers) {
  const Result<FleetPlan> plan = wire::ParsePlan(
      R"({"Version":7,"Routes":[)"
      R"({"Name":"keyed","Host":"h.example","Prefix":"/a/","Service":"s"},)"
      R"({"Name":"open","Host":"h.example","Prefix":"/o/","Service":"s",)"
      R"("Anonymous":true}],"Services":[{"Name":"s"}])" +
      customers + "}");
  CPPUNIT_ASSERT(plan.has_value());
  return *plan;
}

constexpr char kCustomers[] =
    R"(,"Tenants":[{"Name":"a","ApiKeys":["k1","k 2"],"Weight":3,)"
    R"("Cap":{"Cpu":5000}},{"Name":"b","ApiKeys":["shared","kb",""]},)"
    R"({"Name":"c","ApiKeys":["shared"]},{"ApiKeys":["nobody"]},)"
    R"({"Name":"","ApiKeys":["unnamed"]}])";

Result<CallerCall> Call(const FleetPlan& plan,
                        const std::string& authorization,
                        const std::string& method = "GET",
                        const std::string& target = "/a/1",
                        const std::string& body = "") {
  HttpRequest request{method, target, {{"Host", "h.example"}}, body};
  if (authorization != "none") {
    request.headers.emplace_back("Authorization", authorization);
  }
  return wire::ParseCall(request, plan);
}

class KeysTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeysTest);
  CPPUNIT_TEST(PlanHasCustomers);
  CPPUNIT_TEST(HeaderByTable);
  CPPUNIT_TEST(EachKindOfCallNamesItsCustomer);
  CPPUNIT_TEST(CallsWithoutACheckNameNoCustomer);
  CPPUNIT_TEST(KeyIsCheckedBeforeTheBody);
  CPPUNIT_TEST(UnreadablePlanNamesNoKey);
  CPPUNIT_TEST(PingResponseCarriesThePlan);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PlanHasCustomers() {
    const FleetPlan plan = Plan(kCustomers);
    CPPUNIT_ASSERT(plan.requires_keys);
    CPPUNIT_ASSERT(!plan.FindQueueByName("keyed")->open);
    CPPUNIT_ASSERT(plan.FindQueueByName("open")->open);
    // The customer without a name field is left out.
    CPPUNIT_ASSERT_EQUAL(size_t{4}, plan.customers.size());
    CPPUNIT_ASSERT_EQUAL(3.0, plan.FindCustomer("a")->weight);
    CPPUNIT_ASSERT_EQUAL(int64_t{5'000},
                         plan.FindCustomer("a")->cap.cpu_millicores);
    const CustomerKeys::Faults& faults = plan.keys->faults();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, faults.ambiguous);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, faults.unusable);
    CPPUNIT_ASSERT(!Plan("").requires_keys);
    CPPUNIT_ASSERT(Plan("").keys == nullptr);
    CPPUNIT_ASSERT(Plan(R"(,"Tenants":[])").requires_keys);
  }

  // Guards against keys that open the queue to the wrong caller: of two
  // customers, of none, empty, or with another scheme.
  void HeaderByTable() {
    const FleetPlan plan = Plan(kCustomers);
    struct Case {
      const char* field;
      const char* customer;
      KeyFault fault;
    };
    const Case cases[] = {
        {"Token k1", "a", KeyFault::kMissing},
        {"token  k1 ", "a", KeyFault::kMissing},
        {"Token k 2", "a", KeyFault::kMissing},
        {"Token kb", "b", KeyFault::kMissing},
        {"none", "", KeyFault::kMissing},
        {"", "", KeyFault::kMalformed},
        {"Token", "", KeyFault::kMalformed},
        {"Token ", "", KeyFault::kMalformed},
        {"k1", "", KeyFault::kMalformed},
        {"Bearer k1", "", KeyFault::kMalformed},
        {"Tokenk1", "", KeyFault::kMalformed},
        {"Token k", "", KeyFault::kUnknown},
        {"Token k11", "", KeyFault::kUnknown},
        {"Token K1", "", KeyFault::kUnknown},
        {"Token shared", "", KeyFault::kUnknown},
        {"Token nobody", "", KeyFault::kUnknown},
        {"Token unnamed", "", KeyFault::kUnknown},
    };
    for (const Case& test : cases) {
      const Result<CallerCall> call = Call(plan, test.field);
      const bool valid = std::string(test.customer) != "";
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.field, valid, call.has_value());
      if (valid) {
        CPPUNIT_ASSERT_EQUAL(std::string(test.customer), call->customer);
      } else {
        CPPUNIT_ASSERT(call.error().code == ErrorCode::kPermissionDenied);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(test.field,
                                     std::string(KeyFaultName(test.fault)),
                                     call.error().message);
      }
    }
  }

  // Guards against a kind of call that passes without its key being read.
  void EachKindOfCallNamesItsCustomer() {
    const FleetPlan plan = Plan(kCustomers);
    CPPUNIT_ASSERT_EQUAL(std::string("a"),
                         Call(plan, "Token k1", "GET", "/a/")->customer);
    CPPUNIT_ASSERT_EQUAL(std::string("a"),
                         Call(plan, "Token k1", "DELETE")->customer);
    const Result<CallerCall> submission = Call(
        plan, "Token k1", "POST", "/a/1", R"({"Steps":[{"Count":1,"Cpu":1}]})");
    CPPUNIT_ASSERT_EQUAL(std::string("a"), submission->customer);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), submission->spec.customer);
    for (const char* method : {"GET", "DELETE", "POST"}) {
      CPPUNIT_ASSERT(Call(plan, "Token none", method).error().code ==
                     ErrorCode::kPermissionDenied);
    }
  }

  // Guards against refusals where no key is needed.
  void CallsWithoutACheckNameNoCustomer() {
    for (const char* field : {"none", "Token k1", "Basic x"}) {
      const Result<CallerCall> open =
          Call(Plan(kCustomers), field, "GET", "/o/1");
      CPPUNIT_ASSERT(open.has_value());
      CPPUNIT_ASSERT_EQUAL(std::string(), open->customer);
      const Result<CallerCall> off = Call(Plan(""), field);
      CPPUNIT_ASSERT(off.has_value());
      CPPUNIT_ASSERT_EQUAL(std::string(), off->customer);
    }
  }

  // Guards against a parser that callers without a key can reach.
  void KeyIsCheckedBeforeTheBody() {
    CPPUNIT_ASSERT(Call(Plan(kCustomers), "none", "POST", "/a/1", "no json")
                       .error()
                       .code == ErrorCode::kPermissionDenied);
  }

  // Guards against keys in the log, which has the error of an unreadable plan.
  void UnreadablePlanNamesNoKey() {
    for (const char* keys :
         {R"(["secret\q"])", R"(["secret)", "[\"secret\n\"]", R"(["secret" 1])",
          R"([{"secret":1}])", R"({"secret":1})"}) {
      const std::string plan =
          std::string(R"({"Version":1,"Routes":[],"Services":[],"Tenants":)"
                      R"([{"Name":"a","ApiKeys":)") +
          keys + "}]}";
      const Result<FleetPlan> read = wire::ParsePlan(plan);
      const std::string error = read ? "" : ToString(read.error());
      CPPUNIT_ASSERT_MESSAGE(error, error.find("secret") == std::string::npos);
    }
  }

  // Guards against daemons of two versions that do not understand each other's
  // responses: the body is as before, and the plan may be left out.
  void PingResponseCarriesThePlan() {
    const HttpResponse response =
        FormatPingResponse(true, PeerPlan{41, milliseconds(650)});
    CPPUNIT_ASSERT_EQUAL(std::string("store answers"), response.body);
    CPPUNIT_ASSERT(ReportsStoreReachable(response));
    const std::optional<PeerPlan> plan = ReportedPlan(response);
    CPPUNIT_ASSERT(plan.has_value());
    CPPUNIT_ASSERT_EQUAL(uint64_t{41}, plan->version);
    CPPUNIT_ASSERT(plan->staleness == milliseconds(650));
    const HttpResponse earlier = FormatPingResponse(false, std::nullopt);
    CPPUNIT_ASSERT_EQUAL(std::string("store away"), earlier.body);
    CPPUNIT_ASSERT(earlier.headers.empty());
    CPPUNIT_ASSERT(!ReportedPlan(earlier));
    for (const char* staleness : {"-1", "x", "", "99999999999999"}) {
      HttpResponse odd = response;
      odd.headers.back().second = staleness;
      CPPUNIT_ASSERT(!ReportedPlan(odd));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeysTest);

}  // namespace
}  // namespace figflow::test
