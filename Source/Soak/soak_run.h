#ifndef SOAK_SOAK_RUN_H_
#define SOAK_SOAK_RUN_H_

#include <atomic>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "Soak/callers.h"

namespace figflow::soak {

// Size and load of the deployment. Another one than the default has heartbeats
// of workers, and faults and peaks of its own.
struct SoakShape {
  int pools = 3;
  int instances_per_pool = 4;
  // Instances in the spare pool.
  int spare = 0;
  // Factor on the callers' rate.
  int load = 1;

  int instances() const { return pools * instances_per_pool + spare; }
  bool IsDefault() const;
};

struct SoakOptions {
  uint64_t seed = 1;
  // Time with faults. The first quarter, and all of it for each fifth seed, has
  // planned work only.
  std::chrono::seconds duration{20};
  int daemons = 3;
  SoakShape shape;
  int first_port = 0;
  std::string program;
  // Ends the run early once true; null for never.
  const std::atomic<bool>* interrupted = nullptr;
  // Settings, logs and the trace of the run; must exist.
  std::string directory;
};

struct SoakReport {
  // Promises that were broken, each with the time since the start.
  std::vector<std::string> broken;
  CallerCounts calls;
  int completed = 0;
  // From the end of the faults until all had ended.
  std::chrono::milliseconds settle{0};
  // The longest time by which the models were behind real time.
  std::chrono::milliseconds lag{0};
  std::map<std::string, int> faults;
};

// One run: daemons, platform, callers and faults, all from one seed.
SoakReport RunSoak(const SoakOptions& options);

}  // namespace figflow::soak

#endif  // SOAK_SOAK_RUN_H_
