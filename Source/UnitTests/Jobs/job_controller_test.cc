#include "Jobs/job_controller.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Jobs/jobs_fixture.h"
#include "Support/fake_key_value_store.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

using namespace std::string_literals;
using std::chrono::milliseconds;
using test::FakeKeyValueStore;
using test::MakeJob;
using test::MockFleet;

// Two controllers, as on two entry instances, over one store and one fleet.
struct Harness {
  explicit Harness(int workers, bool may_quarantine = true) {
    for (int i = 1; i <= workers; ++i) {
      const std::string id = absl::StrCat("w", i);
      fleet.AddWorker(id, 8);
      policy.pools[InstanceId(id)] = PoolId("pool");
    }
    for (auto* controller : {&a, &b}) {
      *controller = std::make_unique<JobController>(
          JobControllerOptions(), jobs, fleet, metrics,
          std::make_unique<BestFit>(),
          [may_quarantine](const InstanceId&) { return may_quarantine; });
    }
  }
  void Submit(const std::string& id, double cores = 8, bool urgent = false) {
    CPPUNIT_ASSERT(jobs.Submit(MakeJob(id, cores, urgent)));
  }
  void Step(int count = 1) {
    for (int i = 0; i < count; ++i) {
      now += milliseconds(500);
      CPPUNIT_ASSERT(a->Step(policy, now));
      CPPUNIT_ASSERT(b->Step(policy, now));
    }
  }
  std::string State(const std::string& id) {
    return std::string(JobStateName(Read(id).state));
  }
  JobRecord Read(const std::string& id) {
    return jobs.Read(ProjectId("project"), JobId(id))->record;
  }
  MockFleet::Task& Task(const std::string& id) {
    return fleet.tasks.at(JobId(id));
  }
  void Cancel(const std::string& id) {
    CPPUNIT_ASSERT(jobs.Cancel(ProjectId("project"), JobId(id)));
  }

