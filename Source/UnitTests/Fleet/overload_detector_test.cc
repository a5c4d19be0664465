// Hand-over of an overloaded daemon, decided by the lateness of its calls.
#include "Fleet/overload_detector.h"

#include <cppunit/extensions/HelperMacros.h>

namespace figflow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const MonoTime kStart = MonoTime(std::chrono::hours(1));

class OverloadDetectorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OverloadDetectorTest);
  CPPUNIT_TEST(SlowDaemonHandsOverWithinASecond);
  CPPUNIT_TEST(SingleLongStepsAreIgnored);
  CPPUNIT_TEST(BurstAfterATakeOverIsIgnored);
  CPPUNIT_TEST(HandOversAreLimited);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The daemon's processor share drops to a fifth from one moment to the next.
  void SlowDaemonHandsOverWithinASecond() {
    FeedLag(milliseconds(1), seconds(5));
    CPPUNIT_ASSERT(!detector_.ShouldShedLoad(now_));
    FeedLag(milliseconds(50), seconds(1));
    CPPUNIT_ASSERT(detector_.ShouldShedLoad(now_));
  }

  void SingleLongStepsAreIgnored() {
    for (int i = 0; i < 20; ++i) {
      FeedLag(milliseconds(1), seconds(1));
      FeedLag(milliseconds(80), milliseconds(100));
      CPPUNIT_ASSERT(!detector_.ShouldShedLoad(now_));
    }
  }

  void BurstAfterATakeOverIsIgnored() {
    detector_.OnScopeClaimed(now_);
    for (int i = 0; i < 79; ++i) {
      FeedLag(milliseconds(60), milliseconds(100));
      CPPUNIT_ASSERT(!detector_.ShouldShedLoad(now_));
    }
    FeedLag(milliseconds(60), seconds(1));
    CPPUNIT_ASSERT(detector_.ShouldShedLoad(now_));
  }

  // Guards against pools that change owners forever when all daemons are
  // overloaded.
  void HandOversAreLimited() {
    int hand_overs = 0;
    for (int i = 0; i < 600; ++i) {
      FeedLag(milliseconds(60), milliseconds(100));
      if (detector_.ShouldShedLoad(now_)) {
        ++hand_overs;
        detector_.OnLoadShed(now_);
        CPPUNIT_ASSERT(detector_.InBackoff(now_));
      }
    }
    CPPUNIT_ASSERT(hand_overs >= 1);
    CPPUNIT_ASSERT(hand_overs <= 6);
  }

 private:
  // Feeds samples of the lag for `duration`.
  void FeedLag(milliseconds lag, milliseconds duration) {
    for (milliseconds elapsed{0}; elapsed < duration;
         elapsed += milliseconds(100)) {
      now_ += milliseconds(100);
      CPPUNIT_ASSERT(detector_.SampleDue(now_));
      detector_.OnSample(lag, now_);
    }
  }

  OverloadDetector detector_;
  MonoTime now_ = kStart;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadDetectorTest);

}  // namespace
}  // namespace figflow
