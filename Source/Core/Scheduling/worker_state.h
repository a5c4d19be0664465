#ifndef SCHEDULING_WORKER_STATE_H_
#define SCHEDULING_WORKER_STATE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "Common/clock.h"
#include "Scheduling/job.h"
#include "Scheduling/pace_control.h"
#include "Scheduling/unresponsive_worker_detector.h"
#include "Scheduling/worker.h"
#include "Scheduling/worker_clock.h"
#include "Scheduling/worker_health.h"

namespace figflow {

// Request to end a run whose start order must not take effect any more.
struct StopRequest {
  TaskName task;
  uint32_t run = 0;
  bool in_flight = false;
  // The worker has accepted the stop: the run cannot start there any more.
  bool accepted = false;
  MonoTime accepted_at;
  MonoTime next_try;
  // Capacity that the run occupies until the worker lists it as ended.
  Resources size;
  // Customer of the run's job.
  std::string customer;
};

// An ended run that the worker lists, and may discard once the store holds the
// effects of its result.
struct PendingAcknowledgement {
  uint64_t number = 0;
  // Job whose record has to be durable; null if the task is unknown.
  std::shared_ptr<Job> job;
  uint64_t version = 0;
};

// Report of the instance controller that a worker has ended.
struct ReportedEnd {
  MonoTime first_reported_at;
  MonoTime last_reported_at;
  // The worker has responded since.
  bool refuted = false;
};

// State that an owner holds of one incarnation of a worker of its pool.
struct WorkerState {
  WorkerReport report;
  // The registry lists the worker now.
  bool listed = false;
  // The instance controller reports the worker as ended, and it has not
  // responded since.
  bool reported_ended = false;
  // The worker's address is known. An assignment in the store may name a worker
  // that has left the registry.
  bool addressable = false;
  // The worker gets no new tasks because its instance is about to leave the
  // pool or to be maintained.
  bool evacuating = false;
  // The instance is lent once the present tasks have ended; none is stopped.
  bool lent = false;
  MonoTime evacuating_since;
  // When the evacuation was last requested.
  MonoTime evacuation_requested_at;
  // Until this time the worker counts as to be evacuated later.
  MonoTime evacuate_later_until;

  WorkerClock clock;
  // The worker has responded under this owner's fence, so orders of earlier
  // owners cannot take effect any more.
  bool fenced = false;
  // Latest lease deadline that the worker may have been given, on its clock.
  std::chrono::milliseconds latest_deadline{0};
  // When all leases from earlier owners, and from orders to earlier
  // incarnations, have run out; used until the worker is fenced.
  MonoTime inherited_leases_until;
  // Until when a next incarnation may hold a lease from an order to this one.
  // Its clock starts anew, so any deadline grants it the longest lease.
  MonoTime next_incarnation_leases_until = MonoTime::min();
  // Start orders without a response so far.
  int starts_in_flight = 0;

  bool hold_in_flight = false;
  MonoTime hold_sent_at;
  // Earliest time of the next hold, set after one without a response.
  MonoTime next_hold;
  MonoTime last_response_at;
  // Number of missing responses to orders since the last response.
  int missed_responses = 0;
  // The same for holds alone.
  int missed_holds = 0;
  UnresponsiveWorkerDetector silence;

  // Ended runs up to this number may be discarded by the worker.
  uint64_t acknowledged = 0;
  // `acknowledged` in the last hold that got a response.
  uint64_t delivered_acknowledgement = 0;
  // Highest number of an ended run that was processed.
  uint64_t last_read_ended_run = 0;
  std::deque<PendingAcknowledgement> notes;

  // Tasks that are planned, starting or running on the worker.
  std::set<TaskRef> tasks;
  // Stops by task name and run.
  std::map<std::pair<std::string, uint32_t>, StopRequest> stops;
  Resources used;

  WorkerHealth health;
  PaceControl pace;

  // Returns whether the worker may get tasks, as far as the registry and the
  // instance controller know.
  bool IsInUse() const { return listed && !reported_ended; }
  bool HasStop(const TaskName& task, uint32_t run) const;
  // Returns whether the worker responds to this owner.
  bool IsReached() const {
    return addressable && fenced && missed_responses == 0;
  }
  int CountPerpetualTasks() const;
  // Returns the capacity that is free for new tasks.
  Resources FreeCapacity() const;
  // Returns the time at which the worker certainly has none of its runs any
  // more, unless it is reached before.
  MonoTime AllLeasesExpiredAt() const;
  // Same for the tasks that only a next incarnation may run, and for those of
  // this one.
  MonoTime AllOrdersExpiredAt() const;
  // Returns whether no incarnation runs the task after `AllLeasesExpiredAt`.
  static bool EndsWithThisIncarnation(const Task& task);
};

// Returns "job.occurrence.stage.index", the name of a task in logs and keys.
std::string FormatTaskName(const TaskName& name);

// Returns the resources of a stage's task that count against a worker's
// capacity.
Resources ReservedResources(const StageSpec& spec);

}  // namespace figflow

#endif  // SCHEDULING_WORKER_STATE_H_
