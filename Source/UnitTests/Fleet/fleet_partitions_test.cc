// Pools that are partitioned among several owners. The tests run the whole
// engine against the model of the platform.
#include <algorithm>
#include <optional>
#include <set>
#include <string>

#include "Fleet/fleet_test_support.h"
#include "Fleet/route_choice.h"
#include "Ownership/owner_record.h"

namespace figflow::test {
namespace {

class FleetPartitionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetPartitionsTest);
  CPPUNIT_TEST(PartitionsHaveDifferentOwners);
  CPPUNIT_TEST(KilledOwnerOfAPartitionLosesNothing);
  CPPUNIT_TEST(PendingJobsOfAllPartitionsAreCounted);
  CPPUNIT_TEST(PerpetualJobsOfAPoolUseOnePartition);
  CPPUNIT_TEST(PerpetualJobIsNotDeniedWhileAPartitionHasNoOwner);
  CPPUNIT_TEST(UnknownOutcomeIsNotReportedAsNotRun);
  CPPUNIT_TEST(EachPartitionBorrowsInstances);
  CPPUNIT_TEST(WaveCoversAllPartitions);
  CPPUNIT_TEST(UnavailableInstanceListDoesNotBlockTheStart);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a large pool whose whole load is on one daemon.
  void PartitionsHaveDifferentOwners() {
    ModelFleet fleet(70);
    StartFleet(fleet, 1, 78, 0);
    std::set<int> owners;
    for (const char* scope : {"p0/0", "p0/1", "p0/2"}) {
      owners.insert(fleet.OwnerOf(scope));
    }
    CPPUNIT_ASSERT_EQUAL(size_t{3}, owners.size());
    CPPUNIT_ASSERT(owners.count(-1) == 0);
    CPPUNIT_ASSERT_EQUAL(-1, fleet.OwnerOf("p0"));
    SubmitMany(fleet, "a", "q0", 100, milliseconds(10));
    fleet.Run(seconds(10));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(100, fleet.promises.completed());
  }

  void KilledOwnerOfAPartitionLosesNothing() {
    ModelFleet fleet(71);
    StartFleet(fleet, 2, 52, 0);
    SubmitMany(fleet, "a", "q0", 100, milliseconds(50));
    SubmitMany(fleet, "b", "q1", 100, milliseconds(50));
    for (const char* scope : {"p0/0", "p1/1"}) {
      fleet.time.After(seconds(2), [&fleet, scope] {
        fleet.Kill(std::max(0, fleet.OwnerOf(scope)), seconds(3));
      });
    }
    fleet.Run(seconds(30));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(200, fleet.promises.completed());
  }

