#include "world.h"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

namespace review {
namespace {

using nlohmann::json;

// The clock of an executor starts above 0, as one that nobody set.
constexpr int64_t kClockStart = 5000;
// Longer than any order waits for its answer.
constexpr int64_t kHangMs = 5000;
constexpr int64_t kRegistryKeepsMs = 3 * kHeartbeatMs;
// Of the starts rejected for want of a ticket, in the record.
constexpr int kRejectionsShown = 20;

std::string Text(int64_t number) {
  return std::to_string(number);
}

// "job.occurrence.step" of "job.occurrence.step.index".
std::string StepName(const std::string& task) {
  return task.substr(0, task.rfind('.'));
}

int64_t WorkDone(const Run& run) {
  return run.work_before +
         (run.works_since == 0 ? 0 : NowMs() - run.works_since);
}

}  // namespace

Record::Record(const std::string& path)
    : file_(fopen(path.c_str(), "w")), start_(NowMs()) {}

void Record::Line(const std::string& text) {
  const std::lock_guard<std::mutex> lock(mutex_);
  fprintf(file_, "%8.3f %s\n", static_cast<double>(NowMs() - start_) / 1000,
          text.c_str());
  fflush(file_);
}

World::World(Store& store, Record& record) : store_(store), record_(record) {
  std::thread([this] {
    while (true) {
      SleepMs(5);
      Tick();
    }
  }).detach();
}

std::string World::AddExecutor(const std::string& service,
                               const std::string& machine,
                               int64_t cpu,
                               bool guards) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return AddExecutorLocked(service, machine, cpu, guards);
}

std::string World::AddExecutorLocked(const std::string& service,
                                     const std::string& machine,
                                     int64_t cpu,
                                     bool guards) {
  auto executor = std::make_unique<Executor>();
  executor->id = "i-" + Text(next_id_++);
  executor->machine = machine;
  executor->service = service;
  executor->cpu = cpu;
  executor->guards = guards;
  executor->born = std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
  executor->born_steady = NowMs();
  Executor* raw = executor.get();
  executor->port = Serve(
      [this, raw](const Request& request) { return Handle(*raw, request); });
  Machine& on = machines_[machine];
  on.pool = service;
  on.state = "up";
  on.executor = executor->id;
  on.cpu = cpu;
  on.guards = guards;
  record_.Line("executor " + executor->id + " of " + service + " on " +
               machine + " is up, Cpu " + Text(cpu));
  Announce(*executor);
  const std::string id = executor->id;
  executors_[id] = std::move(executor);
  return id;
}

void World::AddSpare(const std::string& machine, const std::string& pool) {
  const std::lock_guard<std::mutex> lock(mutex_);
  machines_[machine].pool = pool;
  machines_[machine].cpu = 4000;
  spare_pool_ = pool;
}

void World::Announce(Executor& executor) {
  executor.beat = NowMs();
  store_.Put(
      "servers/" + executor.id,
      {{"Service", executor.service},
       {"Address", "127.0.0.1:" + Text(executor.port)},
       {"Zone", "z-a"},
       {"Version", "v1"},
       {"Slots", 8},
       {"State", executor.draining ? "draining" : "ready"},
       {"ColdLeftMs", 0},
       {"Machine", executor.machine},
       {"Capacity", {{"Cpu", executor.cpu}, {"MemMb", 65536}, {"Gpu", 0}}},
       {"Labels", {"a", "r1-1"}},
       {"ClockMs", ClockOf(executor)},
       {"born", executor.born},
       {"Sequence", executor.beat}});
}

void World::PutForeignEntry(const std::string& id,
                            const std::string& executor,
                            const std::string& service) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Executor entry;
  entry.id = id;
  entry.service = service;
  entry.machine = executors_.at(executor)->machine;
  entry.port = executors_.at(executor)->port;
  entry.cpu = executors_.at(executor)->cpu;
  entry.born = executors_.at(executor)->born + NowMs() -
               executors_.at(executor)->born_steady;
  entry.born_steady = NowMs();
  record_.Line("another writer puts the entry " + id + " of service " +
               service + " for machine " + entry.machine);
  Announce(entry);
}

