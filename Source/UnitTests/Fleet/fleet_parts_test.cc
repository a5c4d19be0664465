// Pools that are split between owners: the whole engine against the model of
// the platform.
#include <algorithm>
#include <optional>
#include <set>
#include <string>

#include "Fleet/fleet_test_support.h"
#include "Fleet/route_choice.h"
#include "Ownership/owner_record.h"

namespace figflow::test {
namespace {

class FleetPartsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetPartsTest);
  CPPUNIT_TEST(PartsOfAPoolHaveTheirOwnOwners);
  CPPUNIT_TEST(LostOwnerOfAPartLosesNothing);
  CPPUNIT_TEST(PendingJobsOfAllPartsAreCounted);
  CPPUNIT_TEST(PerpetualJobsOfAPoolShareOnePart);
  CPPUNIT_TEST(PerpetualJobIsFoundBesideAPartWithoutOwner);
  CPPUNIT_TEST(CallOfUnknownOutcomeIsNotCalledNotRun);
  CPPUNIT_TEST(EachPartBorrowsInstances);
  CPPUNIT_TEST(WaveReachesAllParts);
  CPPUNIT_TEST(UnknownListOfInstancesDoesNotStopTheStart);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a large pool whose whole load falls to one daemon.
  void PartsOfAPoolHaveTheirOwnOwners() {
    ModelFleet fleet(70);
    Begin(fleet, 1, 78, 0);
    std::set<int> owners;
    for (const char* scope : {"p0/0", "p0/1", "p0/2"}) {
      owners.insert(fleet.OwnerOf(scope));
    }
    CPPUNIT_ASSERT_EQUAL(size_t{3}, owners.size());
    CPPUNIT_ASSERT(owners.count(-1) == 0);
    CPPUNIT_ASSERT_EQUAL(-1, fleet.OwnerOf("p0"));
    SubmitMany(fleet, "a", "q0", 100, milliseconds(10));
    fleet.Run(seconds(10));
    AssertKept(fleet);
    CPPUNIT_ASSERT_EQUAL(100, fleet.promises.completed());
  }

  void LostOwnerOfAPartLosesNothing() {
    ModelFleet fleet(71);
    Begin(fleet, 2, 52, 0);
    SubmitMany(fleet, "a", "q0", 100, milliseconds(50));
    SubmitMany(fleet, "b", "q1", 100, milliseconds(50));
    for (const char* scope : {"p0/0", "p1/1"}) {
      fleet.time.After(seconds(2), [&fleet, scope] {
        fleet.Kill(std::max(0, fleet.OwnerOf(scope)), seconds(3));
      });
    }
    fleet.Run(seconds(30));
    AssertKept(fleet);
    CPPUNIT_ASSERT_EQUAL(200, fleet.promises.completed());
  }

