#include "Peer/peer_node.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <set>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Peer/peer_test_node.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace figflow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::Await;
using test::kCredential;
using test::TestHandler;
using test::TestNode;

constexpr int kRelays = 200;
constexpr size_t kNodes = 6;

// Collects the responses and errors of relays by name.
class RelayResults {
 public:
  RelayCallback CallbackFor(const std::string& name) {
    return [this, name](const Result<RelayResponse>& result) {
      absl::MutexLock lock(&mutex_);
      results_[name].push_back(
          result ? absl::StrCat(result->status, " ", result->body,
                                result->not_run ? " not-run" : "")
                 : std::string(ErrorCodeName(result.error().code)));
    };
  }
  // Returns all results of a relay, joined by "|"; exactly one is correct.
  // Empty while the relay is pending.
  std::string Get(const std::string& name) {
    absl::MutexLock lock(&mutex_);
    return absl::StrJoin(results_[name], "|");
  }
  bool Has(const std::string& name) { return !Get(name).empty(); }

 private:
  absl::Mutex mutex_;
  std::map<std::string, std::vector<std::string>> results_;
};

RelayRequest Request(const std::string& body, milliseconds remaining) {
  RelayRequest request;
  request.project = ProjectId("p");
  request.method = "POST";
  request.target = "/x";
  request.body = body;
  request.remaining = remaining;
  return request;
}

using Nodes = std::vector<std::shared_ptr<TestNode>>;

size_t LivePeers(const TestNode& node) {
  size_t live = 0;
  for (const auto& [peer, view] : node.node->Peers()) {
    live += view.suspect ? 0 : 1;
  }
  return live;
}

uint64_t ControlBytes(const Nodes& nodes) {
  uint64_t sum = 0;
  for (const auto& node : nodes) {
    sum += node->CounterValue("figflow_peer_control_sent_bytes_total") +
           node->CounterValue("figflow_peer_control_received_bytes_total");
  }
  return sum;
}

// Describes a node of `nodes` that another one of them suspects; empty if there
// is none.
std::string FindSuspicion(const Nodes& nodes) {
  std::set<EntryId> entries;
  for (const auto& node : nodes) {
    entries.insert(node->entry);
  }
  for (const auto& node : nodes) {
    for (const auto& [peer, view] : node->node->Peers()) {
      if (view.suspect && entries.count(peer) > 0) {
        const auto idle_time = std::chrono::duration_cast<milliseconds>(
            node->clock.Now() - view.last_seen_at);
        return absl::StrCat(node->entry.value(), " suspects ", peer.value(),
                            ", last seen ", idle_time.count(), " ms ago");
      }
    }
  }
  return "";
}

class PeerNodeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerNodeTest);
  CPPUNIT_TEST(RelaysRoundTrip);
  CPPUNIT_TEST(ResponsesOutOfOrderReachTheirRequests);
  CPPUNIT_TEST(DeadlineIsEnforced);
  CPPUNIT_TEST(CancellationReachesThePeer);
  CPPUNIT_TEST(StoppingPeerCompletesItsRelays);
  CPPUNIT_TEST(NewerIncarnationReplacesOlder);
  CPPUNIT_TEST(LinkIsRestoredAfterARestart);
  CPPUNIT_TEST(ChangesPropagateWithOneNodeFrozen);
  CPPUNIT_TEST(LeavingTargetsAreSentImmediately);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against lost or altered bodies, and against relays to unknown peers.
  void RelaysRoundTrip() {
    RelayResults results;
    TestNode a("a");
    TestNode b("b", {a.node->address()});
    b.handler.on_relay = [](const RelayRequest& request,
                            const TestHandler::Done& done) {
      done(RelayResponse{200,
                         {},
                         request.body == "large"
                             ? std::string(kMaxPeerMessageBytes, 'x')
                             : request.body,
                         false});
    };
    CPPUNIT_ASSERT(Await([&] { return a.SeesAlive("b") && b.SeesAlive("a"); }));
    const std::string large(900'000, '\xfe');
    a.node->Relay(EntryId("b"), Request("from a", seconds(5)),
                  results.CallbackFor("ab"));
    b.node->Relay(EntryId("a"), Request(large, seconds(5)),
                  results.CallbackFor("ba"));
    a.node->Relay(EntryId("b"),
                  Request(std::string(kMaxPeerMessageBytes, 'x'), seconds(5)),
                  results.CallbackFor("too large"));
    a.node->Relay(EntryId("c"), Request("", seconds(5)),
                  results.CallbackFor("absent"));
    a.node->Relay(EntryId("b"), Request("", seconds(0)),
                  results.CallbackFor("late"));
    a.node->Relay(EntryId("b"), Request("large", seconds(5)),
                  results.CallbackFor("large response"));
    for (const auto& [name, expected] : std::map<std::string, std::string>{
             {"ab", "200 from a"},
             {"ba", "200 " + large},
             {"too large", "unavailable"},
             {"absent", "unavailable"},
             {"late", "unavailable"},
             {"large response", "unknown-outcome"}}) {
      CPPUNIT_ASSERT_MESSAGE(
          name, Await([&, &name = name] { return results.Has(name); }));
      CPPUNIT_ASSERT_MESSAGE(name, expected == results.Get(name));
    }
    const PeerTraffic traffic = a.node->Traffic()[EntryId("b")];
    CPPUNIT_ASSERT(traffic.relay_received > large.size());
    CPPUNIT_ASSERT(traffic.control_sent > 0);
  }

  // Guards against a response that reaches the caller of another request.
  void ResponsesOutOfOrderReachTheirRequests() {
    absl::Mutex mutex;
    std::vector<std::pair<std::string, TestHandler::Done>> waiting;
    RelayResults results;
    TestNode a("a");
    TestNode b("b", {a.node->address()});
    b.handler.on_relay = [&](const RelayRequest& request,
                             const TestHandler::Done& done) {
      absl::MutexLock lock(&mutex);
      waiting.emplace_back(request.body, done);
    };
    CPPUNIT_ASSERT(Await([&] { return a.SeesAlive("b"); }));
    for (int i = 0; i < kRelays; ++i) {
      a.node->Relay(EntryId("b"), Request(absl::StrCat(i), seconds(10)),
                    results.CallbackFor(absl::StrCat(i)));
    }
    CPPUNIT_ASSERT(Await([&] {
      absl::MutexLock lock(&mutex);
      return waiting.size() == kRelays;
    }));
    {
      absl::MutexLock lock(&mutex);
      std::shuffle(waiting.begin(), waiting.end(), std::mt19937(3));
      for (const auto& [body, done] : waiting) {
        done(RelayResponse{200, {}, body, false});
      }
    }
    for (int i = 0; i < kRelays; ++i) {
      const std::string name = absl::StrCat(i);
      CPPUNIT_ASSERT(Await([&] { return results.Has(name); }));
      CPPUNIT_ASSERT_EQUAL("200 " + name, results.Get(name));
    }
  }

  // Guards against callers that wait for a response beyond their deadline, and
  // against a late response that is delivered as another one.
  void DeadlineIsEnforced() {
    absl::Mutex mutex;
    TestHandler::Done late;
    RelayResults results;
    TestNode a("a");
    TestNode b("b", {a.node->address()});
    b.handler.on_relay = [&](const RelayRequest&,
                             const TestHandler::Done& done) {
      absl::MutexLock lock(&mutex);
      late = done;
    };
    CPPUNIT_ASSERT(Await([&] { return a.SeesAlive("b"); }));
    const MonoTime start = a.clock.Now();
    a.node->Relay(EntryId("b"), Request("", milliseconds(150)),
                  results.CallbackFor("x"));
    CPPUNIT_ASSERT(Await([&] { return results.Has("x"); }));
    const auto elapsed = a.clock.Now() - start;
    CPPUNIT_ASSERT(elapsed >= milliseconds(150) && elapsed < milliseconds(600));
    CPPUNIT_ASSERT_EQUAL(std::string("unknown-outcome"), results.Get("x"));
    // The peer is notified to stop processing the request.
    CPPUNIT_ASSERT(Await([&] { return b.handler.Cancelled().size() == 1; }));
    {
      absl::MutexLock lock(&mutex);
      late(RelayResponse{200, {}, "late", false});
    }
    CPPUNIT_ASSERT(Await([&] {
      return a.CounterValue("figflow_peer_answers_late_total") == 1;
    }));
    CPPUNIT_ASSERT_EQUAL(std::string("unknown-outcome"), results.Get("x"));
  }

  // Guards against a cancellation whose id differs from the one that the peer
  // received.
  void CancellationReachesThePeer() {
    absl::Mutex mutex;
    std::map<uint64_t, TestHandler::Done> running;
    RelayResults results;
    TestNode a("a");
    TestNode b("b", {a.node->address()});
    b.handler.on_relay = [&](const RelayRequest& request,
                             const TestHandler::Done& done) {
      absl::MutexLock lock(&mutex);
      running[request.relay_id] = done;
    };
    CPPUNIT_ASSERT(Await([&] { return a.SeesAlive("b"); }));
    const uint64_t id = a.node->Relay(EntryId("b"), Request("", seconds(10)),
                                      results.CallbackFor("x"));
    CPPUNIT_ASSERT(Await([&] {
      absl::MutexLock lock(&mutex);
      return running.size() == 1;
    }));
    a.node->CancelRelay(id);
    CPPUNIT_ASSERT(Await([&] { return b.handler.Cancelled().size() == 1; }));
    absl::MutexLock lock(&mutex);
    running.at(b.handler.Cancelled()[0])(RelayResponse{499, {}, "", true});
    CPPUNIT_ASSERT(Await([&] { return results.Has("x"); }));
    CPPUNIT_ASSERT_EQUAL(std::string("499  not-run"), results.Get("x"));
  }

  // Guards against a planned stop that interrupts a request, and against new
  // relays to a daemon that is stopping.
  void StoppingPeerCompletesItsRelays() {
    absl::Mutex mutex;
    TestHandler::Done pending;
    RelayResults results;
    TestNode a("a");
    TestNode b("b", {a.node->address()});
    b.handler.on_relay = [&](const RelayRequest&,
                             const TestHandler::Done& done) {
      absl::MutexLock lock(&mutex);
      pending = done;
    };
    CPPUNIT_ASSERT(Await([&] { return a.SeesAlive("b"); }));
    a.node->Relay(EntryId("b"), Request("", seconds(10)),
                  results.CallbackFor("x"));
    CPPUNIT_ASSERT(Await([&] {
      absl::MutexLock lock(&mutex);
      return pending != nullptr;
    }));
    std::thread stop([&] { b.node->Stop(seconds(10)); });
    const bool announced =
        Await([&] { return a.node->Peers().at(EntryId("b")).digest.stopping; });
    a.node->Relay(EntryId("b"), Request("", seconds(10)),
                  results.CallbackFor("new"));
    const bool refused = Await([&] { return results.Has("new"); });
    {
      absl::MutexLock lock(&mutex);
      pending(RelayResponse{200, {}, "whole", false});
    }
    stop.join();
    CPPUNIT_ASSERT(announced && refused);
    CPPUNIT_ASSERT_EQUAL(std::string("unavailable"), results.Get("new"));
    CPPUNIT_ASSERT(Await([&] { return results.Has("x"); }));
    CPPUNIT_ASSERT_EQUAL(std::string("200 whole"), results.Get("x"));
    b.node->Relay(EntryId("a"), Request("", seconds(10)),
                  results.CallbackFor("after"));
    CPPUNIT_ASSERT_EQUAL(std::string("unavailable"), results.Get("after"));
  }

  // Guards against two processes that act as the same entry.
  void NewerIncarnationReplacesOlder() {
    TestNode a("a");
    TestNode b1("b", {a.node->address()}, 1);
    CPPUNIT_ASSERT(Await([&] { return a.SeesAlive("b"); }));
    TestNode b2("b", {a.node->address()}, 2);
    CPPUNIT_ASSERT(Await([&] { return b1.node->superseded(); }));
    CPPUNIT_ASSERT(Await([&] { return b2.SeesAlive("a"); }));
    // Allows several reconnection attempts of the older process.
    std::this_thread::sleep_for(milliseconds(800));
    const PeerDigest digest = a.node->Peers().at(EntryId("b")).digest;
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, digest.incarnation);
    CPPUNIT_ASSERT_EQUAL(b2.node->address(), digest.address);
    CPPUNIT_ASSERT(!b2.node->superseded());
    RelayResults results;
    b2.handler.on_relay = [](const RelayRequest&,
                             const TestHandler::Done& done) {
      done(RelayResponse{200, {}, "b2", false});
    };
    a.node->Relay(EntryId("b"), Request("", seconds(5)),
                  results.CallbackFor("x"));
    CPPUNIT_ASSERT(Await([&] { return results.Has("x"); }));
    CPPUNIT_ASSERT_EQUAL(std::string("200 b2"), results.Get("x"));
  }

  // Guards against peers that stay disconnected after a daemon restarts at
  // another address.
  void LinkIsRestoredAfterARestart() {
    auto a = std::make_unique<TestNode>("a");
    TestNode b("b", {a->node->address()});
    TestNode c("c", {b.node->address()});
    CPPUNIT_ASSERT(
        Await([&] { return a->SeesAlive("c") && c.SeesAlive("a"); }));
    a.reset();
    a = std::make_unique<TestNode>("a", std::vector{c.node->address()}, 2);
    CPPUNIT_ASSERT(Await([&] {
      return a->SeesAlive("b") && a->SeesAlive("c") && b.SeesAlive("a") &&
             b.node->Peers().at(EntryId("a")).digest.incarnation == 2;
    }));
  }

  // Guards against configuration changes that take longer than 4 s to
  // propagate, against a frozen daemon that blocks the others or is treated as
  // alive, against suspicion of live daemons, and against control traffic above
  // 4 KB/s. Uses the production gossip interval.
  void ChangesPropagateWithOneNodeFrozen() {
    Nodes nodes;
    for (size_t i = 0; i < kNodes; ++i) {
      nodes.push_back(std::make_shared<TestNode>(
          absl::StrCat("entry-", i),
          i == 0 ? std::vector<std::string>()
                 : std::vector{nodes[0]->node->address()},
          1, kCredential, seconds(1)));
    }
    CPPUNIT_ASSERT(Await([&] {
      return std::all_of(nodes.begin(), nodes.end(), [](const auto& node) {
        return LivePeers(*node) == kNodes - 1;
      });
    }));
    TestNode& frozen = *nodes.back();
    const Nodes live(nodes.begin(), nodes.end() - 1);
    frozen.handler.SetFrozen(true);
    const MonoTime start = nodes[0]->clock.Now();
    nodes[0]->handler.SetRevision(7);
    const bool propagated = Await([&] {
      return std::all_of(live.begin(), live.end(), [](const auto& node) {
        return node->handler.Revision() == 7;
      });
    });
    const auto elapsed =
        std::chrono::duration_cast<milliseconds>(nodes[0]->clock.Now() - start);
    const uint64_t before = ControlBytes(live);
    const MonoTime measured_from = nodes[0]->clock.Now();
    // The last heartbeat of the frozen node reaches the other nodes in
    // different rounds, so they start to suspect it seconds apart.
    std::string false_suspicion;
    const auto check_suspicions = [&] {
      if (false_suspicion.empty()) {
        false_suspicion = FindSuspicion(live);
      }
    };
    const bool suspected = Await([&] {
      check_suspicions();
      return std::all_of(live.begin(), live.end(), [](const auto& node) {
        return !node->SeesAlive("entry-5");
      });
    });
    Await(
        [&] {
          check_suspicions();
          return false;
        },
        seconds(2));
    const double rate =
        static_cast<double>(ControlBytes(live) - before) / (kNodes - 1) /
        std::chrono::duration<double>(nodes[0]->clock.Now() - measured_from)
            .count();
    const bool still_suspected = std::all_of(
        live.begin(), live.end(),
        [](const auto& node) { return !node->SeesAlive("entry-5"); });
    frozen.handler.SetFrozen(false);
    const bool caught_up =
        Await([&] { return frozen.handler.Revision() == 7; });
    std::cerr << "spread in " << elapsed.count() << " ms, control traffic "
              << static_cast<int>(rate)
              << " bytes/s sent and received per node\n";
    CPPUNIT_ASSERT(propagated && elapsed < seconds(4));
    CPPUNIT_ASSERT_MESSAGE("a node treats the frozen node as live",
                           suspected && still_suspected);
    CPPUNIT_ASSERT_EQUAL(std::string(), false_suspicion);
    CPPUNIT_ASSERT_MESSAGE("the resumed node has an old revision", caught_up);
    CPPUNIT_ASSERT(rate > 0 && rate < 4000);
  }

  // Guards against a leaving target that is announced only by the gossip rounds
  // of each pair of daemons.
  void LeavingTargetsAreSentImmediately() {
    TestNode a("a");
    std::vector<std::unique_ptr<TestNode>> others;
    for (const char* name : {"b", "c", "d", "e", "f"}) {
      others.push_back(
          std::make_unique<TestNode>(name, std::vector{a.node->address()}));
    }
    CPPUNIT_ASSERT(Await([&] {
      return std::all_of(others.begin(), others.end(), [&](const auto& node) {
        return node->SeesAlive("a");
      });
    }));
    a.handler.SetLeaving({{InstanceId("i"), 3}});
    CPPUNIT_ASSERT(Await(
        [&] {
          return std::all_of(
              others.begin(), others.end(),
              [](const auto& node) { return node->handler.LeavingSeen() > 0; });
        },
        milliseconds(1000)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerNodeTest);

}  // namespace
}  // namespace figflow
