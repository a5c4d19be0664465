// Upkeep of a machine stops one member of a gang that saves its progress.
#include <map>
#include <set>
#include <string>
#include <thread>
#include <utility>

#include "../standin-2/play.h"

namespace {

using namespace standin;

constexpr char kPool[] = "mill";
constexpr int kMembers = 3;
constexpr int64_t kWork = 12000;
constexpr int64_t kPlay = 40000;

}  // namespace

int main(int count, char** arguments) {
  Play play(count, arguments);
  play.platform.cpu_of = [](const std::string&) { return 8000; };
  play.platform.behaviour = [](const std::string&) {
    Behaviour behaviour;
    behaviour.work_ms = kWork;
    behaviour.gang = kMembers;
    behaviour.saves = true;
    return behaviour;
  };
  for (int i = 1; i <= kMembers + 1; ++i) {
    play.cloud.Add("m-" + std::to_string(i), kPool, false);
  }
  play.Configure({kPool});
  if (!play.StartDaemons(3)) {
    play.Finish(kCouldNotRun, "the daemons did not become ready");
  }
  const json job = {{"Spec", "pulp"},
                    {"Steps",
                     {{{"Count", kMembers},
                       {"Cpu", 8000},
                       {"MemMb", 1024},
                       {"EstimateMs", kWork},
                       {"Gang", true},
                       {"SavesProgress", true},
                       {"MaxPerServer", 1}}}}};
  if (!play.Submit(kPool, JobId(1), job)) {
    play.Finish(kCouldNotRun, "the job was not accepted");
  }
  SleepUntil(NowMs() + 4000);
  if (WithTrouble()) {
    std::string machine;
    for (int i = 1; machine.empty() && i <= kMembers + 1; ++i) {
      const std::lock_guard<std::mutex> lock(play.platform.mutex);
      for (const RunSeen& run : play.platform.runs) {
        if (run.executor == "i-" + std::to_string(i)) {
          machine = "m-" + std::to_string(i);
        }
      }
    }
    play.record.Line("a wave asks for the upkeep of " + machine);
    play.store.Put("op/wave/1", {{"Wave", 1},
                                 {"Machines", {machine}},
                                 {"CompleteByS", 26},
                                 {"Cap", 1}});
  }
  const int64_t until = NowMs() + kPlay;
  std::string state;
  while (NowMs() < until && state != "completed") {
    SleepUntil(NowMs() + 500);
    state = play.State(kPool, JobId(1));
  }
  const std::lock_guard<std::mutex> lock(play.platform.mutex);
  // Values with which the members of each run of the gang were started.
  std::map<uint32_t, std::set<std::string>> values;
  for (const RunSeen& run : play.platform.runs) {
    values[run.run].insert(run.checkpoint);
  }
  int mixed = 0;
  for (const auto& [run, checkpoints] : values) {
    std::string list;
    for (const std::string& value : checkpoints) {
      list += " '" + value + "'";
    }
    play.record.Line("run " + std::to_string(run) + " was started with" + list);
    mixed += checkpoints.size() > 1 ? 1 : 0;
  }
  play.Finish(mixed > 0              ? kBroken
              : state == "completed" ? kHeld
                                     : kCouldNotRun,
              std::to_string(values.size()) + " runs of the gang, " +
                  std::to_string(mixed) +
                  " of them started with different checkpoints, job " + state);
}
