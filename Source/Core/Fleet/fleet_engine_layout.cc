// Partitioning of the pools, which the daemons agree on once through the store.
#include <chrono>
#include <string>
#include <vector>

#include <xxhash.h>

#include "Common/log.h"
#include "Fleet/fleet_engine.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

constexpr std::chrono::milliseconds kWriteTimeout{600};
// A proposal that is not visible by then is repeated.
constexpr std::chrono::milliseconds kProposalRetryDelay{700};
// All daemons of a new fleet start together. The first ones propose a layout;
// the others see it before their own time to propose.
constexpr std::chrono::milliseconds kProposalSpread{400};
// When the list of instances is unavailable for this long, the size of the
// registry is used instead.
constexpr std::chrono::milliseconds kInstanceListMaxWait{3'000};

}  // namespace

std::string FleetEngine::ScopeOf(const WorkerReport& report) const {
  if (!layout_) {
    return "";
  }
  return layout_->ScopeOfInstance(
      report.pool, report.instance.empty() ? report.key.id : report.instance);
}

void FleetEngine::SetLayout(const PoolLayout& layout) {
  {
    absl::MutexLock lock(&mutex_);
    if (layout_) {
      return;
    }
    layout_ = layout;
  }
  LogEvent(LogLevel::kInfo, LogCategory::kPools, "layout_known",
           {{"parts", absl::StrCat(layout.partitions)}});
  WakeAt(clock_.Now());
}

void FleetEngine::OnLayoutItem(const StoreItem& item) {
  if (item.removed) {
    return;
  }
  const Result<PoolLayout> layout = ParsePoolLayout(item.value);
  if (!layout) {
    LogEvent(LogLevel::kError, LogCategory::kPools, "layout_unreadable",
             {{"error", ToString(layout.error())}});
    return;
  }
  SetLayout(*layout);
}

void FleetEngine::ProposeLayout(MonoTime now) {
  {
    absl::MutexLock lock(&mutex_);
    const bool wanted = !layout_ && !releasing_ && plan_ != nullptr &&
                        owners_->synced() && session_->lease() != 0;
    if (!wanted) {
      return;
    }
    if (layout_wanted_since_ == MonoTime::max()) {
      layout_wanted_since_ = now;
      const uint64_t hash =
          XXH64(options_.entry.data(), options_.entry.size(), 0);
      propose_at_ = now + std::chrono::milliseconds(static_cast<int64_t>(
                              hash % kProposalSpread.count()));
    }
    if (now < propose_at_) {
      return;
    }
    propose_at_ = now + kProposalRetryDelay;
  }
  platform_.instances().List(
      [this](const Result<std::vector<Instance>>& instances) {
        // An empty list says nothing about the size of the fleet.
        if (instances && !instances->empty()) {
          WriteLayout(static_cast<int>(instances->size()));
          return;
        }
        int workers = 0;
        bool list_overdue = false;
        {
          absl::MutexLock lock(&mutex_);
          workers = static_cast<int>(reports_.size());
          list_overdue =
              clock_.Now() >= layout_wanted_since_ + kInstanceListMaxWait;
        }
        if (list_overdue) {
          WriteLayout(workers);
        }
      });
}

void FleetEngine::WriteLayout(int instances) {
  PoolLayout layout;
  {
    absl::MutexLock lock(&mutex_);
    if (layout_ || plan_ == nullptr) {
      return;
    }
    std::vector<std::string> pools;
    for (const PoolConfig& pool : plan_->pools) {
      if (!pool.spare) {
        pools.push_back(pool.name);
      }
    }
    layout = MakePoolLayout(instances, pools);
  }
  Transaction transaction;
  transaction.expected = {{OwnerKey(kLayoutScope), 0}};
  transaction.writes = {{OwnerKey(kLayoutScope), FormatPoolLayout(layout), 0}};
  platform_.store().Commit(
      transaction, kWriteTimeout,
      [this, layout](const Result<TransactionResult>& result) {
        // A layout that another daemon wrote arrives with the owners' keys.
        if (result && result->committed) {
          SetLayout(layout);
        }
      });
}

}  // namespace figflow
