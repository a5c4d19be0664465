#include "Peer/dial_schedule.h"

#include <algorithm>

namespace figflow {
namespace {

constexpr std::chrono::milliseconds kInitialDialBackoff{200};
// Bounds how long daemons stay disconnected after a network partition has
// healed.
constexpr std::chrono::milliseconds kMaxDialBackoff{6'400};
constexpr unsigned kMaxBackoffDoublings = 5;

}  // namespace

bool DialSchedule::TryStartDial(const std::string& address, MonoTime now) {
  AddressState& state = addresses_[address];
  if (state.active || state.excluded || now < state.not_before) {
    return false;
  }
  state.active = true;
  return true;
}

void DialSchedule::OnLinkEnded(const std::string& address,
                               bool was_established,
                               MonoTime now,
                               Random& random) {
  AddressState& state = addresses_[address];
  state.active = false;
  state.failures = was_established ? 0 : state.failures + 1;
  const auto backoff =
      std::min(kMaxDialBackoff,
               kInitialDialBackoff *
                   (1U << std::min(state.failures, kMaxBackoffDoublings)));
  // Half of the backoff is random, so that daemons that lost the same peer do
  // not reconnect at the same time.
  std::uniform_int_distribution<int64_t> jitter(0, backoff.count() / 2);
  state.not_before =
      now + backoff / 2 + std::chrono::milliseconds(jitter(random));
}

void DialSchedule::ExcludeAddress(const std::string& address) {
  addresses_[address].excluded = true;
}

void DialSchedule::RemoveAddress(const std::string& address) {
  const auto it = addresses_.find(address);
  if (it != addresses_.end() && !it->second.active) {
    addresses_.erase(it);
  }
}

}  // namespace figflow
