#ifndef FLEET_SEED_SUPPORT_H_
#define FLEET_SEED_SUPPORT_H_

#include <cstdint>
#include <cstdlib>
#include <random>
#include <string>

#include "Fleet/fleet_test_support.h"

namespace figflow::test {

class SeededDraw {
 public:
  explicit SeededDraw(uint64_t seed) : random_(seed) {}

  int Draw(int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(random_);
  }

 private:
  std::mt19937_64 random_;
};

// Runs the seeds 1 to `last`, or those that FIGFLOW_SEEDS names as "A-B".
inline void RunSeeds(uint64_t last, void (*run)(uint64_t seed)) {
  uint64_t first = 1;
  if (const char* range = std::getenv("FIGFLOW_SEEDS")) {
    char* rest = nullptr;
    first = std::strtoull(range, &rest, 10);
    last = rest != nullptr && *rest == '-'
               ? std::strtoull(rest + 1, nullptr, 10)
               : first;
  }
  for (uint64_t seed = first; seed <= last; ++seed) {
    run(seed);
  }
}

inline void AssertSeedPromisesKept(const ModelFleet& fleet, uint64_t seed) {
  const std::string label = absl::StrCat("seed ", seed, ": ");
  CPPUNIT_ASSERT_EQUAL(label,
                       label + absl::StrJoin(fleet.promises.broken(), "; "));
  CPPUNIT_ASSERT_EQUAL(
      label, label + absl::StrJoin(fleet.promises.Unfinished(), "; "));
}

}  // namespace figflow::test

#endif  // FLEET_SEED_SUPPORT_H_
