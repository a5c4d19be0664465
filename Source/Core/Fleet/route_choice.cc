#include "Fleet/route_choice.h"

#include <algorithm>

namespace figflow {
namespace {

// Each relay may cost a time limit of a peer that does not answer.
constexpr int kMostRelays = 4;

}  // namespace

RouteChoice ChooseRoute(const RouteView& view, const RouteAttempts& attempts) {
  RouteChoice choice;
  if (view.owned_here) {
    choice.step = RouteChoice::Step::kHere;
    return choice;
  }
  const bool failed = attempts.failed_claims.count(view.owner_claim) > 0;
  if (view.owner && !failed) {
    choice.step = RouteChoice::Step::kOwner;
    choice.peer = *view.owner;
    return choice;
  }
  std::vector<PeerAddress> others;
  std::copy_if(view.peers.begin(), view.peers.end(), std::back_inserter(others),
               [&](const PeerAddress& peer) {
                 return !view.owner || peer.entry != view.owner->entry;
               });
  // Without an owner and with fresh knowledge, a take-over is under way: no
  // other daemon knows more.
  const bool others_may_know = view.owner || view.stale;
  const int relays = std::min(kMostRelays, static_cast<int>(others.size()));
  if (!view.relayed && others_may_know && attempts.relays < relays) {
    choice.step = RouteChoice::Step::kRelay;
    choice.peer = others[attempts.relays % others.size()];
    return choice;
  }
  if (view.owner) {
    choice.step = RouteChoice::Step::kOwner;
    choice.peer = *view.owner;
  }
  return choice;
}

CallerReply AnswerOfScopes(const std::optional<CallerReply>& unsure,
                           const CallerReply& last) {
  // A job that one scope does not know may be in the other one, where a call
  // may have taken effect.
  const bool tells_nothing = last.outcome == CallOutcome::kNoSuchJob ||
                             last.outcome == CallOutcome::kUnavailable;
  return unsure && tells_nothing ? *unsure : last;
}

}  // namespace figflow