  // Guards against callers that are told the count of one part.
  void PendingJobsOfAllPartsAreCounted() {
    ModelFleet fleet(72);
    Begin(fleet, 1, 52, 0);
    // No worker has room for these.
    SubmitMany(fleet, "a", "q0", 40, milliseconds(5), 1, 1, 17'000);
    fleet.Run(seconds(2));
    for (int daemon = 0; daemon < fleet.daemons(); ++daemon) {
      std::string counted;
      fleet.Call(daemon, model::ModelRequest("GET", "q0", "", ""),
                 [&counted](int status, const std::string& body) {
                   counted = absl::StrCat(status, " ", body);
                 });
      fleet.Run(seconds(1));
      CPPUNIT_ASSERT_EQUAL(std::string("200 40"), counted);
    }
  }

  // Guards against workers that perpetual jobs keep in all parts of a pool, and
  // against such jobs that callers are told do not exist.
  void PerpetualJobsOfAPoolShareOnePart() {
    ModelFleet fleet(76);
    Begin(fleet, 1, 78, 0);
    SubmitPerpetual(fleet, 8);
    fleet.Run(seconds(4));
    std::set<std::string> scopes;
    for (int i = 0; i < 8; ++i) {
      for (const char* scope : {"p0/0", "p0/1", "p0/2"}) {
        const bool held =
            fleet.store.Find(AcceptedJobKey(scope, PerpetualId(i))) != nullptr;
        if (held) {
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
    AssertKept(fleet);
  }

  // Guards against a job that is denied because only the other part that may
  // hold it has answered.
  void PerpetualJobIsFoundBesideAPartWithoutOwner() {
    ModelFleet fleet(77);
    Begin(fleet, 1, 78, 0);
    SubmitPerpetual(fleet, 8);
    fleet.Run(seconds(4));
    const int killed = fleet.OwnerOf("p0/1");
    CPPUNIT_ASSERT(killed >= 0);
    fleet.Kill(killed, seconds(60));
    const int asked = (killed + 1) % fleet.daemons();
    for (int i = 0; i < 8; ++i) {
      const int status = StatusOf(fleet, asked, "GET", PerpetualId(i));
      CPPUNIT_ASSERT_MESSAGE(absl::StrCat(status), status != 410);
    }
    const int unknown = StatusOf(fleet, asked, "GET", "unknown");
    CPPUNIT_ASSERT_MESSAGE(absl::StrCat(unknown),
                           unknown == 410 || unknown == 503);
  }

  // Guards against a cancel that may have taken effect in one part and is
  // reported by the answer of another.
  void CallOfUnknownOutcomeIsNotCalledNotRun() {
    struct Case {
      std::optional<CallOutcome> unsure;
      CallOutcome last;
      CallOutcome told;
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
      std::optional<CallerReply> unsure;
      if (test.unsure) {
        unsure.emplace();
        unsure->outcome = *test.unsure;
      }
      CallerReply last;
      last.outcome = test.last;
      CPPUNIT_ASSERT(AnswerOfScopes(unsure, last).outcome == test.told);
    }
  }

  void EachPartBorrowsInstances() {
    ModelFleet fleet(73);
    Begin(fleet, 1, 40, 40);
    SubmitMany(fleet, "a", "q0", 400, milliseconds(10), 2, 8, 2'000);
    fleet.Run(seconds(5));
    CPPUNIT_ASSERT(fleet.instances.CountIn("p0") >= 60);
    fleet.Run(seconds(60));
    AssertKept(fleet);
    CPPUNIT_ASSERT_EQUAL(400, fleet.promises.completed());
  }

  void WaveReachesAllParts() {
    ModelFleet fleet(74);
    Begin(fleet, 1, 56, 0);
    SubmitMany(fleet, "a", "q0", 60, milliseconds(100));
    const MaintenanceWave wave = StartWave(fleet, 20, 6);
    fleet.Run(seconds(30));
    AssertKept(fleet);
    CPPUNIT_ASSERT_EQUAL(20, fleet.instances.Maintained(wave.number));
  }

  // Guards against a new fleet without owners while the platform's list of
  // instances is away.
  void UnknownListOfInstancesDoesNotStopTheStart() {
    ModelFleet fleet(75);
    fleet.instances.list_away = true;
    Begin(fleet, 1, 4, 0);
    fleet.Run(seconds(4));
    CPPUNIT_ASSERT(fleet.OwnerOf("p0") >= 0);
    SubmitMany(fleet, "a", "q0", 10, milliseconds(50));
    fleet.Run(seconds(10));
    AssertKept(fleet);
    CPPUNIT_ASSERT_EQUAL(10, fleet.promises.completed());
  }

 private:
  static std::string PerpetualId(int number) {
    return absl::StrCat("lasting", number);
  }

  // Jobs whose tasks last, one on each worker at most.
  static void SubmitPerpetual(ModelFleet& fleet, int count) {
    for (int i = 0; i < count; ++i) {
      JobSpec spec = SimpleJob(PerpetualId(i), "q0", 1, 4, 500);
      spec.stages[0].perpetual = true;
      spec.stages[0].max_per_worker = 1;
      spec.stages[0].max_unavailable = 1;
      fleet.Submit(spec, i % fleet.daemons());
    }
  }

  // The status of the answer, 0 if there is none in 3 s.
  static int StatusOf(ModelFleet& fleet,
                      int daemon,
                      const std::string& method,
                      const std::string& job) {
    int answer = 0;
    fleet.Call(daemon, model::ModelRequest(method, "q0", job, ""),
               [&answer](int status, const std::string& /*body*/) {
                 answer = status;
               });
    for (int i = 0; i < 300 && answer == 0; ++i) {
      fleet.Run(milliseconds(10));
    }
    return answer;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetPartsTest);

}  // namespace
}  // namespace figflow::test
