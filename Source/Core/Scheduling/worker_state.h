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
#include "Scheduling/worker.h"
#include "Scheduling/worker_clock.h"
#include "Scheduling/worker_health.h"
#include "Scheduling/worker_silence.h"

namespace figflow {

// A run that has to end, and whose start order must not take effect any more.
struct StopRequest {
  TaskName task;
  uint32_t run = 0;
  bool in_flight = false;
  // The worker has accepted the stop: the run cannot begin there any more.
  bool accepted = false;
  MonoTime accepted_at;
  MonoTime next_try;
  // Room that the run takes until its end is listed.
  Resources size;
};

// An end that the worker lists and that it may forget once the store holds what
// follows from it.
struct EndNote {
  uint64_t number = 0;
  // Null if nothing follows from it.
  std::shared_ptr<Job> job;
  uint64_t version = 0;
};

// What an owner knows of one life of a worker of its pool.
struct WorkerState {
  WorkerReport report;
  // In the registry now.
  bool listed = false;
  // Its address is known: an assignment in the store may name a worker that
  // has left the registry.
  bool addressable = false;
  // Gets no new tasks because its instance is about to leave the pool or to be
  // maintained.
  bool evacuating = false;
  MonoTime evacuating_since;
  // When the evacuation was last asked for.
  MonoTime evacuation_asked;
  // Until then it counts as to be emptied later.
  MonoTime leaving_later_until;

  WorkerClock clock;
  // The worker has answered under this owner's fence, so that orders of
  // earlier owners cannot take effect any more.
  bool fenced = false;
  // Latest lease deadline that the worker may have been given, on its clock.
  std::chrono::milliseconds latest_deadline{0};
  // Until it is fenced: when all leases from earlier owners have run out.
  MonoTime inherited_until;

  bool hold_in_flight = false;
  MonoTime hold_sent_at;
  // No hold before this time, after one without an answer.
  MonoTime next_hold;
  MonoTime last_answer;
  // Calls without an answer since the last answer.
  int misses = 0;
  WorkerSilence silence;

  // Ends up to this number may be forgotten.
  uint64_t acknowledged = 0;
  // `acknowledged` in the last answered hold.
  uint64_t acknowledged_there = 0;
  // Highest end that was read.
  uint64_t read_ends = 0;
  std::deque<EndNote> notes;

  // Tasks that are planned, starting or running here.
  std::set<TaskRef> tasks;
  // By task and run.
  std::map<std::pair<std::string, uint32_t>, StopRequest> stops;
  Resources used;

  WorkerHealth health;
  PaceControl pace;

  bool HasStop(const TaskName& task, uint32_t run) const;
  // Room for new tasks.
  Resources Room() const;
  // When the worker certainly runs nothing of what it was told to, if it is
  // not reached before.
  MonoTime DeadAt() const;
};

// "job.occurrence.stage.index", the name of a task in logs and keys.
std::string TaskText(const TaskName& name);

// Part of a stage's task that is counted against a worker's capacity.
Resources CountedSize(const StageSpec& spec);

}  // namespace figflow

#endif  // SCHEDULING_WORKER_STATE_H_
