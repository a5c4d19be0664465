#include "Fleet/route_choice.h"

#include <algorithm>

namespace figflow {
namespace {

// Each relay may cost the timeout of an unresponsive peer.
constexpr int kMaxRelays = 4;

}  // namespace

RouteChoice ChooseRoute(const RouteView& view, const RouteAttempts& attempts) {
  RouteChoice choice;
  if (view.owned_here) {
    choice.action = RouteChoice::Action::kServeLocally;
    return choice;
  }
  const bool failed = attempts.failed_claims.count(view.owner_claim) > 0;
  if (view.owner && !failed) {
    choice.action = RouteChoice::Action::kOwner;
    choice.peer = *view.owner;
    return choice;
  }
  std::vector<PeerAddress> others;
  std::copy_if(view.peers.begin(), view.peers.end(), std::back_inserter(others),
               [&](const PeerAddress& peer) {
                 return !view.owner || peer.entry != view.owner->entry;
               });
  // If no owner is known and the view is recent, a take-over is in progress and
  // no other daemon has newer data.
  const bool relay_may_help = view.owner || view.stale;
  const int relays = std::min(kMaxRelays, static_cast<int>(others.size()));
  if (!view.relayed && relay_may_help && attempts.relays < relays) {
    choice.action = RouteChoice::Action::kRelay;
    choice.peer = others[attempts.relays % others.size()];
    return choice;
  }
  if (view.owner) {
    choice.action = RouteChoice::Action::kOwner;
    choice.peer = *view.owner;
  }
  return choice;
}

CallerReply CombineScopeResponses(const std::optional<CallerReply>& uncertain,
                                  const CallerReply& last) {
  // A job that one scope does not hold may be in another scope, where the call
  // may have taken effect.
  const bool inconclusive = last.outcome == CallOutcome::kNoSuchJob ||
                            last.outcome == CallOutcome::kUnavailable;
  return uncertain && inconclusive ? *uncertain : last;
}

}  // namespace figflow
