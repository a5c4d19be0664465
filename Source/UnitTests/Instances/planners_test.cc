// Tests which instances are moved and which are maintained, without input and
// output.
#include <algorithm>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Instances/move_planner.h"
#include "Instances/wave_planner.h"
#include "Instances/wave_record.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const MonoTime kNow = MonoTime(std::chrono::hours(1));
constexpr int64_t kSize = 64'000;

// Returns a pool of `idle` idle and `busy` busy workers, on instances
// "<pool>-<n>".
PoolReport Pool(const std::string& name, int idle, int busy) {
  PoolReport report;
  report.pool = name;
  for (int i = 0; i < idle + busy; ++i) {
    WorkerLoad load;
    load.instance = absl::StrCat(name, "-", i);
    load.worker = absl::StrCat("w-", load.instance);
    load.tasks = i < idle ? 0 : 8;
    load.capacity_millicores = kSize;
    load.usable = true;
    report.workers.push_back(load);
  }
  return report;
}

MoveInput Input() {
  MoveInput input;
  input.spare_pool = "spare";
  input.instance_count = 30;
  return input;
}

std::map<std::string, int64_t> SpareInstances(int count) {
  std::map<std::string, int64_t> spare;
  for (int i = 0; i < count; ++i) {
    spare[absl::StrCat("s", i)] = 0;
  }
  return spare;
}

class PlannersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlannersTest);
  CPPUNIT_TEST(NoMovesBeforeInstancesAreListed);
  CPPUNIT_TEST(PeakTakesSpareInstancesFirst);
  CPPUNIT_TEST(PeakTakesIdleInstancesOfOtherPools);
  CPPUNIT_TEST(BacklogDrainsWithinOneSecond);
  CPPUNIT_TEST(BusyPoolDonatesNothing);
  CPPUNIT_TEST(PendingMovesCountAsCapacity);
  CPPUNIT_TEST(IdleInstancesReturnToSparePool);
  CPPUNIT_TEST(LargePoolReservesFewInstances);
  CPPUNIT_TEST(UnplacedTasksRequestOneInstance);
  CPPUNIT_TEST(PerWorkerLimitsRequestInstances);
  CPPUNIT_TEST(PerpetualTasksTakePriorityOverBacklogs);
  CPPUNIT_TEST(DonorKeepsWorkersForPerWorkerLimits);
  CPPUNIT_TEST(BlockedInstancesDoNotMove);
  CPPUNIT_TEST(WaveTakesIdleInstancesFirst);
  CPPUNIT_TEST(WaveNeverExceedsMaxDown);
  CPPUNIT_TEST(WaveEvacuatesFasterNearDeadline);
  CPPUNIT_TEST(WaveLimitsEvacuationsOfPerpetualWorkers);
  CPPUNIT_TEST(WaveBesidePeakEvacuatesPerpetualWorkersInTime);
  CPPUNIT_TEST(WaveWithPerpetualTasksMeetsDeadline);
  CPPUNIT_TEST(WaveMaintainsInstancesWithoutWorker);
  CPPUNIT_TEST(WaveRecordRoundTrips);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against pools that are shrunk to two workers at the start, which
  // leaves no free capacity for a perpetual task.
  void NoMovesBeforeInstancesAreListed() {
    MovePlanner planner;
    MoveInput input = Input();
    input.instance_count = 0;
    input.pools["a"] = Pool("a", 10, 0);
    planner.Plan(input, kNow);
    const MovePlan plan = planner.Plan(input, kNow + seconds(10));
    CPPUNIT_ASSERT(plan.moves.empty());
    CPPUNIT_ASSERT(plan.evacuate.empty());
  }

  void PeakTakesSpareInstancesFirst() {
    MovePlanner planner;
    MoveInput input = Input();
    input.pools["a"] = Pool("a", 0, 6);
    input.pools["b"] = Pool("b", 8, 0);
    input.pools["a"].offered_millicores = 8 * kSize;
    input.spare = {{"s1", 0}, {"s2", 0}, {"s3", 0}, {"s4", 0}, {"s5", 0}};
    const MovePlan plan = planner.Plan(input, kNow);
    CPPUNIT_ASSERT(plan.moves.size() >= 4);
    for (const InstanceMove& move : plan.moves) {
      CPPUNIT_ASSERT_EQUAL(std::string("a"), move.pool);
      CPPUNIT_ASSERT_EQUAL('s', move.instance[0]);
    }
  }

  void PeakTakesIdleInstancesOfOtherPools() {
    MovePlanner planner;
    MoveInput input = Input();
    input.instance_count = 16;
    input.pools["a"] = Pool("a", 0, 6);
    input.pools["b"] = Pool("b", 10, 0);
    input.pools["a"].backlog_millicore_ms = 20 * kSize * 1'000;
    MovePlan plan = planner.Plan(input, kNow);
    // The instances are evacuated first, then moved.
    CPPUNIT_ASSERT(plan.moves.empty());
    CPPUNIT_ASSERT(!plan.evacuate.empty());
    for (WorkerLoad& load : input.pools["b"].workers) {
      load.evacuating = plan.evacuate.count(load.instance) > 0;
    }
    const size_t evacuated = plan.evacuate.size();
    plan = planner.Plan(input, kNow + milliseconds(150));
    CPPUNIT_ASSERT_EQUAL(evacuated, plan.moves.size());
    // Some stay for the start of the donor's next peak: 0.35 of an even share.
    CPPUNIT_ASSERT(evacuated <= 8);
  }

  // Guards against late work in the first seconds of a peak: most objectives
  // leave about a second beyond the 1.5 s of a move, so a backlog must not take
  // longer.
  void BacklogDrainsWithinOneSecond() {
    MovePlanner planner;
    MoveInput input = Input();
    input.pools["a"] = Pool("a", 0, 2);
    input.pools["a"].backlog_millicore_ms = 8 * kSize * 1'000;
    for (int i = 0; i < 20; ++i) {
      input.spare[absl::StrCat("s", i)] = 0;
    }
    const size_t moved = planner.Plan(input, kNow).moves.size();
    // Eight instance-seconds of work, and the share of an instance that tasks
    // can't use.
    CPPUNIT_ASSERT(2 + moved >= 8);
    CPPUNIT_ASSERT(2 + moved <= 10);
  }

  void BusyPoolDonatesNothing() {
    MovePlanner planner;
    MoveInput input = Input();
    input.pools["a"] = Pool("a", 0, 6);
    input.pools["b"] = Pool("b", 10, 0);
    input.pools["a"].backlog_millicore_ms = 20 * kSize * 1'000;
    input.pools["b"].offered_millicores = 7 * kSize;
    CPPUNIT_ASSERT(planner.Plan(input, kNow).evacuate.empty());
  }

  void PendingMovesCountAsCapacity() {
    MovePlanner planner;
    MoveInput input = Input();
    input.pools["a"] = Pool("a", 0, 6);
    input.pools["a"].offered_millicores = 8 * kSize;
    for (int i = 0; i < 10; ++i) {
      input.spare[absl::StrCat("s", i)] = 0;
      input.pending[absl::StrCat("m", i)] = {"a", kNow, ""};
    }
    CPPUNIT_ASSERT(planner.Plan(input, kNow).moves.empty());
  }

  void IdleInstancesReturnToSparePool() {
    MovePlanner planner;
    MoveInput input = Input();
    input.instance_count = 14;
    input.pools["a"] = Pool("a", 12, 2);
    CPPUNIT_ASSERT(planner.Plan(input, kNow).evacuate.empty());
    const MovePlan plan = planner.Plan(input, kNow + seconds(3));
    CPPUNIT_ASSERT(!plan.evacuate.empty());
    // 0.35 of the instances stay.
    CPPUNIT_ASSERT(plan.evacuate.size() <= 10);
    // A choice counts before a report shows it. Otherwise each plan from the
    // same report would evacuate more of the pool, down to its last instance.
    const MovePlan again = planner.Plan(input, kNow + milliseconds(3'010));
    CPPUNIT_ASSERT_EQUAL(plan.evacuate.size(), again.evacuate.size());
  }

  // Guards against instances that are paid for in all pools although only the
  // pool that peaks next uses them.
  void LargePoolReservesFewInstances() {
    MovePlanner planner;
    MoveInput input = Input();
    input.instance_count = 132;
    input.pools["a"] = Pool("a", 31, 2);
    input.pools["b"] = Pool("b", 0, 33);
    planner.Plan(input, kNow);
    const MovePlan plan = planner.Plan(input, kNow + seconds(3));
    CPPUNIT_ASSERT_EQUAL(size_t{33 - 8}, plan.evacuate.size());
  }

  void UnplacedTasksRequestOneInstance() {
    MovePlanner planner;
    MoveInput input = Input();
    input.pools["a"] = Pool("a", 0, 2);
    input.pools["a"].unplaced_tasks = 3;
    input.spare = {{"s1", 0}, {"s2", 0}};
    const MovePlan plan = planner.Plan(input, kNow);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, plan.moves.size());
  }

  // Guards against eight moves one after the other for eight tasks.
  void PerWorkerLimitsRequestInstances() {
    MovePlanner planner;
    MoveInput input = Input();
    input.pools["a"] = Pool("a", 0, 2);
    input.pools["a"].unplaced_tasks = 8;
    input.pools["a"].min_perpetual_workers = 7;
    input.spare = SpareInstances(9);
    CPPUNIT_ASSERT_EQUAL(size_t{5}, planner.Plan(input, kNow).moves.size());
  }

  // Guards against a perpetual task that waits for a worker while the peaks of
  // other queues take all spare instances.
  void PerpetualTasksTakePriorityOverBacklogs() {
    MovePlanner planner;
    MoveInput input = Input();
    input.pools["a"] = Pool("a", 0, 6);
    input.pools["a"].backlog_millicore_ms = 50 * kSize * 1'000;
    input.pools["b"] = Pool("b", 0, 2);
    input.pools["b"].unplaced_tasks = 2;
    input.pools["b"].min_perpetual_workers = 4;
    input.spare = SpareInstances(3);
    size_t to_b = 0;
    for (const InstanceMove& move : planner.Plan(input, kNow).moves) {
      to_b += move.pool == "b" ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(size_t{2}, to_b);
  }

  // Guards against instances that are moved away and back for the same tasks.
  void DonorKeepsWorkersForPerWorkerLimits() {
    MovePlanner planner;
    MoveInput input = Input();
    input.instance_count = 16;
    input.pools["a"] = Pool("a", 0, 6);
    input.pools["a"].backlog_millicore_ms = 20 * kSize * 1'000;
    input.pools["b"] = Pool("b", 10, 0);
    input.pools["b"].min_perpetual_workers = 9;
    CPPUNIT_ASSERT_EQUAL(size_t{1}, planner.Plan(input, kNow).evacuate.size());
  }

  void BlockedInstancesDoNotMove() {
    MovePlanner planner;
    MoveInput input = Input();
    input.pools["a"] = Pool("a", 0, 6);
    input.pools["a"].offered_millicores = 8 * kSize;
    input.spare = {{"s1", 0}};
    input.blocked = {"s1"};
    CPPUNIT_ASSERT(planner.Plan(input, kNow).moves.empty());
  }

  void WaveTakesIdleInstancesFirst() {
    WaveState wave = Wave(seconds(25), 3);
    const WavePlan plan =
        PlanWave(wave, {{"a", Pool("a", 2, 6)}}, {}, {}, {}, kNow);
    CPPUNIT_ASSERT(plan.evacuate.count("a-0") > 0);
    CPPUNIT_ASSERT(plan.evacuate.count("a-1") > 0);
    CPPUNIT_ASSERT(plan.to_maintain.empty());
  }

  void WaveNeverExceedsMaxDown() {
    WaveState wave = Wave(seconds(1), 2);
    wave.instances["a-7"] = MaintenanceStep::kOrdered;
    PoolReport pool = Pool("a", 8, 0);
    std::set<std::string> evacuating;
    for (WorkerLoad& load : pool.workers) {
      load.evacuating = true;
      evacuating.insert(load.instance);
    }
    const WavePlan plan =
        PlanWave(wave, {{"a", pool}}, {}, evacuating, {}, kNow);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, plan.to_maintain.size());
  }

  void WaveEvacuatesFasterNearDeadline() {
    PoolReport pool = Pool("a", 0, 8);
    pool.waiting_millicores = kSize;
    const WavePlan calm =
        PlanWave(Wave(seconds(120), 8), {{"a", pool}}, {}, {}, {}, kNow);
    const WavePlan urgent =
        PlanWave(Wave(seconds(7), 8), {{"a", pool}}, {}, {}, {}, kNow);
    CPPUNIT_ASSERT(calm.evacuate.size() <= 1);
    CPPUNIT_ASSERT(urgent.evacuate.size() >= 4);
  }

  // Guards against many workers that accept no work while they wait for each
  // other: the tasks of a perpetual stage leave their workers one at a time,
  // which took up to 18 s with twenty workers.
  void WaveLimitsEvacuationsOfPerpetualWorkers() {
    PoolReport pool = Pool("a", 0, 8);
    for (WorkerLoad& load : pool.workers) {
      load.perpetual_tasks = 1;
    }
    const WavePlan plan =
        PlanWave(Wave(seconds(7), 8), {{"a", pool}}, {}, {}, {}, kNow);
    CPPUNIT_ASSERT(plan.evacuate.size() >= 1);
    CPPUNIT_ASSERT(plan.evacuate.size() <= 2);
  }

  // Guards against a wave that is late because workers with perpetual tasks are
  // evacuated one by one for as long as other work waits.
  void WaveBesidePeakEvacuatesPerpetualWorkersInTime() {
    PoolReport pool = Pool("a", 0, 8);
    pool.waiting_millicores = kSize;
    for (WorkerLoad& load : pool.workers) {
      load.perpetual_tasks = 1;
    }
    const auto evacuated = [&](milliseconds left) {
      return PlanWave(Wave(left, 8), {{"a", pool}}, {}, {}, {}, kNow)
          .evacuate.size();
    };
    CPPUNIT_ASSERT_EQUAL(size_t{1}, evacuated(seconds(60)));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, evacuated(seconds(20)));
  }

  // Replays a wave over half of a pool in which some workers have a perpetual
  // task of the same stage and others are idle, while one task moves in a
  // second. Guards against perpetual tasks that are left to the end, when there
  // is no time to move them one at a time.
  void WaveWithPerpetualTasksMeetsDeadline() {
    constexpr int perpetual = 16;
    PoolReport pool = Pool("a", 10, 40);
    WaveState wave;
    wave.number = 1;
    wave.deadline = kNow + seconds(28);
    wave.max_down = 12;
    for (size_t i = 0; i < pool.workers.size(); ++i) {
      WorkerLoad& load = pool.workers[i];
      load.perpetual_tasks = i >= 10 && i < 10 + perpetual ? 1 : 0;
      wave.instances[load.instance] = MaintenanceStep::kWaiting;
    }
    std::set<std::string> evacuating;
    std::map<std::string, MonoTime> back_at;
    MonoTime next_move = kNow;
    for (MonoTime now = kNow; now < wave.deadline; now += milliseconds(150)) {
      for (WorkerLoad& load : pool.workers) {
        load.evacuating = evacuating.count(load.instance) > 0;
        const bool moves = load.perpetual_tasks > 0 && now >= next_move;
        if (load.evacuating && moves) {
          load.perpetual_tasks = 0;
          next_move = now + seconds(1);
        }
        // Other tasks end within a second.
        if (load.evacuating && load.perpetual_tasks == 0) {
          load.tasks = std::max(0, load.tasks - 2);
        }
        const auto back = back_at.find(load.instance);
        if (back != back_at.end() && now >= back->second) {
          wave.instances[load.instance] = MaintenanceStep::kCompleted;
        }
      }
      const WavePlan plan =
          PlanWave(wave, {{"a", pool}}, {}, evacuating, {}, now);
      evacuating = plan.evacuate;
      for (const std::string& instance : plan.to_maintain) {
        wave.instances[instance] = MaintenanceStep::kOrdered;
        back_at[instance] = now + seconds(3);
      }
    }
    int left = 0;
    for (const auto& [instance, step] : wave.instances) {
      left += step == MaintenanceStep::kWaiting ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(0, left);
  }

  void WaveMaintainsInstancesWithoutWorker() {
    WaveState wave = Wave(seconds(25), 2);
    wave.instances["s1"] = MaintenanceStep::kWaiting;
    const WavePlan plan =
        PlanWave(wave, {{"a", Pool("a", 0, 8)}}, {"s1"}, {}, {}, kNow);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, plan.to_maintain.size());
    CPPUNIT_ASSERT_EQUAL(std::string("s1"), plan.to_maintain[0]);
  }

  void WaveRecordRoundTrips() {
    WaveRecord record;
    record.due = FromEpoch(milliseconds(123'456));
    record.instances = {{"a", MaintenanceStep::kOrdered},
                        {"b", MaintenanceStep::kWaiting},
                        {"c", MaintenanceStep::kCompleted}};
    const Result<WaveRecord> read = ParseWaveRecord(FormatWaveRecord(record));
    CPPUNIT_ASSERT(read.has_value());
    CPPUNIT_ASSERT(read->due == record.due);
    CPPUNIT_ASSERT(read->instances.at("a") == MaintenanceStep::kOrdered);
    CPPUNIT_ASSERT(read->instances.at("c") == MaintenanceStep::kCompleted);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, read->instances.count("b"));
    CPPUNIT_ASSERT(!ParseWaveRecord("").has_value());
    CPPUNIT_ASSERT(!ParseHandOverRecord("\x01").has_value());
    HandOverRecord hand_over;
    hand_over.recently_ordered = {{"m-1", milliseconds(700)}};
    CPPUNIT_ASSERT(ParseHandOverRecord(FormatHandOverRecord(hand_over))
                       ->recently_ordered == hand_over.recently_ordered);
  }

 private:
  static WaveState Wave(milliseconds left, int max_down) {
    WaveState wave;
    wave.number = 1;
    wave.deadline = kNow + left;
    wave.max_down = max_down;
    for (int i = 0; i < 8; ++i) {
      wave.instances[absl::StrCat("a-", i)] = MaintenanceStep::kWaiting;
    }
    return wave;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlannersTest);

}  // namespace
}  // namespace figflow
