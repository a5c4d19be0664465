// Retry delays of refused callers.
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
  CPPUNIT_TEST(FiveAttemptsOutlastALongOutage);
  CPPUNIT_TEST(ShortTimeoutAllowsSeveralAttempts);
  CPPUNIT_TEST(CallersRefusedTogetherRetryAtDifferentTimes);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against callers that use up all attempts during one outage.
  void FiveAttemptsOutlastALongOutage() {
    milliseconds now{0};
    for (int attempt = 0; attempt < 4; ++attempt) {
      now += ComputeRetryDelay(now, seconds(60), "0123456789abcdef");
    }
    CPPUNIT_ASSERT(now >= seconds(8));
  }

  // Guards against a delay that exceeds the caller's remaining time.
  void ShortTimeoutAllowsSeveralAttempts() {
    for (int age = 0; age < 10; ++age) {
      CPPUNIT_ASSERT(ComputeRetryDelay(seconds(age), milliseconds(3'000),
                                       "j") == seconds(1));
    }
  }

  // Guards against a burst of retries at the end of an outage.
  void CallersRefusedTogetherRetryAtDifferentTimes() {
    std::set<seconds> delays;
    for (int i = 0; i < 100; ++i) {
      const seconds delay =
          ComputeRetryDelay(seconds(3), seconds(60), absl::StrCat("job", i));
      CPPUNIT_ASSERT(delay >= seconds(3));
      CPPUNIT_ASSERT(delay <= seconds(4));
      delays.insert(delay);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{2}, delays.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryAdviceTest);

}  // namespace
}  // namespace figflow
