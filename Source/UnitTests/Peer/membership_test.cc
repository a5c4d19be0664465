#include "Peer/membership.h"

#include <algorithm>
#include <memory>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Peer/dial_schedule.h"
#include "Peer/link_registry.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Random = Membership::Random;

constexpr size_t kDaemons = 100;
constexpr int kRounds = 60;
constexpr size_t kFrameBytes = 8;
const MonoTime kStart = MonoTime() + std::chrono::hours(1);

PeerHint Hint(const std::string& entry, uint64_t incarnation) {
  return PeerHint{EntryId(entry), incarnation, DataCentreId("d"),
                  absl::StrCat(entry, ":1")};
}

DigestMessage Digest(const std::string& entry,
                     uint64_t incarnation,
                     uint64_t beat) {
  DigestMessage message;
  message.digest.entry = EntryId(entry);
  message.digest.incarnation = incarnation;
  message.digest.address = absl::StrCat(entry, ":1");
  message.beat = beat;
  return message;
}

struct IncarnationCase {
  const char* entry;
  uint64_t incarnation;
  HeardResult expected;
};

// Applied in order; the peer "b" is known with incarnation 5.
constexpr IncarnationCase kIncarnationCases[] = {
    {"b", 4, HeardResult::kStale},    {"b", 5, HeardResult::kKnown},
    {"b", 7, HeardResult::kReplaced}, {"b", 5, HeardResult::kStale},
    {"a", 10, HeardResult::kSelf},    {"a", 9, HeardResult::kStale},
    {"c", 1, HeardResult::kNew},
};

class MembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(OlderIncarnationNeverReplacesNewer);
  CPPUNIT_TEST(SilenceLeadsToSuspicionAndForgetting);
  CPPUNIT_TEST(OldBeatsReviveNobody);
  CPPUNIT_TEST(PartialDigestsKeepOtherPools);
  CPPUNIT_TEST(HundredDaemonsStayAliveWithinTheByteLimit);
  CPPUNIT_TEST(DialsBackOff);
  CPPUNIT_TEST(OneLinkIsKeptForEachPair);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a resumed or forgotten older process that takes the place
  // of its successor.
  void OlderIncarnationNeverReplacesNewer() {
    Membership members(EntryId("a"), 10, {});
    members.OnHello(Hint("b", 5), kStart);
    for (const IncarnationCase& c : kIncarnationCases) {
      const std::string name = absl::StrCat(c.entry, c.incarnation);
      CPPUNIT_ASSERT_MESSAGE(name, members.OnHello(Hint(c.entry, c.incarnation),
                                                   kStart) == c.expected);
    }
    CPPUNIT_ASSERT_EQUAL(uint64_t{7}, members.Find(EntryId("b"))->incarnation);
    CPPUNIT_ASSERT(!members.superseded());
    members.OnHint(Hint("a", 11), kStart);
    CPPUNIT_ASSERT(members.superseded());
    const MonoTime later = kStart + std::chrono::hours(1);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, members.Forget(later).size());
    CPPUNIT_ASSERT(members.OnHello(Hint("b", 6), later) == HeardResult::kStale);
  }

  // Guards against relays to a silent peer, and against peers known by hearsay
  // that count as alive.
  void SilenceLeadsToSuspicionAndForgetting() {
    Membership members(EntryId("a"), 1, {});
    Random random(1);
    members.OnHello(Hint("b", 1), kStart);
    members.OnHint(Hint("c", 1), kStart);
    CPPUNIT_ASSERT(!members.IsSuspect(EntryId("b"), kStart + seconds(5)));
    CPPUNIT_ASSERT(
        members.IsSuspect(EntryId("b"), kStart + milliseconds(5001)));
    CPPUNIT_ASSERT(members.IsSuspect(EntryId("c"), kStart));
    CPPUNIT_ASSERT(members.SuspectToProbe(kStart, random) == EntryId("c"));
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         members.GossipTargets(kStart, random).size());
    CPPUNIT_ASSERT(members.Forget(kStart + seconds(899)).empty());
    CPPUNIT_ASSERT_EQUAL(size_t{2},
                         members.Forget(kStart + seconds(901)).size());
    CPPUNIT_ASSERT(members.Views(kStart).empty());
  }

  // Guards against a dead peer kept alive by delayed second-hand news.
  void OldBeatsReviveNobody() {
    Membership sender(EntryId("s"), 1, {});
    Membership members(EntryId("a"), 1, {});
    Random random(1);
    sender.OnDigest(Digest("b", 1, 65535), kStart);
    members.OnDigest(Digest("b", 1, 65535), kStart);
    const std::string old = sender.PackBeats(kStart, random);
    // The beat wraps at 16 bits.
    sender.OnDigest(Digest("b", 1, 65536), kStart);
    const std::string fresh = sender.PackBeats(kStart, random);
    const MonoTime later = kStart + seconds(6);
    members.OnBeats(old, later);
    CPPUNIT_ASSERT(members.IsSuspect(EntryId("b"), later));
    members.OnBeats(fresh + "x", later);
    CPPUNIT_ASSERT(!members.IsSuspect(EntryId("b"), later));
  }

  // Guards against free slots that vanish when digests carry parts.
  void PartialDigestsKeepOtherPools() {
    Membership members(EntryId("a"), 1, {});
    DigestMessage message = Digest("b", 1, 1);
    message.digest.free_slots = {{PoolId("p"), 1}, {PoolId("q"), 2}};
    members.OnDigest(message, kStart);
    message.partial = true;
    message.digest.free_slots = {{PoolId("q"), 5}, {PoolId("r"), 1}};
    members.OnDigest(message, kStart);
    const auto& slots = members.Find(EntryId("b"))->free_slots;
    CPPUNIT_ASSERT_EQUAL(size_t{3}, slots.size());
    CPPUNIT_ASSERT_EQUAL(5, slots[1].second);
    message.partial = false;
    members.OnDigest(message, kStart);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, slots.size());
  }

  // Guards against more than 4 KB/s sent and received by a daemon with 100
  // daemons, and against false suspicion of more than one view in 10,000;
  // simulated without sockets.
  void HundredDaemonsStayAliveWithinTheByteLimit() {
    Random random(7);
    std::vector<std::unique_ptr<Membership>> daemons;
    const auto name = [](size_t i) { return absl::StrCat("entry-", i); };
    for (size_t i = 0; i < kDaemons; ++i) {
      daemons.push_back(std::make_unique<Membership>(
          EntryId(name(i)), 1764840000000, MembershipSettings()));
      for (size_t j = 0; j < kDaemons; ++j) {
        daemons[i]->OnHello(Hint(name(j), 1764840000000), kStart);
      }
    }
    size_t bytes = 0;
    size_t suspects = 0;
    size_t views = 0;
    for (int round = 1; round <= kRounds; ++round) {
      const MonoTime now = kStart + seconds(round);
      for (size_t i = 0; i < kDaemons; ++i) {
        DigestMessage message = Digest(name(i), 1764840000000, round);
        for (int pool = 0; pool < 5; ++pool) {
          message.digest.free_slots.emplace_back(
              PoolId(absl::StrCat("pool-", pool)), 64);
        }
        message.beats = daemons[i]->PackBeats(now, random);
        message.peers = daemons[i]->Hints(1, now, random);
        const size_t size = FormatPeerMessage(message)->size() + kFrameBytes;
        for (const EntryId& to : daemons[i]->GossipTargets(now, random)) {
          const size_t j = std::stoul(to.value().substr(6));
          daemons[j]->OnDigest(message, now);
          daemons[j]->OnBeats(message.beats, now);
          bytes += 2 * size;
        }
      }
      for (const auto& daemon : daemons) {
        for (const auto& [entry, view] : daemon->Views(now)) {
          suspects += view.suspect ? 1 : 0;
          ++views;
        }
      }
    }
    const size_t rate = bytes / kDaemons / kRounds;
    CPPUNIT_ASSERT_MESSAGE(
        absl::StrCat(rate, " bytes per second, ", suspects, " suspicions"),
        rate < 4000 && suspects * 10'000 < views);
  }

  // Guards against daemons that dial a dead peer all the time or in step.
  void DialsBackOff() {
    DialSchedule dials;
    Random random(1);
    MonoTime now = kStart;
    milliseconds last{0};
    for (int i = 0; i < 10; ++i) {
      CPPUNIT_ASSERT(dials.Begin("x:1", now));
      CPPUNIT_ASSERT(!dials.Begin("x:1", now + std::chrono::hours(1)));
      dials.OnEnded("x:1", false, now, random);
      milliseconds pause{0};
      // Begin has no effect before the pause is over.
      while (!DialSchedule(dials).Begin("x:1", now + pause)) {
        pause += milliseconds(1);
      }
      CPPUNIT_ASSERT(pause >= milliseconds(200) && pause <= seconds(7));
      CPPUNIT_ASSERT(i < 1 || pause >= last / 2);
      last = pause;
      now += pause;
    }
    CPPUNIT_ASSERT(last >= milliseconds(3200));
    CPPUNIT_ASSERT(dials.Begin("x:1", now));
    dials.OnEnded("x:1", true, now, random);
    CPPUNIT_ASSERT(dials.Begin("x:1", now + milliseconds(200)));
    dials.Exclude("y:1");
    CPPUNIT_ASSERT(!dials.Begin("y:1", now));
  }

  // Guards against daemons that keep different links after dialling each other
  // at the same time, or that use a link to an ended process.
  void OneLinkIsKeptForEachPair() {
    for (const bool own_first : {true, false}) {
      LinkRegistry low(EntryId("a"));
      LinkRegistry high(EntryId("b"));
      // Link 1 is dialled by "a", link 2 by "b".
      low.Open(1, "b:1", kStart);
      low.Open(2, "", kStart);
      high.Open(1, "", kStart);
      high.Open(2, "a:1", kStart);
      for (const LinkId link :
           own_first ? std::vector<LinkId>{1, 2} : std::vector<LinkId>{2, 1}) {
        CPPUNIT_ASSERT(low.OnHello(link, Hint("b", 1), kStart).empty());
        CPPUNIT_ASSERT(high.OnHello(link, Hint("a", 1), kStart).empty());
      }
      CPPUNIT_ASSERT_EQUAL(LinkId{1}, low.LinkTo(EntryId("b")));
      CPPUNIT_ASSERT_EQUAL(LinkId{1}, high.LinkTo(EntryId("a")));
      high.Open(3, "", kStart);
      CPPUNIT_ASSERT_EQUAL(size_t{2},
                           high.OnHello(3, Hint("a", 2), kStart).size());
      CPPUNIT_ASSERT_EQUAL(LinkId{3}, high.LinkTo(EntryId("a")));
      high.Close(3);
      CPPUNIT_ASSERT_EQUAL(LinkId{0}, high.LinkTo(EntryId("a")));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

}  // namespace
}  // namespace figflow
