// Tests the decisions of the scheduler without input and output.
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Scheduling/dispatch_order.h"
#include "Scheduling/duration_model.h"
#include "Scheduling/pace_control.h"
#include "Scheduling/placement.h"
#include "Scheduling/placement_tickets.h"
#include "Scheduling/worker_clock.h"
#include "Scheduling/worker_health.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const MonoTime kNow = MonoTime(std::chrono::hours(1));

WorkerReport Worker(const std::string& id, const std::string& rack) {
  WorkerReport report;
  report.key.id = id;
  report.capacity = {16'000, 10'000, 0};
  report.rack = rack;
  report.labels = {"a", rack};
  return report;
}

class DecisionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DecisionsTest);
  CPPUNIT_TEST(SlowWorkerClockExtendsLease);
  CPPUNIT_TEST(OlderClockReadingIsIgnored);
  CPPUNIT_TEST(ClockOfLaterIncarnationIsBehind);
  CPPUNIT_TEST(UselessEstimatesPredictMean);
  CPPUNIT_TEST(GoodEstimatesAreKept);
  CPPUNIT_TEST(FewRunsKeepTheEstimate);
  CPPUNIT_TEST(TwoFailuresExcludeAWorker);
  CPPUNIT_TEST(ExclusionsGetLonger);
  CPPUNIT_TEST(DiscountedFailuresLiftExclusion);
  CPPUNIT_TEST(PlacesTasksByConstraints);
  CPPUNIT_TEST(PerpetualTasksShareWorkers);
  CPPUNIT_TEST(ObstaclesAreCounted);
  CPPUNIT_TEST(RanksFollowUrgency);
  CPPUNIT_TEST(PaceFallsNearTargetAndRises);
  CPPUNIT_TEST(TicketsExpireAndExclusionsPersist);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against starting a task elsewhere while it may still run on a worker
  // whose clock is slow.
  void SlowWorkerClockExtendsLease() {
    WorkerClock clock;
    clock.Observe(milliseconds(10'000), kNow);
    const MonoTime reached = clock.DeadlinePassedBy(milliseconds(14'000));
    CPPUNIT_ASSERT(reached >= kNow + milliseconds(4'081));
    CPPUNIT_ASSERT(reached <= kNow + milliseconds(4'090));
    CPPUNIT_ASSERT(clock.DeadlineIn(seconds(4), kNow + seconds(1)) ==
                   milliseconds(15'000));
  }

  void OlderClockReadingIsIgnored() {
    WorkerClock clock;
    clock.Observe(milliseconds(10'000), kNow);
    // A response that was overtaken by a later one.
    clock.Observe(milliseconds(9'000), kNow + milliseconds(5));
    CPPUNIT_ASSERT(clock.DeadlineIn(milliseconds(0), kNow) ==
                   milliseconds(10'000));
  }

  // Guards against responses of a next incarnation that pass for those of the
  // earlier one, and against overtaken responses that do not.
  void ClockOfLaterIncarnationIsBehind() {
    WorkerClock clock;
    CPPUNIT_ASSERT(!clock.IsBehind(milliseconds(1), kNow));
    clock.Observe(milliseconds(10'000), kNow);
    CPPUNIT_ASSERT(clock.IsBehind(milliseconds(9'000), kNow));
    CPPUNIT_ASSERT(!clock.IsBehind(milliseconds(10'000), kNow));
    // Sent, and responded to, before the last reading arrived.
    CPPUNIT_ASSERT(
        !clock.IsBehind(milliseconds(9'960), kNow - milliseconds(50)));
    // A clock that is 2% slow.
    CPPUNIT_ASSERT(!clock.IsBehind(milliseconds(10'980), kNow + seconds(1)));
    CPPUNIT_ASSERT(clock.IsBehind(milliseconds(10'900), kNow + seconds(1)));
    // A response without a reading.
    CPPUNIT_ASSERT(!clock.IsBehind(milliseconds(0), kNow));
  }

  void UselessEstimatesPredictMean() {
    DurationModel model;
    const int estimates[] = {50, 4'000, 300, 9'000, 100, 2'000};
    for (int i = 0; i < 240; ++i) {
      model.RecordDuration(milliseconds(estimates[i % 6]),
                           milliseconds(i / 6 % 2 == 0 ? 400 : 600));
    }
    for (const int estimate : estimates) {
      const milliseconds predicted = model.Predict(milliseconds(estimate));
      CPPUNIT_ASSERT(predicted > milliseconds(380));
      CPPUNIT_ASSERT(predicted < milliseconds(640));
    }
  }

  void GoodEstimatesAreKept() {
    DurationModel model;
    for (int i = 0; i < 240; ++i) {
      const int estimate = 100 + 50 * (i % 20);
      // All tasks take twice as long as estimated.
      model.RecordDuration(milliseconds(estimate), milliseconds(2 * estimate));
    }
    const milliseconds shortest = model.Predict(milliseconds(100));
    const milliseconds longest = model.Predict(milliseconds(1'000));
    CPPUNIT_ASSERT(shortest > milliseconds(180));
    CPPUNIT_ASSERT(shortest < milliseconds(240));
    CPPUNIT_ASSERT(longest > milliseconds(1'800));
    CPPUNIT_ASSERT(longest < milliseconds(2'200));
  }

  void FewRunsKeepTheEstimate() {
    DurationModel model;
    model.RecordDuration(milliseconds(100), milliseconds(9'000));
    CPPUNIT_ASSERT(model.Predict(milliseconds(250)) == milliseconds(250));
    CPPUNIT_ASSERT(model.Predict(milliseconds(0)) > milliseconds(0));
  }

  void TwoFailuresExcludeAWorker() {
    WorkerHealth health;
    health.OnRunFailed("job", kNow);
    CPPUNIT_ASSERT(!health.Excluded(kNow));
    CPPUNIT_ASSERT(health.RecentlyFailed(kNow));
    health.OnRunFailed("job", kNow);
    CPPUNIT_ASSERT(health.Excluded(kNow));
    // A success of a run that began before does not lift the exclusion.
    health.OnRunDone(kNow + milliseconds(10));
    CPPUNIT_ASSERT(health.Excluded(kNow + milliseconds(20)));
  }

  // Guards against sound workers that stay excluded after a job has failed
  // elsewhere, and against failing ones that are used again by mistake.
  void DiscountedFailuresLiftExclusion() {
    WorkerHealth sound;
    WorkerHealth failing;
    for (WorkerHealth* health : {&sound, &failing}) {
      health->OnRunFailed("hopeless", kNow);
      health->OnRunFailed("hopeless", kNow);
    }
    failing.OnRunFailed("a", kNow);
    failing.OnRunFailed("b", kNow);
    sound.DiscountFailures("hopeless");
    failing.DiscountFailures("hopeless");
    CPPUNIT_ASSERT(!sound.Excluded(kNow));
    CPPUNIT_ASSERT(!sound.RecentlyFailed(kNow));
    CPPUNIT_ASSERT(failing.Excluded(kNow));
  }

  void ExclusionsGetLonger() {
    WorkerHealth health;
    MonoTime now = kNow;
    milliseconds previous{0};
    for (int i = 0; i < 3; ++i) {
      health.OnRunFailed("job", now);
      health.OnRunFailed("job", now);
      const auto length = std::chrono::duration_cast<milliseconds>(
          health.excluded_until() - now);
      CPPUNIT_ASSERT(length > previous);
      previous = length;
      now = health.excluded_until();
    }
    health.OnRunDone(now + seconds(1));
    health.OnRunFailed("job", now + seconds(2));
    CPPUNIT_ASSERT(!health.Excluded(now + seconds(2)));
  }

  void PlacesTasksByConstraints() {
    const WorkerReport full = Worker("full", "r1");
    const WorkerReport idle = Worker("idle", "r2");
    const WorkerReport other = Worker("other", "r3");
    struct Case {
      const char* what;
      StageSpec stage;
      std::vector<std::string> failed_on;
      std::vector<int> stage_tasks;
      bool full_is_doubtful;
      int expected;
    };
    StageSpec plain;
    plain.count = 1;
    plain.per_task = {2'000, 100, 0};
    StageSpec large = plain;
    large.per_task.cpu_millicores = 12'000;
    StageSpec labelled = plain;
    labelled.required_label = "r3";
    StageSpec near = plain;
    near.preferred_rack = "r3";
    StageSpec limited = plain;
    limited.max_per_worker = 1;
    StageSpec filler = large;
    filler.filler = true;
    StageSpec heavy = plain;
    heavy.per_task.memory_mb = 20'000;
    const Case cases[] = {
        {"the fullest that fits", plain, {}, {0, 0, 0}, false, 0},
        {"large needs an idle one", large, {}, {0, 0, 0}, false, 1},
        {"label", labelled, {}, {0, 0, 0}, false, 2},
        {"rack with the data", near, {}, {0, 0, 0}, false, 2},
        {"limit per worker", limited, {}, {1, 0, 0}, false, 1},
        {"where it failed comes last", plain, {"full"}, {0, 0, 0}, false, 1},
        {"a doubtful one comes last", plain, {}, {0, 0, 0}, true, 1},
        {"fillers take no processor", filler, {}, {0, 0, 0}, false, 0},
        {"no memory anywhere", heavy, {}, {0, 0, 0}, false, -1},
    };
    for (const Case& test : cases) {
      std::vector<WorkerOption> options(3);
      options[0] = {&full, {3'000, 10'000, 0}, test.full_is_doubtful, 0};
      options[1] = {&idle, {16'000, 10'000, 0}, false, 0};
      options[2] = {&other, {16'000, 10'000, 0}, false, 0};
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          test.what, test.expected,
          ChooseWorker({&test.stage, &test.failed_on, nullptr}, options,
                       test.stage_tasks));
    }
  }

  // Workers without perpetual tasks can be lent to other pools.
  void PerpetualTasksShareWorkers() {
    const WorkerReport a = Worker("a", "r1");
    const WorkerReport b = Worker("b", "r2");
    StageSpec stage;
    stage.count = 1;
    stage.per_task = {2'000, 100, 0};
    stage.perpetual = true;
    const std::vector<WorkerOption> options = {
        {&a, {3'000, 10'000, 0}, false, 0},
        {&b, {12'000, 10'000, 0}, false, 2}};
    CPPUNIT_ASSERT_EQUAL(
        1, ChooseWorker({&stage, nullptr, nullptr}, options, {0, 0}));
  }

  void ObstaclesAreCounted() {
    const WorkerReport a = Worker("a", "r1");
    StageSpec stage;
    stage.count = 1;
    stage.per_task = {4'000, 100, 0};
    const std::vector<WorkerOption> options = {
        {&a, {3'000, 10'000, 0}, false, 0},
        {&a, {16'000, 50, 0}, false, 0},
        {&a, {16'000, 10'000, 0}, false, 0}};
    const std::vector<bool> allowed = {true, true, false};
    const PlacementObstacles obstacles =
        CountObstacles({&stage, nullptr, &allowed}, options, {0, 0, 0});
    CPPUNIT_ASSERT_EQUAL(1, obstacles.no_processor);
    CPPUNIT_ASSERT_EQUAL(1, obstacles.no_memory);
    CPPUNIT_ASSERT_EQUAL(1, obstacles.no_ticket);
  }

  void RanksFollowUrgency() {
    QueueConfig queue;
    queue.stretch = 1.6;
    queue.objective = milliseconds(600);
    const DurationModel durations;
    const auto rank = [&](milliseconds age, bool begun, bool perpetual) {
      Job job;
      JobSpec spec;
      spec.id = "j";
      StageSpec stage;
      stage.count = 2;
      stage.estimate = milliseconds(1'000);
      stage.perpetual = perpetual;
      spec.stages = {stage, stage};
      spec.stages[1].after = {0};
      job.SetSpec(spec);
      Occurrence& occurrence = job.OpenOccurrence(0, kNow - age);
      if (begun) {
        occurrence.stages[0].waiting = 1;
      }
      return ComputeDispatchRank(job, occurrence, &queue, durations, kNow);
    };
    const DispatchRank perpetual = rank(seconds(9), false, true);
    const DispatchRank begun = rank(milliseconds(100), true, false);
    const DispatchRank fresh = rank(milliseconds(50), false, false);
    const DispatchRank older = rank(milliseconds(500), false, false);
    const DispatchRank late = rank(seconds(4), false, false);
    const DispatchRank overdue = rank(seconds(30), false, false);
    CPPUNIT_ASSERT(perpetual < begun);
    CPPUNIT_ASSERT(begun < older);
    CPPUNIT_ASSERT(older < fresh);
    CPPUNIT_ASSERT(fresh < late);
    CPPUNIT_ASSERT(late < overdue);
    CPPUNIT_ASSERT(late.urgency == Urgency::kLate);
    CPPUNIT_ASSERT(overdue.urgency == Urgency::kOverdue);
  }

  void PaceFallsNearTargetAndRises() {
    PaceControl pace;
    CPPUNIT_ASSERT(!pace.OnLoadReported(0.5, kNow));
    CPPUNIT_ASSERT_EQUAL(50, *pace.OnLoadReported(0.95, kNow));
    // The reading still covers the time before the change.
    CPPUNIT_ASSERT(!pace.OnLoadReported(0.95, kNow + milliseconds(300)));
    CPPUNIT_ASSERT_EQUAL(0, *pace.OnLoadReported(1.6, kNow + seconds(1)));
    CPPUNIT_ASSERT_EQUAL(15, *pace.OnLoadReported(0.3, kNow + seconds(2)));
    CPPUNIT_ASSERT(!pace.OnLoadReported(0.8, kNow + seconds(3)));
    CPPUNIT_ASSERT(!pace.OnLoadReported(-1, kNow + seconds(4)));
  }

  void TicketsExpireAndExclusionsPersist() {
    PlacementTickets advice;
    const WorkerKey a{"a", 1};
    const WorkerKey b{"b", 1};
    advice.OnAnswer({a, b}, {{{"a", "ticket"}}, milliseconds(3'000)}, kNow);
    CPPUNIT_ASSERT_EQUAL(std::string("ticket"),
                         advice.TicketFor(a, kNow + seconds(1)));
    CPPUNIT_ASSERT(advice.TicketFor(a, kNow + milliseconds(2'900)).empty());
    CPPUNIT_ASSERT(advice.IsForbidden(b));
    // A later incarnation of the worker has no ticket.
    CPPUNIT_ASSERT(advice.TicketFor({"a", 2}, kNow).empty());
    advice.OnTicketRefused(a);
    CPPUNIT_ASSERT(advice.TicketFor(a, kNow).empty());
    CPPUNIT_ASSERT(!advice.IsForbidden(a));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DecisionsTest);

}  // namespace
}  // namespace figflow
