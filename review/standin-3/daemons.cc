// Daemons as child processes.
#include <fcntl.h>
#include <signal.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <thread>

#include "world.h"

namespace review {
namespace {

constexpr int kRestartMs = 500;

World* active_world = nullptr;

int64_t ResidentKb(pid_t pid) {
  std::ifstream statm("/proc/" + std::to_string(pid) + "/statm");
  int64_t size = 0;
  int64_t resident = 0;
  statm >> size >> resident;
  return resident * (sysconf(_SC_PAGESIZE) / 1'024);
}

// Ends the daemons if the case itself is ended.
void EndAll(int /*signal*/) {
  for (const Daemon& daemon : active_world->daemons) {
    if (daemon.pid != 0) {
      kill(daemon.pid, SIGKILL);
    }
  }
  _exit(2);
}

}  // namespace

void World::AddDaemon(const std::string& name) {
  Daemon daemon;
  daemon.name = name;
  daemon.front = FreePort();
  daemon.admin = FreePort();
  daemon.peers = FreePort();
  daemon.metrics = FreePort();
  daemon.settings = directory_ + "/" + name + ".json";
  daemon.log = directory_ + "/" + name + ".log";
  const auto address = [](uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
  };
  const uint16_t store_port = store.AddPort(static_cast<int>(daemons.size()));
  const json settings = {
      {"entry", name},
      {"data_centre", "suva-a"},
      {"listen",
       {{"callers", address(daemon.front)},
        {"admin", address(daemon.admin)},
        {"peers", address(daemon.peers)},
        {"metrics", address(daemon.metrics)}}},
      {"peers",
       {{"seeds", json::array()}, {"credential", "not-used-on-this-platform"}}},
      {"admin", {{"credential", "not-used-on-this-platform-either"}}},
      {"platform",
       {{"kind", "fleet"},
        {"address", address(store_port)},
        {"instances_address", address(store_port)},
        {"policy_address", address(store_port)}}},
      {"workers",
       {{"longest_lease_ms", kHoldMaxMs},
        {"stop_ms", kStopMs},
        {"gang_wait_ms", kGangMs},
        {"far_factor", 2},
        {"connections", 5}}},
      {"jobs",
       {{"status_retention_s", 120},
        {"early_start_ms", 250},
        {"unavailable_notice_ms", 4'500},
        {"plan_apply_ms", 2'000},
        {"plan_rollback_slack_ms", 250},
        {"harm_ms", 4'000}}},
      {"customers", {{"submission_burst", 20}}},
      {"instances",
       {{"move_s", 1.5}, {"maintenance_s", 2}, {"holder_interval_ms", 3'000}}},
      {"limits", {{"processor_cores", 0.25}, {"memory_mb", kMemoryMb}}},
      {"stop", {{"grace_s", kGraceMs / 1'000}}},
      {"requests", {{"max_open", 1'500}}}};
  std::ofstream(daemon.settings) << settings.dump(2);
  daemons.push_back(daemon);
}

void World::StartDaemon(Daemon& daemon) {
  const pid_t pid = fork();
  if (pid == 0) {
    const int log =
        open(daemon.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    for (int fd = 3; fd < 4'096; ++fd) {
      close(fd);
    }
    const std::string settings = "--settings=" + daemon.settings;
    execl(program_.c_str(), program_.c_str(), settings.c_str(), nullptr);
    _exit(127);
  }
  daemon.pid = pid;
  Record(daemon.name + " is started, pid " + std::to_string(pid));
}

void World::StartDaemons() {
  active_world = this;
  signal(SIGTERM, &EndAll);
  signal(SIGINT, &EndAll);
  for (Daemon& daemon : daemons) {
    StartDaemon(daemon);
  }
}

void World::Terminate(size_t daemon) {
  std::lock_guard<std::mutex> lock(mutex);
  Record("SIGTERM to " + daemons[daemon].name);
  daemons[daemon].kill_at = NowMs() + kGraceMs;
  kill(daemons[daemon].pid, SIGTERM);
}

int World::LastGiver(const std::string& service) {
  uint64_t fence = 0;
  {
    std::lock_guard<std::mutex> lock(mutex);
    for (const auto& [id, executor] : executors) {
      if (executor->up && executor->service == service) {
        fence = std::max(fence, executor->fence);
      }
    }
  }
  return store.CommitterOf(fence);
}

void World::WatchDaemons() {
  for (Daemon& daemon : daemons) {
    if (daemon.pid == 0) {
      continue;
    }
    int status = 0;
    bool ended = waitpid(daemon.pid, &status, WNOHANG) == daemon.pid;
    if (daemon.kill_at != 0) {
      if (!ended && NowMs() > daemon.kill_at) {
        kill(daemon.pid, SIGKILL);
      }
      if (ended) {
        daemon.kill_at = 0;
        Record(daemon.name + " has stopped");
      }
    } else if (ended) {
      ++daemon.ended_by_itself;
      Record(daemon.name + " ended by itself, status " +
             std::to_string(status));
    } else {
      const int64_t kb = ResidentKb(daemon.pid);
      daemon.peak_kb = std::max(daemon.peak_kb, kb);
      if (enforce_memory && kb > int64_t{kMemoryMb} * 1'024) {
        kill(daemon.pid, SIGKILL);
        waitpid(daemon.pid, &status, 0);
        ++daemon.over_memory;
        ended = true;
        Record(daemon.name + " has " + std::to_string(kb / 1'024) +
               " MB, over MemoryMb 260: the platform kills it");
      }
    }
    if (ended) {
      daemon.pid = 0;
      std::thread([this, &daemon] {
        SleepMs(kRestartMs);
        std::lock_guard<std::mutex> lock(mutex);
        if (!stopped_) {
          StartDaemon(daemon);
        }
      }).detach();
    }
  }
}

void World::Stop() {
  std::lock_guard<std::mutex> lock(mutex);
  if (stopped_) {
    return;
  }
  stopped_ = true;
  for (Daemon& daemon : daemons) {
    if (daemon.pid != 0) {
      kill(daemon.pid, SIGKILL);
      waitpid(daemon.pid, nullptr, 0);
      daemon.pid = 0;
    }
  }
}

}  // namespace review
