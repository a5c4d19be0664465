#include <signal.h>

#include <chrono>
#include <map>
#include <string>
#include <thread>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Process/background_load.h"
#include "Process/serving_cluster.h"
#include "absl/strings/str_cat.h"

namespace figflow::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ServingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServingTest);
  CPPUNIT_TEST(OthersServeWhenADaemonIsKilled);
  CPPUNIT_TEST(GracefulStopCutsNoRequest);
  CPPUNIT_TEST(SlotsHoldThroughKillFreezeAndRestart);
  CPPUNIT_TEST(LeavingTargetGetsNoNewWorkAfterThreeSeconds);
  CPPUNIT_TEST(CutResponseIsNeverPassedOn);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a daemon that other daemons depend on to serve.
  void OthersServeWhenADaemonIsKilled() {
    ServingCluster cluster;
    cluster.entry(0).Kill();
    BackgroundLoad load({cluster.Shop(1)}, 2);
    std::this_thread::sleep_for(seconds(2));
    const std::map<std::string, int> outcomes = load.Stop();
    CPPUNIT_ASSERT_MESSAGE(Describe(outcomes),
                           outcomes.size() == 1 && outcomes.count("200") == 1);
  }

  // Guards against a stop that cuts requests in flight, and against one that
  // goes on taking new ones.
  void GracefulStopCutsNoRequest() {
    ServingCluster cluster;
    CallResult slow;
    std::thread caller([&] {
      slow = Call("GET", cluster.Shop(0, "/sleep/1500"), {}, "", seconds(10));
    });
    std::this_thread::sleep_for(milliseconds(500));
    cluster.entry(0).Signal(SIGTERM);
    std::this_thread::sleep_for(milliseconds(200));
    const CallResult refused = Call("GET", cluster.Shop(0));
    CPPUNIT_ASSERT(refused.status == 0 || refused.status == 503);
    caller.join();
    CPPUNIT_ASSERT_EQUAL(200, slow.status);
    CPPUNIT_ASSERT_EQUAL(0, cluster.entry(0).Wait(seconds(15)));
  }

  // Guards against entries that together use more of a target than it has,
  // while one of them dies, freezes or restarts.
  void SlotsHoldThroughKillFreezeAndRestart() {
    ServingCluster cluster;
    BackgroundLoad load(
        {cluster.Shop(0, "/sleep/20"), cluster.Shop(1, "/sleep/20")}, 24);
    std::this_thread::sleep_for(seconds(1));
    cluster.entry(1).Signal(SIGSTOP);
    std::this_thread::sleep_for(seconds(2));
    cluster.entry(1).Signal(SIGCONT);
    std::this_thread::sleep_for(seconds(1));
    cluster.entry(0).Kill();
    std::this_thread::sleep_for(seconds(1));
    cluster.StartEntry(0);
    std::this_thread::sleep_for(seconds(4));
    const std::map<std::string, int> outcomes = load.Stop();
    CPPUNIT_ASSERT_MESSAGE(Describe(outcomes), outcomes.at("200") > 100);
    CPPUNIT_ASSERT_EQUAL(0, cluster.Sum("slot_violations"));
    CPPUNIT_ASSERT_EQUAL(0, cluster.Sum("connection_violations"));
  }

  // Guards against new work at a target that shows it is leaving while the
  // platform's list still calls it live.
  void LeavingTargetGetsNoNewWorkAfterThreeSeconds() {
    ServingCluster cluster;
    BackgroundLoad load({cluster.Shop(0), cluster.Shop(1)}, 2);
    std::this_thread::sleep_for(seconds(1));
    cluster.SetTargetMode(0, "leaving");
    std::this_thread::sleep_for(seconds(3));
    const int after_bound = cluster.TargetStats(0).value("requests", -1);
    std::this_thread::sleep_for(seconds(2));
    const int later = cluster.TargetStats(0).value("requests", -1);
    const std::map<std::string, int> outcomes = load.Stop();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Describe(outcomes), after_bound, later);
    CPPUNIT_ASSERT_MESSAGE(Describe(outcomes),
                           outcomes.size() == 1 && outcomes.count("200") == 1);
  }

  // Guards against a body that was cut at the target and reads as complete at
  // the caller.
  void CutResponseIsNeverPassedOn() {
    ServingCluster cluster;
    for (const char* mode : {"truncated", "close-delimited", "die"}) {
      cluster.SetTargetMode(0, mode);
      cluster.SetTargetMode(1, mode);
      for (int i = 0; i < 10; ++i) {
        const CallResult result =
            Call("POST", cluster.Shop(i % 2),
                 {"Figflow-Unrepeatable: 1",
                  absl::StrCat("Idempotency-Key: ", mode, "-", i)},
                 "x");
        CPPUNIT_ASSERT_EQUAL_MESSAGE(mode, std::string("unknown"),
                                     result.Header("figflow-disposition"));
        CPPUNIT_ASSERT_MESSAGE(mode, result.status >= 500);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServingTest);

}  // namespace
}  // namespace figflow::test