void World::Leave(const std::string& id) {
  Executor& executor = *executors_.at(id);
  const std::map<std::string, Run> running = executor.running;
  for (const auto& [task, run] : running) {
    End(executor, task, "lost");
  }
  executor.alive = false;
  StopServing(executor.port);
  ended_.notify_all();
}

void World::Crash(const std::string& id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  record_.Line("executor " + id + " crashes");
  Leave(id);
}

void World::CrashOnNextStart() {
  const std::lock_guard<std::mutex> lock(mutex_);
  crash_on_next_start_ = true;
}

void World::Hang(const std::string& id, bool hangs) {
  const std::lock_guard<std::mutex> lock(mutex_);
  executors_.at(id)->hangs = hangs;
  record_.Line(id + (hangs ? " leaves orders unanswered" : " answers again"));
}

void World::Drain(const std::string& id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  executors_.at(id)->draining = true;
  Announce(*executors_.at(id));
  record_.Line(id + " drains");
}

void World::AddJob(const std::string& job, std::vector<StepInfo> steps) {
  const std::lock_guard<std::mutex> lock(mutex_);
  jobs_[job] = std::move(steps);
}

StepInfo World::StepOf(const std::string& task) const {
  const std::string job = task.substr(0, task.find('.'));
  const std::string step = StepName(task);
  const auto steps = jobs_.find(job);
  const size_t index = std::stoul(step.substr(step.rfind('.') + 1));
  return steps == jobs_.end() ? StepInfo() : steps->second.at(index);
}

int64_t World::ClockOf(const Executor& executor) const {
  return kClockStart + NowMs() - executor.born_steady;
}

Response World::Refuse(const Executor& executor, const char* reason) const {
  return {409,
          json({{"ClockMs", ClockOf(executor)}, {"Reason", reason}}).dump()};
}

bool World::Fenced(Executor& executor, const json& body) {
  const uint64_t fence = body.value("Fence", uint64_t{0});
  if (fence < executor.fence) {
    return true;
  }
  executor.fence = fence;
  return false;
}

void World::TakeDeadline(Executor& executor, int64_t deadline) {
  const int64_t left = std::min(deadline - ClockOf(executor), kHoldMaxMs);
  executor.lease_ends = std::max(executor.lease_ends, NowMs() + left);
}

Response World::Handle(Executor& executor, const Request& request) {
  std::unique_lock<std::mutex> lock(mutex_);
  if (!executor.alive) {
    return {};
  }
  if (executor.hangs) {
    lock.unlock();
    SleepMs(kHangMs);
    return {};
  }
  const auto expected = request.headers.find("expect-instance");
  if (expected != request.headers.end() && expected->second != executor.id) {
    return {421, "{}"};
  }
  const json body =
      request.body.empty() ? json::object() : json::parse(request.body);
  if (request.path == "/-/run-start" && crash_on_next_start_) {
    crash_on_next_start_ = false;
    record_.Line("executor " + executor.id +
                 " crashes as it gets the start of " +
                 body.at("Task").get<std::string>());
    Leave(executor.id);
    return {};
  }
  if (Fenced(executor, body)) {
    return Refuse(executor, "fence");
  }
  if (request.path == "/-/run-start") {
    return StartRun(executor, body);
  }
  if (request.path == "/-/run-stop") {
    return StopRun(executor, body);
  }
  if (request.path == "/-/hold") {
    return Hold(executor, body, lock);
  }
  return {200, json({{"ClockMs", ClockOf(executor)}}).dump()};
}

