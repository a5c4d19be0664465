#ifndef OWNERSHIP_CLAIM_POLICY_H_
#define OWNERSHIP_CLAIM_POLICY_H_

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "Common/clock.h"

namespace figflow {

// Decides when this daemon claims a scope that has no owner.
//
// All daemons see at the same moment that an owner's key is gone. Each waits a
// little, longer the more it owns already, so that scopes spread over the
// daemons and claims seldom collide; a daemon that has just failed as owner of
// the scope waits so long that others go first.
class ClaimPolicy {
 public:
  // `entry` makes the waits of daemons differ.
  explicit ClaimPolicy(std::string entry);

  // The scope has no owner since `now`, as far as is known here.
  void OnVacant(const std::string& scope, int owned, MonoTime now);
  void OnOwned(const std::string& scope);
  // A claim did not succeed, or this daemon gave the scope up.
  void OnFailed(const std::string& scope, MonoTime now);

  // When to claim; none while the scope has an owner.
  std::optional<MonoTime> ClaimAt(const std::string& scope) const;

 private:
  const std::string entry_;
  std::map<std::string, MonoTime> claim_at_;
  std::map<std::string, MonoTime> not_before_;
};

}  // namespace figflow

#endif  // OWNERSHIP_CLAIM_POLICY_H_
