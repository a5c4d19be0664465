#include <atomic>
#include <ctime>
#include <iostream>
#include <thread>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Routing/routing_fixture.h"

namespace figflow {
namespace {

using namespace std::string_literals;
using test::At;
using test::Harness;
using test::kPool;
using test::MakePool;

// Returns the processor time of this thread, which doesn't include the time of
// other processes on its core.
std::chrono::nanoseconds ThreadCpuTime() {
  timespec time = {};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

class DispatcherTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DispatcherTest);
  CPPUNIT_TEST(RefusalsNameTheirReason);
  CPPUNIT_TEST(EachCallbackRunsOnce);
  CPPUNIT_TEST(CallbacksThatFinishAtOnceDoNotNest);
  CPPUNIT_TEST(LeavingTargetGetsNothingNew);
  CPPUNIT_TEST(ShrunkShareGetsNoGrantsUntilItFits);
  CPPUNIT_TEST(VanishedTargetsKeepTheirCount);
  CPPUNIT_TEST(QueueMovesToPeersWhenTargetsFail);
  CPPUNIT_TEST(UnknownLongOperationIsLimitedWhileItRuns);
  CPPUNIT_TEST(MassCancellationIsFast);
  CPPUNIT_TEST(ConcurrentGrantsStayWithinTheShare);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a refusal with a wrong reason, which callers and peers act
  // on.
  void RefusalsNameTheirReason() {
    RoutingOptions options;
    options.queue_capacity = {2, 2};
    Harness h(options);
    h.Submit(1, 0);
    h.Table(MakePool(1, 0));
    h.Submit(2, 0);
    h.Table(MakePool(1, 1));
    h.Submit(3, 5, 5);
    h.Submit(4, 5);      // granted
    h.Submit(5, 5);      // queued
    h.Submit(6, 5, 30);  // queued
    h.Submit(7, 5);
    h.Submit(6, 5);  // The id is in use.
    CPPUNIT_ASSERT(h.dispatcher.Cancel(kPool, 5));
    CPPUNIT_ASSERT(!h.dispatcher.Cancel(kPool, 5));
    CPPUNIT_ASSERT(!h.dispatcher.Cancel(kPool, 4));
    h.Finish(4, 15);      // held its slot for 10 s; 6 is granted
    h.Submit(8, 15, 40);  // predicted wait 10 s
    h.Submit(9, 15, 20);
    h.dispatcher.Tick(At(41));
    h.Submit(10, 41);
    h.dispatcher.Stop(At(42));
    h.Submit(11, 42);
    h.dispatcher.UpdateTable(RoutingTable(), At(43));
    h.Submit(12, 43);
    std::string refusals;
    for (const auto& [id, refusal] : h.refusals) {
      refusals += std::to_string(id) + " " + refusal + "; ";
    }
    CPPUNIT_ASSERT_EQUAL(
        "1 unknown-pool; 2 no-target; 3 deadline-passed; 5 cancelled; "
        "6 cancelled; 7 queue-full; 8 deadline-passed; 9 would-miss-deadline; "
        "10 stopping; 11 stopping; 12 stopping; "s,
        refusals);
    CPPUNIT_ASSERT_EQUAL(
        uint64_t{2},
        h.registry
            .GetCounter("figflow_routing_refusals_total{reason=\"cancelled\"}")
            .value());
    const nlohmann::json dump = h.dispatcher.Dump()["p"];
    CPPUNIT_ASSERT_EQUAL(1, dump["refused"]["queue-full"].get<int>());
    CPPUNIT_ASSERT_EQUAL(2, dump["short"]["granted"].get<int>());
  }

