#include "Requests/caller_request.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Requests/answer_cache.h"

namespace figflow {
namespace {

using std::chrono::milliseconds;

class CallerRequestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerRequestTest);
  CPPUNIT_TEST(ParsesHeaders);
  CPPUNIT_TEST(ParsesTargets);
  CPPUNIT_TEST(NamesOperations);
  CPPUNIT_TEST(CacheStaysWithinItsSize);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against wrong headers taken as absent: a request marked wrongly
  // would run under rules that the caller did not ask for.
  void ParsesHeaders() {
    const std::string long_id(201, 'a');
    const struct {
      HttpHeaders headers;
      int deadline_ms;  // 0: invalid
    } cases[] = {
        {{}, 100},
        {{{"figflow-deadline-ms", "50"}}, 50},
        {{{"Figflow-Deadline-Ms", "5000"}}, 1000},
        {{{"Figflow-Deadline-Ms", "0"}}, 0},
        {{{"Figflow-Deadline-Ms", "-5"}}, 0},
        {{{"Figflow-Deadline-Ms", "1s"}}, 0},
        {{{"Figflow-Deadline-Ms", "99999999999999999999"}}, 0},
        {{{"Idempotency-Key", "k"}, {"Figflow-Unrepeatable", "1"}}, 100},
        {{{"Figflow-Unrepeatable", "1"}}, 0},
        {{{"Idempotency-Key", "k"}, {"Figflow-Unrepeatable", "yes"}}, 0},
        {{{"Idempotency-Key", ""}}, 0},
        {{{"Idempotency-Key", "a b"}}, 0},
        {{{"Idempotency-Key", long_id}}, 0},
        {{{"Figflow-Request-Id", long_id}}, 0},
    };
    for (const auto& test : cases) {
      const Result<CallerHeaders> parsed = ParseCallerHeaders(
          test.headers, milliseconds(100), milliseconds(1000));
      CPPUNIT_ASSERT_EQUAL(test.deadline_ms != 0, parsed.has_value());
      CPPUNIT_ASSERT(!parsed ||
                     parsed->deadline == milliseconds(test.deadline_ms));
    }
  }

  // Guards against requests that reach another project or path.
  void ParsesTargets() {
    const struct {
      const char* method;
      const char* target;
      const char* result;  // null: refused
    } cases[] = {
        {"GET", "/p/shop/a/b?c=/d", "shop /a/b?c=/d"},
        {"GET", "/p/shop", "shop /"},
        {"GET", "/p/shop?x", "shop /?x"},
        {"GET", "/p//a", nullptr},
        {"GET", "/p/", nullptr},
        {"GET", "/x/shop/a", nullptr},
        {"POST", "/figflow/tickets", "ticket"},
        {"GET", "/figflow/tickets", nullptr},
        {"DELETE", "/figflow/requests/r-1", "cancel r-1"},
        {"DELETE", "/figflow/requests/", nullptr},
        {"POST", "/figflow/requests/r-1", nullptr},
    };
    for (const auto& test : cases) {
      const Result<CallerTarget> parsed =
          ParseCallerTarget({test.method, test.target, {}, ""});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(test.target, test.result != nullptr,
                                   parsed.has_value());
      if (parsed) {
        const std::string text =
            parsed->route == CallerRoute::kTicket ? "ticket"
            : parsed->route == CallerRoute::kCancel
                ? "cancel " + parsed->request_id
                : parsed->project.value() + " " + parsed->path;
        CPPUNIT_ASSERT_EQUAL(std::string(test.result), text);
      }
    }
  }

  // Guards against one learned size per object id, which never learns.
  void NamesOperations() {
    CPPUNIT_ASSERT_EQUAL(std::string("GET /orders/*/lines"),
                         OperationName("GET", "/orders/17/lines?x=1"));
    CPPUNIT_ASSERT_EQUAL(size_t{128},
                         OperationName("GET", std::string(500, 'a')).size());
  }

  // Guards against unbounded memory for stored responses.
  void CacheStaysWithinItsSize() {
    AnswerCache cache(4000);
    const ProjectId project("p");
    const std::string body(1000, 'x');
    for (const char* key : {"1", "2", "3", "4"}) {
      cache.Put(project, key, {200, {}, body});
    }
    cache.Put(project, "huge", {200, {}, std::string(5000, 'x')});
    CPPUNIT_ASSERT(!cache.Get(project, "1"));
    CPPUNIT_ASSERT(!cache.Get(project, "huge"));
    CPPUNIT_ASSERT_EQUAL(body, cache.Get(project, "4")->body);
    CPPUNIT_ASSERT(!cache.Get(ProjectId("q"), "4"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerRequestTest);

}  // namespace
}  // namespace figflow
