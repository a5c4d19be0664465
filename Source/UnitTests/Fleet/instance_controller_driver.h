#ifndef UNITTESTS_FLEET_INSTANCE_CONTROLLER_DRIVER_H_
#define UNITTESTS_FLEET_INSTANCE_CONTROLLER_DRIVER_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Common/metrics.h"
#include "Instances/instance_controller.h"
#include "Ownership/owner_record.h"
#include "StandIns/Fleet/model_platform.h"

namespace figflow::test {

// A gateway that delays moves.
class SlowMoves : public InstanceGateway {
 public:
  SlowMoves(InstanceGateway& gateway,
            model::VirtualTime& time,
            std::chrono::milliseconds delay)
      : gateway_(gateway), time_(time), delay_(delay) {}

  void List(std::function<void(Result<std::vector<Instance>>)> done) override {
    gateway_.List(std::move(done));
  }
  void Move(const InstanceOrder& order,
            std::function<void(Result<InstanceAnswer>)> done) override {
    ++moves;
    send_by = order.send_by;
    time_.After(delay_, [this, order, done] { gateway_.Move(order, done); });
  }
  void Maintain(const InstanceOrder& order,
                std::function<void(Result<InstanceAnswer>)> done) override {
    gateway_.Maintain(order, std::move(done));
  }

  int moves = 0;
  // Of the latest move.
  MonoTime send_by;

 private:
  InstanceGateway& gateway_;
  model::VirtualTime& time_;
  const std::chrono::milliseconds delay_;
};

// The platform of the model, with delayed moves.
class SlowPlatform : public PlatformAdapter {
 public:
  SlowPlatform(PlatformAdapter& platform,
               model::VirtualTime& time,
               std::chrono::milliseconds delay)
      : platform_(platform), slow(platform.instances(), time, delay) {}

  TransactionalStore& store() override { return platform_.store(); }
  WorkerGateway& workers() override { return platform_.workers(); }
  InstanceGateway& instances() override { return slow; }
  std::string operator_prefix() const override {
    return platform_.operator_prefix();
  }
  bool IsPlanKey(absl::string_view key) const override {
    return platform_.IsPlanKey(key);
  }
  Result<FleetPlan> ParsePlan(absl::string_view bytes) const override {
    return platform_.ParsePlan(bytes);
  }
  bool IsWaveKey(absl::string_view key) const override {
    return platform_.IsWaveKey(key);
  }
  Result<MaintenanceWave> ParseWave(absl::string_view key,
                                    absl::string_view bytes) const override {
    return platform_.ParseWave(key, bytes);
  }
  std::string WaveStatusKey(uint64_t wave) const override {
    return platform_.WaveStatusKey(wave);
  }
  std::string FormatWaveStatus(uint64_t wave, bool completed) const override {
    return platform_.FormatWaveStatus(wave, completed);
  }
  std::string worker_prefix() const override {
    return platform_.worker_prefix();
  }
  std::string WorkerIdOf(absl::string_view key) const override {
    return platform_.WorkerIdOf(key);
  }
  Result<WorkerReport> ParseWorker(absl::string_view key,
                                   absl::string_view bytes) const override {
    return platform_.ParseWorker(key, bytes);
  }
  Result<CallerCall> ParseCall(const HttpRequest& request,
                               const FleetPlan& plan) const override {
    return platform_.ParseCall(request, plan);
  }
  HttpResponse FormatReply(const CallerReply& reply) const override {
    return platform_.FormatReply(reply);
  }
  HttpResponse AnswerProbe(const HttpRequest& request,
                           bool ready) const override {
    return platform_.AnswerProbe(request, ready);
  }

 private:
  PlatformAdapter& platform_;

 public:
  SlowMoves slow;
};

inline constexpr int64_t kPresentIncarnation = 2;

// Runs a controller beside pools whose reports the test writes.
struct ControllerDriver {
  explicit ControllerDriver(
      std::chrono::milliseconds move_delay = std::chrono::milliseconds(0))
      : node(std::make_shared<model::ModelNode>()),
        store(time, 1),
        workers(time, store, promises, 1),
        instances(time, workers, promises),
        model_platform(
            model::MakeModelPlatform(store, workers, instances, node)),
        platform(*model_platform, time, move_delay) {
    store.Put(OwnerKey(kInstancesScope), "owner");
  }

  void Start(const std::vector<std::string>& pools) {
    InstanceControllerOptions options;
    options.holder = "d0";
    options.nonce = "d0-1";
    options.fence = store.Find(OwnerKey(kInstancesScope))->revision;
    controller = std::make_shared<InstanceController>(
        platform, time, metrics, options,
        [this](const std::string& pool, const WorkerOrders& orders,
               const std::function<void(Result<PoolReport>)>& done) {
          if (pools_without_owner.count(pool) > 0) {
            done(Fail(ErrorCode::kUnavailable, "pool.ask", pool, "no owner"));
            return;
          }
          evacuate = orders.evacuate;
          ended.insert(orders.ended.begin(), orders.ended.end());
          for (WorkerLoad& load : reports[pool].workers) {
            load.evacuating = orders.evacuate.count(load.worker) > 0;
          }
          reports[pool].pool = pool;
          done(reports[pool]);
        },
        [] {});
    auto plan = std::make_shared<FleetPlan>();
    for (const std::string& pool : pools) {
      PoolConfig config;
      config.name = pool;
      plan->pools.push_back(config);
    }
    controller->SetPlan(plan);
    lease_valid_until = time.Now() + std::chrono::seconds(60);
    controller->SetLeaseValidUntil(lease_valid_until);
    controller->Start();
  }

  void RunFor(std::chrono::milliseconds duration) {
    for (std::chrono::milliseconds passed{0}; passed < duration;
         passed += std::chrono::milliseconds(5)) {
      time.RunFor(std::chrono::milliseconds(5));
      controller->Step(time.Now());
    }
  }

  // Adds wave 1 with this instance.
  MaintenanceWave AddWave(const std::string& instance) {
    MaintenanceWave wave;
    wave.number = 1;
    wave.instances = {instance};
    wave.complete_within = std::chrono::seconds(30);
    instances.SetWave(wave);
    return wave;
  }

  WorkerLoad LoadOn(const std::string& instance) const {
    WorkerLoad load;
    load.worker = instances.Find(instance)->worker;
    load.incarnation = kPresentIncarnation;
    load.instance = instance;
    load.capacity_millicores = 1'000;
    load.usable = true;
    return load;
  }

  model::VirtualTime time;
  model::NodePtr node;
  model::ModelStore store;
  model::Promises promises;
  model::ModelWorkers workers;
  model::ModelInstances instances;
  std::unique_ptr<PlatformAdapter> model_platform;
  SlowPlatform platform;
  MetricsRegistry metrics;
  std::map<std::string, PoolReport> reports;
  // Pools without an owner.
  std::set<std::string> pools_without_owner;
  std::set<std::string> evacuate;
  // Workers that were ever reported as ended.
  std::set<WorkerKey> ended;
  std::shared_ptr<InstanceController> controller;
  MonoTime lease_valid_until;
};

}  // namespace figflow::test

#endif  // UNITTESTS_FLEET_INSTANCE_CONTROLLER_DRIVER_H_