Response World::StartRun(Executor& executor, const json& body) {
  const std::string task = body.at("Task");
  const int64_t number = body.at("Run");
  const int64_t deadline = body.at("DeadlineMs");
  if (deadline <= ClockOf(executor)) {
    return Refuse(executor, "late");
  }
  TakeDeadline(executor, deadline);
  const Response done = {200, json({{"ClockMs", ClockOf(executor)}}).dump()};
  const auto here = executor.running.find(task);
  if (here != executor.running.end() && here->second.number == number) {
    return done;
  }
  const auto highest = executor.highest.find(task);
  if ((highest != executor.highest.end() && number <= highest->second) ||
      here != executor.running.end()) {
    return Refuse(executor, "old");
  }
  const StepInfo step = StepOf(task);
  if (step.ticket && body.value("Ticket", "") != "ticket-" + executor.id) {
    if (++rejected_ <= kRejectionsShown) {
      record_.Line(executor.id + " rejects " + task + " run " + Text(number) +
                   ": ticket '" + body.value("Ticket", "") + "'");
    }
    return Refuse(executor, "ticket");
  }
  int64_t used = step.cpu;
  for (const auto& [name, run] : executor.running) {
    used += run.cpu;
  }
  if (executor.guards && used > executor.cpu) {
    return Refuse(executor, "room");
  }
  Run run;
  run.number = number;
  run.saved = body.value("Checkpoint", "");
  run.needs_ms = step.work_ms;
  run.cpu = step.cpu;
  run.ordered_at = NowMs();
  run.works_since = step.gang ? 0 : NowMs();
  run.work_before =
      run.saved.empty() ? 0 : std::stoll(run.saved.substr(0, 8), nullptr, 16);
  executor.running[task] = run;
  starts_.push_back({executor.id, executor.service, task, number, NowMs(), 0,
                     "", run.saved, used, executor.cpu});
  record_.Line(executor.id + " (" + executor.service + ") starts " + task +
               " run " + Text(number) + " fence " +
               std::to_string(executor.fence) + " checkpoint '" + run.saved +
               "' Cpu in use " + Text(used) + " of " + Text(executor.cpu));
  if (step.gang) {
    JoinGang(task, number);
  }
  return done;
}

void World::JoinGang(const std::string& task, int64_t number) {
  const std::string step = StepName(task);
  std::vector<Run*> members;
  for (auto& [id, executor] : executors_) {
    for (auto& [name, run] : executor->running) {
      if (StepName(name) == step && run.number == number) {
        members.push_back(&run);
      }
    }
  }
  // The members resume from one point.
  const bool agree = std::all_of(
      members.begin(), members.end(),
      [&](const Run* run) { return run->saved == members.front()->saved; });
  if (static_cast<int>(members.size()) == StepOf(task).count && agree) {
    for (Run* run : members) {
      run->works_since = NowMs();
    }
  }
}

Response World::StopRun(Executor& executor, const json& body) {
  const std::string task = body.at("Task");
  const int64_t number = body.at("Run");
  const auto here = executor.running.find(task);
  record_.Line(executor.id + " is told to stop " + task + " run " +
               Text(number));
  if (here != executor.running.end() && here->second.number <= number) {
    if (here->second.stops_at == 0) {
      here->second.stops_at = NowMs() + kStopMs;
    }
  } else {
    int64_t& highest = executor.highest[task];
    highest = std::max(highest, number);
  }
  return {200, json({{"ClockMs", ClockOf(executor)}}).dump()};
}

Response World::Hold(Executor& executor,
                     const json& body,
                     std::unique_lock<std::mutex>& lock) {
  const uint64_t seen = body.value("LastSeen", uint64_t{0});
  executor.ended.erase(
      std::remove_if(
          executor.ended.begin(), executor.ended.end(),
          [&](const json& end) { return end.at(0).get<uint64_t>() <= seen; }),
      executor.ended.end());
  if (body.contains("DeadlineMs")) {
    TakeDeadline(executor, body.at("DeadlineMs"));
  }
  const int64_t until = NowMs() + body.value("WaitMs", int64_t{0});
  while (executor.alive && executor.ended.empty() && NowMs() < until) {
    ended_.wait_for(lock, std::chrono::milliseconds(until - NowMs()));
  }
  if (!executor.alive) {
    return {};
  }
  json running = json::array();
  for (const auto& [task, run] : executor.running) {
    const bool works = run.works_since != 0 && run.stops_at == 0;
    running.push_back({task, run.number, run.saved, works ? 100 : 0, 0});
  }
  return {200, json({{"ClockMs", ClockOf(executor)},
                     {"born", executor.born},
                     {"Running", running},
                     {"Ended", executor.ended}})
                   .dump()};
}

