#ifndef INSTANCES_MOVE_PLANNER_H_
#define INSTANCES_MOVE_PLANNER_H_

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Common/clock.h"
#include "Scheduling/pool_report.h"

namespace figflow {

// A move that was ordered and whose worker has not reported yet.
struct PendingMove {
  std::string pool;
  MonoTime ordered_at;
  // The worker that the move ends; empty for an instance without one.
  std::string worker;
};

struct MoveInput {
  std::map<std::string, PoolReport> pools;
  // Instances of spare pools that can be moved at once, with their capacity in
  // millicores.
  std::map<std::string, int64_t> spare;
  // Name of the spare pool; empty if there is none.
  std::string spare_pool;
  std::map<std::string, PendingMove> pending;
  // Instances that must not be moved now.
  std::set<std::string> blocked;
  // Instances of all pools, spare ones included.
  int instance_count = 0;
};

struct InstanceMove {
  std::string instance;
  std::string pool;
};

struct MovePlan {
  std::vector<InstanceMove> moves;
  // Idle instances to be kept empty, because they are to be moved.
  std::set<std::string> evacuate;
};

// Decides which instances change their pool.
//
// Load pattern: the queues peak by turns. For some seconds one asks for more
// than its pool holds, while the others ask for a twentieth of their mean. A
// pool whose backlog would last longer than a move takes gets idle instances,
// first of the spare pool, then of pools that do not need them. Pools give idle
// instances back to the spare pool, where they cost nothing, once they have
// been idle for as long as a move is worth.
class MovePlanner {
 public:
  MovePlan Plan(const MoveInput& input, MonoTime now);

 private:
  struct PoolNeed;
  // One call of Plan.
  struct PlanningRound;
  enum class Source { kNone, kTaken, kChosenBefore };

  static void AssessPools(PlanningRound* round);
  void FindIdleInstances(PlanningRound* round);
  // Chosen instances that are empty and get no tasks any more can move.
  void AdvanceChosenInstances(PlanningRound* round);
  void FillShortPools(PlanningRound* round);
  // Takes instances for the pool until it has `wanted` millicores.
  void AssignInstances(PoolNeed* need,
                       double wanted,
                       PlanningRound* round,
                       int* planned);
  // Takes an instance for the pool: a spare one, or an idle one of another
  // pool.
  Source TakeInstance(const PoolNeed& taker, PlanningRound* round);
  // The pool that has most to spare; null if none gives any.
  static PoolNeed* FindDonor(const PoolNeed& taker, PlanningRound* round);
  void ReturnIdleInstances(PlanningRound* round);

  std::map<std::string, MonoTime> idle_since_;
  // Instances chosen to move, with their target, until they are empty.
  std::map<std::string, std::string> chosen_targets_;
};

}  // namespace figflow

#endif  // INSTANCES_MOVE_PLANNER_H_
