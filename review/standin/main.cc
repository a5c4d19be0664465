// Plays one case against real daemons: CASE RECORD PROGRAM DIRECTORY.
#include <signal.h>

#include <cstdlib>
#include <cstring>

#include "cases.h"

namespace review {
namespace {

using nlohmann::json;

constexpr char kHost[] = "pule25.example";

struct Entry {
  const char* name;
  int (*run)(Case& test);
};

constexpr Entry kCases[] = {{"repoint", &RunRepoint}, {"gone", &RunGone},
                            {"foreign", &RunForeign}, {"advice", &RunAdvice},
                            {"holders", &RunHolders}, {"limit", &RunLimit},
                            {"gang", &RunGang},       {"pending", &RunPending},
                            {"drain", &RunDrain}};

std::string Target(const std::string& path, const std::string& job) {
  return "/" + path + "/" + job;
}

int Main(int argc, char** argv) {
  if (argc != 5) {
    return kCouldNotRun;
  }
  signal(SIGPIPE, SIG_IGN);
  // The threads of the stand-ins use these until the process ends.
  Record& record = *new Record(argv[2]);
  Store& store = *new Store;
  World& world = *new World(store, record);
  Daemons daemons(store, world, record, argv[3], argv[4]);
  const char* trouble = getenv("TROUBLE");
  Case test{store, world, record, daemons,
            trouble == nullptr || strcmp(trouble, "0") != 0};
  int code = kCouldNotRun;
  for (const Entry& entry : kCases) {
    if (strcmp(entry.name, argv[1]) == 0) {
      code = entry.run(test);
    }
  }
  record.Line(code == kHeld     ? "RESULT: the rule held"
              : code == kBroken ? "RESULT: the rule was broken"
                                : "RESULT: the case could not run");
  return code;
}

}  // namespace

void Case::PutConfig(uint64_t version,
                     const json& routes,
                     const json& services) {
  store.Put("op/config", {{"Version", version},
                          {"Routes", routes},
                          {"Services", services},
                          {"Limits",
                           {{"MaxHeaderBytes", 16384},
                            {"MaxBodyBytes", 262144},
                            {"HeaderTimeoutMs", 3000},
                            {"IdleTimeoutMs", 15000}}}});
  std::string text = "configuration " + std::to_string(version) + ":";
  for (const json& route : routes) {
    text += " " + route.at("Prefix").get<std::string>() + " -> " +
            route.at("Service").get<std::string>();
  }
  record.Line(text + " is acknowledged");
}

Response Case::Post(int daemon,
                    const std::string& path,
                    const std::string& job,
                    const json& steps) {
  const Response response =
      Call(daemons.caller_port(daemon), "POST", Target(path, job),
           {{"Host", kHost}, {"Deadline-Ms", "3000"}},
           json({{"Spec", "text"}, {"Steps", steps}}).dump(), 4000);
  record.Line("POST " + Target(path, job) + " at " + daemons.name(daemon) +
              ": " + std::to_string(response.status));
  return response;
}

Response Case::Get(int daemon,
                   const std::string& path,
                   const std::string& job) {
  const Response response =
      Call(daemons.caller_port(daemon), "GET", Target(path, job),
           {{"Host", kHost}, {"Deadline-Ms", "3000"}}, "", 4000);
  record.Line("GET " + Target(path, job) + " at " + daemons.name(daemon) +
              ": " + std::to_string(response.status) + " " + response.body);
  return response;
}

Response Case::Delete(int daemon,
                      const std::string& path,
                      const std::string& job) {
  const Response response =
      Call(daemons.caller_port(daemon), "DELETE", Target(path, job),
           {{"Host", kHost}, {"Deadline-Ms", "3000"}}, "", 4000);
  record.Line("DELETE " + Target(path, job) + " at " + daemons.name(daemon) +
              ": " + std::to_string(response.status));
  return response;
}

bool Case::WaitRunning(const std::string& job, int tasks, int64_t ms) {
  const int64_t until = NowMs() + ms;
  while (NowMs() < until) {
    if (world.Running(job) == tasks) {
      return true;
    }
    SleepMs(5);
  }
  return false;
}

json Route(const std::string& name,
           const std::string& path,
           const std::string& service) {
  return {{"Name", name},
          {"Host", kHost},
          {"Prefix", "/" + path + "/"},
          {"Kind", "non_idempotent"},
          {"TimeoutMs", 3000},
          {"TargetDurationMs", 600},
          {"Priority", 0},
          {"Service", service},
          {"MaxAttempts", 4},
          {"Stretch", 1.6}};
}

json Step(int count, int64_t cpu, int64_t work_ms) {
  return {
      {"Count", count}, {"Cpu", cpu}, {"MemMb", 256}, {"EstimateMs", work_ms}};
}

std::string Number(int64_t number) {
  return std::to_string(number);
}

json Service(const std::string& name, bool guards, bool spare) {
  return {{"Name", name},   {"HealthPath", "/health"},
          {"MaxConns", 64}, {"Protocol", "h1"},
          {"Tls", false},   {"RejectsOverload", guards},
          {"Spare", spare}};
}

}  // namespace review

int main(int argc, char** argv) {
  const int code = review::Main(argc, argv);
  // The threads of the stand-ins go on until the process ends.
  _Exit(code);
}