void World::End(Executor& executor, const std::string& task, const char* how) {
  const auto here = executor.running.find(task);
  const Run run = here->second;
  executor.running.erase(here);
  int64_t& highest = executor.highest[task];
  highest = std::max(highest, run.number);
  for (Start& start : starts_) {
    if (start.executor == executor.id && start.task == task &&
        start.run == run.number) {
      start.ended_at = NowMs();
      start.how = how;
    }
  }
  executor.ended.push_back(
      {++executor.last_end, task, run.number, how, run.saved});
  record_.Line(executor.id + " ends " + task + " run " + Text(run.number) +
               ": " + how + ", saved '" + run.saved + "'");
  ended_.notify_all();
  const StepInfo step = StepOf(task);
  if (!step.gang) {
    return;
  }
  // One end of a member that is at work ends the gang.
  const bool done = std::string(how) == "done";
  for (auto& [id, other] : executors_) {
    const std::map<std::string, Run> runs = other->running;
    for (const auto& [name, member] : runs) {
      if (StepName(name) == StepName(task) && member.number == run.number &&
          member.works_since != 0 && run.works_since != 0) {
        End(*other, name, done ? "done" : "broken");
      }
    }
  }
}

void World::Tick() {
  const std::lock_guard<std::mutex> lock(mutex_);
  const int64_t now = NowMs();
  for (auto& [id, executor] : executors_) {
    if (!executor->alive) {
      if (executor->beat != 0 && now - executor->beat > kRegistryKeepsMs) {
        executor->beat = 0;
        store_.Remove("servers/" + id);
      }
      continue;
    }
    if (now - executor->beat >= kHeartbeatMs) {
      Announce(*executor);
    }
    std::vector<std::pair<std::string, const char*>> ends;
    for (auto& [task, run] : executor->running) {
      const StepInfo step = StepOf(task);
      const int64_t work = WorkDone(run);
      // A value names the work that it holds.
      const auto save = [&](int64_t held) {
        char text[20];
        snprintf(text, sizeof(text), "%08llx",
                 static_cast<unsigned long long>(held));
        run.saved = text;
      };
      if (step.saves && work / kCheckpointMs > 0 && run.works_since != 0) {
        const int64_t held = work / kCheckpointMs * kCheckpointMs;
        if (run.saved.empty() ||
            std::stoll(run.saved.substr(0, 8), nullptr, 16) < held) {
          save(held);
        }
      }
      if (executor->lease_ends <= now) {
        ends.emplace_back(task, "lapsed");
      } else if (run.stops_at != 0 && run.stops_at <= now) {
        if (step.saves && run.works_since != 0) {
          save(work);
        }
        ends.emplace_back(task, "stopped");
      } else if (run.needs_ms != 0 && run.works_since != 0 &&
                 work >= run.needs_ms && run.stops_at == 0) {
        ends.emplace_back(task, "done");
      } else if (step.gang && run.works_since == 0 &&
                 now - run.ordered_at >= kGangMs) {
        ends.emplace_back(task, "alone");
      }
    }
    for (const auto& [task, how] : ends) {
      if (executor->running.count(task) > 0) {
        End(*executor, task, how);
      }
    }
  }
  for (auto& [name, machine] : machines_) {
    if (machine.back_at != 0 && now >= machine.back_at) {
      machine.back_at = 0;
      machine.state = "up";
      if (machine.pool == spare_pool_) {
        continue;
      }
      AddExecutorLocked(machine.pool, name, machine.cpu, machine.guards);
    }
  }
}

}  // namespace review
