// The executors.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <thread>

#include "world.h"

namespace review {
namespace {

constexpr int kOtherIncarnation = 421;
constexpr size_t kListedEnds = 500;
constexpr int kAtWorkMs = 500;
// Within StopMs.
constexpr int kStopTakesMs = 350;

// ID.K.STEP
std::string StepOf(const std::string& task) {
  return task.substr(0, task.rfind('.'));
}

std::string FormatCheckpoint(const std::string& task, int64_t work) {
  char text[32];
  snprintf(text, sizeof(text), "%08llx%.8s",
           static_cast<unsigned long long>(work), task.c_str());
  return text;
}

int64_t WorkOf(const std::string& checkpoint) {
  return checkpoint.empty()
             ? 0
             : static_cast<int64_t>(
                   strtoull(checkpoint.substr(0, 8).c_str(), nullptr, 16));
}

int64_t Worked(const Run& run) {
  if (run.begun < 0) {
    return run.resumed;
  }
  const int64_t since =
      NowMs() - run.begun - (run.resumed > 0 ? kRestoreMs : 0);
  return run.resumed + std::max<int64_t>(0, since);
}

}  // namespace

std::vector<std::pair<Executor*, std::string>> World::Members(
    const std::string& task,
    uint32_t run) {
  std::vector<std::pair<Executor*, std::string>> members;
  for (auto& [id, executor] : executors) {
    for (const auto& [name, other] : executor->running) {
      if (StepOf(name) == StepOf(task) && other.number == run) {
        members.emplace_back(executor.get(), name);
      }
    }
  }
  return members;
}

void World::BreakGang(const std::string& task, uint32_t run) {
  for (const auto& [executor, name] : Members(task, run)) {
    EndRun(*executor, name, "broken");
  }
}

void World::EndRun(Executor& executor,
                   const std::string& task,
                   const std::string& how) {
  const Run run = executor.running.at(task);
  executor.running.erase(task);
  std::string checkpoint = run.checkpoint;
  if (how == "stopped" && run.step.saves) {
    checkpoint = FormatCheckpoint(task, Worked(run));
  }
  uint32_t& refused = executor.refused_up_to[task];
  refused = std::max(refused, run.number);
  executor.ended.push_back({executor.next_end++, task, run.number, how,
                            how == "done" ? "" : checkpoint});
  SubmittedJob& job = jobs.at(task.substr(0, task.find('.')));
  ++job.ends;
  if (!job.brief) {
    Record(executor.id + " life " + std::to_string(executor.life) + ": " +
           task + " run " + std::to_string(run.number) + " ends " + how +
           (checkpoint.empty() || how == "done" ? "" : " saved " + checkpoint));
  }
  if (how == "done") {
    job.done.insert(task);
  }
  if (run.step.gang && how != "done" && how != "broken") {
    BreakGang(task, run.number);
  }
  changed.notify_all();
}

void World::Crash(Executor& executor) {
  const std::map<std::string, Run> lost = executor.running;
  executor.running.clear();
  executor.up = false;
  Record(executor.id + " life " + std::to_string(executor.life) + " crashes");
  for (const auto& [task, run] : lost) {
    Record("  with it goes " + task + " run " + std::to_string(run.number));
    if (run.step.gang) {
      BreakGang(task, run.number);
    }
  }
  changed.notify_all();
}

void World::Restart(const std::string& id, int64_t down_ms) {
  {
    std::lock_guard<std::mutex> lock(mutex);
    Crash(*executors.at(id));
  }
  std::thread([this, id, down_ms] {
    SleepMs(down_ms);
    std::lock_guard<std::mutex> lock(mutex);
    Executor& executor = *executors.at(id);
    ++executor.life;
    executor.up = true;
    executor.born = NowMs();
    executor.born_unix = UnixMs();
    executor.fence = 0;
    executor.lease = 0;
    executor.next_end = 1;
    executor.sequence = 0;
    executor.refused_up_to.clear();
    executor.ended.clear();
    Record(id + " life " + std::to_string(executor.life) + " begins");
    Enter(executor);
  }).detach();
}

void World::SetCut(const std::string& id, bool cut) {
  std::lock_guard<std::mutex> lock(mutex);
  executors.at(id)->cut = cut;
  Record(id + (cut ? " is cut off and runs on" : " is reached again"));
}

void World::Enter(Executor& executor) {
  const json entry = {
      {"Service", executor.service},
      {"Address", "127.0.0.1:" + std::to_string(executor.port)},
      {"Zone", "suva-a"},
      {"Version", "v1"},
      {"Slots", 8},
      {"State", "ready"},
      {"ColdLeftMs", 0},
      {"Capacity",
       {{"Cpu", executor.cpu}, {"MemMb", executor.mem}, {"Gpu", 0}}},
      {"Labels", {"a", "r1-1"}},
      {"ClockMs", executor.Clock()},
      {"Sequence", ++executor.sequence},
      {"Machine", executor.machine},
      {"born", executor.born_unix}};
  store.Put("servers/" + executor.id, entry.dump());
}

std::optional<Response> World::HandleExecutor(const std::string& id,
                                              const Request& request) {
  std::unique_lock<std::mutex> lock(mutex);
  Executor& executor = *executors.at(id);
  if (!executor.up || executor.cut) {
    return std::nullopt;
  }
  const auto wanted = request.headers.find("expect-instance");
  if (wanted != request.headers.end() && wanted->second != id) {
    return Response{kOtherIncarnation, "{}"};
  }
  const json body = json::parse(request.body);
  const std::string path = request.Path();
  if (path == "/-/hold" && late_hold) {
    const int64_t delay = late_hold(executor, body);
    if (delay > 0) {
      Record(id + " life " + std::to_string(executor.life) +
             ": no answer to the hold " + request.body +
             ", which is carried out " + std::to_string(delay) + " ms later");
      std::thread([this, id, body, delay] {
        SleepMs(delay);
        std::unique_lock<std::mutex> later(mutex);
        Executor& there = *executors.at(id);
        if (there.up) {
          json at_once = body;
          at_once.erase("WaitMs");
          Hold(there, at_once, later);
          Record(id + " life " + std::to_string(there.life) +
                 ": the late hold " + at_once.dump() +
                 " is carried out at its clock " +
                 std::to_string(there.Clock()) + ", lease until " +
                 std::to_string(there.lease));
        }
      }).detach();
      return std::nullopt;
    }
  }
  const int life = executor.life;
  Response response{404, "{}"};
  if (path == "/-/hold") {
    response = Hold(executor, body, lock);
  } else if (path == "/-/run-start") {
    response = StartRun(executor, body);
  } else if (path == "/-/run-stop") {
    response = StopRun(executor, body);
  } else if (path == "/-/pace") {
    response = {200, json{{"ClockMs", executor.Clock()}}.dump()};
  }
  if (!executor.up || executor.cut || executor.life != life) {
    return std::nullopt;
  }
  return response;
}

Response World::Hold(Executor& executor,
                     const json& body,
                     std::unique_lock<std::mutex>& lock) {
  const auto refuse = [&](const char* reason) {
    return Response{409, json{{"ClockMs", executor.Clock()},
                              {"born", executor.born_unix},
                              {"Reason", reason}}
                             .dump()};
  };
  const auto fence = body.value("Fence", uint64_t{0});
  if (fence < executor.fence) {
    return refuse("fence");
  }
  executor.fence = fence;
  if (body.contains("DeadlineMs")) {
    executor.lease =
        std::max(executor.lease, std::min(body.at("DeadlineMs").get<int64_t>(),
                                          executor.Clock() + kHoldMaxMs));
  }
  const auto seen = body.value("LastSeen", uint64_t{0});
  executor.ended.erase(
      std::remove_if(executor.ended.begin(), executor.ended.end(),
                     [&](const End& end) { return end.number <= seen; }),
      executor.ended.end());
  const int64_t until = NowMs() + body.value("WaitMs", int64_t{0});
  const int life = executor.life;
  while (executor.ended.empty() && executor.up && executor.life == life &&
         NowMs() < until) {
    changed.wait_for(lock, std::chrono::milliseconds(until - NowMs()));
  }
  json running = json::array();
  for (const auto& [task, run] : executor.running) {
    const int64_t work = Worked(run);
    const int64_t percent =
        run.step.perpetual ? (NowMs() - run.begun > kAtWorkMs ? 100 : 0)
        : run.begun < 0    ? 0
                        : std::min<int64_t>(99, 100 * work / run.step.work_ms);
    running.push_back(
        {task, run.number, run.checkpoint, percent, run.step.cpu});
  }
  json ended = json::array();
  for (const End& end : executor.ended) {
    if (ended.size() < kListedEnds) {
      ended.push_back({end.number, end.task, end.run, end.how, end.checkpoint});
    }
  }
  return {200, json{{"ClockMs", executor.Clock()},
                    {"born", executor.born_unix},
                    {"Running", std::move(running)},
                    {"Ended", std::move(ended)}}
                   .dump()};
}

Response World::StartRun(Executor& executor, const json& body) {
  const auto answer = [&](int status, const char* reason) {
    json fields = {{"ClockMs", executor.Clock()}, {"born", executor.born_unix}};
    if (reason != nullptr) {
      fields["Reason"] = reason;
    }
    return Response{status, fields.dump()};
  };
  const auto fence = body.value("Fence", uint64_t{0});
  if (fence < executor.fence) {
    return answer(409, "fence");
  }
  executor.fence = fence;
  const auto deadline = body.at("DeadlineMs").get<int64_t>();
  if (deadline <= executor.Clock()) {
    return answer(409, "late");
  }
  executor.lease = std::max(executor.lease,
                            std::min(deadline, executor.Clock() + kHoldMaxMs));
  const auto task = body.at("Task").get<std::string>();
  const auto number = body.at("Run").get<uint32_t>();
  const auto present = executor.running.find(task);
  if (present != executor.running.end() && present->second.number == number) {
    return answer(200, nullptr);
  }
  const auto refused = executor.refused_up_to.find(task);
  if (present != executor.running.end() ||
      (refused != executor.refused_up_to.end() && number <= refused->second)) {
    return answer(409, "old");
  }
  const auto job = jobs.find(task.substr(0, task.find('.')));
  if (job == jobs.end()) {
    Record("UNASKED: " + executor.id + " is told to start " + task);
    return answer(400, nullptr);
  }
  const std::string step = StepOf(task);
  Run run;
  run.task = task;
  run.number = number;
  run.step = job->second.steps.at(
      strtoul(step.substr(step.rfind('.') + 1).c_str(), nullptr, 10));
  int64_t cpu = run.step.cpu;
  int64_t mem = run.step.mem;
  for (const auto& [name, other] : executor.running) {
    cpu += other.step.cpu;
    mem += other.step.mem;
  }
  const bool fits = cpu <= executor.cpu && mem <= executor.mem;
  if (!fits && guards) {
    return answer(409, "room");
  }
  ++job->second.starts;
  run.arrived = NowMs();
  run.checkpoint = body.value("Checkpoint", std::string());
  run.resumed = WorkOf(run.checkpoint);
  run.checkpoint_work = run.resumed;
  run.begun = run.step.gang ? -1 : NowMs();
  if (on_start) {
    on_start(executor, run, run.checkpoint);
  }
  executor.running[task] = run;
  if (!fits && on_overload) {
    on_overload(executor, run, cpu);
  }
  if (run.step.gang) {
    const auto members = Members(task, number);
    if (static_cast<int>(members.size()) == run.step.count) {
      for (const auto& [there, name] : members) {
        there->running.at(name).begun = NowMs();
      }
    }
  }
  return answer(200, nullptr);
}

Response World::StopRun(Executor& executor, const json& body) {
  const auto fence = body.value("Fence", uint64_t{0});
  json fields = {{"ClockMs", executor.Clock()}, {"born", executor.born_unix}};
  if (fence < executor.fence) {
    fields["Reason"] = "fence";
    return {409, fields.dump()};
  }
  executor.fence = fence;
  const auto task = body.at("Task").get<std::string>();
  const auto number = body.at("Run").get<uint32_t>();
  uint32_t& refused = executor.refused_up_to[task];
  refused = std::max(refused, number);
  const auto present = executor.running.find(task);
  if (present != executor.running.end() && present->second.number <= number &&
      present->second.stop_at < 0) {
    present->second.stop_at = NowMs() + kStopTakesMs;
  }
  return {200, fields.dump()};
}

void World::Tick() {
  for (auto& [id, executor] : executors) {
    if (!executor->up) {
      continue;
    }
    const bool lapsed = executor->Clock() > executor->lease;
    std::vector<std::pair<std::string, std::string>> ends;
    for (auto& [task, run] : executor->running) {
      const int64_t work = Worked(run);
      if (run.step.saves && run.begun >= 0 &&
          work >= run.checkpoint_work + kCheckpointMs) {
        run.checkpoint_work = work - work % kCheckpointMs;
        run.checkpoint = FormatCheckpoint(task, run.checkpoint_work);
        Record(id + ": " + task + " run " + std::to_string(run.number) +
               " saves " + run.checkpoint);
      }
      if (lapsed) {
        ends.emplace_back(task, "lapsed");
      } else if (run.stop_at >= 0 && NowMs() >= run.stop_at) {
        ends.emplace_back(task, "stopped");
      } else if (run.step.gang && run.begun < 0 &&
                 NowMs() > run.arrived + kGangMs) {
        ends.emplace_back(task, "alone");
      } else if (!run.step.perpetual && run.begun >= 0 &&
                 work >= run.step.work_ms) {
        ends.emplace_back(task, "done");
      }
    }
    for (const auto& [task, how] : ends) {
      const auto present = executor->running.find(task);
      if (present == executor->running.end()) {
        continue;
      }
      const Run run = present->second;
      if (run.step.gang && how == "done") {
        for (const auto& [there, name] : Members(task, run.number)) {
          EndRun(*there, name, "done");
        }
      } else {
        EndRun(*executor, task, how);
      }
    }
  }
}

}  // namespace review
