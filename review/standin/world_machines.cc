// The API for machines, the advice service, and what the cases ask for.
#include "world.h"

namespace review {
namespace {

using nlohmann::json;

constexpr int64_t kTicketMs = 3000;

}  // namespace

Response World::Machines(const Request& request, const std::string& daemon) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (request.path == "/-/machines") {
    last_reader_ = daemon;
    json rows = json::array();
    for (const auto& [name, machine] : machines_) {
      json row = {
          {"Machine", name},
          {"Pool", machine.pool},
          {"State", machine.state},
          {"Zone", "z-a"},
          {"Labels", {"a", "r1-1"}},
          {"Capacity", {{"Cpu", machine.cpu}, {"MemMb", 65536}, {"Gpu", 0}}}};
      if (!machine.executor.empty()) {
        row["Id"] = machine.executor;
      }
      rows.push_back(row);
    }
    return {200, json({{"Machines", rows}, {"NextToken", nullptr}}).dump()};
  }
  const json body = json::parse(request.body);
  const std::string name = body.at("Machine");
  const bool moves = request.path == "/-/machine-move";
  const std::string what = moves
                               ? "move to " + body.at("Pool").get<std::string>()
                               : "upkeep of wave " + body.at("Wave").dump();
  Machine& machine = machines_.at(name);
  int status = 200;
  if (machine.done != what) {
    if (machine.state != "up") {
      status = 409;
    } else {
      machine.done = what;
      machine.state = moves ? "moving" : "upkeep";
      machine.back_at = NowMs() + (moves ? kMoveMs : kUpkeepMs);
      if (!machine.executor.empty()) {
        Leave(machine.executor);
        store_.Remove("servers/" + machine.executor);
      }
      machine.executor.clear();
      if (moves) {
        machine.pool = body.at("Pool");
      }
    }
  }
  const std::string holder = request.headers.at("duty-holder");
  orders_.push_back({name, holder, what, NowMs(), status});
  record_.Line("order for machine " + name + ": " + what + ", holder " +
               holder + ", token " + request.headers.at("fencing-token") +
               ": " + std::to_string(status));
  return {status, status == 200 ? "{}" : R"({"Reason":"busy"})"};
}

Response World::Advise(const Request& request) {
  const json body = json::parse(request.body);
  json good = json::array();
  for (const json& worker : body.at("Workers")) {
    good.push_back({worker, "ticket-" + worker.get<std::string>()});
  }
  return {200, json({{"Good", good}, {"ValidMs", kTicketMs}}).dump()};
}

std::vector<Start> World::Starts() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return starts_;
}

std::vector<InstanceOrder> World::Orders() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return orders_;
}

std::string World::LastReader() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return last_reader_;
}

int World::Rejected() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return rejected_;
}

int World::Running(const std::string& job) {
  const std::lock_guard<std::mutex> lock(mutex_);
  int count = 0;
  for (const auto& [id, executor] : executors_) {
    for (const auto& [task, run] : executor->running) {
      count += task.compare(0, job.size() + 1, job + ".") == 0 ? 1 : 0;
    }
  }
  return count;
}

}  // namespace review
