// Calls with customers' keys. The tests run the engine and the router against
// the model of the platform.
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Fleet/fleet_test_support.h"
#include "absl/strings/str_cat.h"

namespace figflow::test {
namespace {

constexpr milliseconds kWithdrawal{5'000};

// What a caller can ask for with a key.
const std::vector<std::string> kPaths = {"submission", "status", "cancellation",
                                         "count", "retry"};

class FleetKeysTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetKeysTest);
  CPPUNIT_TEST(WithdrawnKeyIsRefusedOnEachPath);
  CPPUNIT_TEST(OpenQueueNeedsNoKey);
  CPPUNIT_TEST(PlanWithoutCustomersNeedsNoKey);
  CPPUNIT_TEST(WithdrawnKeyIsRefusedByADaemonThatIsCutOff);
  CPPUNIT_TEST(KeyOfAnEarlierPlanIsRefusedWhileTheStoreIsAway);
  CPPUNIT_TEST(WithdrawnKeyIsRefusedAfterAPause);
  CPPUNIT_TEST(PausedDaemonServesItsNextCall);
  CPPUNIT_TEST(PausedDaemonWithoutPeersConfirmsItsPlan);
  CPPUNIT_TEST(WithdrawnKeyIsRefusedAfterALostWatch);
  CPPUNIT_TEST(WithoutABoundADaemonThatIsCutOffServesItsKeys);
  CPPUNIT_TEST(DaemonThatIsCutOffConfirmsKeysThroughPeers);
  CPPUNIT_TEST(StalePeersConfirmNothing);
  CPPUNIT_TEST(UnreadablePlanConfirmsNothing);
  CPPUNIT_TEST(NewKeyIsNotDeniedByAnOutdatedPlan);
  CPPUNIT_TEST(OwnerRefusesARemovedCustomer);
  CPPUNIT_TEST(KeysCostNoCallsWhenIdle);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a path on which a key that the plan no longer has still
  // works. The first response of each daemon shows that it has served the key
  // before: nothing is remembered for a connection.
  void WithdrawnKeyIsRefusedOnEachPath() {
    ModelFleet fleet(1);
    StartWithKeys(fleet);
    for (int daemon = 0; daemon < 3; ++daemon) {
      for (const std::string& path : kPaths) {
        CPPUNIT_ASSERT_EQUAL(200, StatusOf(fleet, daemon, path, "key-a"));
      }
    }
    SetKeys(fleet, 2, {{"a", {"other"}}, {"b", {"key-b"}}});
    fleet.Run(kApplyBound);
    for (int daemon = 0; daemon < 3; ++daemon) {
      for (const std::string& path : kPaths) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 401,
                                     StatusOf(fleet, daemon, path, "key-a"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 401,
                                     StatusOf(fleet, daemon, path, ""));
      }
      CPPUNIT_ASSERT_EQUAL(200, StatusOf(fleet, daemon, "status", "other"));
    }
    CPPUNIT_ASSERT_EQUAL(15, RefusalsFor(fleet, "unknown"));
    CPPUNIT_ASSERT_EQUAL(15, RefusalsFor(fleet, "missing"));
  }

