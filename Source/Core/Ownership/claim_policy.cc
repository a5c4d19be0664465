#include "Ownership/claim_policy.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include <xxhash.h>

#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

// Delay after a release; by then other daemons have claimed the scope.
constexpr std::chrono::milliseconds kReleaseBackoff{1'500};
// Delay after a rejected claim. If another daemon owns the scope, its key
// arrives within this time; if the store rejects this daemon, the delay limits
// the rate of requests.
constexpr std::chrono::milliseconds kRejectionBackoff{150};
// The partitions of a pool reach their peak loads together, so each owned
// partition of the same pool counts as this many additional scopes.
constexpr int kSiblingPartitionWeight = 2;

std::string PoolOf(const std::string& scope) {
  return scope.substr(0, scope.find('/'));
}

// Returns the load of a member after it has claimed another scope of `pool`.
int LoadAfterClaim(const std::multiset<std::string>& owned_pools,
                   const std::string& pool) {
  return static_cast<int>(owned_pools.size()) + 1 +
         kSiblingPartitionWeight * static_cast<int>(owned_pools.count(pool));
}

}  // namespace

ClaimPolicy::ClaimPolicy(std::string entry) : entry_(std::move(entry)) {}

std::vector<std::string> ClaimPolicy::RankMembers(
    const ClaimView& view,
    const std::map<std::string, std::multiset<std::string>>& owned,
    const std::string& scope,
    MonoTime now) const {
  const auto last_owner = last_owner_.find(scope);
  const bool last_owner_backs_off =
      last_owner != last_owner_.end() &&
      now < vacant_since_.at(scope) + kReleaseBackoff;
  const std::string pool = PoolOf(scope);
  // Backs off, load per core, hash, entry.
  using RankKey = std::tuple<bool, double, uint64_t, std::string>;
  std::vector<RankKey> rank_keys;
  for (const auto& [entry, millicores] : view.members) {
    const auto pools = owned.find(entry);
    const int load =
        pools == owned.end() ? 1 : LoadAfterClaim(pools->second, pool);
    const std::string text = absl::StrCat(entry, " ", scope);
    rank_keys.emplace_back(
        last_owner_backs_off && last_owner->second == entry,
        static_cast<double>(load) /
            static_cast<double>(std::max<int64_t>(millicores, 1)),
        XXH64(text.data(), text.size(), 0), entry);
  }
  std::sort(rank_keys.begin(), rank_keys.end());
  std::vector<std::string> ranking;
  ranking.reserve(rank_keys.size());
  for (RankKey& rank_key : rank_keys) {
    ranking.push_back(std::move(std::get<std::string>(rank_key)));
  }
  return ranking;
}

void ClaimPolicy::OnOwned(const std::string& scope, const std::string& owner) {
  last_owner_[scope] = owner;
  vacant_since_.erase(scope);
}

std::vector<ClaimDecision> ClaimPolicy::DecideClaims(const ClaimView& view,
                                                     MonoTime now) {
  std::map<std::string, std::multiset<std::string>> owned;
  for (const auto& [scope, entry] : view.owners) {
    owned[entry].insert(PoolOf(scope));
  }
  const auto self = view.members.find(entry_);
  const bool listed = self != view.members.end();
  std::vector<ClaimDecision> decisions;
  for (const std::string& scope : view.vacant) {
    const MonoTime since = vacant_since_.emplace(scope, now).first->second;
    const std::vector<std::string> ranking =
        RankMembers(view, owned, scope, now);
    ClaimDecision decision;
    decision.scope = scope;
    decision.rank = static_cast<int>(
        std::find(ranking.begin(), ranking.end(), entry_) - ranking.begin());
    decision.load = LoadAfterClaim(owned[entry_], PoolOf(scope));
    decision.millicores = listed ? self->second : 0;
    if (listed && !view.yielding) {
      const bool waits_for_members = view.starting || decision.rank > 0;
      decision.claim_at =
          (waits_for_members ? std::max(since, view.members_settled_at)
                             : since) +
          std::min(kRankDelay * decision.rank, kMaxWait);
    } else {
      decision.claim_at = since + kMaxWait;
    }
    const auto backoff = not_before_.find(scope);
    if (backoff != not_before_.end()) {
      decision.claim_at = std::max(decision.claim_at, backoff->second);
    }
    decisions.push_back(std::move(decision));
    // Ranks the next vacant scopes as if the first member had claimed this one.
    if (!ranking.empty()) {
      owned[ranking.front()].insert(PoolOf(scope));
    }
  }
  return decisions;
}

void ClaimPolicy::OnClaimRejected(const std::string& scope, MonoTime now) {
  MonoTime& backoff = not_before_[scope];
  backoff = std::max(backoff, now + kRejectionBackoff);
}

void ClaimPolicy::OnReleased(const std::string& scope, MonoTime now) {
  not_before_[scope] = now + kReleaseBackoff;
}

}  // namespace figflow
