#ifndef REVIEW_STANDIN_2_CLOUD_H_
#define REVIEW_STANDIN_2_CLOUD_H_

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "executor.h"
#include "http.h"

namespace standin {

// An order for a machine, as it arrived.
struct MachineOrder {
  int64_t at = 0;
  std::string machine;
  std::string holder;
  uint64_t fence = 0;
  std::string what;
  int status = 0;
};

// The platform's API for machines. Fences are not checked. Spare pools have
// no executors.
class Cloud {
 public:
  explicit Cloud(Platform* platform);
  std::string address() const { return server_.address(); }

  // Adds a machine in this pool, with an executor unless the pool is spare.
  void Add(const std::string& machine, const std::string& pool, bool spare);
  // Lists a machine whose executor is run elsewhere. It takes no orders.
  void Show(const std::string& machine,
            const std::string& pool,
            const std::string& state,
            const std::string& id);
  // The machine and its executor are lost for good.
  void Lose(const std::string& machine);
  // Time that each answer to an order takes.
  void SetAnswerTime(milliseconds time);
  std::vector<MachineOrder> Orders();

 private:
  struct Machine {
    std::string pool;
    std::string state = "up";
    bool spare = false;
    // Run elsewhere.
    bool shown = false;
    std::string shown_id;
    Executor* executor = nullptr;
    // Waves whose upkeep has begun.
    std::map<uint64_t, bool> done;
  };

  Response Handle(const Request& request);
  Response List();
  Response Order(const Request& request);
  void Begin(const std::string& name,
             const std::string& state,
             const std::string& pool,
             milliseconds time);
  ExecutorOptions NextExecutor(const std::string& machine,
                               const std::string& pool);

  Platform* const platform_;
  std::mutex mutex_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, bool> spare_pools_;
  std::vector<MachineOrder> orders_;
  milliseconds answer_time_{4};
  int next_id_ = 0;
  Server server_;
};

}  // namespace standin

#endif  // REVIEW_STANDIN_2_CLOUD_H_