  FakeKeyValueStore store;
  JobStore jobs{store, "e1", milliseconds(100)};
  MockFleet fleet;
  MetricsRegistry metrics;
  JobPolicy policy;
  WallTime now{std::chrono::hours(480'000)};
  std::unique_ptr<JobController> a;
  std::unique_ptr<JobController> b;
};

class JobControllerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobControllerTest);
  CPPUNIT_TEST(JobRunsToItsEnd);
  CPPUNIT_TEST(CancellationRacesTheStart);
  CPPUNIT_TEST(LostStartIsRepeatedNotDoubled);
  CPPUNIT_TEST(LostWorkerLeadsToANewPlacement);
  CPPUNIT_TEST(UrgentWorkStartsWithinFourSeconds);
  CPPUNIT_TEST(BadWorkerIsQuarantinedWithinTheBudget);
  CPPUNIT_TEST(BadJobIsGivenUp);
  CPPUNIT_TEST(StoreDownStartsNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a job that two controllers start twice, or never finish.
  void JobRunsToItsEnd() {
    Harness h(2);
    h.Submit("j");
    h.Submit("huge", 9);
    h.Step();
    CPPUNIT_ASSERT_EQUAL("running"s, h.State("j"));
    CPPUNIT_ASSERT_EQUAL("refused"s, h.State("huge"));
    CPPUNIT_ASSERT_EQUAL(1, h.fleet.starts);
    h.Task("j").usage.cores = 9;
    h.Step();
    CPPUNIT_ASSERT_EQUAL(9.0, h.Read("j").measured.cores);
    h.Task("j").state = TaskState::kDone;
    h.Step();
    CPPUNIT_ASSERT_EQUAL("finished"s, h.State("j"));
  }

  // Guards against a task that goes on after its cancellation was reported.
  void CancellationRacesTheStart() {
    Harness before(1);
    before.Submit("j");
    before.store.BeforeNextWrite([&before] { before.Cancel("j"); });
    before.Step();
    CPPUNIT_ASSERT_EQUAL("cancelled"s, before.State("j"));
    CPPUNIT_ASSERT_EQUAL(0, before.fleet.starts);

    Harness during(1);
    during.Submit("j");
    during.fleet.before_start = [&during] { during.Cancel("j"); };
    during.Step();
    CPPUNIT_ASSERT_EQUAL("stopping"s, during.State("j"));
    during.Step(2);
    CPPUNIT_ASSERT(during.Task("j").state == TaskState::kStopped);
    CPPUNIT_ASSERT_EQUAL("cancelled"s, during.State("j"));

    Harness finished(1);
    finished.Submit("j");
    finished.Step();
    finished.Cancel("j");
    finished.Task("j").state = TaskState::kDone;
    finished.Step();
    CPPUNIT_ASSERT_EQUAL("finished"s, finished.State("j"));
  }

  // Guards against a second worker for a job whose start was not confirmed.
  void LostStartIsRepeatedNotDoubled() {
    Harness h(2);
    h.Submit("j");
    h.fleet.lose_start_answer = true;
    CPPUNIT_ASSERT(h.a->Step(h.policy, h.now));
    CPPUNIT_ASSERT_EQUAL("placed"s, h.State("j"));
    const MockFleet::Task first = h.Task("j");
    h.Step();
    CPPUNIT_ASSERT_EQUAL("running"s, h.State("j"));
    CPPUNIT_ASSERT_EQUAL(first.token, h.Task("j").token);
    CPPUNIT_ASSERT(first.worker == h.Task("j").worker);
  }

  // Guards against jobs that stay with a worker that is gone, and against late
  // reports of the earlier placement.
  void LostWorkerLeadsToANewPlacement() {
    Harness h(2);
    h.Submit("j");
    h.Step();
    const MockFleet::Task first = h.Task("j");
    for (ListedInstance& instance : h.fleet.instances) {
      if (instance.id == first.worker) {
        instance.state = InstanceState::kGone;
      }
    }
    h.fleet.tasks.clear();
    h.Step(2);
    CPPUNIT_ASSERT_EQUAL("running"s, h.State("j"));
    CPPUNIT_ASSERT(first.worker != h.Task("j").worker);
    CPPUNIT_ASSERT(first.token < h.Task("j").token);
    h.Task("j").state = TaskState::kFailed;
    h.Task("j").token = first.token;
    h.Step();
    CPPUNIT_ASSERT_EQUAL("running"s, h.State("j"));
    CPPUNIT_ASSERT(h.Read("j").failures.empty());
  }

  // Guards against urgent work that waits for a task that cannot checkpoint,
  // and against a preempted job that is forgotten.
  void UrgentWorkStartsWithinFourSeconds() {
    for (const bool can_checkpoint : {true, false}) {
      Harness h(1);
      h.fleet.can_checkpoint = can_checkpoint;
      h.Submit("j");
      h.Step();
      h.Submit("u", 8, true);
      const WallTime submitted = h.now;
      while (h.State("u") != "running" &&
             h.now - submitted < milliseconds(9000)) {
        h.Step();
      }
      CPPUNIT_ASSERT(h.now - submitted <= milliseconds(4000));
      CPPUNIT_ASSERT_EQUAL(
          std::string(can_checkpoint ? "checkpointed" : "pending"),
          h.State("j"));
      h.Task("u").state = TaskState::kDone;
      h.Step(2);
      CPPUNIT_ASSERT_EQUAL("running"s, h.State("j"));
    }
  }

  // Guards against a worker that fails everything and attracts all jobs, and
  // against taking it out of service without budget.
  void BadWorkerIsQuarantinedWithinTheBudget() {
    for (const bool budget : {true, false}) {
      Harness h(2, budget);
      h.fleet.failing["w1"] = true;
      for (const char* id : {"a", "b", "c", "d"}) {
        h.Submit(id, 2);
      }
      h.Step(4);
      CPPUNIT_ASSERT_EQUAL(size_t{budget}, h.a->quarantined().size());
      for (const char* id : {"a", "b", "c", "d"}) {
        CPPUNIT_ASSERT_EQUAL("running"s, h.State(id));
        CPPUNIT_ASSERT(h.Task(id).worker == InstanceId("w2"));
        h.Task(id).state = TaskState::kDone;
      }
      h.Step();
      h.Submit("e", 2);
      h.Step();
      // Without budget the bad worker still gets work, which then moves on.
      CPPUNIT_ASSERT_EQUAL(size_t{!budget}, h.Read("e").failures.size());
      CPPUNIT_ASSERT(h.Task("e").worker == InstanceId("w2"));
    }
  }

  // Guards against a job that fails everywhere and is started for ever.
  void BadJobIsGivenUp() {
    Harness h(4);
    for (int i = 0; i < 4; ++i) {
      h.Submit(absl::StrCat("good", i));
    }
    h.Step();
    for (auto& [job, task] : h.fleet.tasks) {
      task.state = TaskState::kDone;
    }
    h.Step();
    h.fleet.failing["bad"] = true;
    h.Submit("bad");
    h.Step(8);
    CPPUNIT_ASSERT_EQUAL("failed"s, h.State("bad"));
    CPPUNIT_ASSERT_EQUAL(size_t{3}, h.Read("bad").failures.size());
    CPPUNIT_ASSERT(h.a->quarantined().empty());
    CPPUNIT_ASSERT_EQUAL(7, h.fleet.starts);
  }

  // Guards against tasks that are started without a durable placement.
  void StoreDownStartsNothing() {
    Harness h(1);
    h.Submit("j");
    h.store.SetDown(true);
    CPPUNIT_ASSERT(!h.a->Step(h.policy, h.now));
    h.store.SetDown(false);
    h.store.BeforeNextWrite([&h] { h.store.SetDown(true); });
    CPPUNIT_ASSERT(h.a->Step(h.policy, h.now));
    CPPUNIT_ASSERT_EQUAL(0, h.fleet.starts);
    h.store.SetDown(false);
    CPPUNIT_ASSERT_EQUAL("pending"s, h.State("j"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobControllerTest);

}  // namespace
}  // namespace figflow
