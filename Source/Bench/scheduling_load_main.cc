// Processor time that the owner of one pool spends for each task at a peak: the
// engine against the model of the platform, in virtual time.
//
//     figflow_scheduling_load [WORKERS [JOBS_PER_SECOND [SECONDS]]]
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <string>

#include "Common/log.h"
#include "StandIns/Fleet/model_fleet.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

using model::ModelFleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Resources kWorkerSize{64'000, 256'000, 0};
constexpr int kTasks = 8;
constexpr int64_t kMillicores = 6'200;
constexpr milliseconds kTaskTime{540};

double ProcessSeconds() {
  timespec spent{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &spent);
  return static_cast<double>(spent.tv_sec) +
         static_cast<double>(spent.tv_nsec) / 1e9;
}

int Argument(int argc, char** argv, int index, int fallback) {
  return argc > index ? std::atoi(argv[index]) : fallback;
}

int Run(int argc, char** argv) {
  const int workers = Argument(argc, argv, 1, 128);
  const int rate = Argument(argc, argv, 2, 120);
  const int length = Argument(argc, argv, 3, 5);
  InitLogging(LogLevel::kInfo);
  ModelFleet fleet(1);
  fleet.SetPlan(model::SimplePlan(1));
  for (int i = 0; i < workers; ++i) {
    fleet.instances.Add("p0", kWorkerSize);
  }
  fleet.workers.behaviour = [](const TaskName&) {
    return model::TaskBehaviour{kTaskTime, false};
  };
  fleet.AddDaemons(3);
  fleet.Run(seconds(2));
  const int jobs = rate * length;
  for (int i = 0; i < jobs; ++i) {
    fleet.time.After(milliseconds(1'000) * i / rate, [&fleet, i] {
      fleet.Submit(model::SimpleJob(absl::StrCat("a", i), "q0", 1 + i % 2,
                                    kTasks, kMillicores),
                   i % fleet.daemons());
    });
  }
  const double before = ProcessSeconds();
  fleet.Run(seconds(length));
  const double spent = ProcessSeconds() - before;
  const int tasks = jobs * kTasks * 3 / 2;
  std::fprintf(stderr,
               "workers=%d jobs=%d tasks=%d completed=%d processor_s=%.2f "
               "us_per_task=%.0f\n",
               workers, jobs, tasks, fleet.promises.completed(), spent,
               spent * 1e6 / tasks);
  return 0;
}

}  // namespace
}  // namespace figflow

int main(int argc, char** argv) {
  return figflow::Run(argc, argv);
}
