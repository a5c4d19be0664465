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

PeerEndpoint MakeEndpoint(const std::string& entry, uint64_t incarnation) {
  return PeerEndpoint{EntryId(entry), incarnation, DataCentreId("d"),
                      absl::StrCat(entry, ":1")};
}

DigestMessage Digest(const std::string& entry,
                     uint64_t incarnation,
                     uint64_t heartbeat) {
  DigestMessage message;
  message.digest.entry = EntryId(entry);
  message.digest.incarnation = incarnation;
  message.digest.address = absl::StrCat(entry, ":1");
  message.heartbeat = heartbeat;
  return message;
}

struct IncarnationCase {
  const char* entry;
  uint64_t incarnation;
  PeerUpdateResult expected;
};

// Updates applied in this sequence; peer "b" is known with incarnation 5.
constexpr IncarnationCase kIncarnationCases[] = {
    {"b", 4, PeerUpdateResult::kStale},    {"b", 5, PeerUpdateResult::kKnown},
    {"b", 7, PeerUpdateResult::kReplaced}, {"b", 5, PeerUpdateResult::kStale},
    {"a", 10, PeerUpdateResult::kSelf},    {"a", 9, PeerUpdateResult::kStale},
    {"c", 1, PeerUpdateResult::kNew},
};

class MembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(OlderIncarnationNeverReplacesNewer);
  CPPUNIT_TEST(UnresponsivePeerIsSuspectedThenRemoved);
  CPPUNIT_TEST(StaleHeartbeatsDoNotReviveAPeer);
  CPPUNIT_TEST(PartialDigestsKeepOtherPools);
  CPPUNIT_TEST(HundredDaemonsStayAliveWithinTheByteLimit);
  CPPUNIT_TEST(DialsBackOff);
  CPPUNIT_TEST(OneLinkIsKeptForEachPair);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an older process that replaces its successor when it
  // resumes, also after the successor was removed from the membership.
  void OlderIncarnationNeverReplacesNewer() {
    Membership membership(EntryId("a"), 10, {});
    membership.OnHello(MakeEndpoint("b", 5), kStart);
    for (const IncarnationCase& c : kIncarnationCases) {
      const std::string name = absl::StrCat(c.entry, c.incarnation);
      CPPUNIT_ASSERT_MESSAGE(
          name, membership.OnHello(MakeEndpoint(c.entry, c.incarnation),
                                   kStart) == c.expected);
    }
    CPPUNIT_ASSERT_EQUAL(uint64_t{7},
                         membership.Find(EntryId("b"))->incarnation);
    CPPUNIT_ASSERT(!membership.superseded());
    membership.OnPeerAdvertised(MakeEndpoint("a", 11), kStart);
    CPPUNIT_ASSERT(membership.superseded());
    const MonoTime later = kStart + std::chrono::hours(1);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, membership.RemoveExpired(later).size());
    CPPUNIT_ASSERT(membership.OnHello(MakeEndpoint("b", 6), later) ==
                   PeerUpdateResult::kStale);
  }

  // Guards against relays to an unresponsive peer, and against peers that are
  // only advertised by others but treated as alive.
  void UnresponsivePeerIsSuspectedThenRemoved() {
    Membership membership(EntryId("a"), 1, {});
    Random random(1);
    membership.OnHello(MakeEndpoint("b", 1), kStart);
    membership.OnPeerAdvertised(MakeEndpoint("c", 1), kStart);
    CPPUNIT_ASSERT(!membership.IsSuspect(EntryId("b"), kStart + seconds(5)));
    CPPUNIT_ASSERT(
        membership.IsSuspect(EntryId("b"), kStart + milliseconds(5001)));
    CPPUNIT_ASSERT(membership.IsSuspect(EntryId("c"), kStart));
    CPPUNIT_ASSERT(membership.SuspectToProbe(kStart, random) == EntryId("c"));
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         membership.SelectGossipPeers(kStart, random).size());
    CPPUNIT_ASSERT(membership.RemoveExpired(kStart + seconds(899)).empty());
    CPPUNIT_ASSERT_EQUAL(
        size_t{2}, membership.RemoveExpired(kStart + seconds(901)).size());
    CPPUNIT_ASSERT(membership.Views(kStart).empty());
  }

  // Guards against a dead peer that delayed heartbeats from other peers keep
  // alive.
  void StaleHeartbeatsDoNotReviveAPeer() {
    Membership sender(EntryId("s"), 1, {});
    Membership membership(EntryId("a"), 1, {});
    Random random(1);
    sender.OnDigest(Digest("b", 1, 65535), kStart);
    membership.OnDigest(Digest("b", 1, 65535), kStart);
    const std::string old = sender.PackHeartbeats(kStart, random);
    // The heartbeat counter wraps around at 16 bits.
    sender.OnDigest(Digest("b", 1, 65536), kStart);
    const std::string fresh = sender.PackHeartbeats(kStart, random);
    const MonoTime later = kStart + seconds(6);
    membership.OnHeartbeats(old, later);
    CPPUNIT_ASSERT(membership.IsSuspect(EntryId("b"), later));
    membership.OnHeartbeats(fresh + "x", later);
    CPPUNIT_ASSERT(!membership.IsSuspect(EntryId("b"), later));
  }

  // Guards against the loss of a pool's free slots when a partial digest omits
  // it.
  void PartialDigestsKeepOtherPools() {
    Membership membership(EntryId("a"), 1, {});
    DigestMessage message = Digest("b", 1, 1);
    message.digest.free_slots = {{PoolId("p"), 1}, {PoolId("q"), 2}};
    membership.OnDigest(message, kStart);
    message.partial = true;
    message.digest.free_slots = {{PoolId("q"), 5}, {PoolId("r"), 1}};
    membership.OnDigest(message, kStart);
    const auto& slots = membership.Find(EntryId("b"))->free_slots;
    CPPUNIT_ASSERT_EQUAL(size_t{3}, slots.size());
    CPPUNIT_ASSERT_EQUAL(5, slots[1].second);
    message.partial = false;
    membership.OnDigest(message, kStart);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, slots.size());
  }

  // Guards against control traffic above 4 KB/s, sent and received, for each of
  // 100 daemons, and against false suspicion in more than one of 10,000 views.
  // Simulates the gossip without sockets.
  void HundredDaemonsStayAliveWithinTheByteLimit() {
    Random random(7);
    std::vector<std::unique_ptr<Membership>> daemons;
    const auto name = [](size_t i) { return absl::StrCat("entry-", i); };
    for (size_t i = 0; i < kDaemons; ++i) {
      daemons.push_back(std::make_unique<Membership>(
          EntryId(name(i)), 1764840000000, MembershipSettings()));
      for (size_t j = 0; j < kDaemons; ++j) {
        daemons[i]->OnHello(MakeEndpoint(name(j), 1764840000000), kStart);
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
        message.heartbeats = daemons[i]->PackHeartbeats(now, random);
        message.peers = daemons[i]->SampleLivePeers(1, now, random);
        const size_t size = FormatPeerMessage(message)->size() + kFrameBytes;
        for (const EntryId& to : daemons[i]->SelectGossipPeers(now, random)) {
          const size_t j = std::stoul(to.value().substr(6));
          daemons[j]->OnDigest(message, now);
          daemons[j]->OnHeartbeats(message.heartbeats, now);
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

  // Guards against daemons that dial a dead peer without backoff or all at the
  // same time.
  void DialsBackOff() {
    DialSchedule schedule;
    Random random(1);
    MonoTime now = kStart;
    milliseconds last{0};
    for (int i = 0; i < 10; ++i) {
      CPPUNIT_ASSERT(schedule.TryStartDial("x:1", now));
      CPPUNIT_ASSERT(
          !schedule.TryStartDial("x:1", now + std::chrono::hours(1)));
      schedule.OnLinkEnded("x:1", false, now, random);
      milliseconds backoff{0};
      // Polls a copy; TryStartDial has no effect until the backoff has elapsed.
      while (!DialSchedule(schedule).TryStartDial("x:1", now + backoff)) {
        backoff += milliseconds(1);
      }
      CPPUNIT_ASSERT(backoff >= milliseconds(200) && backoff <= seconds(7));
      CPPUNIT_ASSERT(i < 1 || backoff >= last / 2);
      last = backoff;
      now += backoff;
    }
    CPPUNIT_ASSERT(last >= milliseconds(3200));
    CPPUNIT_ASSERT(schedule.TryStartDial("x:1", now));
    schedule.OnLinkEnded("x:1", true, now, random);
    CPPUNIT_ASSERT(schedule.TryStartDial("x:1", now + milliseconds(200)));
    schedule.ExcludeAddress("y:1");
    CPPUNIT_ASSERT(!schedule.TryStartDial("y:1", now));
  }

  // Guards against daemons that keep different links after they dial each other
  // at the same time, or that use a link to a process that has exited.
  void OneLinkIsKeptForEachPair() {
    for (const bool own_first : {true, false}) {
      LinkRegistry low(EntryId("a"));
      LinkRegistry high(EntryId("b"));
      // Daemon "a" dials link 1, daemon "b" dials link 2.
      low.AddLink(1, "b:1", kStart);
      low.AddLink(2, "", kStart);
      high.AddLink(1, "", kStart);
      high.AddLink(2, "a:1", kStart);
      for (const LinkId link :
           own_first ? std::vector<LinkId>{1, 2} : std::vector<LinkId>{2, 1}) {
        CPPUNIT_ASSERT(low.OnHello(link, MakeEndpoint("b", 1), kStart).empty());
        CPPUNIT_ASSERT(
            high.OnHello(link, MakeEndpoint("a", 1), kStart).empty());
      }
      CPPUNIT_ASSERT_EQUAL(LinkId{1}, low.LinkTo(EntryId("b")));
      CPPUNIT_ASSERT_EQUAL(LinkId{1}, high.LinkTo(EntryId("a")));
      high.AddLink(3, "", kStart);
      CPPUNIT_ASSERT_EQUAL(
          size_t{2}, high.OnHello(3, MakeEndpoint("a", 2), kStart).size());
      CPPUNIT_ASSERT_EQUAL(LinkId{3}, high.LinkTo(EntryId("a")));
      high.RemoveLink(3);
      CPPUNIT_ASSERT_EQUAL(LinkId{0}, high.LinkTo(EntryId("a")));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

}  // namespace
}  // namespace figflow
