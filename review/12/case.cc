// A job of many small tasks, of which several times overlap, beside ordinary
// jobs.
#include <cstdio>
#include <cstdlib>
#include <string>

#include "../standin-3/world.h"

namespace {

using review::json;
using review::NowMs;
using review::Record;

constexpr int kTrafficMs = 20'000;
constexpr int kFinishMs = 14'000;
constexpr int kIdleMs = 3'000;

// Two steps, the second after the first.
json OrdinaryJob(int work_ms) {
  const json first = {
      {"Count", 2}, {"Cpu", 500}, {"MemMb", 256}, {"EstimateMs", work_ms}};
  json second = first;
  second["After"] = {0};
  return {{"Spec", "ordinary"}, {"Steps", {first, second}}};
}

std::string Id(int number) {
  char text[17];
  snprintf(text, sizeof(text), "%016x", 0xabc000 + number);
  return text;
}

}  // namespace

int main(int argc, char** argv) {
  const char* off = getenv("TROUBLE");
  const bool trouble = off == nullptr || std::string(off) != "0";
  if (argc != 4) {
    return 2;
  }
  review::OpenRecord(argv[3]);
  review::World world(argv[1], argv[2]);
  world.Configure({"alpha", "beta"});
  for (int i = 0; i < 3; ++i) {
    world.AddExecutor("alpha", "m-a" + std::to_string(i));
    world.AddExecutor("beta", "m-b" + std::to_string(i));
  }
  for (int i = 0; i < 3; ++i) {
    world.AddDaemon("front-" + std::to_string(i));
  }
  world.Start();
  review::SleepMs(3'000);
  if (!world.Submit("alpha", Id(1), OrdinaryJob(300), 10'000) ||
      !world.Submit("beta", Id(2), OrdinaryJob(300), 10'000)) {
    Record("the system does not accept jobs");
    review::Exit(2);
  }
  review::SleepMs(3'000);
  if (world.State("alpha", Id(1), 3'000) != "completed" ||
      world.State("beta", Id(2), 3'000) != "completed") {
    Record("the system does not complete jobs");
    review::Exit(2);
  }
  int number = 100;
  for (int i = 0; i < 4; ++i) {
    world.Submit("alpha", Id(number++), OrdinaryJob(3'000), 3'000);
  }
  review::SleepMs(500);
  if (trouble) {
    // 20,000 small tasks, three times at intervals of half a second.
    const json large = {{"Spec", "large"},
                        {"Repeats", 3},
                        {"IntervalMs", 500},
                        {"StartTimeMs", review::UnixMs() + 500},
                        {"Steps",
                         {{{"Count", 20'000},
                           {"Cpu", 1},
                           {"MemMb", 1},
                           {"EstimateMs", 20'000}}}}};
    Record("client: hands in job " + Id(3) + " " + large.dump());
    if (world.Submit("alpha", Id(3), large, 5'000)) {
      std::lock_guard<std::mutex> lock(world.mutex);
      world.jobs[Id(3)].over = true;
      world.jobs[Id(3)].brief = true;
      Record("the large job is accepted");
    }
  }
  const int64_t end = NowMs() + kTrafficMs;
  while (NowMs() < end) {
    world.Submit("alpha", Id(number++), OrdinaryJob(500), 500);
    world.Submit("beta", Id(number++), OrdinaryJob(500), 500);
    review::SleepMs(1'000);
  }
  Record("end of traffic");
  review::SleepMs(kFinishMs);
  const int lost = world.CountLost(kIdleMs);
  Record("of the large job " + std::to_string(world.jobs[Id(3)].starts) +
         " runs have started and " + std::to_string(world.jobs[Id(3)].ends) +
         " have ended");
  world.Stop();
  int killed = 0;
  for (const review::Daemon& daemon : world.daemons) {
    killed += daemon.over_memory;
    Record(daemon.name + ": peak " + std::to_string(daemon.peak_kb / 1'024) +
           " MB, killed over its memory " + std::to_string(daemon.over_memory) +
           " times, ended by itself " + std::to_string(daemon.ended_by_itself) +
           " times");
  }
  Record(std::to_string(lost) + " jobs lost, " + std::to_string(killed) +
         " ends of daemons over their memory");
  review::Exit(lost > 0 ? 1 : 0);
}
