#include "Scheduling/further_workers.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace figflow {
namespace {

// Maximum number of workers that one report requests. The planner orders at
// most 12 moves at once for all pools of a partition, and the next report
// requests what is still missing.
constexpr int kMaxFurtherWorkers = 8;

auto SizeKey(const Resources& size) {
  return std::tie(size.cpu_millicores, size.memory_mb, size.accelerators);
}

}  // namespace

Resources UsualCapacity(const std::vector<Resources>& capacities) {
  const auto smaller = [](const Resources& a, const Resources& b) {
    return SizeKey(a) < SizeKey(b);
  };
  std::map<Resources, int, decltype(smaller)> counts(smaller);
  for (const Resources& capacity : capacities) {
    ++counts[capacity];
  }
  Resources usual;
  int most = 0;
  for (const auto& [capacity, count] : counts) {
    if (count >= most) {
      usual = capacity;
      most = count;
    }
  }
  return usual;
}

int CountFurtherWorkers(std::vector<LargeTasks> tasks,
                        const std::vector<Resources>& free_capacity,
                        const Resources& usual_capacity) {
  std::stable_sort(tasks.begin(), tasks.end(),
                   [](const LargeTasks& a, const LargeTasks& b) {
                     return SizeKey(b.size) < SizeKey(a.size);
                   });
  std::vector<Resources> rooms = free_capacity;
  for (const LargeTasks& group : tasks) {
    if (!group.size.FitsIn(usual_capacity)) {
      continue;
    }
    std::vector<int> on_worker = group.on_worker;
    on_worker.resize(rooms.size());
    int left = group.count;
    // A worker that cannot take a task of the group takes no later one either,
    // so each is visited once.
    for (size_t i = 0; left > 0; ++i) {
      if (i == rooms.size()) {
        if (rooms.size() == free_capacity.size() + kMaxFurtherWorkers) {
          return kMaxFurtherWorkers;
        }
        rooms.push_back(usual_capacity);
        on_worker.push_back(0);
      }
      while (
          left > 0 && group.size.FitsIn(rooms[i]) &&
          (group.max_per_worker == 0 || on_worker[i] < group.max_per_worker)) {
        rooms[i] -= group.size;
        ++on_worker[i];
        --left;
      }
    }
  }
  return static_cast<int>(rooms.size() - free_capacity.size());
}

}  // namespace figflow
