// Random restarts of workers under their ids against the whole engine. A seed
// that ever failed stays in kPastRestartSeeds with a line on the cause.
#include <cstdint>
#include <string>
#include <vector>

#include "Fleet/fleet_test_support.h"
#include "Fleet/seed_support.h"

namespace figflow::test {
namespace {

constexpr uint64_t kLastRestartSeed = 8;

// Each broke while one rule on next lives was taken out.
const std::vector<uint64_t> kPastRestartSeeds = {
    // Ended runs were acknowledged to a life that may have had unread ones.
    4,
    8,
    // A start order was repeated while the worker did not respond.
    5,
    // A run was given up before the lease of the next life had run out: of one
    // that is not listed, and of one that is listed and silent.
    91,
    33,
    // A response whose clock had gone back counted as one of the earlier life.
    175,
};

class RestartSeedsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RestartSeedsTest);
  CPPUNIT_TEST(PastSeeds);
  CPPUNIT_TEST(Seeds);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PastSeeds() {
    for (const uint64_t seed : kPastRestartSeeds) {
      RunRestartSeed(seed);
    }
  }

  // Lets workers start again under their ids, many of them cut off soon after,
  // while orders to them are under way.
  void Seeds() { RunSeeds(kLastRestartSeed, RunRestartSeed); }

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
                               ? milliseconds(5'500)
                               : milliseconds(draw.Draw(20, 600));
      return behaviour;
    };
    fleet.workers.faults.answer_lost_share = 0.15;
    for (int i = 0; i < 200; ++i) {
      const JobSpec spec =
          SimpleJob(absl::StrCat("j", i), absl::StrCat("q", i % 2),
                    draw.Draw(1, 2), draw.Draw(1, 4), 2'000);
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

  // Restarts a worker, which in half of the cases is cut off soon after: from
  // the daemons, and in half of these from the registry, too.
  static void RestartWorker(ModelFleet& fleet, SeededDraw& draw) {
    const std::vector<std::string> workers =
        fleet.workers.Ids(absl::StrCat("p", draw.Draw(0, 1)));
    if (workers.empty()) {
      return;
    }
    const std::string& id =
        workers[draw.Draw(0, static_cast<int>(workers.size()) - 1)];
    const auto down = milliseconds(draw.Draw(50, 700));
    const auto cut_after = milliseconds(draw.Draw(0, 400));
    const auto cut_for = milliseconds(draw.Draw(500, 9'000));
    const bool is_cut = draw.Draw(0, 1) == 0;
    const bool is_hidden = is_cut && draw.Draw(0, 1) == 0;
    fleet.workers.Restart(
        id, down,
        is_hidden ? cut_after + cut_for : milliseconds(draw.Draw(0, 1'500)));
    if (!is_cut) {
      return;
    }
    fleet.time.After(down + cut_after,
                     [&fleet, id] { fleet.workers.Find(id)->cut = true; });
    fleet.time.After(down + cut_after + cut_for,
                     [&fleet, id] { fleet.workers.Find(id)->cut = false; });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestartSeedsTest);

}  // namespace
}  // namespace figflow::test
