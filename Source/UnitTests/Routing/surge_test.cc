#include <algorithm>
#include <iostream>
#include <queue>
#include <random>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Routing/routing_fixture.h"

namespace figflow {
namespace {

using test::At;
using test::kPool;
using test::MakePool;

struct Demand {
  const char* operation;
  // Requests per second outside and inside surges.
  double rate;
  double surge_rate;
  double mean_service;
  double patience;
};

struct Tally {
  std::vector<double> waits;
  int submitted = 0;
  int refused = 0;
  // Requests refused when they were submitted.
  int refused_early = 0;
  // Requests that were granted but finished after the deadline.
  int late = 0;

  double P99() {
    std::sort(waits.begin(), waits.end());
    return waits.empty() ? 0 : waits[waits.size() * 99 / 100];
  }
};

// Runs a dispatcher in virtual time with Poisson arrivals and exponential
// service times from a given seed. A surge covers the last 4 s of every 20 s.
class Simulation {
 public:
  Simulation(const PoolTable& pool, uint64_t seed, RoutingOptions options = {})
      : seed_(seed), dispatcher_(std::move(options), registry_) {
    dispatcher_.UpdateTable(RoutingTable{{pool}}, At(0));
  }

  void Run(const std::vector<Demand>& demands, double seconds) {
    for (const Demand& demand : demands) {
      Arrive(demand, seconds);
    }
    for (double t = 0; t < seconds; t += 0.05) {
      Schedule(t, [this] { dispatcher_.Tick(At(now_)); });
    }
    while (!events_.empty()) {
      now_ = events_.top().time;
      const auto action = std::move(events_.top().action);
      events_.pop();
      action();
    }
  }

  Tally& Of(const std::string& operation) { return tallies_[operation]; }
  int most_queued() const { return most_queued_; }

 private:
  struct Event {
    double time;
    uint64_t sequence;
    mutable std::function<void()> action;
    bool operator<(const Event& other) const {
      return time != other.time ? time > other.time : sequence > other.sequence;
    }
  };

  void Schedule(double time, std::function<void()> action) {
    events_.push(Event{time, sequence_++, std::move(action)});
  }
  static double RateAt(const Demand& demand, double time) {
    return time - 20 * static_cast<int>(time / 20) >= 16 ? demand.surge_rate
                                                         : demand.rate;
  }

  // Schedules the arrivals of a demand in advance with its own random number
  // generator, so that they do not depend on other demands.
  void Arrive(const Demand& demand, double seconds) {
    std::seed_seq seeds{seed_, static_cast<uint64_t>(demand.operation[0])};
    std::mt19937_64 own(seeds);
    const double top = std::max(demand.rate, demand.surge_rate);
    for (double t = 0;;) {
      t += std::exponential_distribution<double>(top)(own);
      if (t >= seconds) {
        return;
      }
      if (std::uniform_real_distribution<double>(0, top)(own) <
          RateAt(demand, t)) {
        const double service =
            std::exponential_distribution<double>(1 / demand.mean_service)(own);
        Schedule(t, [this, demand, service] { Submit(demand, service); });
      }
    }
  }

  void Submit(const Demand& demand, double service) {
    Tally& tally = tallies_[demand.operation];
    ++tally.submitted;
    ++queued_;
    const double submitted = now_;
    dispatcher_.Submit(
        WorkItem{next_id_++, kPool, demand.operation,
                 At(now_ + demand.patience)},
        At(now_),
        [this, &tally, submitted, deadline = now_ + demand.patience,
         service](tl::expected<Permit, Refusal> result) {
          --queued_;
          if (!result) {
            ++tally.refused;
            tally.refused_early += now_ == submitted;
            return;
          }
          tally.waits.push_back(now_ - submitted);
          tally.late += now_ + service > deadline;
          Schedule(now_ + service, [this, permit = *result, service] {
            dispatcher_.Finish(
                permit,
                {AttemptOutcome::kAnswered, test::Ms(service * 1000), false},
                At(now_));
          });
        });
    most_queued_ = std::max(most_queued_, queued_);
  }

  uint64_t seed_;
  MetricsRegistry registry_;
  ShardedDispatcher dispatcher_;
  std::priority_queue<Event> events_;
  uint64_t sequence_ = 0;
  uint64_t next_id_ = 1;
  double now_ = 0;
  int queued_ = 0;
  int most_queued_ = 0;
  std::map<std::string, Tally> tallies_;
};

class SurgeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SurgeTest);
  CPPUNIT_TEST(SurgeIsRefusedEarly);
  CPPUNIT_TEST(LongWorkDoesNotDelayShortWork);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against requests that are refused only after waiting for their
  // deadline, queues that grow with the surge, and slots used for requests that
  // finish after their deadline.
  void SurgeIsRefusedEarly() {
    for (const size_t capacity : {size_t{10'000}, size_t{400}}) {
      RoutingOptions options;
      options.queue_capacity = {capacity, capacity};
      Simulation sim(MakePool(5, 8), 1, options);
      sim.Run({{"GET /", 300, 1500, 0.05, 1.0}}, 40);
      Tally& tally = sim.Of("GET /");
      std::cout << "surge, capacity " << capacity << ": submitted "
                << tally.submitted << " refused " << tally.refused << " early "
                << tally.refused_early << " late " << tally.late
                << " most queued " << sim.most_queued() << "\n";
      CPPUNIT_ASSERT(tally.refused_early >= tally.refused * 85 / 100);
      CPPUNIT_ASSERT(tally.late <= tally.submitted * 3 / 100);
      // The pool serves 800 requests per second, and a request waits for at
      // most one second.
      CPPUNIT_ASSERT(sim.most_queued() <=
                     static_cast<int>(std::min(capacity + 1, size_t{1000})));
      // In 8 s of surges, demand exceeds the pool's capacity by 700 requests
      // per second.
      CPPUNIT_ASSERT(tally.refused <= 8 * 700);
    }
  }

  // Guards against short requests that are delayed by long ones. The run with a
  // single size class shows that this demand causes such delays without
  // classes.
  void LongWorkDoesNotDelayShortWork() {
    RoutingOptions single_class;
    single_class.size_class.long_factor = 1e9;
    const Demand shorts = {"GET /", 300, 1500, 0.05, 30.0};
    const Demand longs = {"POST /report", 2.5, 12.5, 2.0, 20.0};
    for (uint64_t seed = 1; seed <= 3; ++seed) {
      const auto p99 = [seed](const RoutingOptions& options,
                              const std::vector<Demand>& demands) {
        Simulation sim(MakePool(5, 8, 0.25), seed, options);
        sim.Run(demands, 40);
        return sim.Of("GET /").P99();
      };
      const double without = p99({}, {shorts});
      const double with = p99({}, {shorts, longs});
      const double single = p99(single_class, {shorts, longs});
      std::cout << "short p99 wait, seed " << seed << ": without long work "
                << without << " s, with " << with << " s, single class "
                << single << " s\n";
      CPPUNIT_ASSERT(without > 1);
      CPPUNIT_ASSERT(with <= 1.2 * without);
      CPPUNIT_ASSERT(single > 1.2 * without);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SurgeTest);

}  // namespace
}  // namespace figflow
