#ifndef FLEET_ROUTE_CHOICE_H_
#define FLEET_ROUTE_CHOICE_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Adapter/caller_call.h"

namespace figflow {

// Address of another daemon.
struct PeerAddress {
  std::string entry;
  // "ip:port"
  std::string address;
};

// A daemon's view of the route to a pool's owner.
struct RouteView {
  // This daemon owns the pool and accepts calls.
  bool owned_here = false;
  // Owner according to the store, if it is another daemon.
  std::optional<PeerAddress> owner;
  uint64_t owner_claim = 0;
  // The store has not responded to this daemon for long, so `owner` may be
  // outdated.
  bool stale = false;
  std::vector<PeerAddress> peers;
  // A peer forwarded the call, so it is sent to the owner only.
  bool relayed = false;
};

// Outcome of earlier attempts of the same call.
struct RouteAttempts {
  // Claims whose owner did not respond or did not accept the call.
  std::set<uint64_t> failed_claims;
  // Number of relays since the last retry delay.
  int relays = 0;
};

struct RouteChoice {
  enum class Action { kServeLocally, kOwner, kRelay, kWait };
  Action action = Action::kWait;
  PeerAddress peer;
};

// Chooses where a call is sent next.
//
// For some seconds, the store or another daemon may reject requests of some
// daemons while callers still reach these. A daemon that does not know or
// cannot reach the owner relays the call through any other daemon, which may
// know or reach it.
RouteChoice ChooseRoute(const RouteView& view, const RouteAttempts& attempts);

// Combines the responses of several scopes that may hold a job: `last` is the
// last response, `uncertain` the response of an earlier scope that could not
// determine whether it holds the job.
CallerReply CombineScopeResponses(const std::optional<CallerReply>& uncertain,
                                  const CallerReply& last);

}  // namespace figflow

#endif  // FLEET_ROUTE_CHOICE_H_
