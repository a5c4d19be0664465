// Machines and clients.
#include "world.h"

#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <thread>

namespace review {
namespace {

constexpr int kTickMs = 10;
constexpr int kPatienceMs = 3'000;
constexpr char kSpare[] = "spare";

std::mutex record_mutex;
std::ofstream record_file;

int64_t ClockMs(clockid_t clock) {
  timespec now{};
  clock_gettime(clock, &now);
  return now.tv_sec * int64_t{1'000} + now.tv_nsec / 1'000'000;
}

const int64_t kBegin = ClockMs(CLOCK_MONOTONIC);

}  // namespace

int64_t NowMs() {
  return ClockMs(CLOCK_MONOTONIC) - kBegin;
}

int64_t UnixMs() {
  return ClockMs(CLOCK_REALTIME);
}

void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void OpenRecord(const std::string& path) {
  record_file.open(path);
}

void Record(const std::string& line) {
  std::lock_guard<std::mutex> lock(record_mutex);
  char at[32];
  snprintf(at, sizeof(at), "%8.3f ", static_cast<double>(NowMs()) / 1'000);
  record_file << at << line << std::endl;
}

void Exit(int code) {
  {
    std::lock_guard<std::mutex> lock(record_mutex);
    record_file.close();
  }
  _exit(code);
}

World::World(const std::string& program, const std::string& directory)
    : program_(program), directory_(directory) {
  store.other = [this](const Request& request) {
    return HandleMachines(request);
  };
}

World::~World() {
  Stop();
}

void World::Configure(const std::vector<std::string>& services) {
  json routes = json::array();
  json pools = json::array();
  for (const std::string& service : services) {
    routes.push_back({{"Name", "r-" + service},
                      {"Host", "review.example"},
                      {"Prefix", "/" + service + "/"},
                      {"Kind", "non_idempotent"},
                      {"TimeoutMs", 3'000},
                      {"TargetDurationMs", 600},
                      {"Priority", 0},
                      {"Service", service},
                      {"MaxAttempts", 4},
                      {"Stretch", 1.6}});
    pools.push_back({{"Name", service},
                     {"HealthPath", "/health"},
                     {"MaxConns", 64},
                     {"Protocol", "h1"},
                     {"Tls", false},
                     {"RejectsOverload", guards},
                     {"Spare", false}});
  }
  pools.push_back({{"Name", "spare"},
                   {"HealthPath", "/health"},
                   {"MaxConns", 64},
                   {"RejectsOverload", true},
                   {"Spare", true}});
  const json config = {{"Version", 7},
                       {"Routes", std::move(routes)},
                       {"Services", std::move(pools)},
                       {"Limits",
                        {{"MaxHeaderBytes", 16'384},
                         {"MaxBodyBytes", 262'144},
                         {"HeaderTimeoutMs", 3'000},
                         {"IdleTimeoutMs", 15'000}}}};
  store.Put("op/config", config.dump());
}

void World::AddExecutor(const std::string& service,
                        const std::string& machine) {
  std::string id;
  {
    std::lock_guard<std::mutex> lock(mutex);
    char text[16];
    snprintf(text, sizeof(text), "i-%08x", 0x7f3a91c2 + 17 * next_executor_++);
    id = text;
  }
  auto executor = std::make_unique<Executor>();
  executor->id = id;
  executor->machine = machine;
  executor->service = service;
  executor->port = Serve([this, id](const Request& request) {
    return HandleExecutor(id, request);
  });
  std::lock_guard<std::mutex> lock(mutex);
  executor->born = NowMs();
  executor->born_unix = UnixMs();
  Enter(*executor);
  executors[id] = std::move(executor);
  Record(machine + " is up as " + id + " in " + service);
}

void World::Start() {
  StartDaemons();
  std::thread([this] {
    int64_t beat = NowMs() + kHeartbeatMs;
    while (true) {
      SleepMs(kTickMs);
      std::lock_guard<std::mutex> lock(mutex);
      if (stopped_) {
        return;
      }
      Tick();
      CheckIdle();
      WatchDaemons();
      if (NowMs() >= beat) {
        beat += kHeartbeatMs;
        for (auto& [id, executor] : executors) {
          if (executor->up) {
            Enter(*executor);
          }
        }
      }
      const std::map<std::string, Away> back = back_at_;
      for (const auto& [id, away] : back) {
        if (NowMs() >= away.until) {
          back_at_.erase(id);
          const Executor& old = *executors.at(id);
          if (old.service == kSpare) {
            continue;
          }
          const std::string service = old.service;
          const std::string machine = old.machine;
          std::thread([this, service, machine] {
            AddExecutor(service, machine);
          }).detach();
        }
      }
    }
  }).detach();
}

std::optional<Response> World::HandleMachines(const Request& request) {
  std::lock_guard<std::mutex> lock(mutex);
  const std::string path = request.Path();
  // The latest executor of each machine; those of the spare pool are off.
  std::map<std::string, Executor*> machines;
  for (auto& [id, executor] : executors) {
    Executor*& latest = machines[executor->machine];
    if (latest == nullptr || latest->born < executor->born) {
      latest = executor.get();
    }
  }
  if (path == "/-/machines") {
    json rows = json::array();
    for (const auto& [machine, executor] : machines) {
      const bool spare = executor->service == kSpare;
      const auto away = back_at_.find(executor->id);
      rows.push_back(
          {{"Machine", machine},
           {"Pool", executor->service},
           {"State", away != back_at_.end()
                         ? (away->second.upkeep ? "upkeep" : "moving")
                     : executor->up || spare ? "up"
                                             : "down"},
           {"Zone", "suva-a"},
           {"Labels", {"a", "r1-1"}},
           {"Capacity",
            {{"Cpu", executor->cpu}, {"MemMb", executor->mem}, {"Gpu", 0}}},
           {"Id", executor->up ? executor->id : ""}});
    }
    return Response{
        200,
        json{{"Machines", std::move(rows)}, {"NextToken", nullptr}}.dump()};
  }
  if (path != "/-/machine-move" && path != "/-/machine-upkeep") {
    return Response{404, "{}"};
  }
  const json body = json::parse(request.body);
  const auto known = machines.find(body.at("Machine").get<std::string>());
  if (known == machines.end()) {
    return Response{400, "{}"};
  }
  Executor& executor = *known->second;
  const bool upkeep = path == "/-/machine-upkeep";
  std::set<int>& done = waves_done_[executor.machine];
  if (upkeep ? done.count(body.at("Wave").get<int>()) > 0
             : body.at("Pool").get<std::string>() == executor.service) {
    return Response{200, "{}"};
  }
  const bool spare = executor.service == kSpare;
  if (back_at_.count(executor.id) > 0 || (!executor.up && !spare)) {
    return Response{409, R"({"Reason":"busy"})"};
  }
  Record("the platform takes " + request.target + " " + request.body);
  if (executor.up) {
    Crash(executor);
    store.Remove("servers/" + executor.id);
  }
  if (upkeep) {
    done.insert(body.at("Wave").get<int>());
  } else {
    executor.service = body.at("Pool").get<std::string>();
  }
  if (executor.service != kSpare || upkeep) {
    back_at_[executor.id] = {NowMs() + (upkeep ? kUpkeepMs : kMoveMs), upkeep};
  }
  return Response{200, "{}"};
}

Response World::Client(size_t daemon,
                       const std::string& method,
                       const std::string& service,
                       const std::string& job,
                       const std::string& body) {
  const std::string target = "/" + service + "/" + job;
  const Response response = Call(daemons[daemon].front, method, target,
                                 {{"Host", "review.example"},
                                  {"Deadline-Ms", std::to_string(kPatienceMs)}},
                                 body, kPatienceMs);
  Record(
      "client: " + method + " " + target.substr(0, 60) + " to " +
      daemons[daemon].name + ": " +
      (response.status == 0 ? "no answer" : std::to_string(response.status)) +
      (method == "GET" && response.status == 200 ? " " + response.body : ""));
  return response;
}

void World::CheckIdle() {
  for (auto& [id, job] : jobs) {
    if (!job.accepted || job.over) {
      continue;
    }
    bool runs = false;
    bool open = false;
    int64_t used = 0;
    int64_t capacity = 0;
    for (const auto& [name, executor] : executors) {
      if (!executor->up || executor->service != job.service) {
        continue;
      }
      capacity += executor->cpu;
      for (const auto& [task, run] : executor->running) {
        runs = runs || task.compare(0, id.size(), id) == 0;
        used += run.step.cpu;
      }
    }
    int64_t wanted = 0;
    bool before = true;
    for (size_t i = 0; i < job.steps.size() && before; ++i) {
      for (int k = 0; k < job.steps[i].count; ++k) {
        const bool done = job.done.count(id + ".0." + std::to_string(i) + "." +
                                         std::to_string(k)) > 0;
        open = open || !done;
        wanted += done ? 0 : job.steps[i].cpu;
        before = before && done;
      }
    }
    const bool idle =
        open && !runs && 2 * used < capacity && capacity - used >= 2 * wanted;
    if (!idle) {
      job.idle_since = -1;
    } else if (job.idle_since < 0) {
      job.idle_since = NowMs();
    }
  }
}

bool World::Submit(const std::string& service,
                   const std::string& job,
                   const json& body,
                   int64_t within_ms) {
  SubmittedJob submitted;
  submitted.service = service;
  submitted.spec = body.value("Spec", std::string());
  for (const json& row : body.at("Steps")) {
    SubmittedStep step;
    step.count = row.at("Count").get<int>();
    step.gang = row.value("Gang", false);
    step.saves = row.value("SavesProgress", false);
    step.perpetual = row.value("Perpetual", false);
    step.cpu = row.value("Cpu", int64_t{0});
    step.mem = row.value("MemMb", int64_t{0});
    step.work_ms = row.value("EstimateMs", int64_t{1'000});
    submitted.steps.push_back(step);
  }
  {
    std::lock_guard<std::mutex> lock(mutex);
    jobs[job] = submitted;
  }
  const int64_t until = NowMs() + within_ms;
  for (size_t i = 0; NowMs() < until; ++i) {
    const Response response =
        Client(i % daemons.size(), "POST", service, job, body.dump());
    if (response.status == 200) {
      std::lock_guard<std::mutex> lock(mutex);
      jobs[job].accepted = true;
      return true;
    }
    SleepMs(300);
  }
  return false;
}

int World::CountLost(int64_t idle_ms) {
  int lost = 0;
  std::vector<std::pair<std::string, std::string>> to_ask;
  {
    std::lock_guard<std::mutex> lock(mutex);
    for (const auto& [id, job] : jobs) {
      if (!job.accepted || job.over) {
        continue;
      }
      if (job.idle_since >= 0 && NowMs() >= job.idle_since + idle_ms) {
        ++lost;
        Record("LOST: nothing of the accepted job " + id + " of " +
               job.service + " has run for " +
               std::to_string(NowMs() - job.idle_since) +
               " ms, though the turn of a task has come and there is capacity");
      } else {
        to_ask.emplace_back(job.service, id);
      }
    }
  }
  int unanswered = 0;
  for (const auto& [service, id] : to_ask) {
    const std::string state = State(service, id, kPatienceMs);
    if (state == "410" || state == "no answer") {
      ++lost;
      ++unanswered;
      Record("LOST: the accepted job " + id + " of " + service + ": " + state);
    }
    if (unanswered >= 3) {
      break;
    }
  }
  return lost;
}

std::string World::State(const std::string& service,
                         const std::string& job,
                         int64_t within_ms) {
  const int64_t until = NowMs() + within_ms;
  for (size_t i = 0; NowMs() < until; ++i) {
    const Response response =
        Client(i % daemons.size(), "GET", service, job, "");
    if (response.status == 200) {
      return json::parse(response.body).value("State", std::string());
    }
    if (response.status == 410) {
      return "410";
    }
    SleepMs(200);
  }
  return "no answer";
}

}  // namespace review
