// Short tasks end on one executor while the platform's store is down.
#include <map>
#include <string>
#include <thread>

#include "../standin-2/play.h"

namespace {

using namespace standin;

constexpr char kPool[] = "mill";
constexpr int kJobs = 40;
constexpr int kTasks = 24;
constexpr int kTaskCpu = 50;
// Tasks last from 1 to 5 s.
constexpr int64_t kShortest = 1000;
constexpr int64_t kSpread = 4000;
constexpr int64_t kOutage = 4500;
constexpr int64_t kPlay = 30000;

}  // namespace

int main(int count, char** arguments) {
  Play play(count, arguments);
  play.platform.cpu_of = [](const std::string&) { return kTaskCpu; };
  play.platform.behaviour = [](const std::string& task) {
    Behaviour behaviour;
    behaviour.work_ms =
        kShortest +
        static_cast<int64_t>(std::hash<std::string>()(task) % kSpread);
    return behaviour;
  };
  play.cloud.Add("m-1", kPool, false);
  play.cloud.Add("m-2", kPool, false);
  play.Configure({kPool});
  if (!play.StartDaemons(3)) {
    play.Finish(kCouldNotRun, "the daemons did not become ready");
  }
  int accepted = 0;
  for (int i = 0; i < kJobs; ++i) {
    const json job = {{"Spec", "pulp"},
                      {"Steps",
                       {{{"Count", kTasks},
                         {"Cpu", kTaskCpu},
                         {"MemMb", 64},
                         {"EstimateMs", 3000}}}}};
    accepted += play.Submit(kPool, JobId(i + 1), job) ? 1 : 0;
  }
  if (accepted < kJobs) {
    play.Finish(kCouldNotRun, "not all jobs were accepted");
  }
  if (WithTrouble()) {
    play.record.Line("the store is down");
    play.store.SetDown(true);
    SleepUntil(NowMs() + kOutage);
    play.store.SetDown(false);
    play.record.Line("the store is back");
  }
  SleepUntil(NowMs() + kPlay - (WithTrouble() ? kOutage : 0));
  int completed = 0;
  for (int i = 0; i < kJobs; ++i) {
    completed += play.State(kPool, JobId(i + 1)) == "completed" ? 1 : 0;
  }
  const std::lock_guard<std::mutex> lock(play.platform.mutex);
  std::map<std::string, const RunSeen*> done;
  int starts_after_done = 0;
  for (const RunSeen& run : play.platform.runs) {
    const auto earlier = done.find(run.task);
    if (earlier != done.end() && earlier->second->noted >= 0 &&
        run.began > earlier->second->ended) {
      ++starts_after_done;
      play.record.Line("TWICE " + run.task + " run " + std::to_string(run.run) +
                       " began at " + std::to_string(run.began) + ", run " +
                       std::to_string(earlier->second->run) +
                       " ended done at " +
                       std::to_string(earlier->second->ended));
    }
    if (run.how == "done" && earlier == done.end()) {
      done[run.task] = &run;
    }
  }
  play.Finish(starts_after_done > 0 ? kBroken
              : completed == kJobs  ? kHeld
                                    : kCouldNotRun,
              std::to_string(play.platform.runs.size()) + " runs, " +
                  std::to_string(starts_after_done) +
                  " starts after a noted end `done`, " +
                  std::to_string(completed) + " jobs completed");
}
