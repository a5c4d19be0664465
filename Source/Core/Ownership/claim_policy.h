#ifndef OWNERSHIP_CLAIM_POLICY_H_
#define OWNERSHIP_CLAIM_POLICY_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Common/clock.h"

namespace figflow {

// What a daemon knows when it decides on claims.
struct ClaimView {
  // Processor share of each daemon by entry, in thousandths of a core.
  std::map<std::string, int64_t> members;
  // The owner of each scope that has one, claims under way here included.
  std::map<std::string, std::string> owners;
  std::set<std::string> vacant;
  // This daemon has given way and lets others go first.
  bool yielding = false;
  // Members may be missing until then: only the first in rank claims before.
  MonoTime members_settled_at = MonoTime::min();
  // Nothing was known of the members before: the first waits as well.
  bool starting = false;
};

struct ClaimDecision {
  std::string scope;
  MonoTime claim_at;
  // Place of this daemon among the members; 0 claims at once.
  int rank = 0;
  // Scopes that count for the rank, the claimed one included.
  int load = 0;
  // 0 if this daemon is not among the members.
  int64_t millicores = 0;
};

// Decides when this daemon claims scopes that have no owner.
//
// Load pattern: some daemons have a multiple of the processor share of others,
// and several scopes lose their owner at once. All daemons see that at nearly
// the same moment and compute the same ranking: the one with the lowest load
// after the claim comes first. Each waits for those before it, so that claims
// seldom collide and the next one follows soon if the first is lost.
class ClaimPolicy {
 public:
  static constexpr std::chrono::milliseconds kRankDelay{80};
  static constexpr std::chrono::milliseconds kMaxWait{800};

  // `entry` is this daemon.
  explicit ClaimPolicy(std::string entry);

  // `owner` holds the scope now.
  void OnOwned(const std::string& scope, const std::string& owner);
  // One decision for each vacant scope.
  std::vector<ClaimDecision> DecideClaims(const ClaimView& view, MonoTime now);
  // A claim was rejected or got no answer.
  void OnClaimRejected(const std::string& scope, MonoTime now);
  // This daemon has lost the scope or given it up.
  void OnReleased(const std::string& scope, MonoTime now);

 private:
  // Members in the order in which they claim `scope`, best first. `owned`
  // holds the scopes of each member, by the pool of each.
  std::vector<std::string> RankMembers(
      const ClaimView& view,
      const std::map<std::string, std::multiset<std::string>>& owned,
      const std::string& scope,
      MonoTime now) const;

  const std::string entry_;
  std::map<std::string, MonoTime> vacant_since_;
  // The owner of each scope, the last one of vacant scopes.
  std::map<std::string, std::string> last_owner_;
  std::map<std::string, MonoTime> not_before_;
};

}  // namespace figflow

#endif  // OWNERSHIP_CLAIM_POLICY_H_
