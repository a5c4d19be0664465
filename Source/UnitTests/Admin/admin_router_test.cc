#include "Admin/admin_router.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include "Common/json.h"

#include "Admin/fake_admin_backend.h"

namespace figflow {
namespace {

constexpr char kToken[] = "secret-1";
constexpr char kJob[] =
    R"({"id":"j1","project":"p","pool":"q","cores":2,"command":"run x"})";

struct RouteCase {
  const char* method;
  const char* target;
  std::string body;
  int status;
  // The backend call; empty when the backend must not be called.
  const char* call;
  // Part of the response body.
  const char* text;
};

const RouteCase kRouteCases[] = {
    {"GET", "/state", "", 200, "", "\"state\""},
    {"GET", "/v1/sheet", "", 200, "sheet", "\"revision\":7"},
    {"POST", "/v1/sheet/check", "a,b", 200, "check a,b", "\"ok\":true"},
    {"POST", "/v1/sheet/check", "bad", 200, "check bad", "\"ok\":false"},
    {"POST", "/v1/sheet/diff", "a", 200, "diff a", "\"changes\":[]"},
    {"POST", "/v1/sheet/apply", "a", 200, "apply a ", "\"revision\":8"},
    {"POST", "/v1/sheet/apply?apply_id=x1", "a", 200, "apply a x1", "x1"},
    {"GET", "/v1/status", "", 200, "status", "\"daemons\":[]"},
    {"GET", "/v1/projects?team=t", "", 200, "projects //t//", "projects"},
    {"GET", "/v1/pools?project=p&pool=q", "", 200, "pools p/q///", "rice"},
    {"GET", "/v1/instances?state=down&data_centre=d", "", 200,
     "instances ///d/down", "instances"},
    {"GET", "/v1/ledger?", "", 200, "ledger ////", "instance_seconds"},
    {"POST", "/v1/jobs", kJob, 201, "submit p normal 2 run x", "\"id\""},
    {"GET", "/v1/jobs", "", 200, "jobs ////", "jobs"},
    {"GET", "/v1/jobs/p/j1", "", 200, "job p j1", "state"},
    {"DELETE", "/v1/jobs/p/j1", "", 200, "cancel p j1", "state"},
    {"POST", "/v1/maintenance/start", R"({"project":"p","rollout":"r"})", 200,
     "start p r", "wave"},
    {"POST", "/v1/maintenance/pause", R"({"project":"p"})", 200, "pause p", ""},
    {"POST", "/v1/maintenance/resume", R"({"project":"p"})", 200, "resume p",
     ""},
    {"GET", "/v1/maintenance", "", 200, "maintenance ////", "maintenance"},
    {"POST", "/v1/entries/e-1/remove", "", 200, "remove e-1", "epoch"},
    // Wrong requests, none of which may reach the backend.
    {"PUT", "/v1/jobs", "x", 405, "", "allowed: POST, GET"},
    {"POST", "/healthz", "", 405, "", "allowed: GET"},
    {"GET", "/v2/status", "", 404, "", "unknown API version"},
    {"GET", "/v1", "", 404, "", "unknown path"},
    {"GET", "/v1/status/", "", 404, "", "unknown path"},
    {"GET", "", "", 404, "", "unknown path"},
    {"DELETE", "/v1/jobs/p/..", "", 404, "", "unknown path"},
    {"DELETE", "/v1/jobs/p/a%2Fb", "", 404, "", "unknown path"},
    {"GET", "/v1/pools?colour=red", "", 400, "", "unknown query parameter"},
    {"GET", "/v1/pools?pool=a&pool=b", "", 400, "", "repeated"},
    {"GET", "/v1/pools?pool=", "", 400, "", "not a valid id"},
    {"GET", "/v1/status", "x", 413, "", "takes no body"},
    {"POST", "/v1/sheet/apply", "", 400, "", "empty"},
    {"POST", "/v1/sheet/apply", std::string(kMaxUploadBytes + 1, 'a'), 413, "",
     "at most 4000000"},
    {"POST", "/v1/jobs", std::string(kMaxAdminJsonBytes + 1, ' '), 413, "", ""},
    {"POST", "/v1/jobs", "{", 400, "", "not valid JSON"},
    {"POST", "/v1/jobs", std::string(50000, '['), 400, "", "not valid JSON"},
    {"POST", "/v1/jobs", "[]", 400, "", "not a JSON object"},
    {"POST", "/v1/jobs", R"({"id":"j"})", 400, "",
     "\\\"project\\\" is missing"},
    {"POST", "/v1/jobs",
     R"({"id":"a/b","project":"p","pool":"q","command":"c"})", 400, "",
     "not a valid id"},
    {"POST", "/v1/jobs",
     R"({"id":"j","project":"p","pool":"q","command":"c","cores":-1})", 400, "",
     "cores"},
    {"POST", "/v1/jobs",
     R"({"id":"j","project":"p","pool":"q","command":"c","memory_mb":1.5})",
     400, "", "memory_mb"},
    {"POST", "/v1/jobs",
     R"({"id":"j","project":"p","pool":"q","command":"c","memory_mb":18446744073709551615})",
     400, "", "memory_mb"},
    {"POST", "/v1/jobs",
     R"({"id":"j","project":"p","pool":"q","command":"c","priority":"soon"})",
     400, "", "priority"},
    {"POST", "/v1/jobs",
     R"({"id":"j","project":"p","pool":"q","command":"c","colour":1})", 400, "",
     "unknown field"},
    {"POST", "/v1/maintenance/pause", R"({"project":7})", 400, "",
     "not a string"},
    {"POST", "/v1/maintenance/pause", "{\"\xff\":1}", 400, "", ""},
};

struct TokenCase {
  const char* target;
  const char* credential;
  const char* token;
  int status;
};

constexpr TokenCase kTokenCases[] = {
    {"/healthz", kToken, "", 200},
    {"/readyz", kToken, "", 200},
    {"/metrics", kToken, "wrong", 200},
    {"/state", kToken, "", 401},
    {"/v1/status", kToken, "secret-2", 401},
    {"/v1/status", kToken, "secret-1x", 401},
    {"/v1/status", kToken, "secret-1secret-1", 401},
    {"/v1/status", kToken, "secret-", 401},
    {"/v1/nothing", kToken, "", 401},
    {"/v1/status", "", "", 401},
    {"/v1/status", kToken, kToken, 200},
};

struct ErrorCase {
  ErrorCode code;
  int status;
  const char* name;
};

constexpr ErrorCase kErrorCases[] = {
    {ErrorCode::kInvalid, 400, "invalid"},
    {ErrorCode::kNotFound, 404, "not-found"},
    {ErrorCode::kConflict, 409, "conflict"},
    {ErrorCode::kUnavailable, 503, "unavailable"},
    {ErrorCode::kUnknownOutcome, 504, "unknown-outcome"},
    {ErrorCode::kDeadlineExceeded, 504, "deadline-exceeded"},
    {ErrorCode::kResourceExhausted, 429, "resource-exhausted"},
    {ErrorCode::kPermissionDenied, 403, "permission-denied"},
    {ErrorCode::kInternal, 500, "internal"},
};

class AdminRouterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdminRouterTest);
  CPPUNIT_TEST(RequestsReachTheirOperation);
  CPPUNIT_TEST(CredentialIsRequired);
  CPPUNIT_TEST(ErrorsKeepTheirCode);
  CPPUNIT_TEST(HeadersOfTheHttpForm);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a request that runs the wrong operation, and against wrong
  // input that reaches the backend.
  void RequestsReachTheirOperation() {
    for (const RouteCase& c : kRouteCases) {
      test::FakeAdminBackend backend;
      const AdminRouter router(backend, kToken);
      const AdminResponse response =
          router.Handle(AdminRequest{c.method, c.target, kToken, c.body});
      const std::string name =
          absl::StrCat(c.method, " ", c.target, " ", c.body.substr(0, 80));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, c.status, response.status);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string(c.call), backend.last);
      CPPUNIT_ASSERT_MESSAGE(name + ": " + response.body,
                             response.body.find(c.text) != std::string::npos);
      const auto body = nlohmann::json::parse(response.body);
      if (c.status >= 400) {
        for (const char* field : {"code", "step", "peer", "message"}) {
          CPPUNIT_ASSERT_MESSAGE(name, body["error"][field].is_string());
        }
      }
    }
  }

  // Guards against an interface that opens for a partly matching, repeated or
  // empty credential.
  void CredentialIsRequired() {
    for (const TokenCase& c : kTokenCases) {
      test::FakeAdminBackend backend;
      const AdminRouter router(backend, c.credential);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          absl::StrCat(c.target, " ", c.token), c.status,
          router.Handle(AdminRequest{"GET", c.target, c.token, ""}).status);
    }
  }

  // Guards against an unknown outcome that is reported as a plain failure.
  void ErrorsKeepTheirCode() {
    for (const ErrorCase& c : kErrorCases) {
      test::FakeAdminBackend backend;
      backend.error = Error{c.code, "kv.get", "store:1", "told by \xff"};
      const AdminRouter router(backend, kToken);
      const AdminResponse response =
          router.Handle(AdminRequest{"GET", "/v1/status", kToken, ""});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, c.status, response.status);
      const auto error = nlohmann::json::parse(response.body)["error"];
      CPPUNIT_ASSERT_EQUAL(std::string(c.name),
                           error["code"].get<std::string>());
      CPPUNIT_ASSERT_EQUAL(std::string("store:1"),
                           error["peer"].get<std::string>());
      CPPUNIT_ASSERT_EQUAL(
          503, router.Handle(AdminRequest{"GET", "/readyz", "", ""}).status);
    }
  }

  // Guards against servers that lose the token or the Allow header.
  void HeadersOfTheHttpForm() {
    test::FakeAdminBackend backend;
    const AdminRouter router(backend, kToken);
    HttpRequest request{"GET", "/v1/status", {}, ""};
    HttpResponse response = router.Handle(request);
    CPPUNIT_ASSERT_EQUAL(401, response.status);
    CPPUNIT_ASSERT_EQUAL(std::string("WWW-Authenticate"),
                         response.headers.back().first);
    request.headers = {{"authorization", "bearer secret-1"}};
    CPPUNIT_ASSERT_EQUAL(200, router.Handle(request).status);
    request.method = "POST";
    response = router.Handle(request);
    CPPUNIT_ASSERT(response.headers.back() ==
                   std::make_pair(std::string("Allow"), std::string("GET")));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdminRouterTest);

}  // namespace
}  // namespace figflow
