// Tests the reservation of a worker for a large task.
#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Scheduling/capacity_reservation.h"
#include "Scheduling/scheduler_driver.h"
#include "absl/strings/str_cat.h"

namespace figflow::test {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick{10};
constexpr milliseconds kDuration{500};
const std::vector<std::string> kWorkers = {"a", "b", "c"};

JobSpec Task(const std::string& id, int64_t millicores) {
  JobSpec spec = SchedulerDriver::OneTask(id);
  spec.stages[0].per_task = {millicores, 10, 0};
  return spec;
}

// A pool of three workers that get a steady flow of tasks of 300 millicores;
// each task ends after 500 ms.
class LoadedPool {
 public:
  explicit LoadedPool(milliseconds interval)
      : driver_(kStart), interval_(interval) {
    for (const std::string& worker : kWorkers) {
      driver_.ListWorker(worker);
      driver_.RespondToHold(worker, WorkerStatus());
    }
  }

  SchedulerDriver& driver() { return driver_; }
  bool ever_reserved() const { return ever_reserved_; }
  bool HasStarted(const std::string& job) const {
    return started_.count(job) > 0;
  }

  void Run(milliseconds duration) {
    for (milliseconds passed{0}; passed < duration; passed += kTick) {
      if (driver_.now() >= next_small_) {
        driver_.Submit(Task(absl::StrCat("small", small_++), 300));
        next_small_ = driver_.now() + interval_;
      }
      driver_.Write();
      for (; seen_ < driver_.starts.size(); ++seen_) {
        const StartOrder start = driver_.starts[seen_];
        started_[start.task.job] = driver_.now();
        running_[start.target.worker.id].push_back(start);
        driver_.RespondToStart(start);
      }
      for (const std::string& worker : kWorkers) {
        if (driver_.Hold(worker)) {
          driver_.RespondToHold(worker, StatusOf(worker));
        }
      }
      driver_.Advance(kTick);
      ever_reserved_ |= driver_.scheduler().HasReservation();
    }
  }

 private:
  WorkerStatus StatusOf(const std::string& worker) {
    WorkerStatus status;
    std::vector<StartOrder> left;
    for (const StartOrder& start : running_[worker]) {
      const bool ended = driver_.now() - started_[start.task.job] >= kDuration;
      WorkerStatus one =
          ended ? Ended(start, RunResult::kDone, ++ended_) : Running(start);
      status.running.insert(status.running.end(), one.running.begin(),
                            one.running.end());
      status.ended.insert(status.ended.end(), one.ended.begin(),
                          one.ended.end());
      if (!ended) {
        left.push_back(start);
      }
    }
    running_[worker] = std::move(left);
    return status;
  }

