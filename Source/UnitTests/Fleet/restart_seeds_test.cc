// Random restarts of workers under their ids against the whole engine. A seed
// that ever failed stays in kPastSeeds with a line on the cause.
#include <cstdint>
#include <string>
#include <vector>

#include "Fleet/fleet_test_support.h"
#include "Fleet/seed_support.h"

namespace figflow::test {
namespace {

constexpr uint64_t kLastSeed = 8;

const std::vector<uint64_t> kPastSeeds = {
    // A hold that was meant for the earlier life of a worker acknowledged ended
    // runs, and the next life forgot the end of a run that nobody had read. The
    // task ran again.
    1,
    2,
    // A task started elsewhere while the next life of its worker held a lease
    // for it: the run was still at work, or its end as done was read later.
    33,
    73,
    123,
};

class RestartSeedsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RestartSeedsTest);
  CPPUNIT_TEST(PastSeeds);
  CPPUNIT_TEST(Seeds);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PastSeeds() {
    for (const uint64_t seed : kPastSeeds) {
      RunRestartSeed(seed);
    }
  }

  // Lets workers start again under their ids, many of them cut off soon after,
  // while orders to them are under way.
  void Seeds() { RunSeeds(kLastSeed, RunRestartSeed); }

 private:
  static void RunRestartSeed(uint64_t seed) {
    ModelFleet fleet(seed);
    SeededDraw draw(seed + 5'000);
    fleet.SetPlan(SimplePlan(2));
    AddInstances(fleet, 2, 4, 3);
    fleet.AddDaemons(4);
    fleet.Run(seconds(2));
    fleet.workers.behaviour = [&draw](const TaskName&) {
      model::TaskBehaviour behaviour;
      behaviour.duration = draw.Draw(0, 3) == 0
                               ? milliseconds(4'000)
                               : milliseconds(draw.Draw(20, 600));
      return behaviour;
    };
    fleet.workers.faults.answer_lost_share = 0.15;
    for (int i = 0; i < 200; ++i) {
      const JobSpec spec =
          SimpleJob(absl::StrCat("j", i), absl::StrCat("q", i % 2),
                    draw.Draw(1, 2), draw.Draw(1, 4), 4'000);
      const int daemon = draw.Draw(0, fleet.daemons() - 1);
      fleet.time.After(milliseconds(draw.Draw(0, 20'000)),
                       [&fleet, spec, daemon] { fleet.Submit(spec, daemon); });
    }
    for (int i = 0; i < 40; ++i) {
      fleet.time.After(milliseconds(draw.Draw(200, 20'000)),
                       [&fleet, &draw] { RestartWorker(fleet, draw); });
    }
    fleet.Run(seconds(90));
    AssertSeedPromisesKept(fleet, seed);
  }

  // Restarts a worker, which in half of the cases is cut off soon after.
  static void RestartWorker(ModelFleet& fleet, SeededDraw& draw) {
    const std::vector<std::string> workers =
        fleet.workers.Ids(absl::StrCat("p", draw.Draw(0, 1)));
    if (workers.empty()) {
      return;
    }
    const std::string id =
        workers[draw.Draw(0, static_cast<int>(workers.size()) - 1)];
    const auto down = milliseconds(draw.Draw(50, 700));
    fleet.workers.Restart(id, down, milliseconds(draw.Draw(0, 1'500)));
    if (draw.Draw(0, 1) == 0) {
      return;
    }
    const auto cut_at = down + milliseconds(draw.Draw(0, 400));
    const auto cut_for = milliseconds(draw.Draw(500, 9'000));
    fleet.time.After(cut_at,
                     [&fleet, id] { fleet.workers.Find(id)->cut = true; });
    fleet.time.After(cut_at + cut_for,
                     [&fleet, id] { fleet.workers.Find(id)->cut = false; });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestartSeedsTest);

}  // namespace
}  // namespace figflow::test
