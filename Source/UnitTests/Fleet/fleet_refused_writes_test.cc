// Tests that writes which the store refuses for good stop nothing else.
#include <string>
#include <utility>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Fleet/fleet_test_support.h"
#include "absl/strings/str_cat.h"

namespace figflow::test {
namespace {

using std::chrono::seconds;

class FleetRefusedWritesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetRefusedWritesTest);
  CPPUNIT_TEST(LargeRecordStopsNoOtherJob);
  CPPUNIT_TEST(ManyWavesAtOnceAreRecorded);
  CPPUNIT_TEST(RefusedWaveRecordStopsNoOtherWave);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a pool that accepts and notes nothing any more, while the
  // store refuses the record of one of its jobs.
  void LargeRecordStopsNoOtherJob() {
    ModelFleet fleet(35);
    StartFleet(fleet, 1, 4, 0);
    fleet.store.faults.max_value_bytes = 1'500;
    SubmitMany(fleet, "a", "q0", 4, milliseconds(10));
    JobSpec large = SimpleJob("large", "q0", 1, 60, 1);
    large.occurrences = 3;
    large.first_due = fleet.time.WallNow() + seconds(1);
    large.interval = milliseconds(500);
    fleet.workers.behaviour = [](const TaskName& task) {
      return model::TaskBehaviour{seconds(task.job == "large" ? 5 : 1), false};
    };
    fleet.Submit(large, 0);
    fleet.Run(seconds(4));
    CPPUNIT_ASSERT(fleet.store.refused() > 0);
    SubmitMany(fleet, "b", "q0", 10, milliseconds(100));
    fleet.Run(seconds(8));
    CPPUNIT_ASSERT(fleet.promises.completed() >= 14);
    // The next owner goes on as well, and the large job in parts.
    fleet.Kill(fleet.OwnerOf("p0"), seconds(1));
    fleet.Run(seconds(60));
    CPPUNIT_ASSERT_EQUAL(15, fleet.promises.completed());
    AssertPromisesKept(fleet);
  }

  // Guards against waves that never end because the records of all of them do
  // not fit into one transaction.
  void ManyWavesAtOnceAreRecorded() {
    ModelFleet fleet(36);
    StartFleet(fleet, 1, 24, 0);
    StartWaves(fleet, 20);
    fleet.Run(seconds(60));
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, fleet.store.refused());
    for (int number = 1; number <= 20; ++number) {
      CPPUNIT_ASSERT_EQUAL(1, fleet.instances.Maintained(number));
    }
  }

  // Guards against waves that wait for the record of another one.
  void RefusedWaveRecordStopsNoOtherWave() {
    ModelFleet fleet(37);
    StartFleet(fleet, 1, 24, 0);
    fleet.store.faults.max_value_bytes = 64;
    MaintenanceWave large = MakeWave(1, {});
    large.max_down = 14;
    for (int i = 11; i <= 24; ++i) {
      large.instances.push_back(absl::StrCat("m", i));
    }
    StartWave(fleet, large);
    for (int number = 2; number <= 6; ++number) {
      StartWave(fleet, MakeWave(number, {absl::StrCat("m", number)}));
    }
    fleet.Run(seconds(30));
    CPPUNIT_ASSERT(fleet.store.refused() > 0);
    for (int number = 2; number <= 6; ++number) {
      CPPUNIT_ASSERT_EQUAL(1, fleet.instances.Maintained(number));
    }
    // No instance is maintained without a record.
    CPPUNIT_ASSERT_EQUAL(0, fleet.instances.Maintained(1));
  }

 private:
  static MaintenanceWave MakeWave(uint64_t number,
                                  std::vector<std::string> instances) {
    MaintenanceWave wave;
    wave.number = number;
    wave.max_down = 1;
    wave.complete_within = seconds(50);
    wave.instances = std::move(instances);
    return wave;
  }

  static void StartWave(ModelFleet& fleet, const MaintenanceWave& wave) {
    fleet.instances.SetWave(wave);
    fleet.store.Put(model::ModelWaveKey(wave.number),
                    model::FormatModelWave(wave));
  }

  static void StartWaves(ModelFleet& fleet, int count) {
    for (int number = 1; number <= count; ++number) {
      StartWave(fleet, MakeWave(number, {absl::StrCat("m", number)}));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetRefusedWritesTest);

}  // namespace
}  // namespace figflow::test
