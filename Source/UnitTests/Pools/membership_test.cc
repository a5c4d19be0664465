#include "Pools/membership.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "Pools/pools_test_support.h"
#include "Pools/slot_shares.h"

namespace figflow::test {
namespace {

std::vector<EntryMember> Members(int count) {
  std::vector<EntryMember> members;
  members.reserve(count);
  for (int i = 0; i < count; ++i) {
    members.push_back({EntryId(absl::StrCat("e", i)), 1, 0, {}});
  }
  return members;
}

struct SettledCase {
  const char* name;
  // State of the second member, which is in the previous epoch and, if
  // `in_current` is set, also in the current one.
  MemberState state;
  bool in_current;
  bool confirmed;
  std::chrono::milliseconds since_seen;
  bool settled;
};

constexpr SettledCase kSettledCases[] = {
    {"confirmed by all", MemberState::kActive, true, true, 0ms, true},
    {"one has not confirmed", MemberState::kActive, true, false, 5s, false},
    {"released unconfirmed", MemberState::kReleased, true, false, 0ms, true},
    {"gone, confirmed before", MemberState::kGone, true, true, 0ms, true},
    {"gone, not confirmed", MemberState::kGone, true, false, 999ms, false},
    {"gone, requests ended", MemberState::kGone, true, false, 1s, true},
    {"left out, gone", MemberState::kGone, false, false, 999ms, false},
    {"left out, replaced", MemberState::kReplaced, false, true, 0ms, false},
    {"left out, requests ended", MemberState::kRemovedByOperator, false, false,
     1s, true},
    {"left out, released", MemberState::kReleased, false, false, 0ms, true},
};

class MembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(SharesAddUpAndRotate);
  CPPUNIT_TEST(EpochSettlesOnlyWhenOldSharesAreOutOfUse);
  CPPUNIT_TEST(JoinReplacesOlderIncarnationsOnly);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against slots that belong to no member or to two, and against a
  // member that receives no remainder at any target.
  void SharesAddUpAndRotate() {
    for (const int count : {1, 2, 3, 7}) {
      const std::vector<EntryMember> members = Members(count);
      std::set<EntryId> favoured;
      for (int target = 0; target < 60; ++target) {
        for (const int slots : {0, 1, 8, 64}) {
          const InstanceId id(absl::StrCat("w", target));
          int sum = 0;
          for (const EntryMember& member : members) {
            const int share = ShareOf(members, member.id, 1, id, slots);
            sum += share;
            CPPUNIT_ASSERT(share >= slots / count &&
                           share <= slots / count + 1);
            if (share > slots / count) {
              favoured.insert(member.id);
            }
            CPPUNIT_ASSERT_EQUAL(0, ShareOf(members, member.id, 2, id, slots));
          }
          CPPUNIT_ASSERT_EQUAL(slots, sum);
        }
      }
      CPPUNIT_ASSERT_EQUAL(count == 1 ? size_t{0} : members.size(),
                           favoured.size());
    }
  }

  // Guards against using slots that a slow or removed member may still use.
  void EpochSettlesOnlyWhenOldSharesAreOutOfUse() {
    for (const SettledCase& c : kSettledCases) {
      EntryMembership entries{2, "id", Members(2), Members(2), {}};
      entries.previous[1].state = c.in_current ? MemberState::kActive : c.state;
      entries.current[1].state = c.state;
      if (!c.in_current) {
        entries.current.pop_back();
      }
      Confirmations confirmations;
      confirmations[EntryId("e0")] = {EntryId("e0"), 1, "id", {}};
      // A confirmation of another epoch or incarnation must not count.
      confirmations[EntryId("e1")] = {
          EntryId("e1"), c.confirmed ? 1U : 2U, "id", {}};
      RemovalTracker waits(kBound);
      const MonoTime seen{10s};
      waits.Observe(entries, seen);
      waits.Observe(entries, seen + c.since_seen);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          c.name, c.settled,
          IsSettled(entries, confirmations, waits, seen + c.since_seen));
      confirmations[EntryId("e0")].epoch_id = "other";
      CPPUNIT_ASSERT_MESSAGE(
          c.name, !IsSettled(entries, confirmations, waits, seen + 9s));
    }
  }

  // Guards against a suspended process that resumes and replaces its successor,
  // and against a removed incarnation that joins again.
  void JoinReplacesOlderIncarnationsOnly() {
    EntryMembership entries;
    CPPUNIT_ASSERT(RequestJoin(entries, EntryId("e"), 5, 0).value());
    CPPUNIT_ASSERT(!RequestJoin(entries, EntryId("e"), 5, 0).value());
    CPPUNIT_ASSERT(AdvanceEpoch(entries, "1"));
    CPPUNIT_ASSERT(!AdvanceEpoch(entries, "2"));
    CPPUNIT_ASSERT(!RequestJoin(entries, EntryId("e"), 4, 0).has_value());
    CPPUNIT_ASSERT(RequestJoin(entries, EntryId("e"), 6, 0).value());
    CPPUNIT_ASSERT(!RequestJoin(entries, EntryId("e"), 5, 0).has_value());
    CPPUNIT_ASSERT(entries.current[0].state == MemberState::kReplaced);
    CPPUNIT_ASSERT(AdvanceEpoch(entries, "3"));
    CPPUNIT_ASSERT_EQUAL(uint64_t{6}, entries.current.at(0).incarnation);
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, entries.epoch);
    CPPUNIT_ASSERT(Remove(entries, EntryId("e"), 6, MemberState::kReleased));
    CPPUNIT_ASSERT(!Remove(entries, EntryId("e"), 6, MemberState::kGone));
    CPPUNIT_ASSERT(!RequestJoin(entries, EntryId("e"), 6, 0).has_value());
    CPPUNIT_ASSERT_EQUAL(
        0, UsableShare(entries, EntryId("e"), 6, true, InstanceId("w"), 8));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

}  // namespace
}  // namespace figflow::test
