// When a daemon that cannot keep up gives way, from the lateness of its calls.
#include "Fleet/overload_watch.h"

#include <cppunit/extensions/HelperMacros.h>

namespace figflow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const MonoTime kStart = MonoTime(std::chrono::hours(1));

class OverloadWatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OverloadWatchTest);
  CPPUNIT_TEST(SlowedDaemonGivesWayWithinASecond);
  CPPUNIT_TEST(SingleLongStepsDoNotCount);
  CPPUNIT_TEST(BurstOfATakeOverDoesNotCount);
  CPPUNIT_TEST(GivesWaySeldom);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Load pattern: a fifth of the processor from one moment to the next.
  void SlowedDaemonGivesWayWithinASecond() {
    Feed(milliseconds(1), seconds(5));
    CPPUNIT_ASSERT(!watch_.ShouldGiveWay(now_));
    Feed(milliseconds(50), seconds(1));
    CPPUNIT_ASSERT(watch_.ShouldGiveWay(now_));
  }

  void SingleLongStepsDoNotCount() {
    for (int i = 0; i < 20; ++i) {
      Feed(milliseconds(1), seconds(1));
      Feed(milliseconds(80), milliseconds(100));
      CPPUNIT_ASSERT(!watch_.ShouldGiveWay(now_));
    }
  }

  void BurstOfATakeOverDoesNotCount() {
    watch_.OnClaimed(now_);
    for (int i = 0; i < 79; ++i) {
      Feed(milliseconds(60), milliseconds(100));
      CPPUNIT_ASSERT(!watch_.ShouldGiveWay(now_));
    }
    Feed(milliseconds(60), seconds(1));
    CPPUNIT_ASSERT(watch_.ShouldGiveWay(now_));
  }

  // Guards against pools that wander for ever when all daemons are overloaded.
  void GivesWaySeldom() {
    int given = 0;
    for (int i = 0; i < 600; ++i) {
      Feed(milliseconds(60), milliseconds(100));
      if (watch_.ShouldGiveWay(now_)) {
        ++given;
        watch_.OnGaveWay(now_);
        CPPUNIT_ASSERT(watch_.Resting(now_));
      }
    }
    CPPUNIT_ASSERT(given >= 1);
    CPPUNIT_ASSERT(given <= 6);
  }

 private:
  // Reports the lag for a while.
  void Feed(milliseconds lag, milliseconds duration) {
    for (milliseconds passed{0}; passed < duration;
         passed += milliseconds(100)) {
      now_ += milliseconds(100);
      CPPUNIT_ASSERT(watch_.SampleDue(now_));
      watch_.OnSample(lag, now_);
    }
  }

  OverloadWatch watch_;
  MonoTime now_ = kStart;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadWatchTest);

}  // namespace
}  // namespace figflow
