#include "executor.h"

#include <algorithm>
#include <thread>

namespace standin {
namespace {

constexpr int64_t kLongestLease = 6000;
constexpr int64_t kStopMs = 200;
constexpr int64_t kGangMs = 3000;
constexpr int64_t kCheckpointMs = 1000;
constexpr int64_t kHeartbeatMs = 1500;
constexpr size_t kEndsInAnswer = 500;
constexpr milliseconds kTick{5};
constexpr milliseconds kAnswerTime{1};

int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

std::string StepOf(const std::string& task) {
  return task.substr(0, task.rfind('.'));
}

void Record::Line(const std::string& text) {
  const std::lock_guard<std::mutex> lock(mutex_);
  file_ << NowMs() << " " << text << std::endl;
}

Executor* Platform::Add(ExecutorOptions options) {
  auto executor = std::make_unique<Executor>(this, std::move(options));
  const std::lock_guard<std::mutex> lock(mutex);
  executors.push_back(std::move(executor));
  return executors.back().get();
}

void Platform::Fail(const std::string& task) {
  const std::lock_guard<std::mutex> lock(mutex);
  for (const auto& executor : executors) {
    const auto run = executor->running_.find(task);
    if (run != executor->running_.end()) {
      run->second.fails = true;
      run->second.ends = NowMs();
    }
  }
}

void Platform::CheckGang(const std::string& step, uint32_t run, int count) {
  std::vector<Executor::Run*> members;
  for (const auto& executor : executors) {
    for (auto& [task, entry] : executor->running_) {
      if (executor->alive_ && StepOf(task) == step && entry.run == run) {
        members.push_back(&entry);
      }
    }
  }
  if (static_cast<int>(members.size()) < count) {
    return;
  }
  for (Executor::Run* member : members) {
    member->waits_for_gang = false;
    member->ends = NowMs() + behaviour(runs[member->seen].task).work_ms;
    member->next_checkpoint = NowMs() + kCheckpointMs;
  }
}

void Platform::EndGang(const std::string& step,
                       uint32_t run,
                       const std::string& how) {
  for (const auto& executor : executors) {
    std::vector<std::string> tasks;
    for (const auto& [task, entry] : executor->running_) {
      if (executor->alive_ && StepOf(task) == step && entry.run == run) {
        tasks.push_back(task);
      }
    }
    for (const std::string& task : tasks) {
      executor->EndRun(task, how);
    }
  }
}

Executor::Executor(Platform* platform, ExecutorOptions options)
    : platform_(platform),
      options_(std::move(options)),
      born_at_(NowMs()),
      born_(UnixMs()),
      server_([this](const Request& request) { return Handle(request); }) {
  std::thread([this] { Loop(); }).detach();
  std::thread([this] {
    while (true) {
      Heartbeat();
      std::this_thread::sleep_for(milliseconds(kHeartbeatMs));
    }
  }).detach();
}

int64_t Executor::Clock() const {
  return NowMs() - born_at_ + 1000;
}

void Executor::Heartbeat() {
  json entry;
  {
    const std::lock_guard<std::mutex> lock(platform_->mutex);
    if (!alive_) {
      return;
    }
    entry = {
        {"Service", options_.service},
        {"Address", options_.address.empty() ? address() : options_.address},
        {"Zone", "zone-a"},
        {"Version", "v1"},
        {"Slots", 8},
        {"State", draining_ ? "draining" : "ready"},
        {"ColdLeftMs", 0},
        {"Capacity",
         {{"Cpu", options_.cpu}, {"MemMb", options_.mem_mb}, {"Gpu", 0}}},
        {"Labels", {"a", options_.rack}},
        {"Machine", options_.machine},
        {"born", born_},
        {"ClockMs", Clock()},
        {"Sequence", ++sequence_}};
    if (draining_) {
      entry["RemainingMs"] = 5000;
    }
  }
  // An entry does not get through while the store is down.
  if (!platform_->store->IsDown()) {
    platform_->store->Put("servers/" + options_.id, entry);
  }
}

void Executor::Crash() {
  {
    const std::lock_guard<std::mutex> lock(platform_->mutex);
    alive_ = false;
    for (auto& [task, run] : running_) {
      platform_->runs[run.seen].ended = NowMs();
      platform_->runs[run.seen].how = "crashed";
    }
    for (auto& [task, run] : std::map<std::string, Run>(running_)) {
      if (platform_->behaviour(task).gang > 0) {
        platform_->EndGang(StepOf(task), run.run, "broken");
      }
    }
    running_.clear();
  }
  server_.Close();
  platform_->record->Line("executor " + options_.id + " crashed");
  std::thread([this] {
    std::this_thread::sleep_for(milliseconds(3 * kHeartbeatMs));
    platform_->store->Remove("servers/" + options_.id);
  }).detach();
}

void Executor::Drain() {
  {
    const std::lock_guard<std::mutex> lock(platform_->mutex);
    draining_ = true;
  }
  platform_->record->Line("executor " + options_.id + " drains");
  Heartbeat();
}

size_t Executor::CountRunning() {
  const std::lock_guard<std::mutex> lock(platform_->mutex);
  return running_.size();
}

Response Executor::Answer(int status, const char* reason) const {
  Response response;
  response.status = status;
  response.body = {{"ClockMs", Clock()}};
  if (reason != nullptr) {
    response.body["Reason"] = reason;
  }
  return response;
}

Response Executor::Handle(const Request& request) {
  std::this_thread::sleep_for(kAnswerTime);
  std::unique_lock<std::mutex> lock(platform_->mutex);
  if (!alive_) {
    return {0, json(), true};
  }
  if (request.Header("expect-instance") != options_.id) {
    return Answer(421);
  }
  const json body = request.Json();
  const auto fence = body.value("Fence", uint64_t{0});
  if (fence < fence_) {
    return Answer(409, "fence");
  }
  fence_ = fence;
  const std::string path = request.Path();
  if (path == "/-/run-start") {
    return Start(body);
  }
  if (path == "/-/run-stop") {
    return Stop(body);
  }
  if (path == "/-/hold") {
    return Hold(body, lock);
  }
  return Answer(200);
}

void Executor::ExtendLease(const json& body) {
  const auto deadline = body.value("DeadlineMs", int64_t{0});
  lease_ = std::max(lease_, std::min(deadline, Clock() + kLongestLease));
}

Response Executor::Start(const json& body) {
  const auto task = body.at("Task").get<std::string>();
  const auto run = body.at("Run").get<uint32_t>();
  const auto known = running_.find(task);
  if (known != running_.end() && known->second.run == run) {
    ExtendLease(body);
    return Answer(200);
  }
  const auto ended = highest_ended_.find(task);
  if (ended != highest_ended_.end() && run <= ended->second) {
    ExtendLease(body);
    return Answer(409, "old");
  }
  if (body.at("DeadlineMs").get<int64_t>() <= Clock()) {
    return Answer(409, "late");
  }
  ExtendLease(body);
  int64_t used = platform_->cpu_of(task);
  for (const auto& [other, entry] : running_) {
    used += platform_->cpu_of(other);
  }
  if (used > options_.cpu || known != running_.end()) {
    return Answer(409, "room");
  }
  if (platform_->ticket_holds &&
      !platform_->ticket_holds(options_.id,
                               body.value("Ticket", std::string()))) {
    return Answer(409, "ticket");
  }
  const Behaviour behaviour = platform_->behaviour(task);
  const auto checkpoint = body.value("Checkpoint", std::string());
  RunSeen seen;
  seen.task = task;
  seen.run = run;
  seen.executor = options_.id;
  seen.checkpoint = checkpoint;
  seen.began = NowMs();
  Run entry;
  entry.run = run;
  entry.seen = platform_->runs.size();
  entry.ends = NowMs() + (behaviour.gang > 0 ? kGangMs : behaviour.work_ms);
  entry.waits_for_gang = behaviour.gang > 0;
  entry.checkpoint = checkpoint;
  entry.fails = behaviour.fails;
  entry.next_checkpoint = NowMs() + kCheckpointMs;
  platform_->runs.push_back(seen);
  platform_->record->Line("start " + task + " run " + std::to_string(run) +
                          " on " + options_.id + " checkpoint '" + checkpoint +
                          "'");
  running_[task] = entry;
  if (behaviour.gang > 0) {
    platform_->CheckGang(StepOf(task), run, behaviour.gang);
  }
  return Answer(200);
}

Response Executor::Stop(const json& body) {
  const auto task = body.at("Task").get<std::string>();
  const auto run = body.at("Run").get<uint32_t>();
  const auto known = running_.find(task);
  if (known != running_.end() && known->second.run == run) {
    if (!known->second.stopping) {
      known->second.stopping = true;
      known->second.ends = NowMs() + kStopMs;
    }
    return Answer(200);
  }
  uint32_t& highest = highest_ended_[task];
  highest = std::max(highest, run);
  return Answer(200);
}

Response Executor::Hold(const json& body, std::unique_lock<std::mutex>& lock) {
  if (body.contains("DeadlineMs")) {
    ExtendLease(body);
  }
  const auto last_seen = body.value("LastSeen", uint64_t{0});
  while (!ends_.empty() && ends_.front().number <= last_seen) {
    platform_->runs[ends_.front().seen].noted = NowMs();
    platform_->record->Line("noted " + ends_.front().task + " run " +
                            std::to_string(ends_.front().run));
    ends_.erase(ends_.begin());
  }
  const auto wait = milliseconds(body.value("WaitMs", int64_t{0}));
  ended_.wait_for(lock, wait, [this] { return !ends_.empty() || !alive_; });
  if (!alive_) {
    return {0, json(), true};
  }
  Response response = Answer(200);
  json running = json::array();
  for (const auto& [task, entry] : running_) {
    const int percent = entry.waits_for_gang               ? 0
                        : platform_->behaviour(task).lasts ? 100
                                                           : 50;
    running.push_back({task, entry.run, entry.checkpoint, percent, 0});
  }
  json ended = json::array();
  for (const End& end : ends_) {
    if (ended.size() >= kEndsInAnswer) {
      break;
    }
    ended.push_back({end.number, end.task, end.run, end.how, end.saved});
  }
  response.body["born"] = born_;
  response.body["Running"] = std::move(running);
  response.body["Ended"] = std::move(ended);
  return response;
}

void Executor::EndRun(const std::string& task, const std::string& how) {
  const Run entry = running_.at(task);
  running_.erase(task);
  RunSeen& seen = platform_->runs[entry.seen];
  seen.ended = NowMs();
  seen.how = how;
  uint32_t& highest = highest_ended_[task];
  highest = std::max(highest, entry.run);
  const bool saves = platform_->behaviour(task).saves;
  const std::string saved = saves && how != "done"
                                ? options_.id + "-" + std::to_string(NowMs())
                                : std::string();
  ends_.push_back({++last_end_, task, entry.run, how, saved, entry.seen});
  platform_->record->Line("end " + task + " run " + std::to_string(entry.run) +
                          " on " + options_.id + " " + how + " saved '" +
                          saved + "'");
  ended_.notify_all();
}

void Executor::Loop() {
  while (true) {
    std::this_thread::sleep_for(kTick);
    const std::lock_guard<std::mutex> lock(platform_->mutex);
    if (!alive_) {
      return;
    }
    const bool lapsed = !running_.empty() && Clock() > lease_;
    std::vector<std::pair<std::string, std::string>> ending;
    for (auto& [task, entry] : running_) {
      const Behaviour behaviour = platform_->behaviour(task);
      if (behaviour.saves && !entry.waits_for_gang &&
          NowMs() >= entry.next_checkpoint) {
        entry.next_checkpoint += kCheckpointMs;
        entry.checkpoint = options_.id + "-" + std::to_string(NowMs());
      }
      if (lapsed) {
        ending.emplace_back(task, "lapsed");
      } else if (NowMs() >= entry.ends) {
        ending.emplace_back(task, entry.stopping         ? "stopped"
                                  : entry.waits_for_gang ? "alone"
                                  : entry.fails          ? "failed"
                                                         : "done");
      }
    }
    for (const auto& [task, how] : ending) {
      const auto entry = running_.find(task);
      if (entry == running_.end()) {
        continue;
      }
      const uint32_t run = entry->second.run;
      EndRun(task, how);
      if (platform_->behaviour(task).gang > 0) {
        platform_->EndGang(StepOf(task), run,
                           how == "done" ? "done" : "broken");
      }
    }
  }
}

}  // namespace standin
