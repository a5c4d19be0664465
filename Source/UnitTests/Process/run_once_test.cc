#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Process/serving_cluster.h"
#include "absl/strings/str_cat.h"

namespace figflow::test {
namespace {

using std::chrono::seconds;

constexpr int kKeys = 20;
constexpr int kSenders = 4;
constexpr char kDisposition[] = "figflow-disposition";

// Unrepeatable requests run at most once, whatever a caller resends and
// whatever fails in between.
class RunOnceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunOnceTest);
  CPPUNIT_TEST(ResentTicketRunsOnce);
  CPPUNIT_TEST(TicketOfAKilledEntryIsNeverRunAgain);
  CPPUNIT_TEST(SameKeyAtAllEntriesRunsOnce);
  CPPUNIT_TEST(ClaimWithLostAnswerRunsOnce);
  CPPUNIT_TEST(StoreOutageRefusesKeysButNotTickets);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ResentTicketRunsOnce() {
    ServingCluster cluster;
    const std::string ticket = cluster.Ticket(0);
    CPPUNIT_ASSERT(!ticket.empty());
    // The second entry must relay to the issuer.
    CPPUNIT_ASSERT_EQUAL(200, cluster.PostOnce(1, ticket).status);
    cluster.PostOnce(0, ticket);
    cluster.PostOnce(1, ticket);
    CPPUNIT_ASSERT_EQUAL(1, cluster.Executions(ticket));
  }

  // Guards against a ticket that a restarted daemon, or another one, takes for
  // unused because the memory of its use died with the issuer.
  void TicketOfAKilledEntryIsNeverRunAgain() {
    ServingCluster cluster;
    const std::string used = cluster.Ticket(0);
    const std::string unused = cluster.Ticket(0);
    CPPUNIT_ASSERT_EQUAL(200, cluster.PostOnce(0, used).status);
    cluster.entry(0).Kill();
    for (const std::string& ticket : {used, unused}) {
      CPPUNIT_ASSERT_EQUAL(std::string("unknown"),
                           cluster.PostOnce(1, ticket).Header(kDisposition));
    }
    cluster.StartEntry(0);
    const auto answers = [&cluster] {
      return Call("GET", cluster.Shop(0)).status == 200;
    };
    CPPUNIT_ASSERT(Cluster::WaitFor(answers, seconds(15)) <= seconds(15));
    for (int entry = 0; entry < 2; ++entry) {
      CPPUNIT_ASSERT_EQUAL(std::string("unknown"),
                           cluster.PostOnce(entry, used).Header(kDisposition));
    }
    CPPUNIT_ASSERT_EQUAL(1, cluster.Executions(used));
    CPPUNIT_ASSERT_EQUAL(0, cluster.Executions(unused));
  }

  // Guards against two entries that both take the same key for new, as when
  // the balancer resends a request.
  void SameKeyAtAllEntriesRunsOnce() {
    ServingCluster cluster;
    std::vector<std::thread> callers;
    callers.reserve(kSenders);
    for (int sender = 0; sender < kSenders; ++sender) {
      callers.emplace_back([&cluster, sender] {
        for (int i = 0; i < kKeys; ++i) {
          cluster.PostOnce(sender % 2, absl::StrCat("key-", i));
        }
      });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    for (int i = 0; i < kKeys; ++i) {
      const std::string key = absl::StrCat("key-", i);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(key, 1, cluster.Executions(key));
    }
  }

  // Guards against a claim that is taken for another's, or written twice,
  // because the store's answer was lost after the write took effect.
  void ClaimWithLostAnswerRunsOnce() {
    ServingCluster cluster;
    for (const char* fault : {"lose_answers", "lose_requests"}) {
      for (int i = 0; i < 5; ++i) {
        const std::string key = absl::StrCat(fault, "-", i);
        cluster.SetPlatformFault({{fault, 1}});
        cluster.PostOnce(0, key);
        cluster.PostOnce(1, key);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(key, 1, cluster.Executions(key));
      }
    }
  }

  // Guards against running a key that cannot be claimed, and against bookings
  // that stop with the store although tickets need none.
  void StoreOutageRefusesKeysButNotTickets() {
    ServingCluster cluster;
    cluster.SetPlatformFault({{"down", true}});
    const CallResult refused = cluster.PostOnce(0, "during-outage");
    CPPUNIT_ASSERT_EQUAL(503, refused.status);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), refused.Header(kDisposition));
    CPPUNIT_ASSERT_EQUAL(0, cluster.Executions("during-outage"));
    const std::string ticket = cluster.Ticket(1);
    CPPUNIT_ASSERT_EQUAL(200, cluster.PostOnce(0, ticket).status);
    CPPUNIT_ASSERT_EQUAL(1, cluster.Executions(ticket));
    CPPUNIT_ASSERT_EQUAL(200, Call("GET", cluster.Shop(0)).status);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunOnceTest);

}  // namespace
}  // namespace figflow::test
