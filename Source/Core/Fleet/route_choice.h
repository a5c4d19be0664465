#ifndef FLEET_ROUTE_CHOICE_H_
#define FLEET_ROUTE_CHOICE_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Adapter/caller_call.h"

namespace figflow {

// Another daemon.
struct PeerAddress {
  std::string entry;
  // "ip:port"
  std::string address;
};

// What a daemon knows of the way to a pool's owner.
struct RouteView {
  // This daemon owns the pool and takes calls.
  bool owned_here = false;
  // The owner by the store, if it is another daemon.
  std::optional<PeerAddress> owner;
  uint64_t owner_claim = 0;
  // This daemon has not heard from the store for long, so `owner` may be old.
  bool stale = false;
  std::vector<PeerAddress> peers;
  // The call came from a peer: it is passed to the owner only.
  bool relayed = false;
};

// What became of earlier attempts of the same call.
struct RouteAttempts {
  // Claims whose owner did not answer or did not take the call.
  std::set<uint64_t> failed_claims;
  // Since the last pause.
  int relays = 0;
};

struct RouteChoice {
  enum class Action { kServeLocally, kOwner, kRelay, kWait };
  Step action = Step::kWait;
  PeerAddress peer;
};

// Where a call goes next.
//
// Load pattern: for some seconds the store, or another daemon, turns away a
// part of the daemons while callers go on reaching them. A daemon that does not
// know the owner, or does not reach it, passes the call to any other daemon,
// which knows or reaches more.
RouteChoice ChooseRoute(const RouteView& view, const RouteAttempts& attempts);

// What a caller is told of a job after several scopes that may hold it have
// been asked: `last` is the last answer, `unsure` that of a scope before it
// which could not tell.
CallerReply CombineScopeResponses(const std::optional<CallerReply>& uncertain,
                                  const CallerReply& last);

}  // namespace figflow

#endif  // FLEET_ROUTE_CHOICE_H_