  // Guards against a lost or repeated callback when a callback calls the
  // dispatcher.
  void EachCallbackRunsOnce() {
    Harness h;
    h.Table(MakePool(1, 1));
    int granted = 0;
    std::function<void(uint64_t)> submit = [&](uint64_t id) {
      h.dispatcher.Submit(WorkItem{id, kPool, "op", At(1000)}, At(0),
                          [&, id](tl::expected<Permit, Refusal> result) {
                            ++granted;
                            if (id < 100) {
                              submit(id + 1);
                            }
                            h.dispatcher.Finish(*result, {}, At(0));
                          });
    };
    submit(1);
    CPPUNIT_ASSERT_EQUAL(100, granted);
    CPPUNIT_ASSERT_EQUAL(1, h.dispatcher.FreeSlots().at(0).second);
  }

  // Guards against a stack overflow with a long queue, when the callers have
  // disconnected and each callback finishes its permit.
  void CallbacksThatFinishAtOnceDoNotNest() {
    Harness h;
    h.Table(MakePool(1, 1));
    h.Submit(0, 0);
    int granted = 0;
    for (uint64_t id = 1; id <= 40'000; ++id) {
      h.dispatcher.Submit(WorkItem{id, kPool, "op", At(1000)}, At(0),
                          [&](const tl::expected<Permit, Refusal>& result) {
                            ++granted;
                            h.dispatcher.Finish(*result, {}, At(1));
                          });
    }
    h.Finish(0, 1);
    CPPUNIT_ASSERT_EQUAL(40'000, granted);
  }

  // Guards against granting requests to a leaving target because of a new or
  // stale table, and against treating a target as leaving after it has
  // restarted.
  void LeavingTargetGetsNothingNew() {
    Harness h;
    h.Table(MakePool(2, 4, 0.5, 7));
    h.dispatcher.MarkLeaving({InstanceId("t0"), 6}, At(0));
    h.Submit(1, 0);
    CPPUNIT_ASSERT_EQUAL("t0"s, h.TargetOf(1));
    h.Finish(1, 1, AttemptOutcome::kAnswered, true);
    h.Table(MakePool(2, 4, 0.5, 7), 2);
    h.Table(MakePool(2, 4, 0.5, 5), 3);  // a stale list
    h.dispatcher.UpdateTable(RoutingTable(), At(4));
    h.Table(MakePool(2, 4, 0.5, 7), 5);  // listed again
    for (uint64_t id = 2; id < 7; ++id) {
      h.Submit(id, 6);
      CPPUNIT_ASSERT(h.TargetOf(id) != "t0");
    }
    const auto recent = h.dispatcher.RecentLeavingTargets(At(6));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, recent.size());
    CPPUNIT_ASSERT_EQUAL(uint64_t{7}, recent[0].boot);
    CPPUNIT_ASSERT(h.dispatcher.RecentLeavingTargets(At(60)).empty());
    h.Table(MakePool(2, 4, 0.5, 8), 61);
    CPPUNIT_ASSERT_EQUAL("t0"s, h.TargetOf(6));
  }

  // Guards against more grants than slots while the daemon's share changes.
  void ShrunkShareGetsNoGrantsUntilItFits() {
    Harness h;
    h.Table(MakePool(1, 4));
    for (uint64_t id = 1; id <= 6; ++id) {
      h.Submit(id, 0);
    }
    h.Table(MakePool(1, 2), 1);
    CPPUNIT_ASSERT_EQUAL(4, h.dispatcher.InFlight(kPool, InstanceId("t0")));
    CPPUNIT_ASSERT_EQUAL(0, h.dispatcher.FreeSlots().at(0).second);
    h.Finish(1, 1);
    h.Finish(2, 1);
    CPPUNIT_ASSERT_EQUAL(size_t{4}, h.permits.size());
    h.Finish(3, 1);
    CPPUNIT_ASSERT_EQUAL(size_t{5}, h.permits.size());
    PoolTable few = MakePool(1, 8);
    few.targets[0].connections = 3;
    h.Table(few, 2);
    CPPUNIT_ASSERT_EQUAL(3, h.dispatcher.InFlight(kPool, InstanceId("t0")));
    CPPUNIT_ASSERT_EQUAL(0, h.dispatcher.FreeSlots().at(0).second);
  }

