// Lasting jobs with a task on each executor lose one executor for good; then a
// job of short tasks is handed in.
#include <string>
#include <thread>

#include "../standin-2/play.h"

namespace {

using namespace standin;

constexpr char kPool[] = "mill";
constexpr int kExecutors = 8;
constexpr int kLastingJobs = 40;
constexpr int kLastingCpu = 200;
constexpr int kShortCpu = 1000;
constexpr int kShortTasks = 4;
constexpr int kShortJob = 1000;
constexpr int64_t kShortWork = 500;
// finish_s, and how long a job may have nothing running after it.
constexpr int64_t kFinish = 14000;
constexpr int64_t kIdle = 3000;

bool IsShort(const std::string& task) {
  return task.rfind(JobId(kShortJob), 0) == 0;
}

}  // namespace

int main(int count, char** arguments) {
  Play play(count, arguments);
  play.platform.cpu_of = [](const std::string& task) {
    return IsShort(task) ? kShortCpu : kLastingCpu;
  };
  play.platform.behaviour = [](const std::string& task) {
    Behaviour behaviour;
    behaviour.work_ms = IsShort(task) ? kShortWork : 1'000'000;
    behaviour.lasts = !IsShort(task);
    return behaviour;
  };
  for (int i = 1; i <= kExecutors; ++i) {
    play.cloud.Add("m-" + std::to_string(i), kPool, false);
  }
  play.Configure({kPool});
  if (!play.StartDaemons(3)) {
    play.Finish(kCouldNotRun, "the daemons did not become ready");
  }
  for (int i = 1; i <= kLastingJobs; ++i) {
    const json job = {{"Spec", "pulp"},
                      {"Steps",
                       {{{"Count", kExecutors},
                         {"Cpu", kLastingCpu},
                         {"MemMb", 64},
                         {"EstimateMs", 900},
                         {"Perpetual", true},
                         {"MaxPerServer", 1}}}}};
    if (!play.Submit(kPool, JobId(i), job)) {
      play.Finish(kCouldNotRun, "a lasting job was not accepted");
    }
  }
  SleepUntil(NowMs() + 6000);
  if (WithTrouble()) {
    play.cloud.Lose("m-3");
  }
  SleepUntil(NowMs() + 10000);
  const json job = {{"Spec", "pulp"},
                    {"Steps",
                     {{{"Count", kShortTasks},
                       {"Cpu", kShortCpu},
                       {"MemMb", 64},
                       {"EstimateMs", kShortWork}}}}};
  if (!play.Submit(kPool, JobId(kShortJob), job)) {
    play.Finish(kCouldNotRun, "the short job was not accepted");
  }
  const int64_t end_of_traffic = NowMs();
  int64_t idle = 0;
  int64_t most_idle = 0;
  std::string state;
  while (NowMs() < end_of_traffic + kFinish + 2 * kIdle) {
    SleepUntil(NowMs() + 100);
    const std::lock_guard<std::mutex> lock(play.platform.mutex);
    bool begun = false;
    int64_t used = 0;
    for (const RunSeen& run : play.platform.runs) {
      begun = begun || IsShort(run.task);
      used += run.ended < 0 ? play.platform.cpu_of(run.task) : 0;
    }
    const int64_t room = 64000 * (kExecutors - 1);
    const bool must_run = NowMs() > end_of_traffic + kFinish && !begun &&
                          used < room / 2 &&
                          room - used > 2 * kShortTasks * kShortCpu;
    idle = must_run ? idle + 100 : 0;
    most_idle = std::max(most_idle, idle);
  }
  state = play.State(kPool, JobId(kShortJob));
  play.Finish(most_idle >= kIdle     ? kBroken
              : state == "completed" ? kHeld
                                     : kCouldNotRun,
              "after finish_s the job had nothing running for " +
                  std::to_string(most_idle) + " ms, job " + state);
}