  // Guards against a check of queues whose callers need no key.
  void OpenQueueNeedsNoKey() {
    ModelFleet fleet(2);
    StartWithKeys(fleet);
    FleetPlan plan = PlanWithKeys(2, {{"a", {"key-a"}}});
    plan.queues[0].open = true;
    fleet.SetPlan(plan);
    fleet.Run(kApplyBound);
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(fleet, 0, "submission", ""));
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(fleet, 0, "status", "no-key"));
  }

  // Guards against a check on deployments without customers.
  void PlanWithoutCustomersNeedsNoKey() {
    ModelFleet fleet(3);
    StartFleet(fleet, 1, 4, 0);
    for (const char* path : {"submission", "count"}) {
      CPPUNIT_ASSERT_EQUAL(200, StatusOf(fleet, 1, path, ""));
    }
  }

  // Guards against a daemon that serves a key by an outdated plan because the
  // store and the peers do not tell it about the new one. The owner, which it
  // reaches, does not know the key of the call.
  void WithdrawnKeyIsRefusedByADaemonThatIsCutOff() {
    ModelFleet fleet(4);
    StartWithKeys(fleet);
    const int entry = OtherThanOwner(fleet);
    fleet.Node(entry)->store_cut = true;
    SetKeys(fleet, 2, {{"a", {"other"}}});
    fleet.Run(kWithdrawal);
    for (const std::string& path : kPaths) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 503,
                                   StatusOf(fleet, entry, path, "key-a"));
    }
    CPPUNIT_ASSERT_EQUAL(5, RefusalsFor(fleet, "unconfirmed"));
    fleet.Node(entry)->store_cut = false;
    fleet.Run(seconds(3));
    CPPUNIT_ASSERT_EQUAL(401, StatusOf(fleet, entry, "status", "key-a"));
  }

  // Guards against the same while no daemon hears from the store: each still
  // knows the jobs that it owned.
  void KeyOfAnEarlierPlanIsRefusedWhileTheStoreIsAway() {
    ModelFleet fleet(5);
    StartWithKeys(fleet);
    const int owner = fleet.OwnerOf("p0");
    fleet.store.faults.silent = true;
    fleet.Run(seconds(1));
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(fleet, owner, "status", "key-a"));
    SetKeys(fleet, 2, {{"a", {"other"}}});
    fleet.Run(kWithdrawal);
    for (const std::string& path : kPaths) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 503,
                                   StatusOf(fleet, owner, path, "key-a"));
    }
    // Without the check, calls fail later, after they were decided by the key.
    CPPUNIT_ASSERT_EQUAL(5, RefusalsFor(fleet, "unconfirmed"));
    fleet.store.faults.silent = false;
    fleet.Run(seconds(3));
    CPPUNIT_ASSERT_EQUAL(401, StatusOf(fleet, owner, "status", "key-a"));
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(fleet, owner, "status", "other"));
  }

  // Guards against a daemon that was paused and decides a call that waited in
  // its socket before it hears of the new plan.
  void WithdrawnKeyIsRefusedAfterAPause() {
    for (const std::string& path : kPaths) {
      ModelFleet fleet(6);
      StartWithKeys(fleet);
      const int entry = OtherThanOwner(fleet);
      fleet.Suspend(entry, seconds(9));
      fleet.Run(milliseconds(500));
      SetKeys(fleet, 2, {{"a", {"other"}}});
      fleet.Run(milliseconds(7'000));
      const std::shared_ptr<int> response = Send(fleet, entry, path, "key-a");
      fleet.Run(seconds(2));
      CPPUNIT_ASSERT_MESSAGE(absl::StrCat(path, ": ", *response),
                             *response == 401 || *response == 503);
    }
  }

  // Guards against refusals by a daemon that only has to ask the store again.
  void PausedDaemonServesItsNextCall() {
    ModelFleet fleet(7);
    StartWithKeys(fleet);
    const int entry = OtherThanOwner(fleet);
    fleet.Suspend(entry, seconds(7));
    fleet.Run(milliseconds(6'990));
    const std::shared_ptr<int> response = Send(fleet, entry, "status", "key-a");
    fleet.Run(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(200, *response);
  }

  // Guards against the same by a daemon that has no peers to ask.
  void PausedDaemonWithoutPeersConfirmsItsPlan() {
    ModelFleet fleet(16);
    StartWithKeys(fleet, kWithdrawal, 1);
    fleet.Suspend(0, seconds(7));
    fleet.Run(milliseconds(6'990));
    Send(fleet, 0, "status", "key-a");
    fleet.Run(seconds(1));
    CPPUNIT_ASSERT_EQUAL(0, RefusalsFor(fleet, "unconfirmed"));
  }

  // Guards against a pending watch that counts as proof of the plan.
  void WithdrawnKeyIsRefusedAfterALostWatch() {
    ModelFleet fleet(8);
    StartWithKeys(fleet);
    for (int i = 0; i < 60; ++i) {
      fleet.store.SwallowWatches();
      if (i == 5) {
        SetKeys(fleet, 2, {{"a", {"other"}}});
      }
      fleet.Run(milliseconds(100));
    }
    const int entry = OtherThanOwner(fleet);
    CPPUNIT_ASSERT_EQUAL(401, StatusOf(fleet, entry, "status", "key-a"));
  }

  // Guards against refusals where withdrawal is not strict.
  void WithoutABoundADaemonThatIsCutOffServesItsKeys() {
    ModelFleet fleet(9);
    StartWithKeys(fleet, milliseconds(0));
    const int entry = OtherThanOwner(fleet);
    fleet.Node(entry)->store_cut = true;
    SetKeys(fleet, 2, {{"a", {"other"}}});
    fleet.Run(kWithdrawal + seconds(5));
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(fleet, entry, "status", "key-a"));
  }

  // Guards against refusals of all callers by a daemon that has lost the store
  // while its peers know the plan to be the newest.
  void DaemonThatIsCutOffConfirmsKeysThroughPeers() {
    ModelFleet fleet(10);
    StartWithKeys(fleet);
    const int entry = OtherThanOwner(fleet);
    fleet.Node(entry)->store_cut = true;
    fleet.Run(kWithdrawal + seconds(5));
    for (const std::string& path : kPaths) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 200,
                                   StatusOf(fleet, entry, path, "key-a"));
    }
    CPPUNIT_ASSERT_EQUAL(401, StatusOf(fleet, entry, "status", "none"));
  }

  // Guards against daemons that confirm an outdated plan to each other.
  void StalePeersConfirmNothing() {
    ModelFleet fleet(11);
    StartWithKeys(fleet);
    const int owner = fleet.OwnerOf("p0");
    for (int daemon = 0; daemon < 3; ++daemon) {
      fleet.Node(daemon)->store_cut = true;
    }
    SetKeys(fleet, 2, {{"a", {"other"}}});
    int last_served = 0;
    const MonoTime withdrawn_at = fleet.time.Now();
    for (int i = 0; i < 40; ++i) {
      const MonoTime sent_at = fleet.time.Now();
      const std::shared_ptr<int> response =
          Send(fleet, (owner + i % 2) % 3, "status", "key-a");
      fleet.Run(milliseconds(250));
      if (*response == 200) {
        last_served =
            static_cast<int>(WholeMilliseconds(sent_at - withdrawn_at).count());
      }
    }
    CPPUNIT_ASSERT_MESSAGE(absl::StrCat(last_served, " ms"),
                           last_served <= kWithdrawal.count());
    CPPUNIT_ASSERT(last_served >= 3'000);
  }

  // Guards against an unreadable plan, which may have withdrawn the key, that
  // counts as a confirmation of the one before it.
  void UnreadablePlanConfirmsNothing() {
    ModelFleet fleet(12);
    StartWithKeys(fleet);
    fleet.store.Put(model::kModelPlanKey, "unreadable");
    fleet.Run(seconds(1));
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(fleet, 0, "status", "key-a"));
    fleet.Run(kWithdrawal);
    CPPUNIT_ASSERT_EQUAL(503, StatusOf(fleet, 0, "status", "key-a"));
    SetKeys(fleet, 2, {{"a", {"key-a"}}});
    fleet.Run(seconds(1));
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(fleet, 0, "status", "key-a"));
  }

  // Guards against callers that are told that their new key is wrong by a
  // daemon that has not heard of the plan with it.
  void NewKeyIsNotDeniedByAnOutdatedPlan() {
    ModelFleet fleet(13);
    StartWithKeys(fleet);
    const int entry = OtherThanOwner(fleet);
    fleet.Node(entry)->store_cut = true;
    SetKeys(fleet, 2, {{"a", {"key-a", "new"}}});
    fleet.Run(kApplyBound + seconds(1));
    CPPUNIT_ASSERT_EQUAL(503, StatusOf(fleet, entry, "status", "new"));
    fleet.Node(entry)->store_cut = false;
    fleet.Run(seconds(2));
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(fleet, entry, "status", "new"));
  }

  // Guards against an entry whose plan still has the customer, within the
  // bound, when the owner knows that it was removed.
  void OwnerRefusesARemovedCustomer() {
    for (const std::string& path : kPaths) {
      ModelFleet fleet(14);
      StartWithKeys(fleet);
      const int entry = OtherThanOwner(fleet);
      fleet.Node(entry)->store_cut = true;
      fleet.Run(seconds(1));
      SetKeys(fleet, 2, {{"b", {"key-b"}}});
      fleet.Run(milliseconds(1'500));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 503,
                                   StatusOf(fleet, entry, path, "key-a"));
      CPPUNIT_ASSERT_EQUAL(0, RefusalsFor(fleet, "unconfirmed"));
    }
  }

  // Guards against reads of the store that grow with the number of keys.
  void KeysCostNoCallsWhenIdle() {
    std::map<int, size_t> received;
    for (const int keys : {1, 2'000}) {
      ModelFleet fleet(15);
      StartWithKeys(fleet);
      std::vector<std::string> list;
      list.reserve(keys);
      for (int i = 0; i < keys; ++i) {
        list.push_back(absl::StrCat("key", i));
      }
      SetKeys(fleet, 2, {{"a", list}});
      fleet.Run(seconds(3));
      const size_t before = fleet.Node(1)->received_bytes;
      fleet.Run(seconds(20));
      received[keys] = fleet.Node(1)->received_bytes - before;
    }
    CPPUNIT_ASSERT_EQUAL(received[1], received[2'000]);
  }

 private:
  using Keys = std::map<std::string, std::vector<std::string>>;

  static FleetPlan PlanWithKeys(uint64_t version, const Keys& keys) {
    FleetPlan plan = SimplePlan(1);
    plan.version = version;
    plan.requires_keys = true;
    for (const auto& [name, list] : keys) {
      plan.customers.push_back({name, list, 0, {}});
    }
    return plan;
  }

  static void SetKeys(ModelFleet& fleet, uint64_t version, const Keys& keys) {
    fleet.SetPlan(PlanWithKeys(version, keys));
  }

  // Starts daemons, of which one owns pool "p0", with job "known" of
  // customer a.
  void StartWithKeys(ModelFleet& fleet,
                     milliseconds withdrawal = kWithdrawal,
                     int daemons = 3) {
    ExecutionBounds bounds;
    bounds.key_withdrawal = withdrawal;
    fleet.SetBounds(bounds);
    SetKeys(fleet, 1, {{"a", {"key-a"}}, {"b", {"key-b"}}});
    AddInstances(fleet, 1, 4, 0);
    fleet.AddDaemons(daemons);
    fleet.Run(seconds(3));
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(fleet, 0, "retry", "key-a"));
  }

  static int OtherThanOwner(const ModelFleet& fleet) {
    return (fleet.OwnerOf("p0") + 1) % 3;
  }

  // Sends a call. Returns where the status of its response will be.
  std::shared_ptr<int> Send(ModelFleet& fleet,
                            int daemon,
                            const std::string& path,
                            const std::string& key) {
    std::string method = "POST";
    std::string job = "known";
    if (path == "submission") {
      job = absl::StrCat("j", ++jobs_);
    } else if (path == "cancellation") {
      method = "DELETE";
    } else if (path == "status") {
      method = "GET";
    } else if (path == "count") {
      method = "GET";
      job = "";
    }
    HttpRequest request = model::ModelRequest(
        method, "q0", job,
        method == "POST" ? FormatJobSpec(SimpleJob(job, "q0", 1, 1, 1'000))
                         : "");
    if (!key.empty()) {
      request.headers.emplace_back(model::kModelKeyHeader, key);
    }
    auto response = std::make_shared<int>(0);
    fleet.Call(daemon, request,
               [response](int status, const std::string& /*body*/) {
                 *response = status;
               });
    return response;
  }

  // Returns the status of the response, or 0 if there is none within 3.1 s.
  int StatusOf(ModelFleet& fleet,
               int daemon,
               const std::string& path,
               const std::string& key) {
    const std::shared_ptr<int> response = Send(fleet, daemon, path, key);
    for (int i = 0; i < 310 && *response == 0; ++i) {
      fleet.Run(milliseconds(10));
    }
    return *response;
  }

  static int RefusalsFor(ModelFleet& fleet, const std::string& reason) {
    return static_cast<int>(
        fleet.metrics()
            .GetCounter(
                absl::StrCat("figflow_calls_refused_for_keys_total{reason=\"",
                             reason, "\"}"))
            .value());
  }

  int jobs_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetKeysTest);

}  // namespace
}  // namespace figflow::test
