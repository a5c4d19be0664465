// How recently the plan is known to have been the newest.
#include <algorithm>
#include <chrono>

#include "Fleet/fleet_engine.h"

namespace figflow {
namespace {

// The clocks of two instances may differ by 2%, which is 100 ms of the 5 s
// within which a withdrawn key must be refused.
constexpr std::chrono::milliseconds kKeyWithdrawalMargin{150};

}  // namespace

MonoTime FleetEngine::PlanConfirmedAt() const {
  // Read before the plan: the follower reports a plan before it counts as
  // current as of a later time.
  const MonoTime by_store = operator_keys_->CurrentAsOf();
  absl::MutexLock lock(&mutex_);
  return std::max(readable_plan_confirmed_at_.value_or(by_store),
                  peers_confirmed_at_);
}

void FleetEngine::OnPlanConfirmedByPeer(uint64_t version,
                                        MonoTime confirmed_at) {
  absl::MutexLock lock(&mutex_);
  // A later plan of this daemon was the newest after the time at which an
  // earlier one was, so the time stays valid when the plan changes.
  if (plan_ != nullptr && plan_->version == version) {
    peers_confirmed_at_ = std::max(peers_confirmed_at_, confirmed_at);
  }
}

void FleetEngine::OnPlanUnreadable() {
  const MonoTime by_store = operator_keys_->CurrentAsOf();
  absl::MutexLock lock(&mutex_);
  if (!readable_plan_confirmed_at_) {
    readable_plan_confirmed_at_ = by_store;
  }
}

bool FleetEngine::PlanCoversCall(MonoTime confirmed_at,
                                 MonoTime arrived) const {
  absl::MutexLock lock(&mutex_);
  return confirmed_at >= arrived - bounds_.plan_apply;
}

bool FleetEngine::KeysCoverCall(MonoTime confirmed_at, MonoTime arrived) const {
  absl::MutexLock lock(&mutex_);
  const std::chrono::milliseconds bound = bounds_.key_withdrawal;
  return bound.count() == 0 ||
         confirmed_at >= arrived - std::max(bound - kKeyWithdrawalMargin,
                                            std::chrono::milliseconds(0));
}

}  // namespace figflow
