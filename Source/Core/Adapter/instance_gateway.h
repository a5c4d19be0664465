#ifndef ADAPTER_INSTANCE_GATEWAY_H_
#define ADAPTER_INSTANCE_GATEWAY_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "Common/clock.h"
#include "Common/error.h"

namespace figflow {

// Instances that are to be maintained, a few at a time.
struct MaintenanceWave {
  uint64_t number = 0;
  std::vector<std::string> instances;
  // From the moment at which the wave was written.
  std::chrono::milliseconds complete_within{0};
  // Instances that may be down at once.
  int max_down = 1;
};

enum class InstanceStatus { kUp, kMoving, kMaintenance, kDown };

struct Instance {
  std::string id;
  std::string pool;
  InstanceStatus state = InstanceStatus::kDown;
  std::string data_centre;
  std::string rack;
  // The worker that it runs; empty if none.
  std::string worker;
};

// How the platform answered an order for an instance.
enum class InstanceAnswer {
  // Carried out, now or before.
  kDone,
  // A higher fence was seen.
  kFenced,
  // Not up, or leaving; try again later.
  kBusy,
  // Not part of that wave, no such instance or no such pool.
  kRefused,
  // Turned away, nothing was done.
  kTurnedAway,
};

struct InstanceOrder {
  std::string instance;
  // Target pool of a move.
  std::string pool;
  // Wave of a maintenance.
  uint64_t wave = 0;
  std::string holder;
  uint64_t fence = 0;
  // Latest time to send the order: the sender's ownership is not certain after
  // it.
  MonoTime send_by = MonoTime::max();
};

// Moves and maintenance of instances. Calls return at once; an error means that
// no answer came and the order may have been carried out.
class InstanceGateway {
 public:
  virtual ~InstanceGateway() = default;
  virtual void List(
      std::function<void(Result<std::vector<Instance>>)> done) = 0;
  virtual void Move(const InstanceOrder& order,
                    std::function<void(Result<InstanceAnswer>)> done) = 0;
  virtual void Maintain(const InstanceOrder& order,
                        std::function<void(Result<InstanceAnswer>)> done) = 0;
};

}  // namespace figflow

#endif  // ADAPTER_INSTANCE_GATEWAY_H_
