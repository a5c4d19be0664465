#include "Maintenance/failure_accountant.h"

#include <chrono>
#include <iterator>

namespace figflow {
namespace {

// Older departures were accounted for before this process started.
constexpr std::chrono::hours kRecent{24};

// True if the pool has as many instances as the configuration wants.
bool IsWhole(const DataCentreDocument& document,
             const PoolsConfig& config,
             const PoolId& pool) {
  for (const PoolSettings& target : config.pools) {
    if (target.pool == pool) {
      return CountInPool(document, pool) >= target.wanted;
    }
  }
  return true;
}

bool IsInUse(const DataCentreDocument& document, const InstanceId& id) {
  const auto it = document.instances.find(id);
  return it != document.instances.end() &&
         it->second.stage == InstanceStage::kActive;
}

}  // namespace

Result<void> FailureAccountant::Step(const DataCentreDocument& document,
                                     const PoolsConfig& config,
                                     WallTime now) {
  if (config.revision == 0) {
    return {};
  }
  if (auto ended = EndRecovered(document, config, now); !ended) {
    return ended;
  }
  for (const auto& [id, departed] : document.departed) {
    if (departed.project.value() == kSparePool ||
        now - departed.since > kRecent) {
      continue;
    }
    const bool whole = IsWhole(document, config, departed.pool);
    auto it = failures_.find(id);
    if (it == failures_.end() || it->second.boot != departed.boot) {
      if (!whole) {
        auto begun = budget_.BeginFailure(departed.project, id, now);
        if (!begun) {
          return begun;
        }
      }
      it = failures_
               .insert_or_assign(id, Failure{departed.project, departed.boot,
                                             /*ended=*/false})
               .first;
    }
    if (whole) {
      if (auto ended = End(id, it->second, now); !ended) {
        return ended;
      }
    }
  }
  for (auto it = failures_.begin(); it != failures_.end();) {
    if (document.departed.count(it->first) != 0 ||
        (!it->second.ended && !IsInUse(document, it->first))) {
      ++it;
      continue;
    }
    if (auto ended = End(it->first, it->second, now); !ended) {
      return ended;
    }
    it = failures_.erase(it);
  }
  return {};
}

Result<void> FailureAccountant::EndRecovered(const DataCentreDocument& document,
                                             const PoolsConfig& config,
                                             WallTime now) {
  for (const PoolSettings& target : config.pools) {
    if (checked_.count(target.project) != 0) {
      continue;
    }
    const Result<BudgetDocument> budget = budget_.Read(target.project);
    if (!budget) {
      return tl::unexpected<Error>(budget.error());
    }
    for (const auto& [id, since] : budget->failures) {
      if (IsInUse(document, id)) {
        auto ended = budget_.EndFailure(target.project, id, now);
        if (!ended) {
          return ended;
        }
      }
    }
    checked_.insert(target.project);
  }
  return {};
}

Result<void> FailureAccountant::End(const InstanceId& id,
                                    Failure& failure,
                                    WallTime now) {
  if (failure.ended) {
    return {};
  }
  auto ended = budget_.EndFailure(failure.project, id, now);
  if (ended) {
    failure.ended = true;
  }
  return ended;
}

}  // namespace figflow