  // Guards against confirming a move or reusing slots while requests still run
  // at a target that is no longer listed.
  void VanishedTargetsKeepTheirCount() {
    Harness h;
    const InstanceId t0("t0");
    h.Table(MakePool(1, 2));
    h.Submit(1, 0);
    h.Submit(2, 0);
    h.Submit(3, 0);
    h.dispatcher.UpdateTable(RoutingTable(), At(1));
    CPPUNIT_ASSERT_EQUAL("unknown-pool"s, h.refusals[3]);
    CPPUNIT_ASSERT_EQUAL(2, h.dispatcher.InFlight(kPool, t0));
    h.Table(MakePool(1, 2), 2);
    h.Submit(4, 2);
    CPPUNIT_ASSERT_EQUAL(std::string(), h.TargetOf(4));
    h.Finish(1, 3);
    CPPUNIT_ASSERT_EQUAL("t0"s, h.TargetOf(4));
    h.Finish(1, 3);  // reported twice
    CPPUNIT_ASSERT_EQUAL(2, h.dispatcher.InFlight(kPool, t0));
    h.dispatcher.UpdateTable(RoutingTable(), At(4));
    h.Finish(2, 5);
    h.Finish(4, 5);
    CPPUNIT_ASSERT_EQUAL(0, h.dispatcher.InFlight(kPool, t0));
    h.dispatcher.UpdateTable(RoutingTable(), At(6));
    CPPUNIT_ASSERT(h.dispatcher.FreeSlots().empty());
  }

  // Guards against queued requests that wait for targets that stay unavailable.
  void QueueMovesToPeersWhenTargetsFail() {
    Harness h;
    h.Table(MakePool(1, 1));
    h.Submit(1, 0);
    h.Submit(2, 0);
    h.Finish(1, 0, AttemptOutcome::kRefused);
    h.dispatcher.Tick(At(0.2));
    CPPUNIT_ASSERT(h.calls[2] == 0);
    h.dispatcher.Tick(At(0.3));
    CPPUNIT_ASSERT_EQUAL("t0"s, h.TargetOf(2));  // the probe
    h.Submit(3, 0.3);
    h.Submit(4, 0.3);
    h.Finish(2, 0.3, AttemptOutcome::kRefused);
    h.dispatcher.Tick(At(0.9));
    CPPUNIT_ASSERT_EQUAL("t0"s, h.TargetOf(3));
    h.dispatcher.Tick(At(1.1));
    CPPUNIT_ASSERT_EQUAL("no-target"s, h.refusals[4]);
    h.Submit(5, 1.1);
    CPPUNIT_ASSERT_EQUAL("no-target"s, h.refusals[5]);
    h.Finish(3, 1.2);
    h.Submit(6, 1.2);
    CPPUNIT_ASSERT_EQUAL("t0"s, h.TargetOf(6));
    h.Submit(7, 1.2);
    h.dispatcher.MarkLeaving({InstanceId("t0"), 1}, At(1.3));
    CPPUNIT_ASSERT_EQUAL("no-target"s, h.refusals[7]);
  }

  // Guards against an operation without measurements that occupies all slots.
  void UnknownLongOperationIsLimitedWhileItRuns() {
    Harness h;
    h.Table(MakePool(4, 4));
    for (uint64_t id = 1; id <= 50; ++id) {
      h.Submit(id, 0, 1000, "short");
      h.Finish(id, 0.01, AttemptOutcome::kAnswered, false, 10);
    }
    for (uint64_t id = 101; id <= 112; ++id) {
      h.Submit(id, 1, 1000, "report");
    }
    h.dispatcher.Tick(At(1.1));
    for (uint64_t id = 113; id <= 120; ++id) {
      h.Submit(id, 1.2, 1000, "report");
    }
    const nlohmann::json dump = h.dispatcher.Dump()["p"];
    CPPUNIT_ASSERT_EQUAL(12, dump["long"]["in_flight"].get<int>());
    CPPUNIT_ASSERT_EQUAL(8, dump["long"]["queued"].get<int>());
    h.Submit(200, 1.2, 1000, "short");
    CPPUNIT_ASSERT_EQUAL(1, h.calls[200]);
  }

