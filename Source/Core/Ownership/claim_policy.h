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

// The state of the fleet on which a daemon bases its claim decisions.
struct ClaimView {
  // Processor share of each daemon by entry, in thousandths of a core.
  std::map<std::string, int64_t> members;
  // The owner of each owned scope, including scopes that this daemon is
  // claiming.
  std::map<std::string, std::string> owners;
  std::set<std::string> vacant;
  // True while this daemon yields: it claims only after the other daemons have
  // had time to claim.
  bool yielding = false;
  // The member list may be incomplete until this time. Before it, only the
  // member that ranks first claims.
  MonoTime members_settled_at = MonoTime::min();
  // True if no other member was known before. The member that ranks first then
  // also waits for `members_settled_at`.
  bool starting = false;
};

struct ClaimDecision {
  std::string scope;
  MonoTime claim_at;
  // Rank of this daemon among the members; 0 claims without delay.
  int rank = 0;
  // Load of this daemon after the claim, in scopes, as used for the ranking.
  int load = 0;
  // Processor share of this daemon; 0 if it is not among the members.
  int64_t millicores = 0;
};

// Decides when this daemon claims scopes that have no owner.
//
// All daemons observe a vacant scope at nearly the same time and compute the
// same ranking: the daemon with the lowest load per core after the claim ranks
// first. Each daemon waits for those that rank before it, so that claims seldom
// conflict and the next daemon follows soon if the first one is lost. The load
// is weighed by processor share because some daemons have a multiple of the
// share of others, and several scopes can lose their owner at once.
class ClaimPolicy {
 public:
  static constexpr std::chrono::milliseconds kRankDelay{80};
  static constexpr std::chrono::milliseconds kMaxWait{800};

  // `entry` is the entry of this daemon.
  explicit ClaimPolicy(std::string entry);

  // Records that `owner` owns the scope.
  void OnOwned(const std::string& scope, const std::string& owner);
  // Returns one decision for each vacant scope.
  std::vector<ClaimDecision> DecideClaims(const ClaimView& view, MonoTime now);
  // Records that a claim was rejected or received no response.
  void OnClaimRejected(const std::string& scope, MonoTime now);
  // Records that this daemon lost or released the scope.
  void OnReleased(const std::string& scope, MonoTime now);

 private:
  // Returns the members in the sequence in which they claim `scope`. `owned`
  // holds the pools of the scopes that each member owns.
  std::vector<std::string> RankMembers(
      const ClaimView& view,
      const std::map<std::string, std::multiset<std::string>>& owned,
      const std::string& scope,
      MonoTime now) const;

  const std::string entry_;
  std::map<std::string, MonoTime> vacant_since_;
  // The current owner of each scope, or the last owner of a vacant scope.
  std::map<std::string, std::string> last_owner_;
  std::map<std::string, MonoTime> not_before_;
};

}  // namespace figflow

#endif  // OWNERSHIP_CLAIM_POLICY_H_
