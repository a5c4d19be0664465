// When refused callers come back.
#include "Fleet/retry_advice.h"

#include <set>

#include <cppunit/extensions/HelperMacros.h>

#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RetryAdviceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryAdviceTest);
  CPPUNIT_TEST(FiveTriesOutlastALongOutage);
  CPPUNIT_TEST(AnImpatientCallerGetsItsTries);
  CPPUNIT_TEST(CallersRefusedTogetherComeBackSpread);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against callers that spend all their tries during one outage.
  void FiveTriesOutlastALongOutage() {
    milliseconds now{0};
    for (int retry = 0; retry < 4; ++retry) {
      now += ComeBackAfter(now, seconds(60), "0123456789abcdef");
    }
    CPPUNIT_ASSERT(now >= seconds(8));
  }

  // Guards against a pause that outlasts the caller's patience.
  void AnImpatientCallerGetsItsTries() {
    for (int age = 0; age < 10; ++age) {
      CPPUNIT_ASSERT(ComeBackAfter(seconds(age), milliseconds(3'000), "j") ==
                     seconds(1));
    }
  }

  // Guards against a wave of returning callers at the end of an outage.
  void CallersRefusedTogetherComeBackSpread() {
    std::set<seconds> pauses;
    for (int i = 0; i < 100; ++i) {
      const seconds pause =
          ComeBackAfter(seconds(3), seconds(60), absl::StrCat("job", i));
      CPPUNIT_ASSERT(pause >= seconds(3));
      CPPUNIT_ASSERT(pause <= seconds(4));
      pauses.insert(pause);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{2}, pauses.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryAdviceTest);

}  // namespace
}  // namespace figflow
