// Three of 64 jobs have tasks that always fail; then a task that lasts ends.
#include <string>
#include <thread>

#include "../standin-2/play.h"

namespace {

using namespace standin;

constexpr char kPool[] = "mill";
constexpr int kExecutors = 8;
constexpr int kLastingTasks = 5;
constexpr int kLastingCpu = 2000;
constexpr int kPoisonTasks = 24;
constexpr int kPoisonCpu = 11000;
constexpr int kShortCpu = 3500;
constexpr int kShortJobs = 60;
constexpr int kLasting = 1;
constexpr int kPoison = 1000;
constexpr int kPoison2 = 1001;
constexpr int kPoison3 = 1002;
// All jobs but the lasting one are handed in within this time.
constexpr int64_t kSpan = 3000;
// After the end of the traffic.
constexpr int64_t kFinish = 14000;
constexpr int64_t kLastingEnds = 18000;
// A task that lasts runs again this long after its last run.
constexpr int64_t kAgain = 6000 + 3000;

bool IsOf(const std::string& task, int job) {
  return task.rfind(JobId(job), 0) == 0;
}

bool IsPoison(const std::string& task) {
  return IsOf(task, kPoison) || IsOf(task, kPoison2) || IsOf(task, kPoison3);
}

}  // namespace

int main(int count, char** arguments) {
  Play play(count, arguments);
  play.platform.cpu_of = [](const std::string& task) {
    return IsOf(task, kLasting) ? kLastingCpu
           : IsPoison(task)     ? kPoisonCpu
                                : kShortCpu;
  };
  play.platform.behaviour = [](const std::string& task) {
    Behaviour behaviour;
    behaviour.work_ms = 300;
    behaviour.fails = IsPoison(task) && WithTrouble();
    if (IsOf(task, kLasting)) {
      behaviour.work_ms = 1'000'000;
      behaviour.lasts = true;
    }
    return behaviour;
  };
  for (int i = 1; i <= kExecutors; ++i) {
    play.cloud.Add("m-" + std::to_string(i), kPool, false);
  }
  play.Configure({kPool});
  if (!play.StartDaemons(3)) {
    play.Finish(kCouldNotRun, "the daemons did not become ready");
  }
  const auto job = [](int tasks, int cpu, bool lasts) {
    json step = {
        {"Count", tasks}, {"Cpu", cpu}, {"MemMb", 64}, {"EstimateMs", 300}};
    if (lasts) {
      step["Perpetual"] = true;
      step["MaxPerServer"] = 1;
    }
    return json{{"Spec", "pulp"}, {"Steps", {step}}};
  };
  bool accepted = play.Submit(kPool, JobId(kLasting),
                              job(kLastingTasks, kLastingCpu, true));
  const int64_t begin = NowMs();
  for (int i = 1; i <= kShortJobs; ++i) {
    accepted = accepted && play.Submit(kPool, JobId(kLasting + i),
                                       job(6, kShortCpu, false));
  }
  // The short tasks have ended by then.
  SleepUntil(NowMs() + 700);
  for (const int id : {kPoison, kPoison2, kPoison3}) {
    accepted = accepted && play.Submit(kPool, JobId(id),
                                       job(kPoisonTasks, kPoisonCpu, false));
  }
  if (!accepted) {
    play.Finish(kCouldNotRun, "a job was not accepted");
  }
  if (NowMs() > begin + kSpan) {
    play.Finish(kCouldNotRun, "the jobs took too long to hand in");
  }
  const int64_t end_of_traffic = NowMs();
  SleepUntil(end_of_traffic + kLastingEnds);
  const std::string task = JobId(kLasting) + ".0.0.0";
  play.platform.Fail(task);
  const int64_t ended = NowMs();
  int64_t again = -1;
  while (again < 0 && NowMs() < ended + 25000) {
    SleepUntil(NowMs() + 50);
    const std::lock_guard<std::mutex> lock(play.platform.mutex);
    for (const RunSeen& run : play.platform.runs) {
      again = run.task == task && run.began > ended ? run.began : again;
    }
  }
  const int64_t gap = (again < 0 ? NowMs() : again) - ended;
  play.Finish(gap > kAgain ? kBroken : kHeld,
              "the task that lasts ran again after " + std::to_string(gap) +
                  " ms, jobs of failing tasks " +
                  play.State(kPool, JobId(kPoison)) + ", " +
                  play.State(kPool, JobId(kPoison2)) + ", " +
                  play.State(kPool, JobId(kPoison3)));
}