  // Guards against responses that count the jobs of one partition only.
  void PendingJobsOfAllPartitionsAreCounted() {
    ModelFleet fleet(72);
    StartFleet(fleet, 1, 52, 0);
    // No worker has free capacity for these jobs.
    SubmitMany(fleet, "a", "q0", 40, milliseconds(5), 1, 1, 17'000);
    fleet.Run(seconds(2));
    for (int daemon = 0; daemon < fleet.daemons(); ++daemon) {
      std::string response_text;
      fleet.Call(daemon, model::ModelRequest("GET", "q0", "", ""),
                 [&response_text](int status, const std::string& body) {
                   response_text = absl::StrCat(status, " ", body);
                 });
      fleet.Run(seconds(1));
      CPPUNIT_ASSERT_EQUAL(std::string("200 40"), response_text);
    }
  }

  // Guards against perpetual jobs that occupy workers in all partitions of a
  // pool, and against responses that such jobs do not exist.
  void PerpetualJobsOfAPoolUseOnePartition() {
    ModelFleet fleet(76);
    StartFleet(fleet, 1, 78, 0);
    SubmitPerpetual(fleet, 8);
    fleet.Run(seconds(4));
    std::set<std::string> scopes;
    for (int i = 0; i < 8; ++i) {
      for (const char* scope : {"p0/0", "p0/1", "p0/2"}) {
        const bool stored =
            fleet.store.Find(AcceptedJobKey(scope, PerpetualId(i))) != nullptr;
        if (stored) {
          scopes.insert(scope);
        }
      }
      for (int daemon = 0; daemon < fleet.daemons(); ++daemon) {
        CPPUNIT_ASSERT_EQUAL(200,
                             StatusOf(fleet, daemon, "GET", PerpetualId(i)));
      }
    }
    CPPUNIT_ASSERT_EQUAL(size_t{1}, scopes.size());
    CPPUNIT_ASSERT_EQUAL(410, StatusOf(fleet, 0, "GET", "unknown"));
    CPPUNIT_ASSERT_EQUAL(410, StatusOf(fleet, 0, "DELETE", "unknown"));
    for (int i = 0; i < 8; ++i) {
      CPPUNIT_ASSERT_EQUAL(200,
                           StatusOf(fleet, i % 3, "DELETE", PerpetualId(i)));
    }
    fleet.Run(seconds(3));
    AssertPromisesKept(fleet);
  }

  // Guards against a job that is denied because only the other partition that
  // may hold it has responded.
  void PerpetualJobIsNotDeniedWhileAPartitionHasNoOwner() {
    ModelFleet fleet(77);
    StartFleet(fleet, 1, 78, 0);
    SubmitPerpetual(fleet, 8);
    fleet.Run(seconds(4));
    const int killed = fleet.OwnerOf("p0/1");
    CPPUNIT_ASSERT(killed >= 0);
    fleet.Kill(killed, seconds(60));
    const int queried = (killed + 1) % fleet.daemons();
    for (int i = 0; i < 8; ++i) {
      const int status = StatusOf(fleet, queried, "GET", PerpetualId(i));
      CPPUNIT_ASSERT_MESSAGE(absl::StrCat(status), status != 410);
    }
    const int unknown = StatusOf(fleet, queried, "GET", "unknown");
    CPPUNIT_ASSERT_MESSAGE(absl::StrCat(unknown),
                           unknown == 410 || unknown == 503);
  }

  // Guards against a cancellation that may have taken effect in one partition
  // while the caller receives the response of another.
  void UnknownOutcomeIsNotReportedAsNotRun() {
    struct Case {
      std::optional<CallOutcome> uncertain;
      CallOutcome last;
      CallOutcome expected;
    };
    const Case cases[] = {
        {std::nullopt, CallOutcome::kNoSuchJob, CallOutcome::kNoSuchJob},
        {std::nullopt, CallOutcome::kUnavailable, CallOutcome::kUnavailable},
        {CallOutcome::kUnknown, CallOutcome::kNoSuchJob, CallOutcome::kUnknown},
        {CallOutcome::kUnknown, CallOutcome::kUnavailable,
         CallOutcome::kUnknown},
        {CallOutcome::kUnknown, CallOutcome::kCancelled,
         CallOutcome::kCancelled},
        {CallOutcome::kUnavailable, CallOutcome::kNoSuchJob,
         CallOutcome::kUnavailable},
        {CallOutcome::kUnavailable, CallOutcome::kUnknown,
         CallOutcome::kUnknown},
        {CallOutcome::kUnavailable, CallOutcome::kState, CallOutcome::kState},
    };
    for (const Case& test : cases) {
      std::optional<CallerReply> uncertain;
      if (test.uncertain) {
        uncertain.emplace();
        uncertain->outcome = *test.uncertain;
      }
      CallerReply last;
      last.outcome = test.last;
      CPPUNIT_ASSERT(CombineScopeResponses(uncertain, last).outcome ==
                     test.expected);
    }
  }

  void EachPartitionBorrowsInstances() {
    ModelFleet fleet(73);
    StartFleet(fleet, 1, 40, 40);
    SubmitMany(fleet, "a", "q0", 400, milliseconds(10), 2, 8, 2'000);
    fleet.Run(seconds(5));
    CPPUNIT_ASSERT(fleet.instances.CountIn("p0") >= 60);
    fleet.Run(seconds(60));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(400, fleet.promises.completed());
  }

  void WaveCoversAllPartitions() {
    ModelFleet fleet(74);
    StartFleet(fleet, 1, 56, 0);
    SubmitMany(fleet, "a", "q0", 60, milliseconds(100));
    const MaintenanceWave wave = StartWave(fleet, 20, 6);
    fleet.Run(seconds(30));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(20, fleet.instances.Maintained(wave.number));
  }

  // Guards against a new fleet without owners while the platform's list of
  // instances is unavailable.
  void UnavailableInstanceListDoesNotBlockTheStart() {
    ModelFleet fleet(75);
    fleet.instances.list_away = true;
    StartFleet(fleet, 1, 4, 0);
    fleet.Run(seconds(4));
    CPPUNIT_ASSERT(fleet.OwnerOf("p0") >= 0);
    SubmitMany(fleet, "a", "q0", 10, milliseconds(50));
    fleet.Run(seconds(10));
    AssertPromisesKept(fleet);
    CPPUNIT_ASSERT_EQUAL(10, fleet.promises.completed());
  }

 private:
  static std::string PerpetualId(int number) {
    return absl::StrCat("lasting", number);
  }

  // Submits perpetual jobs with at most one task on each worker.
  static void SubmitPerpetual(ModelFleet& fleet, int count) {
    for (int i = 0; i < count; ++i) {
      JobSpec spec = SimpleJob(PerpetualId(i), "q0", 1, 4, 500);
      spec.stages[0].perpetual = true;
      spec.stages[0].max_per_worker = 1;
      spec.stages[0].max_unavailable = 1;
      fleet.Submit(spec, i % fleet.daemons());
    }
  }

  // Returns the status of the response, or 0 if there is none within 3 s.
  static int StatusOf(ModelFleet& fleet,
                      int daemon,
                      const std::string& method,
                      const std::string& job) {
    int response = 0;
    fleet.Call(daemon, model::ModelRequest(method, "q0", job, ""),
               [&response](int status, const std::string& /*body*/) {
                 response = status;
               });
    for (int i = 0; i < 300 && response == 0; ++i) {
      fleet.Run(milliseconds(10));
    }
    return response;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetPartitionsTest);

}  // namespace
}  // namespace figflow::test
