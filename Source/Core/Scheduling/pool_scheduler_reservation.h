#ifndef SCHEDULING_POOL_SCHEDULER_RESERVATION_H_
#define SCHEDULING_POOL_SCHEDULER_RESERVATION_H_

#include <vector>

#include "Scheduling/pool_scheduler.h"

namespace figflow {

// One scan of the ready stages, with respect to the scope's reservation.
struct PoolScheduler::ReservationScan {
  PoolScheduler& pool;
  const std::vector<WorkerState*>& workers;
  const MonoTime now;
  // Number of stages for which a worker to reserve may still be looked for.
  int tries;

  // Ends the reservation if its stage or its worker does not need it any more.
  void CheckReservation();
  // Returns the index of the reserved worker if the stage must not use it, else
  // -1.
  int FindWorkerKeptFrom(const TaskRef& stage, Urgency urgency) const;
  // Notes how a stage was planned, and whether any of its tasks was placed. The
  // first stage that lacks capacity may get a reservation.
  void OnStagePlanned(const TaskRef& stage,
                      Urgency urgency,
                      bool placed,
                      bool lacks_capacity);

 private:
  ReservableWorker Describe(const WorkerState& worker) const;
  // Returns false if no worker could hold the stage's task, so that the next
  // stage may get a reservation.
  bool ReserveFor(const TaskRef& stage, Urgency urgency);
  void EndReservation(const char* cause);
};

}  // namespace figflow

#endif  // SCHEDULING_POOL_SCHEDULER_RESERVATION_H_
