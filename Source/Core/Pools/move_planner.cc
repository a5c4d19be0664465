#include "Pools/move_planner.h"

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>
#include <utility>

namespace figflow {
namespace {

// Instances and remaining moves of a pool during planning.
struct PoolState {
  ProjectId project{kSparePool};
  // Wanted minus present instances; negative for a surplus.
  int lack = 0;
  int moves_left = std::numeric_limits<int>::max();
  std::vector<InstanceId> movable;
  // Number of instances present or moving into the pool, by rack.
  std::map<RackId, int> racks;
};

using PoolStates = std::map<PoolId, PoolState>;

PoolStates StatesOf(const DataCentreDocument& document,
                    const PoolsConfig& config,
                    WallTime now) {
  PoolStates states;
  states[PoolId(kSparePool)];
  for (const PoolSettings& target : config.pools) {
    PoolState& state = states[target.pool];
    state.project = target.project;
    if (target.pool.value() == kSparePool) {
      continue;
    }
    int begun = 0;
    const auto it = document.move_count.moves.find(target.pool);
    if (it != document.move_count.moves.end() &&
        UtcDay(now) <= document.move_count.day) {
      begun = it->second;
    }
    state.lack = target.wanted;
    state.moves_left = std::max(target.max_moves_per_day - begun, 0);
  }
  for (const auto& [id, record] : document.instances) {
    const bool draining = record.stage == InstanceStage::kDraining;
    PoolState& state = states[draining ? record.to_pool : record.pool];
    --state.lack;
    ++state.racks[record.rack];
    if (record.stage == InstanceStage::kActive) {
      state.movable.push_back(id);
    }
  }
  // The spare pool has no wanted number of instances.
  states[PoolId(kSparePool)].lack = 0;
  return states;
}

// Returns the pool with the largest shortage (sign 1) or surplus (sign -1)
// among those that may still move instances, or end().
PoolStates::iterator MostUnbalanced(PoolStates& states, int sign) {
  auto best = states.end();
  for (auto it = states.begin(); it != states.end(); ++it) {
    const PoolState& state = it->second;
    if (state.lack * sign <= 0 || state.moves_left <= 0 ||
        (sign < 0 && state.movable.empty())) {
      continue;
    }
    if (best == states.end() || state.lack * sign > best->second.lack * sign) {
      best = it;
    }
  }
  return best;
}

class Planner {
 public:
  Planner(const DataCentreDocument& document, PoolStates states)
      : document_(document), states_(std::move(states)) {}

  std::vector<PlannedMove> Plan() {
    const auto spare = states_.find(PoolId(kSparePool));
    for (;;) {
      const auto to = MostUnbalanced(states_, 1);
      if (to == states_.end()) {
        break;
      }
      auto from = MostUnbalanced(states_, -1);
      if (from == states_.end()) {
        from = spare;
      }
      if (from->second.movable.empty()) {
        break;
      }
      Move(from, to);
    }
    for (auto from = MostUnbalanced(states_, -1); from != states_.end();
         from = MostUnbalanced(states_, -1)) {
      Move(from, spare);
    }
    return std::move(moves_);
  }

 private:
  void Move(PoolStates::iterator from, PoolStates::iterator to) {
    PoolState& source = from->second;
    PoolState& destination = to->second;
    // Spreads each pool over racks, so that a rack failure affects few
    // instances of a pool.
    const auto order = [&](const InstanceId& id) {
      const RackId& rack = document_.instances.at(id).rack;
      return std::make_tuple(destination.racks[rack], -source.racks[rack], id);
    };
    const auto chosen =
        std::min_element(source.movable.begin(), source.movable.end(),
                         [&](const InstanceId& a, const InstanceId& b) {
                           return order(a) < order(b);
                         });
    const RackId& rack = document_.instances.at(*chosen).rack;
    --source.racks[rack];
    ++destination.racks[rack];
    moves_.push_back(PlannedMove{*chosen, to->first, destination.project});
    source.movable.erase(chosen);
    // The spare pool has neither a wanted number of instances nor a limit of
    // moves.
    if (from->first.value() != kSparePool) {
      ++source.lack;
      --source.moves_left;
    }
    if (to->first.value() != kSparePool) {
      --destination.lack;
      --destination.moves_left;
    }
  }

  const DataCentreDocument& document_;
  PoolStates states_;
  std::vector<PlannedMove> moves_;
};

}  // namespace

std::vector<PlannedMove> PlanMoves(const DataCentreDocument& document,
                                   const PoolsConfig& config,
                                   WallTime now) {
  if (config.revision == 0 || config.revision < document.config_revision) {
    return {};
  }
  return Planner(document, StatesOf(document, config, now)).Plan();
}

}  // namespace figflow
