#include "Scheduling/placement.h"

#include <algorithm>
#include <tuple>

#include "Scheduling/worker_state.h"

namespace figflow {
namespace {

// Returns the fraction of the worker's scarcer resource that is left after a
// task of `size` is placed there.
double FractionLeft(const WorkerOption& option, const Resources& size) {
  const Resources& capacity = option.report->capacity;
  const auto fraction = [](int64_t free, int64_t requested, int64_t total) {
    return total == 0 ? 1.0
                      : static_cast<double>(free - requested) /
                            static_cast<double>(total);
  };
  return std::min(
      fraction(option.room.cpu_millicores, size.cpu_millicores,
               capacity.cpu_millicores),
      fraction(option.room.memory_mb, size.memory_mb, capacity.memory_mb));
}

}  // namespace

int ChooseWorker(const PlacementRequest& request,
                 const std::vector<WorkerOption>& options,
                 const std::vector<int>& stage_tasks) {
  const StageSpec& stage = *request.stage;
  const Resources size = ReservedResources(stage);
  int best = -1;
  // Lower is better.
  using Rank = std::tuple<bool, bool, bool, bool, int, double>;
  Rank best_rank;
  for (size_t i = 0; i < options.size(); ++i) {
    const WorkerOption& option = options[i];
    if ((request.allowed != nullptr && !(*request.allowed)[i]) ||
        !size.FitsIn(option.room) ||
        (stage.max_per_worker > 0 && stage_tasks[i] >= stage.max_per_worker) ||
        (!stage.required_label.empty() &&
         !option.report->HasLabel(stage.required_label))) {
      continue;
    }
    const bool failed =
        request.failed_on != nullptr &&
        std::find(request.failed_on->begin(), request.failed_on->end(),
                  option.report->key.id) != request.failed_on->end();
    const bool far = !stage.preferred_rack.empty() &&
                     option.report->rack != stage.preferred_rack;
    const double fraction_left = FractionLeft(option, size);
    const bool is_first_perpetual =
        stage.perpetual && option.perpetual_tasks == 0;
    const bool moves_again = stage.perpetual && option.evacuate_later;
    const Rank rank{failed, option.recently_failed,     moves_again,
                    far,    is_first_perpetual ? 1 : 0, fraction_left};
    if (best < 0 || rank < best_rank) {
      best = static_cast<int>(i);
      best_rank = rank;
    }
  }
  return best;
}

PlacementObstacles CountObstacles(const PlacementRequest& request,
                                  const std::vector<WorkerOption>& options,
                                  const std::vector<int>& stage_tasks) {
  const StageSpec& stage = *request.stage;
  const Resources size = ReservedResources(stage);
  PlacementObstacles obstacles;
  for (size_t i = 0; i < options.size(); ++i) {
    const WorkerOption& option = options[i];
    if (request.allowed != nullptr && !(*request.allowed)[i]) {
      ++obstacles.no_ticket;
    } else if (!stage.required_label.empty() &&
               !option.report->HasLabel(stage.required_label)) {
      ++obstacles.no_label;
    } else if (stage.max_per_worker > 0 &&
               stage_tasks[i] >= stage.max_per_worker) {
      ++obstacles.limit_per_worker;
    } else if (size.cpu_millicores > option.room.cpu_millicores) {
      ++obstacles.no_processor;
    } else if (!size.FitsIn(option.room)) {
      ++obstacles.no_memory;
    }
  }
  return obstacles;
}

}  // namespace figflow
