#include <atomic>
#include <functional>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include "Common/json.h"

#include "Peer/peer_test_node.h"
#include "Peer/raw_peer.h"

namespace figflow {
namespace {

using std::chrono::milliseconds;
using test::Await;
using test::RawPeer;
using test::TestNode;

std::string WithVersion2() {
  nlohmann::json map =
      nlohmann::json::from_cbor(*FormatPeerMessage(ConfigPullMessage{1}));
  map["v"] = 2;
  std::string bytes;
  nlohmann::json::to_cbor(map, bytes);
  return bytes;
}

struct ViolationCase {
  const char* name;
  bool hello_first;
  std::function<bool(RawPeer&)> send;
  LinkCloseCode code;
  const char* counter;
};

const ViolationCase kViolationCases[] = {
    {"not CBOR", true, [](RawPeer& p) { return p.SendFrame("\xff\xff"); },
     LinkCloseCode::kMalformed, "figflow_peer_malformed_total"},
    {"empty message", true, [](RawPeer& p) { return p.SendFrame(""); },
     LinkCloseCode::kMalformed, "figflow_peer_malformed_total"},
    {"text message", true, [](RawPeer& p) { return p.SendFrame("{}", 1); },
     LinkCloseCode::kMalformed, "figflow_peer_malformed_total"},
    {"unknown version", true,
     [](RawPeer& p) { return p.SendFrame(WithVersion2()); },
     LinkCloseCode::kUnknownVersion, "figflow_peer_unknown_version_total"},
    {"oversized", true,
     [](RawPeer& p) {
       // The node may close the link before the whole message is written.
       p.SendFrame(std::string(kMaxPeerMessageBytes + 1, 'x'));
       return true;
     },
     LinkCloseCode::kTooBig, "figflow_peer_oversized_total"},
    {"message before hello", false,
     [](RawPeer& p) { return p.Send(ConfigPullMessage{1}); },
     LinkCloseCode::kUnexpected, "figflow_peer_unexpected_total"},
    {"second hello", true,
     [](RawPeer& p) {
       return p.Send(HelloMessage{
           PeerEndpoint{EntryId("z"), 2, DataCentreId("d"), "127.0.0.1:9"},
           {}});
     },
     LinkCloseCode::kUnexpected, "figflow_peer_unexpected_total"},
    {"digest of another entry", true,
     [](RawPeer& p) {
       DigestMessage message;
       message.digest.entry = EntryId("other");
       message.digest.address = "127.0.0.1:9";
       return p.Send(message);
     },
     LinkCloseCode::kUnexpected, "figflow_peer_unexpected_total"},
};

struct CredentialCase {
  const char* authorization;
  int status;
};

constexpr CredentialCase kCredentialCases[] = {
    {"", 401},
    {"Bearer ", 401},
    {"Bearer wrong", 401},
    {"Bearer peer-secretx", 401},
    {"peer-secret", 401},
    {"Bearer peer-secret", 101},
};

class PeerProtocolTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerProtocolTest);
  CPPUNIT_TEST(ViolationsCloseTheLinkAndAreCounted);
  CPPUNIT_TEST(WrongCredentialIsRefused);
  CPPUNIT_TEST(DisconnectLeavesTheOutcomeUnknown);
  CPPUNIT_TEST(UnmatchedResponsesAreDropped);
  CPPUNIT_TEST(RepeatedRequestRunsOnce);
  CPPUNIT_TEST(OlderIncarnationIsRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against links that stay open after a protocol violation, and against
  // daemons that stop serving other peers because of it.
  void ViolationsCloseTheLinkAndAreCounted() {
    TestNode node("a");
    for (const ViolationCase& c : kViolationCases) {
      const uint64_t before = node.CounterValue(c.counter);
      RawPeer peer(node.node->address());
      CPPUNIT_ASSERT_MESSAGE(
          c.name, c.hello_first ? peer.Hello("z", 1)
                                : peer.Handshake("Bearer peer-secret") == 101);
      CPPUNIT_ASSERT_MESSAGE(c.name, c.send(peer));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, static_cast<int>(c.code),
                                   peer.ReceiveCloseCode());
      peer.Disconnect();
      CPPUNIT_ASSERT_MESSAGE(
          c.name,
          Await([&] { return node.CounterValue(c.counter) == before + 1; }));
    }
    RawPeer peer(node.node->address());
    CPPUNIT_ASSERT(peer.Hello("z", 1));
    CPPUNIT_ASSERT(peer.Receive<DigestMessage>().digest.entry == EntryId("a"));
  }

