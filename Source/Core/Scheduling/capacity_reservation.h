#ifndef SCHEDULING_CAPACITY_RESERVATION_H_
#define SCHEDULING_CAPACITY_RESERVATION_H_

#include <optional>
#include <vector>

#include "Common/clock.h"
#include "Scheduling/dispatch_order.h"
#include "Scheduling/job_spec.h"
#include "Scheduling/worker.h"

namespace figflow {

// Capacity that is expected to become free.
struct ExpectedEnd {
  MonoTime at;
  Resources size;
};

// A worker that can hold a large task once its present tasks have ended.
struct ReservableWorker {
  WorkerKey key;
  Resources capacity;
  Resources room;
  // The worker is to be evacuated later, so others are preferred.
  bool evacuate_later = false;
  // Tasks that end by themselves, in any sequence.
  std::vector<ExpectedEnd> ends;
};

// Returns when a task of `size` fits the worker, `now` if it fits already; none
// if it does not fit even once all tasks have ended.
std::optional<MonoTime> PredictFit(const Resources& size,
                                   ReservableWorker worker,
                                   MonoTime now);

// Returns the expected end of a task that began at `since`. A task that takes
// longer than predicted is expected to exceed the prediction twice as far.
MonoTime ExpectEnd(MonoTime since,
                   std::chrono::milliseconds predicted,
                   MonoTime now);

// Returns whether a worker of this capacity can hold a task of `size`, and not
// two of them.
bool IsLargeTask(const Resources& size, const Resources& capacity);

// Keeps one worker of a scope free for a large task as the tasks there end.
//
// On a pool with a steady flow of small tasks, each takes the capacity that
// another one has left, so no worker is ever free enough for a large task. This
// is backfilling with a reservation for the first stage that lacks capacity
// (EASY, Lifka 1995): other stages use the reserved worker only for tasks that
// will have ended when the large task is expected to fit.
class CapacityReservation {
 public:
  struct Reservation {
    // First task of the stage.
    TaskName stage;
    WorkerKey worker;
    Urgency urgency = Urgency::kInTime;
    // Number of waiting tasks of the stage; falls when one starts.
    int waiting = 0;
    // When the task will fit the worker: as expected at first, and now.
    MonoTime first_expected;
    MonoTime fits_at;
  };

  const std::optional<Reservation>& current() const { return current_; }
  bool IsFor(const TaskName& stage) const;

  // Returns whether a stage that has lacked capacity since `since` has waited
  // long enough for a reservation.
  static bool HasWaitedEnough(MonoTime since, MonoTime now);
  // Reserves the worker on which the stage's task fits first. Returns false if
  // it fits none.
  bool Reserve(const TaskName& stage,
               const Resources& size,
               Urgency urgency,
               int waiting,
               const std::vector<ReservableWorker>& workers,
               MonoTime now);
  // Updates the reservation by the present state of its stage and worker.
  // Returns why it has to end; null if it holds.
  const char* Update(const Resources& size,
                     Urgency urgency,
                     int waiting,
                     const ReservableWorker& worker,
                     MonoTime now);
  void Release() { current_.reset(); }

  // Returns whether a task of the stage that would end at `ends` may use the
  // reserved worker.
  bool MayUse(const TaskName& stage, Urgency urgency, MonoTime ends) const;

 private:
  std::optional<Reservation> current_;
};

}  // namespace figflow

#endif  // SCHEDULING_CAPACITY_RESERVATION_H_
