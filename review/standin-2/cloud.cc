#include "cloud.h"

#include <thread>

namespace standin {
namespace {

constexpr milliseconds kMoveTime{1500};
constexpr milliseconds kUpkeepTime{2000};

}  // namespace

Cloud::Cloud(Platform* platform)
    : platform_(platform),
      server_([this](const Request& request) { return Handle(request); }) {}

void Cloud::SetAnswerTime(milliseconds time) {
  const std::lock_guard<std::mutex> lock(mutex_);
  answer_time_ = time;
}

std::vector<MachineOrder> Cloud::Orders() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return orders_;
}

ExecutorOptions Cloud::NextExecutor(const std::string& machine,
                                    const std::string& pool) {
  ExecutorOptions options;
  options.id = "i-" + std::to_string(++next_id_);
  options.service = pool;
  options.machine = machine;
  return options;
}

void Cloud::Add(const std::string& machine,
                const std::string& pool,
                bool spare) {
  ExecutorOptions options;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    Machine& entry = machines_[machine];
    entry.pool = pool;
    entry.spare = spare;
    spare_pools_[pool] = spare;
    options = NextExecutor(machine, pool);
  }
  Executor* executor = spare ? nullptr : platform_->Add(options);
  const std::lock_guard<std::mutex> lock(mutex_);
  machines_[machine].executor = executor;
}

void Cloud::Show(const std::string& machine,
                 const std::string& pool,
                 const std::string& state,
                 const std::string& id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Machine& entry = machines_[machine];
  entry.pool = pool;
  entry.state = state;
  entry.shown = true;
  entry.shown_id = id;
}

void Cloud::Lose(const std::string& machine) {
  Executor* executor = nullptr;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    executor = machines_.at(machine).executor;
    machines_.erase(machine);
  }
  executor->Crash();
}

Response Cloud::Handle(const Request& request) {
  return request.Path() == "/-/machines" ? List() : Order(request);
}

Response Cloud::List() {
  const std::lock_guard<std::mutex> lock(mutex_);
  json rows = json::array();
  for (const auto& [name, machine] : machines_) {
    rows.push_back(
        {{"Machine", name},
         {"Pool", machine.pool},
         {"State", machine.state},
         {"Zone", "zone-a"},
         {"Labels", {"a", "r1-1"}},
         {"Capacity", {{"Cpu", 64000}, {"MemMb", 262144}}},
         {"Id",
          machine.executor == nullptr ? "" : machine.executor->options().id}});
  }
  return {200, {{"Machines", std::move(rows)}, {"NextToken", nullptr}}, false};
}

void Cloud::Begin(const std::string& name,
                  const std::string& state,
                  const std::string& pool,
                  milliseconds time) {
  Machine& machine = machines_.at(name);
  Executor* const earlier = machine.executor;
  machine.state = state;
  machine.pool = pool;
  machine.spare = spare_pools_[pool];
  machine.executor = nullptr;
  std::thread([this, earlier, name, time] {
    if (earlier != nullptr) {
      earlier->Crash();
    }
    std::this_thread::sleep_for(time);
    ExecutorOptions options;
    bool spare = false;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      spare = machines_.at(name).spare;
      options = NextExecutor(name, machines_.at(name).pool);
    }
    Executor* const next = spare ? nullptr : platform_->Add(options);
    const std::lock_guard<std::mutex> lock(mutex_);
    machines_.at(name).executor = next;
    machines_.at(name).state = "up";
  }).detach();
}

Response Cloud::Order(const Request& request) {
  const json body = request.Json();
  const auto name = body.at("Machine").get<std::string>();
  const bool upkeep = request.Path() == "/-/machine-upkeep";
  Response response;
  milliseconds answer_time;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    answer_time = answer_time_;
    const auto it = machines_.find(name);
    const auto wave = body.value("Wave", uint64_t{0});
    const auto pool = body.value("Pool", std::string());
    if (it == machines_.end()) {
      response.status = 400;
    } else if (upkeep ? it->second.done.count(wave) > 0
                      : it->second.pool == pool) {
      // Already done.
      response.status = 200;
    } else if (it->second.state != "up" || it->second.shown) {
      response = {409, {{"Reason", "busy"}}, false};
    } else if (upkeep) {
      it->second.done[wave] = true;
      Begin(name, "upkeep", it->second.pool, kUpkeepTime);
    } else {
      Begin(name, "moving", pool, kMoveTime);
    }
    MachineOrder order;
    order.at = NowMs();
    order.machine = name;
    order.holder = request.Header("duty-holder");
    order.fence =
        std::strtoull(request.Header("fencing-token").c_str(), nullptr, 10);
    order.what = upkeep ? "upkeep" : "move to " + pool;
    order.status = response.status;
    orders_.push_back(order);
    platform_->record->Line("order " + order.what + " of " + name + " by " +
                            order.holder + " fence " +
                            std::to_string(order.fence) + " answered " +
                            std::to_string(order.status));
  }
  std::this_thread::sleep_for(answer_time);
  return response;
}

}  // namespace standin
