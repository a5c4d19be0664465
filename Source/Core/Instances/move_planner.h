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
  // The worker that the move ends; empty if the instance runs none.
  std::string worker;
};

struct MoveInput {
  std::map<std::string, PoolReport> pools;
  // Instances of the spare pool that can be moved at once, with their capacity
  // in millicores.
  std::map<std::string, int64_t> spare;
  // Name of the spare pool; empty if there is none.
  std::string spare_pool;
  std::map<std::string, PendingMove> pending;
  // Instances that must not be moved now.
  std::set<std::string> blocked;
  // Number of instances in all pools, including the spare one.
  int instance_count = 0;
};

struct InstanceMove {
  std::string instance;
  std::string pool;
};

struct MovePlan {
  std::vector<InstanceMove> moves;
  // Idle instances to keep free of tasks because they are about to be moved.
  std::set<std::string> evacuate;
  // Instances to move once their present tasks have ended.
  std::set<std::string> lend;
};

// Decides which instances move to another pool.
//
// A pool whose backlog would last longer than a move takes receives idle
// instances, first from the spare pool, then from pools that don't need them.
// Pools return instances to the spare pool, where they cost nothing, after they
// have been idle for as long as a move is worth. The queues peak in turn: for
// some seconds one needs more than its pool holds, while the others need a
// twentieth of their mean.
//
// If the peaks exceed what the fleet can do, the pool of the last peak still
// works off late jobs when the next peak begins. Work that can meet its
// objective comes first across pools as well: a pool with late work lends what
// it does not need for other work as the tasks there end. It keeps its minimum
// share, so late work does not starve.
class MovePlanner {
 public:
  MovePlan Plan(const MoveInput& input, MonoTime now);

 private:
  struct PoolNeed;
  // State of one call of Plan.
  struct PlanningRound;
  enum class Source { kNone, kTaken, kChosenBefore };

  static void AssessPools(PlanningRound* round);
  void FindIdleInstances(PlanningRound* round);
  // Moves chosen instances that are evacuated and receive no more tasks.
  void AdvanceChosenInstances(PlanningRound* round);
  void FillShortPools(PlanningRound* round);
  // Assigns instances to the pool until it has `wanted` millicores. Pools with
  // late work lend some if `may_borrow` is true.
  void AssignInstances(PoolNeed* need,
                       double wanted,
                       bool may_borrow,
                       PlanningRound* round,
                       int* planned);
  // Takes an instance for the pool: a spare one, or an idle one of another
  // pool.
  Source TakeIdleInstance(const PoolNeed& taker, PlanningRound* round);
  // Takes the instance with the fewest tasks of a pool that does not need it
  // for work that can be in time.
  Source TakeLentInstance(const PoolNeed& taker, PlanningRound* round);
  // Returns the pool with the most surplus capacity; null if none can give an
  // instance.
  static PoolNeed* FindDonor(const PoolNeed& taker, PlanningRound* round);
  static PoolNeed* FindLender(const PoolNeed& taker, PlanningRound* round);
  void ReturnIdleInstances(PlanningRound* round);

  std::map<std::string, MonoTime> idle_since_;
  // Target pool of each instance that was chosen to move, until it is
  // evacuated.
  std::map<std::string, std::string> chosen_targets_;
  // The same for instances that are lent with tasks still running.
  std::map<std::string, std::string> lent_targets_;
};

}  // namespace figflow

#endif  // INSTANCES_MOVE_PLANNER_H_