  // Guards against a cancellation that searches or rebuilds the whole queue.
  void MassCancellationIsFast() {
    Harness h;
    h.Table(MakePool(1, 1));
    h.Submit(0, 0);
    constexpr uint64_t queued = 50'000;
    int cancelled = 0;
    for (uint64_t id = 1; id <= queued; ++id) {
      h.dispatcher.Submit(
          WorkItem{id, kPool, "op", At(100 + static_cast<double>(id % 977))},
          At(0), [&cancelled](const auto& result) {
            cancelled += !result && result.error() == Refusal::kCancelled;
          });
    }
    const std::chrono::nanoseconds start = ThreadCpuTime();
    for (uint64_t id = 1; id <= queued; ++id) {
      h.dispatcher.Cancel(kPool, id);
    }
    const std::chrono::nanoseconds took = ThreadCpuTime() - start;
    std::cout << "50,000 cancellations: " << took.count() / 1000 << " us\n";
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(queued), cancelled);
#if !defined(__SANITIZE_THREAD__) && !defined(__SANITIZE_ADDRESS__)
    CPPUNIT_ASSERT_MESSAGE(std::to_string(took.count()) + " ns",
                           took < std::chrono::milliseconds(50));
#endif
    (void)took;
  }

  // Guards against races between submitting, finishing, cancelling and table
  // updates that allow more requests at a target than the daemon's largest
  // share.
  void ConcurrentGrantsStayWithinTheShare() {
    Harness h;
    const SystemClock clock;
    const auto table = [](int slots) {
      return RoutingTable{{MakePool(2, slots)}};
    };
    h.dispatcher.UpdateTable(table(3), clock.Now());
    std::atomic<int> at_target[2] = {};
    std::atomic<int> most{0};
    std::atomic<int> done{0};
    std::atomic<bool> stop{false};
    constexpr int thread_count = 3;
    constexpr int items = 2000;
    std::vector<std::thread> threads;
    threads.reserve(thread_count + 1);
    for (int t = 0; t < thread_count; ++t) {
      threads.emplace_back([&, t] {
        for (int i = 0; i < items; ++i) {
          const uint64_t id = static_cast<uint64_t>(t) * items + i;
          const MonoTime now = clock.Now();
          h.dispatcher.Submit(
              WorkItem{id, kPool, "op", now + std::chrono::seconds(60)}, now,
              [&](tl::expected<Permit, Refusal> result) {
                if (result) {
                  auto& count = at_target[result->target.value() == "t1"];
                  const int running = ++count;
                  int seen = most;
                  while (running > seen &&
                         !most.compare_exchange_weak(seen, running)) {
                  }
                  std::this_thread::yield();
                  --count;
                  h.dispatcher.Finish(*result, {}, clock.Now());
                }
                ++done;
              });
          if (i % 7 == 0) {
            h.dispatcher.Cancel(kPool, id);
          }
        }
      });
    }
    threads.emplace_back([&] {
      for (int i = 0; !stop; ++i) {
        h.dispatcher.UpdateTable(table(1 + i % 3), clock.Now());
        h.dispatcher.Tick(clock.Now());
        (void)h.dispatcher.Dump();
      }
    });
    for (int t = 0; t < thread_count; ++t) {
      threads[t].join();
    }
    stop = true;
    threads.back().join();
    h.dispatcher.UpdateTable(table(3), clock.Now());
    CPPUNIT_ASSERT_EQUAL(thread_count * items, done.load());
    CPPUNIT_ASSERT(most <= 3);
    CPPUNIT_ASSERT_EQUAL(0, h.dispatcher.InFlight(kPool, InstanceId("t0")));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherTest);

}  // namespace
}  // namespace figflow
