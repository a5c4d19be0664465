#ifndef FLEET_FLEET_TEST_SUPPORT_H_
#define FLEET_FLEET_TEST_SUPPORT_H_

#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "StandIns/Fleet/model_fleet.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace figflow::test {

using model::ModelFleet;
using model::SimpleJob;
using model::SimplePlan;
using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr Resources kWorkerSize{16'000, 64'000, 0};
// Time within which a change that the store has acknowledged is in force.
inline constexpr milliseconds kApplyBound{2'000};

// Adds `each` instances with one worker each to every pool, and `spare` spare
// ones.
inline void AddInstances(ModelFleet& fleet, int pools, int each, int spare) {
  for (int pool = 0; pool < pools; ++pool) {
    for (int i = 0; i < each; ++i) {
      fleet.instances.Add(absl::StrCat("p", pool), kWorkerSize);
    }
  }
  for (int i = 0; i < spare; ++i) {
    fleet.instances.Add("spare", kWorkerSize);
  }
}

// Submits `count` jobs, one each `interval`, to all daemons in turn.
inline void SubmitMany(ModelFleet& fleet,
                       const std::string& prefix,
                       const std::string& queue,
                       int count,
                       milliseconds interval,
                       int stages = 2,
                       int tasks = 4,
                       int64_t millicores = 1'000) {
  for (int i = 0; i < count; ++i) {
    fleet.time.After(interval * i,
                     [&fleet, prefix, queue, i, stages, tasks, millicores] {
                       fleet.Submit(SimpleJob(absl::StrCat(prefix, i), queue,
                                              stages, tasks, millicores),
                                    i % fleet.daemons());
                     });
  }
}

// Starts three daemons and runs until the pools have owners.
inline void StartFleet(ModelFleet& fleet, int pools, int each, int spare) {
  fleet.SetPlan(SimplePlan(pools));
  AddInstances(fleet, pools, each, spare);
  fleet.AddDaemons(3);
  fleet.Run(std::chrono::seconds(2));
}

// Starts a maintenance wave of the first `count` instances.
inline MaintenanceWave StartWave(ModelFleet& fleet, int count, int max_down) {
  MaintenanceWave wave;
  wave.number = 1;
  wave.max_down = max_down;
  wave.complete_within = std::chrono::seconds(25);
  for (int i = 1; i <= count; ++i) {
    wave.instances.push_back(absl::StrCat("m", i));
  }
  fleet.instances.SetWave(wave);
  fleet.store.Put(model::ModelWaveKey(1), model::FormatModelWave(wave));
  return wave;
}

// Asserts that no promise was broken and that every accepted job has ended.
inline void AssertPromisesKept(const ModelFleet& fleet) {
  CPPUNIT_ASSERT_EQUAL(std::string(),
                       absl::StrJoin(fleet.promises.broken(), "; "));
  CPPUNIT_ASSERT_EQUAL(std::string(),
                       absl::StrJoin(fleet.promises.Unfinished(), "; "));
}

}  // namespace figflow::test

#endif  // FLEET_FLEET_TEST_SUPPORT_H_
