#include "Ownership/claim_policy.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include <xxhash.h>

#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

// Other daemons have claimed by then.
constexpr std::chrono::milliseconds kAfterGivenUp{1'500};
// A claim that was rejected because of another owner is over when its key is
// known here; a store that turns this daemon away is not asked in a loop.
constexpr std::chrono::milliseconds kAfterRejected{150};
// Parts of one pool peak together, so each part owned already counts as this
// many further scopes.
constexpr int kSiblingCounts = 2;

std::string PoolOf(const std::string& scope) {
  return scope.substr(0, scope.find('/'));
}

// Scopes of a member after it has claimed another one of `pool`.
int LoadAfterClaim(const std::multiset<std::string>& owned_pools,
                   const std::string& pool) {
  return static_cast<int>(owned_pools.size()) + 1 +
         kSiblingCounts * static_cast<int>(owned_pools.count(pool));
}

}  // namespace

ClaimPolicy::ClaimPolicy(std::string entry) : entry_(std::move(entry)) {}

std::vector<std::string> ClaimPolicy::Ranking(
    const ClaimView& view,
    const std::map<std::string, std::multiset<std::string>>& owned,
    const std::string& scope,
    MonoTime now) const {
  const auto last_owner = last_owner_.find(scope);
  const bool last_owner_waits = last_owner != last_owner_.end() &&
                                now < vacant_since_.at(scope) + kAfterGivenUp;
  const std::string pool = PoolOf(scope);
  // Waits, load per core, hash, entry.
  using Place = std::tuple<bool, double, uint64_t, std::string>;
  std::vector<Place> places;
  for (const auto& [entry, millicores] : view.members) {
    const auto pools = owned.find(entry);
    const int load =
        pools == owned.end() ? 1 : LoadAfterClaim(pools->second, pool);
    const std::string text = absl::StrCat(entry, " ", scope);
    places.emplace_back(
        last_owner_waits && last_owner->second == entry,
        static_cast<double>(load) /
            static_cast<double>(std::max<int64_t>(millicores, 1)),
        XXH64(text.data(), text.size(), 0), entry);
  }
  std::sort(places.begin(), places.end());
  std::vector<std::string> ranking;
  ranking.reserve(places.size());
  for (Place& place : places) {
    ranking.push_back(std::move(std::get<std::string>(place)));
  }
  return ranking;
}

void ClaimPolicy::OnOwned(const std::string& scope, const std::string& owner) {
  last_owner_[scope] = owner;
  vacant_since_.erase(scope);
}

std::vector<ClaimDecision> ClaimPolicy::Decide(const ClaimView& view,
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
    const std::vector<std::string> ranking = Ranking(view, owned, scope, now);
    ClaimDecision decision;
    decision.scope = scope;
    decision.rank = static_cast<int>(
        std::find(ranking.begin(), ranking.end(), entry_) - ranking.begin());
    decision.load = LoadAfterClaim(owned[entry_], PoolOf(scope));
    decision.millicores = listed ? self->second : 0;
    if (listed && !view.resting) {
      const bool waits = view.starting || decision.rank > 0;
      decision.at = (waits ? std::max(since, view.members_settle) : since) +
                    std::min(kStep * decision.rank, kLongestWait);
    } else {
      decision.at = since + kLongestWait;
    }
    const auto pause = not_before_.find(scope);
    if (pause != not_before_.end()) {
      decision.at = std::max(decision.at, pause->second);
    }
    decisions.push_back(std::move(decision));
    // The next vacant scopes are ranked as if the first member had this one.
    if (!ranking.empty()) {
      owned[ranking.front()].insert(PoolOf(scope));
    }
  }
  return decisions;
}

void ClaimPolicy::OnRejected(const std::string& scope, MonoTime now) {
  MonoTime& pause = not_before_[scope];
  pause = std::max(pause, now + kAfterRejected);
}

void ClaimPolicy::OnGivenUp(const std::string& scope, MonoTime now) {
  not_before_[scope] = now + kAfterGivenUp;
}

}  // namespace figflow
