#ifndef STANDINS_FLEET_MODEL_INSTANCES_H_
#define STANDINS_FLEET_MODEL_INSTANCES_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "Adapter/platform_adapter.h"
#include "StandIns/Fleet/model_workers.h"

namespace figflow::model {

// The platform's instances in memory: moves between pools and maintenance.
class ModelInstances {
 public:
  ModelInstances(VirtualTime& time, ModelWorkers& workers, Promises& promises);

  std::unique_ptr<InstanceGateway> ViewOf(NodePtr node);

  // The instance fails and is back after `down`; no effect unless it is up.
  void Crash(const std::string& id, std::chrono::milliseconds down);

  // A new instance; in a spare pool it runs no worker.
  std::string Add(const std::string& pool, const Resources& capacity);
  void SetSparePool(const std::string& pool) { spare_pool_ = pool; }
  void SetWave(const MaintenanceWave& wave);
  const Instance* Find(const std::string& id) const;
  // Instances of the wave whose maintenance has begun.
  int Maintained(uint64_t wave) const;
  int CountIn(const std::string& pool) const;

  // The list of instances gets no answer.
  bool list_away = false;
  // Called once a move has begun; empty for nothing.
  std::function<void()> on_move;

 private:
  friend class InstanceView;

  struct Record {
    Instance instance;
    Resources capacity;
  };

  InstanceAnswer Move(const InstanceOrder& order);
  InstanceAnswer Maintain(const InstanceOrder& order);
  void TakeDown(Record& record,
                InstanceStatus state,
                std::chrono::milliseconds time);

  VirtualTime& time_;
  ModelWorkers& workers_;
  Promises& promises_;
  std::string spare_pool_;
  std::map<std::string, Record> instances_;
  std::map<uint64_t, MaintenanceWave> waves_;
  std::map<uint64_t, std::set<std::string>> maintained_;
  std::map<uint64_t, std::set<std::string>> down_;
  int next_id_ = 1;
};

}  // namespace figflow::model

#endif  // STANDINS_FLEET_MODEL_INSTANCES_H_