  SchedulerDriver driver_;
  const milliseconds interval_;
  MonoTime next_small_ = kStart;
  int small_ = 0;
  size_t seen_ = 0;
  uint64_t ended_ = 0;
  std::map<std::string, MonoTime> started_;
  std::map<std::string, std::vector<StartOrder>> running_;
  bool ever_reserved_ = false;
};

// Enough for eight of the nine tasks that the pool holds at the same time.
constexpr milliseconds kNearlyFull{60};
// More than the pool can do.
constexpr milliseconds kOverload{40};

class ReservationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReservationTest);
  CPPUNIT_TEST(LargeTaskStartsBesideSmallOnes);
  CPPUNIT_TEST(PoolsWithoutLargeTasksReserveNothing);
  CPPUNIT_TEST(TasksThatWaitForOtherReasonsReserveNothing);
  CPPUNIT_TEST(ReservationEndsWithItsJob);
  CPPUNIT_TEST(WorkerThatIsFreeFirstIsReserved);
  CPPUNIT_TEST(OnlyTasksThatEndInTimeUseTheWorker);
  CPPUNIT_TEST(WorkInTimeDoesNotWaitForLateWork);
  CPPUNIT_TEST(ReservationEndsIfTasksTakeLonger);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a large task that waits as long as small ones arrive: each
  // takes the capacity that another one has left.
  void LargeTaskStartsBesideSmallOnes() {
    LoadedPool pool(kNearlyFull);
    pool.Run(milliseconds(1'000));
    pool.driver().Submit(Task("large", 900));
    pool.Run(milliseconds(500));
    CPPUNIT_ASSERT(!pool.ever_reserved());
    pool.Run(milliseconds(2'500));
    CPPUNIT_ASSERT(pool.HasStarted("large"));
    CPPUNIT_ASSERT(!pool.driver().scheduler().HasReservation());
  }

  // Guards against a change of plans where no large task waits: without a
  // reservation no worker is kept from any stage.
  void PoolsWithoutLargeTasksReserveNothing() {
    LoadedPool pool(kOverload);
    pool.Run(milliseconds(1'000));
    pool.driver().Submit(Task("half", 500));
    pool.Run(milliseconds(4'000));
    CPPUNIT_ASSERT(!pool.ever_reserved());
  }

  // Guards against a worker that is held for work that could not start there.
  void TasksThatWaitForOtherReasonsReserveNothing() {
    LoadedPool pool(kNearlyFull);
    pool.Run(milliseconds(1'000));
    JobSpec labelled = Task("label", 900);
    labelled.stages[0].required_label = "missing";
    JobSpec gang = Task("gang", 900);
    gang.stages[0].count = 4;
    gang.stages[0].gang = true;
    JobSpec perpetual = Task("perpetual", 900);
    perpetual.stages[0].perpetual = true;
    for (const JobSpec& spec :
         {labelled, gang, perpetual, Task("too-large", 1'001)}) {
      pool.driver().Submit(spec);
    }
    pool.Run(milliseconds(3'000));
    CPPUNIT_ASSERT(!pool.ever_reserved());
  }

  // Guards against a worker that stays reserved for a cancelled job.
  void ReservationEndsWithItsJob() {
    LoadedPool pool(kNearlyFull);
    pool.Run(milliseconds(1'000));
    pool.driver().Submit(Task("large", 900));
    for (milliseconds waited{0}; !pool.driver().scheduler().HasReservation();
         waited += kTick) {
      CPPUNIT_ASSERT(waited < milliseconds(5'000));
      pool.Run(kTick);
      CPPUNIT_ASSERT(!pool.HasStarted("large"));
    }
    pool.driver().scheduler().Cancel("large", 2, pool.driver().now());
    pool.Run(2 * kTick);
    CPPUNIT_ASSERT(!pool.driver().scheduler().HasReservation());
  }

  // Guards against the choice of a worker by its present free capacity, and of
  // one whose tasks never end.
  void WorkerThatIsFreeFirstIsReserved() {
    CapacityReservation reservation;
    const ReservableWorker perpetual = Worker("p", 700, {});
    const ReservableWorker late = Worker("l", 700, {{milliseconds(900), 300}});
    const ReservableWorker soon =
        Worker("s", 0, {{milliseconds(800), 500}, {milliseconds(200), 500}});
    CPPUNIT_ASSERT(Reserve(reservation, {perpetual, late, soon}));
    CPPUNIT_ASSERT_EQUAL(std::string("s"), reservation.current()->worker.id);
    CPPUNIT_ASSERT(reservation.current()->fits_at ==
                   kStart + milliseconds(800));
    reservation.Release();
    CPPUNIT_ASSERT(!Reserve(reservation, {perpetual}));
  }

  // Guards against tasks that delay the large one, and against a worker that
  // stays empty although there is work for the time until then.
  void OnlyTasksThatEndInTimeUseTheWorker() {
    CapacityReservation reservation;
    CPPUNIT_ASSERT(reservation.MayUse({"other", 0, 0, 0}, Urgency::kInTime,
                                      kStart + milliseconds(801)));
    Reserve(reservation, {Worker("w", 0, {{milliseconds(800), 1'000}})});
    const auto may_use = [&](const char* job, milliseconds ends) {
      return reservation.MayUse({job, 0, 0, 0}, Urgency::kInTime,
                                kStart + ends);
    };
    CPPUNIT_ASSERT(may_use("other", milliseconds(800)));
    CPPUNIT_ASSERT(!may_use("other", milliseconds(801)));
    CPPUNIT_ASSERT(may_use("large", milliseconds(5'000)));
  }

  // Guards against work that becomes late because of a reservation for work
  // that is late already.
  void WorkInTimeDoesNotWaitForLateWork() {
    CapacityReservation reservation;
    Reserve(reservation, {Worker("w", 0, {{milliseconds(800), 1'000}})},
            Urgency::kLate);
    const auto may_use = [&](Urgency urgency) {
      return reservation.MayUse({"other", 0, 0, 0}, urgency,
                                kStart + milliseconds(5'000));
    };
    CPPUNIT_ASSERT(may_use(Urgency::kBegunInTime));
    CPPUNIT_ASSERT(may_use(Urgency::kInTime));
    CPPUNIT_ASSERT(may_use(Urgency::kPerpetual));
    CPPUNIT_ASSERT(!may_use(Urgency::kLastChance));
    CPPUNIT_ASSERT(!may_use(Urgency::kOverdue));
  }

  // Guards against a worker that is held without end for a task that cannot
  // start there, because the tasks on it exceed their predictions.
  void ReservationEndsIfTasksTakeLonger() {
    CPPUNIT_ASSERT(
        ExpectEnd(kStart, milliseconds(100), kStart + milliseconds(300)) ==
        kStart + milliseconds(500));
    CapacityReservation reservation;
    const ReservableWorker worker =
        Worker("w", 0, {{milliseconds(9'000), 1'000}});
    Reserve(reservation, {Worker("w", 0, {{milliseconds(800), 1'000}})});
    const auto update = [&](milliseconds passed) {
      return reservation.Update({900, 10, 0}, Urgency::kInTime, 1, worker,
                                kStart + passed);
    };
    CPPUNIT_ASSERT(update(milliseconds(2'800)) == nullptr);
    CPPUNIT_ASSERT(update(milliseconds(2'801)) != nullptr);
  }

 private:
  using Ends = std::vector<std::pair<milliseconds, int64_t>>;

  static ReservableWorker Worker(const std::string& id,
                                 int64_t room,
                                 const Ends& ends) {
    ReservableWorker worker;
    worker.key = {id, 1};
    worker.capacity = {1'000, 1'000, 0};
    worker.room = {room, 1'000, 0};
    for (const auto& [at, millicores] : ends) {
      worker.ends.push_back({kStart + at, {millicores, 0, 0}});
    }
    return worker;
  }

  static bool Reserve(CapacityReservation& reservation,
                      const std::vector<ReservableWorker>& workers,
                      Urgency urgency = Urgency::kInTime) {
    return reservation.Reserve({"large", 0, 0, 0}, {900, 10, 0}, urgency, 1,
                               workers, kStart);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReservationTest);

}  // namespace
}  // namespace figflow::test