  // Guards against accepting peers without the shared credential, also when
  // this daemon has no credential itself.
  void WrongCredentialIsRefused() {
    TestNode node("a");
    for (const CredentialCase& c : kCredentialCases) {
      RawPeer peer(node.node->address());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.authorization, c.status,
                                   peer.Handshake(c.authorization));
    }
    CPPUNIT_ASSERT_EQUAL(
        uint64_t{5},
        node.CounterValue("figflow_peer_credential_refused_total"));
    TestNode open("b", {}, 1, "");
    RawPeer peer(open.node->address());
    CPPUNIT_ASSERT_EQUAL(401, peer.Handshake("Bearer "));
    TestNode wrong("c", {node.node->address()}, 1, "wrong");
    CPPUNIT_ASSERT(Await([&] {
      return wrong.CounterValue("figflow_peer_dials_failed_total") > 0;
    }));
    CPPUNIT_ASSERT(node.node->Peers().empty());
  }

  // Guards against a request that may have run but is reported as not sent and
  // retried.
  void DisconnectLeavesTheOutcomeUnknown() {
    TestNode node("a");
    RawPeer peer(node.node->address());
    CPPUNIT_ASSERT(peer.Hello("z", 1));
    CPPUNIT_ASSERT(Await([&] { return node.SeesAlive("z"); }));
    std::atomic<int> code{-1};
    RelayRequest request;
    request.remaining = std::chrono::seconds(30);
    node.node->Relay(EntryId("z"), request, [&](const auto& result) {
      code = result ? -2 : static_cast<int>(result.error().code);
    });
    CPPUNIT_ASSERT(peer.Receive<RelayRequestMessage>().id != 0);
    peer.Disconnect();
    CPPUNIT_ASSERT(Await([&] { return code != -1; }));
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(ErrorCode::kUnknownOutcome),
                         code.load());
    code = -1;
    node.node->Relay(EntryId("z"), request, [&](const auto& result) {
      code = result ? -2 : static_cast<int>(result.error().code);
    });
    CPPUNIT_ASSERT(Await([&] { return code != -1; }));
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(ErrorCode::kUnavailable),
                         code.load());
  }

  // Guards against responses of an earlier incarnation or with a wrong id that
  // reach a caller.
  void UnmatchedResponsesAreDropped() {
    TestNode node("a");
    RawPeer peer(node.node->address());
    CPPUNIT_ASSERT(peer.Hello("z", 4));
    CPPUNIT_ASSERT(Await([&] { return node.SeesAlive("z"); }));
    std::atomic<int> status{-1};
    RelayRequest request;
    request.remaining = std::chrono::seconds(30);
    node.node->Relay(EntryId("z"), request, [&](const auto& result) {
      status = result ? result->status : 0;
    });
    const uint64_t id = peer.Receive<RelayRequestMessage>().id;
    peer.Send(
        RelayResponseMessage{id, 3, RelayResponse{201, {}, "", false}, ""});
    peer.Send(
        RelayResponseMessage{id + 1, 4, RelayResponse{202, {}, "", false}, ""});
    peer.Send(
        RelayResponseMessage{id, 4, RelayResponse{203, {}, "", false}, ""});
    peer.Send(
        RelayResponseMessage{id, 4, RelayResponse{204, {}, "", false}, ""});
    CPPUNIT_ASSERT(Await([&] {
      return node.CounterValue("figflow_peer_answers_late_total") == 1;
    }));
    CPPUNIT_ASSERT_EQUAL(
        uint64_t{2}, node.CounterValue("figflow_peer_answers_unmatched_total"));
    CPPUNIT_ASSERT_EQUAL(203, status.load());
  }

  // Guards against a relayed request that runs twice, and against responses
  // sent on a closed link.
  void RepeatedRequestRunsOnce() {
    TestNode node("a");
    std::atomic<int> runs{0};
    absl::Mutex mutex;
    test::TestHandler::Done pending;
    node.handler.on_relay = [&](const RelayRequest&,
                                const test::TestHandler::Done& done) {
      absl::MutexLock lock(&mutex);
      ++runs;
      pending = done;
    };
    RawPeer peer(node.node->address());
    CPPUNIT_ASSERT(peer.Hello("z", 1));
    RelayRequest request;
    request.remaining = std::chrono::seconds(30);
    peer.Send(RelayRequestMessage{9, request});
    peer.Send(RelayRequestMessage{9, request});
    CPPUNIT_ASSERT(Await([&] {
      return node.CounterValue("figflow_peer_unexpected_total") == 1;
    }));
    CPPUNIT_ASSERT_EQUAL(1, runs.load());
    peer.Disconnect();
    CPPUNIT_ASSERT(Await([&] { return node.handler.Cancelled().size() == 1; }));
    absl::MutexLock lock(&mutex);
    pending(RelayResponse());
    CPPUNIT_ASSERT_EQUAL(
        uint64_t{1}, node.CounterValue("figflow_peer_answers_dropped_total"));
  }

  // Guards against an older process that resumes and takes over its entry
  // again.
  void OlderIncarnationIsRejected() {
    TestNode node("a");
    RawPeer old(node.node->address());
    CPPUNIT_ASSERT(old.Hello("z", 1));
    CPPUNIT_ASSERT(Await([&] { return node.SeesAlive("z"); }));
    RawPeer fresh(node.node->address());
    CPPUNIT_ASSERT(fresh.Hello("z", 2));
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(LinkCloseCode::kStaleIncarnation),
                         old.ReceiveCloseCode());
    RawPeer again(node.node->address());
    CPPUNIT_ASSERT(again.Hello("z", 1));
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(LinkCloseCode::kStaleIncarnation),
                         again.ReceiveCloseCode());
    CPPUNIT_ASSERT_EQUAL(
        uint64_t{2}, node.node->Peers().at(EntryId("z")).digest.incarnation);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerProtocolTest);

}  // namespace
}  // namespace figflow
