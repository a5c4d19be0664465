#include "Ownership/claim_policy.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace figflow {
namespace {

// Longer than the spread of the times at which daemons see a key vanish.
constexpr std::chrono::milliseconds kSpread{60};
// For each scope owned already. Longer than a claim takes, so that a daemon
// with fewer scopes has claimed before one with more tries.
constexpr std::chrono::milliseconds kPerOwned{80};
// Other daemons have claimed by then.
constexpr std::chrono::milliseconds kAfterFailure{1'500};

}  // namespace

ClaimPolicy::ClaimPolicy(std::string entry) : entry_(std::move(entry)) {}

void ClaimPolicy::OnVacant(const std::string& scope, int owned, MonoTime now) {
  if (claim_at_.count(scope) > 0) {
    return;
  }
  const std::string text = entry_ + "/" + scope;
  const uint64_t hash = XXH64(text.data(), text.size(), 0);
  const auto share = std::chrono::milliseconds(
      static_cast<int64_t>(hash % static_cast<uint64_t>(kSpread.count())));
  MonoTime at = now + share + kPerOwned * owned;
  const auto pause = not_before_.find(scope);
  if (pause != not_before_.end()) {
    at = std::max(at, pause->second);
  }
  claim_at_[scope] = at;
}

void ClaimPolicy::OnOwned(const std::string& scope) {
  claim_at_.erase(scope);
}

void ClaimPolicy::OnFailed(const std::string& scope, MonoTime now) {
  claim_at_.erase(scope);
  not_before_[scope] = now + kAfterFailure;
}

std::optional<MonoTime> ClaimPolicy::ClaimAt(const std::string& scope) const {
  const auto at = claim_at_.find(scope);
  if (at == claim_at_.end()) {
    return std::nullopt;
  }
  return at->second;
}

}  // namespace figflow
