#include <signal.h>

#include <chrono>
#include <string>
#include <thread>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Process/serving_cluster.h"

namespace figflow::test {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

// The brief's bound for a change to be in force on every reachable daemon.
constexpr seconds kInForceBound{4};

uint64_t Revision(Cluster& cluster, int entry) {
  const json status = cluster.AdminJson(entry, "/v1/status");
  return status.is_object() ? status.value("config_revision", uint64_t{0}) : 0;
}

bool AllHave(Cluster& cluster, uint64_t revision) {
  for (int i = 0; i < cluster.entry_count(); ++i) {
    if (Revision(cluster, i) < revision) {
      return false;
    }
  }
  return true;
}

ClusterOptions TwoDataCentres() {
  ClusterOptions options;
  options.data_centres = {"dc-a", "dc-b"};
  return options;
}

class ConfigTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigTest);
  CPPUNIT_TEST(AcceptedSheetIsInForceEverywhereInTime);
  CPPUNIT_TEST(AcceptedSheetSpreadsWhileTheStoreIsDown);
  CPPUNIT_TEST(RacingOperatorsGetOneWinner);
  CPPUNIT_TEST(LostAnswerIsSettledByReadingBack);
  CPPUNIT_TEST(RestoredStoreDoesNotRevert);
  CPPUNIT_TEST(DaemonCutOffKeepsServingAndCatchesUp);
  CPPUNIT_TEST(DaemonStartedDuringAnOutageGetsTheNewestFromPeers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AcceptedSheetIsInForceEverywhereInTime() {
    ServingCluster cluster(TwoDataCentres(), 2);
    const uint64_t revision = cluster.Apply(0, {{"shop", 2}, {"mill", 0}});
    CPPUNIT_ASSERT(revision > 0);
    CPPUNIT_ASSERT(Cluster::WaitFor([&] { return AllHave(cluster, revision); },
                                    kInForceBound) <= kInForceBound);
    const json status = cluster.AdminJson(3, "/v1/status");
    for (const json& daemon : status["daemons"]) {
      CPPUNIT_ASSERT_MESSAGE(daemon.dump(), daemon["confirmed"] == true);
    }
  }

  // Guards against daemons that learn of a change from the store only.
  void AcceptedSheetSpreadsWhileTheStoreIsDown() {
    ServingCluster cluster(TwoDataCentres(), 2);
    for (int i = 1; i < cluster.entry_count(); ++i) {
      cluster.CutPlatform(i, true);
    }
    const uint64_t revision = cluster.Apply(0, {{"shop", 2}, {"mill", 0}});
    cluster.SetPlatformFault({{"down", true}});
    CPPUNIT_ASSERT(revision > 0);
    CPPUNIT_ASSERT(Cluster::WaitFor([&] { return AllHave(cluster, revision); },
                                    kInForceBound) <= kInForceBound);
  }

  void RacingOperatorsGetOneWinner() {
    ServingCluster cluster;
    const std::string csv = cluster.Admin(0, "GET", "/v1/sheet").body;
    const json in_force = json::parse(csv, nullptr, false);
    const std::string sheet =
        in_force.is_object() ? in_force.value("csv", "") : csv;
    std::string first = sheet;
    std::string second = sheet;
    first.replace(first.find(",240,"), 5, ",241,");
    second.replace(second.find(",240,"), 5, ",242,");
    CallResult results[2];
    std::thread operator_one([&] {
      results[0] = cluster.Admin(0, "POST", "/v1/sheet/apply", first);
    });
    results[1] = cluster.Admin(1, "POST", "/v1/sheet/apply", second);
    operator_one.join();
    const std::string what = results[0].body + results[1].body;
    CPPUNIT_ASSERT_MESSAGE(
        what, (results[0].status == 200) != (results[1].status == 200));
    CPPUNIT_ASSERT_MESSAGE(
        what, results[0].status == 409 || results[1].status == 409);
  }

  void LostAnswerIsSettledByReadingBack() {
    ServingCluster cluster;
    cluster.SetPlatformFault({{"lose_answers", 1}});
    const uint64_t before = Revision(cluster, 0);
    const uint64_t revision = cluster.Apply(0, {{"shop", 2}, {"mill", 0}});
    CPPUNIT_ASSERT_EQUAL(before + 1, revision);
  }

  // Guards against an operator's restore of the store that brings back an
  // older configuration, also through a daemon that starts afterwards.
  void RestoredStoreDoesNotRevert() {
    ServingCluster cluster;
    const uint64_t old = Revision(cluster, 0);
    cluster.PlatformCall("/standin/snapshot");
    const uint64_t revision = cluster.Apply(0, {{"shop", 2}, {"mill", 0}});
    CPPUNIT_ASSERT(revision > old);
    CPPUNIT_ASSERT(Cluster::WaitFor([&] { return AllHave(cluster, revision); },
                                    kInForceBound) <= kInForceBound);
    cluster.PlatformCall("/standin/restore");
    cluster.entry(1).Kill();
    cluster.StartEntry(1);
    const auto ready = [&] {
      return cluster.Admin(1, "GET", "/readyz").status == 200;
    };
    CPPUNIT_ASSERT(Cluster::WaitFor(ready, seconds(15)) <= seconds(15));
    CPPUNIT_ASSERT(Revision(cluster, 0) >= revision);
    CPPUNIT_ASSERT(Revision(cluster, 1) >= revision);
    CPPUNIT_ASSERT(cluster.Apply(1, {{"shop", 2}, {"felt", 0}}) > revision);
  }

  // Guards against a data centre that stops, or reverts, when it is cut off.
  void DaemonCutOffKeepsServingAndCatchesUp() {
    ServingCluster cluster;
    cluster.CutPlatform(0, true);
    cluster.entry(1).Signal(SIGSTOP);
    std::this_thread::sleep_for(seconds(7));
    CPPUNIT_ASSERT_EQUAL(200, Call("GET", cluster.Shop(0)).status);
    cluster.entry(1).Signal(SIGCONT);
    const uint64_t revision = cluster.Apply(1, {{"shop", 2}, {"mill", 0}});
    CPPUNIT_ASSERT(revision > 0);
    cluster.CutPlatform(0, false);
    CPPUNIT_ASSERT(Cluster::WaitFor([&] { return AllHave(cluster, revision); },
                                    kInForceBound) <= kInForceBound);
    CPPUNIT_ASSERT_EQUAL(200, Call("GET", cluster.Shop(0)).status);
  }

  void DaemonStartedDuringAnOutageGetsTheNewestFromPeers() {
    ServingCluster cluster;
    const uint64_t revision = Revision(cluster, 0);
    cluster.SetPlatformFault({{"down", true}});
    cluster.entry(1).Kill();
    cluster.StartEntry(1);
    const auto has_revision = [&] { return Revision(cluster, 1) == revision; };
    CPPUNIT_ASSERT(Cluster::WaitFor(has_revision, seconds(10)) <= seconds(10));
    // It has no share while the store is down, and relays to its peer.
    const auto serves = [&] {
      return Call("GET", cluster.Shop(1)).status == 200;
    };
    CPPUNIT_ASSERT(Cluster::WaitFor(serves, seconds(10)) <= seconds(10));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigTest);

}  // namespace
}  // namespace figflow::test
