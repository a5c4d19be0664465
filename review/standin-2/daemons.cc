#include "daemons.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <thread>

namespace standin {
namespace {

std::string FreeAddress() {
  return "127.0.0.1:" + std::to_string(FreePort());
}

}  // namespace

bool WithTrouble() {
  const char* value = getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

Daemons::Daemons(const std::string& program,
                 Record* record,
                 DaemonAddresses platform)
    : program_(program),
      record_(record),
      platform_(std::move(platform)),
      policy_(platform_.instances) {
  char folder[] = "/tmp/figflow-review-XXXXXX";
  folder_ = mkdtemp(folder);
}

std::string Daemons::Name(int daemon) const {
  return "entry-" + std::to_string(daemon);
}

std::string Daemons::CallerAddress(int daemon) const {
  return list_[daemon].callers;
}

int Daemons::Start() {
  const int number = count();
  Daemon daemon;
  daemon.callers = FreeAddress();
  daemon.admin = FreeAddress();
  daemon.settings = folder_ + "/" + Name(number) + ".json";
  const json settings = {
      {"entry", Name(number)},
      {"data_centre", "zone-a"},
      {"listen",
       {{"callers", daemon.callers},
        {"admin", daemon.admin},
        {"peers", FreeAddress()},
        {"metrics", FreeAddress()}}},
      {"peers",
       {{"seeds", json::array()}, {"credential", "not-used-on-this-platform"}}},
      {"admin", {{"credential", "not-used-on-this-platform-either"}}},
      {"platform",
       {{"kind", "fleet"},
        {"address", platform_.store},
        {"instances_address", platform_.instances},
        {"policy_address", policy_}}},
      {"workers",
       {{"longest_lease_ms", 6000},
        {"stop_ms", 400},
        {"gang_wait_ms", 3000},
        {"far_factor", 2},
        {"connections", 5}}},
      {"jobs",
       {{"status_retention_s", 120},
        {"early_start_ms", 250},
        {"unavailable_notice_ms", 4500},
        {"plan_apply_ms", 2000},
        {"plan_rollback_slack_ms", 250},
        {"harm_ms", 4000}}},
      {"instances",
       {{"move_s", 1.5}, {"maintenance_s", 2}, {"holder_interval_ms", 3000}}},
      {"limits", {{"processor_cores", 0.25}}},
      {"stop", {{"grace_s", 6}}},
      {"requests", {{"max_open", 1500}}}};
  std::ofstream(daemon.settings) << settings.dump(2);
  list_.push_back(daemon);
  Run(&list_.back(), number);
  return number;
}

void Daemons::Run(Daemon* daemon, int number) {
  const std::string option = "--settings=" + daemon->settings;
  const std::string log = folder_ + "/" + Name(number) + ".log";
  const pid_t parent = getpid();
  daemon->pid = fork();
  if (daemon->pid == 0) {
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(fd, 1);
    dup2(fd, 2);
    // No daemon outlives this program.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(127);
    }
    execl(program_.c_str(), program_.c_str(), option.c_str(), nullptr);
    _exit(127);
  }
  record_->Line("started " + Name(number));
}

void Daemons::Restart(int daemon) {
  Run(&list_[daemon], daemon);
}

void Daemons::Signal(int daemon, int signal) {
  if (list_[daemon].pid > 0) {
    kill(list_[daemon].pid, signal);
    record_->Line("signal " + std::to_string(signal) + " to " + Name(daemon));
  }
}

bool Daemons::Ended(int daemon) {
  pid_t& pid = list_[daemon].pid;
  int status = 0;
  if (pid > 0 && waitpid(pid, &status, WNOHANG) == pid) {
    pid = 0;
    record_->Line(Name(daemon) + " ended with status " +
                  std::to_string(status));
  }
  return pid == 0;
}

void Daemons::End() {
  for (Daemon& daemon : list_) {
    if (daemon.pid > 0) {
      kill(daemon.pid, SIGKILL);
      waitpid(daemon.pid, nullptr, 0);
    }
  }
  const char* keep = getenv("KEEP_LOGS");
  if (keep != nullptr) {
    record_->Line("logs in " + folder_);
    return;
  }
  for (int i = 0; i < count(); ++i) {
    unlink(list_[i].settings.c_str());
    unlink((folder_ + "/" + Name(i) + ".log").c_str());
  }
  rmdir(folder_.c_str());
}

bool Daemons::WaitReady(milliseconds limit) {
  const int64_t until = NowMs() + limit.count();
  for (const Daemon& daemon : list_) {
    while (Call(daemon.admin, "GET", "/-/ready", "x", "", milliseconds(500))
               .status != 200) {
      if (NowMs() > until) {
        return false;
      }
      std::this_thread::sleep_for(milliseconds(50));
    }
  }
  return true;
}

}  // namespace standin
