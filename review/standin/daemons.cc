#include "daemons.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>

namespace review {
namespace {

using nlohmann::json;

constexpr int kReadyTries = 200;

}  // namespace

Daemons::Daemons(Store& store,
                 World& world,
                 Record& record,
                 std::string program,
                 std::string directory)
    : store_(store),
      world_(world),
      record_(record),
      program_(std::move(program)),
      directory_(std::move(directory)) {}

Daemons::~Daemons() {
  for (Node& node : nodes_) {
    if (node.pid > 0) {
      kill(node.pid, SIGKILL);
      waitpid(node.pid, nullptr, 0);
    }
  }
}

void Daemons::Start(int count) {
  const auto local = [](int port) {
    return "127.0.0.1:" + std::to_string(port);
  };
  for (int i = 0; i < count; ++i) {
    Node node;
    node.name = "front-" + std::to_string(i + 1);
    node.settings = directory_ + "/" + node.name + ".json";
    node.log = directory_ + "/" + node.name + ".log";
    node.caller_port = FreePort();
    node.admin_port = FreePort();
    const std::string name = node.name;
    const int store = Serve([this, name](const Request& request) {
      if (request.path == "/-/kv-txn") {
        const std::lock_guard<std::mutex> lock(mutex_);
        const json body = json::parse(request.body);
        for (const json& put : body.value("Puts", json::array())) {
          writers_[put.at("Key").get<std::string>()] = name;
        }
      }
      return store_.Handle(request);
    });
    const int machines = Serve([this, name](const Request& request) {
      return world_.Machines(request, name);
    });
    const int advice = Serve(
        [this](const Request& request) { return world_.Advise(request); });
    const json settings = {
        {"entry", node.name},
        {"data_centre", "z-a"},
        {"listen",
         {{"callers", local(node.caller_port)},
          {"admin", local(node.admin_port)},
          {"peers", local(FreePort())},
          {"metrics", local(FreePort())}}},
        {"peers",
         {{"seeds", json::array()},
          {"credential", "not-used-on-this-platform"}}},
        {"admin", {{"credential", "not-used-on-this-platform-either"}}},
        {"platform",
         {{"kind", "fleet"},
          {"address", local(store)},
          {"instances_address", local(machines)},
          {"policy_address", local(advice)}}},
        {"workers",
         {{"longest_lease_ms", kHoldMaxMs},
          {"stop_ms", kStopMs},
          {"gang_wait_ms", kGangMs},
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
    std::ofstream(node.settings) << settings.dump(2) << "\n";
    Launch(node);
    nodes_.push_back(node);
  }
  for (const Node& node : nodes_) {
    for (int i = 0; i < kReadyTries; ++i) {
      if (Call(node.admin_port, "GET", "/-/ready", {}, "", 500).status == 200) {
        break;
      }
      SleepMs(25);
    }
  }
}

void Daemons::Launch(Node& node) {
  const std::string flag = "--settings=" + node.settings;
  const int log =
      open(node.log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  node.pid = fork();
  if (node.pid == 0) {
    // The daemon ends with the stand-ins.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(log, 1);
    dup2(log, 2);
    execl(program_.c_str(), program_.c_str(), flag.c_str(), nullptr);
    _exit(127);
  }
  close(log);
  record_.Line("daemon " + node.name + " starts");
}

void Daemons::Signal(int daemon, int signal) {
  record_.Line("daemon " + nodes_[daemon].name + " gets " +
               (signal == SIGKILL   ? "SIGKILL"
                : signal == SIGTERM ? "SIGTERM"
                                    : "signal " + std::to_string(signal)));
  kill(nodes_[daemon].pid, signal);
}

bool Daemons::Ended(int daemon) {
  Node& node = nodes_[daemon];
  if (node.pid > 0 && waitpid(node.pid, nullptr, WNOHANG) == node.pid) {
    node.pid = 0;
  }
  return node.pid == 0;
}

void Daemons::Restart(int daemon) {
  Node& node = nodes_[daemon];
  if (node.pid > 0) {
    waitpid(node.pid, nullptr, 0);
  }
  Launch(node);
}

int Daemons::Index(const std::string& name) const {
  for (int i = 0; i < count(); ++i) {
    if (nodes_[i].name == name) {
      return i;
    }
  }
  return -1;
}

std::string Daemons::WriterOf(const std::string& scope) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto writer = writers_.find("figflow/sequence/" + scope);
  return writer == writers_.end() ? "" : writer->second;
}

}  // namespace review
