// Tests which daemon claims which vacant scope, and when.
#include "Ownership/claim_policy.h"

#include <map>
#include <set>
#include <string>
#include <vector>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const MonoTime kNow = MonoTime(std::chrono::hours(1));

using Owners = std::map<std::string, std::string>;

// Returns two daemons with half a core and six with an eighth.
ClaimView SmallFleet(std::set<std::string> vacant, Owners owners = {}) {
  ClaimView view;
  view.members = {{"l1", 500}, {"l2", 500}, {"s1", 120}, {"s2", 120},
                  {"s3", 120}, {"s4", 120}, {"s5", 120}, {"s6", 120}};
  view.vacant = std::move(vacant);
  view.owners = std::move(owners);
  return view;
}

// Returns the scopes that each daemon claims without delay.
std::map<std::string, std::vector<std::string>> ClaimedAtOnce(
    const ClaimView& view) {
  std::map<std::string, std::vector<std::string>> claimed;
  for (const auto& [entry, millicores] : view.members) {
    ClaimPolicy policy(entry);
    for (const ClaimDecision& decision : policy.DecideClaims(view, kNow)) {
      if (decision.claim_at <= kNow) {
        claimed[entry].push_back(decision.scope);
      }
    }
  }
  return claimed;
}

milliseconds WaitOf(ClaimPolicy& policy, const ClaimView& view) {
  return std::chrono::duration_cast<milliseconds>(
      policy.DecideClaims(view, kNow).front().claim_at - kNow);
}

struct RankCase {
  const char* name;
  Owners owners;
  const char* scope;
  // The entries one of which has to claim first.
  std::set<std::string> first;
};

class ClaimPolicyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClaimPolicyTest);
  CPPUNIT_TEST(LowestLoadClaimsFirst);
  CPPUNIT_TEST(VacantScopesAreDistributed);
  CPPUNIT_TEST(LowerRanksClaimAfterDelay);
  CPPUNIT_TEST(WaitIsBounded);
  CPPUNIT_TEST(UnlistedDaemonClaimsAfterMaxWait);
  CPPUNIT_TEST(YieldingDaemonClaimsLast);
  CPPUNIT_TEST(LastOwnerIsRankedLast);
  CPPUNIT_TEST(FailedClaimsAreDelayed);
  CPPUNIT_TEST(UnsettledMembersDelayClaims);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against pools on daemons whose processor share is too small for
  // them.
  void LowestLoadClaimsFirst() {
    const RankCase cases[] = {
        {"nothing owned", {}, "p", {"l1", "l2"}},
        {"one large owns", {{"a", "l1"}}, "p", {"l2"}},
        {"both own", {{"a", "l1"}, {"b", "l2"}}, "p", {"l1", "l2"}},
        {"two and one", {{"a", "l1"}, {"b", "l2"}, {"c", "l2"}}, "p", {"l1"}},
        // 4 / 500 is less than 1 / 120, 5 / 500 is more.
        {"three each",
         {{"a", "l1"},
          {"b", "l1"},
          {"c", "l1"},
          {"d", "l2"},
          {"e", "l2"},
          {"f", "l2"}},
         "p",
         {"l1", "l2"}},
        {"four each",
         {{"a", "l1"},
          {"b", "l1"},
          {"c", "l1"},
          {"d", "l1"},
          {"e", "l2"},
          {"f", "l2"},
          {"g", "l2"},
          {"h", "l2"}},
         "p",
         {"s1", "s2", "s3", "s4", "s5", "s6"}},
        {"another partition of the pool", {{"p/0", "l1"}}, "p/1", {"l2"}},
        {"partition of the pool against one more scope",
         {{"p/0", "l1"}, {"a", "l2"}, {"b", "l2"}},
         "p/1",
         {"l2"}},
        {"partition of the pool against one scope",
         {{"p/0", "l1"}, {"a", "l2"}},
         "p/1",
         {"l2"}},
        {"a large daemon with a partition before a small one",
         {{"p/0", "l1"}, {"p/1", "l2"}},
         "p/2",
         {"l1", "l2"}},
        {"the name of another pool begins alike",
         {{"p/0", "l2"}, {"a", "l1"}, {"b", "l1"}},
         "p1",
         {"l2"}},
    };
    for (const RankCase& c : cases) {
      const auto claimed = ClaimedAtOnce(SmallFleet({c.scope}, c.owners));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, size_t{1}, claimed.size());
      CPPUNIT_ASSERT_MESSAGE(absl::StrCat(c.name, ": ", claimed.begin()->first),
                             c.first.count(claimed.begin()->first) > 0);
    }
  }

  // Guards against one daemon that claims all scopes when the fleet starts or
  // an owner is lost.
  void VacantScopesAreDistributed() {
    auto claimed = ClaimedAtOnce(SmallFleet({"a", "b", "c", "d"}));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, claimed.size());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, claimed["l1"].size());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, claimed["l2"].size());
    claimed = ClaimedAtOnce(SmallFleet({"a/0", "a/1", "b/0", "b/1"}));
    for (const char* entry : {"l1", "l2"}) {
      CPPUNIT_ASSERT_EQUAL(size_t{2}, claimed[entry].size());
      CPPUNIT_ASSERT_EQUAL('a', claimed[entry][0][0]);
      CPPUNIT_ASSERT_EQUAL('b', claimed[entry][1][0]);
    }
    // Equal daemons claim one scope each.
    ClaimView equal;
    for (int i = 0; i < 6; ++i) {
      equal.members[absl::StrCat("d", i)] = 1'000;
      equal.vacant.insert(absl::StrCat("p", i));
    }
    CPPUNIT_ASSERT_EQUAL(size_t{6}, ClaimedAtOnce(equal).size());
  }

  void LowerRanksClaimAfterDelay() {
    const ClaimView view = SmallFleet({"p"}, {{"a", "l1"}, {"b", "s1"}});
    std::map<int, int> entries_by_rank;
    for (const auto& [entry, millicores] : view.members) {
      ClaimPolicy policy(entry);
      const ClaimDecision decision = policy.DecideClaims(view, kNow).front();
      ++entries_by_rank[decision.rank];
      CPPUNIT_ASSERT(decision.claim_at ==
                     kNow + ClaimPolicy::kRankDelay * decision.rank);
      CPPUNIT_ASSERT_EQUAL(millicores, decision.millicores);
      CPPUNIT_ASSERT_EQUAL(entry == "l1" || entry == "s1" ? 2 : 1,
                           decision.load);
      CPPUNIT_ASSERT(entry != "l2" || decision.rank == 0);
      CPPUNIT_ASSERT(entry != "l1" || decision.rank == 1);
      CPPUNIT_ASSERT(entry != "s1" || decision.rank == 7);
      // The delay counts from when the scope was first observed without an
      // owner.
      CPPUNIT_ASSERT(
          policy.DecideClaims(view, kNow + seconds(1)).front().claim_at ==
          decision.claim_at);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{8}, entries_by_rank.size());
  }

  // Guards against scopes that remain unclaimed when most members are lost.
  void WaitIsBounded() {
    ClaimView view;
    view.vacant = {"p"};
    for (int i = 0; i < 100; ++i) {
      view.members[absl::StrCat("d", i)] = 1'000 + i;
    }
    ClaimPolicy last("d0");
    CPPUNIT_ASSERT_EQUAL(99, last.DecideClaims(view, kNow).front().rank);
    CPPUNIT_ASSERT(WaitOf(last, view) == ClaimPolicy::kMaxWait);
  }

  // Guards against a fleet without owners while no member record can be
  // written.
  void UnlistedDaemonClaimsAfterMaxWait() {
    ClaimPolicy policy("new");
    CPPUNIT_ASSERT(WaitOf(policy, SmallFleet({"p"})) == ClaimPolicy::kMaxWait);
    ClaimView empty;
    empty.vacant = {"q"};
    CPPUNIT_ASSERT(WaitOf(policy, empty) == ClaimPolicy::kMaxWait);
  }

  void YieldingDaemonClaimsLast() {
    ClaimView view = SmallFleet({"p"}, {{"a", "l1"}});
    view.yielding = true;
    ClaimPolicy policy("l2");
    CPPUNIT_ASSERT(WaitOf(policy, view) == ClaimPolicy::kMaxWait);
  }

  // Guards against a hand-over that waits for the daemon that released the
  // scope.
  void LastOwnerIsRankedLast() {
    const ClaimView view = SmallFleet({"p"}, {{"a", "l2"}});
    ClaimPolicy other("l2");
    other.OnOwned("p", "l1");
    CPPUNIT_ASSERT_EQUAL(0, other.DecideClaims(view, kNow).front().rank);
    ClaimPolicy small("s1");
    small.OnOwned("p", "l1");
    const int rank = small.DecideClaims(view, kNow).front().rank;
    // By then all other members have had time to claim.
    CPPUNIT_ASSERT_EQUAL(
        rank + 1, small.DecideClaims(view, kNow + seconds(2)).front().rank);
    // The only member claims again.
    ClaimView alone;
    alone.members = {{"l1", 500}};
    alone.vacant = {"p"};
    ClaimPolicy last("l1");
    last.OnOwned("p", "l1");
    CPPUNIT_ASSERT_EQUAL(0, last.DecideClaims(alone, kNow).front().rank);
  }

  void FailedClaimsAreDelayed() {
    const ClaimView view = SmallFleet({"p"}, {{"a", "l1"}});
    ClaimPolicy policy("l2");
    policy.OnClaimRejected("p", kNow);
    CPPUNIT_ASSERT(WaitOf(policy, view) >= milliseconds(100));
    CPPUNIT_ASSERT(WaitOf(policy, view) <= milliseconds(300));
    policy.OnReleased("p", kNow);
    CPPUNIT_ASSERT(WaitOf(policy, view) >= seconds(1));
    // A later rejection does not shorten the delay.
    policy.OnClaimRejected("p", kNow);
    CPPUNIT_ASSERT(WaitOf(policy, view) >= seconds(1));
  }

  // Guards against the first daemon of a starting fleet, which has no other
  // members in its list and would claim all scopes.
  void UnsettledMembersDelayClaims() {
    ClaimView view;
    view.members = {{"s1", 120}};
    view.vacant = {"p"};
    view.members_settled_at = kNow + milliseconds(300);
    view.starting = true;
    ClaimPolicy policy("s1");
    CPPUNIT_ASSERT(WaitOf(policy, view) == milliseconds(300));
    view.members["l1"] = 500;
    CPPUNIT_ASSERT(WaitOf(policy, view) ==
                   milliseconds(300) + ClaimPolicy::kRankDelay);
    // After an outage the first of the known members need not wait.
    view.starting = false;
    CPPUNIT_ASSERT(WaitOf(policy, view) ==
                   milliseconds(300) + ClaimPolicy::kRankDelay);
    ClaimPolicy large("l1");
    CPPUNIT_ASSERT(WaitOf(large, view) == milliseconds(0));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimPolicyTest);

}  // namespace
}  // namespace figflow
