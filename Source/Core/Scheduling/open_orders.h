#ifndef SCHEDULING_OPEN_ORDERS_H_
#define SCHEDULING_OPEN_ORDERS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Common/clock.h"
#include "Scheduling/worker.h"

namespace figflow {

// Start orders that got no response. A worker may carry such an order out
// seconds later, and so may its next incarnation: an order names a worker by
// its id alone.
class OpenOrders {
 public:
  struct Order {
    TaskName task;
    uint32_t run = 0;
    MonoTime unanswered_at;
  };

  void Add(const std::string& worker,
           const TaskName& task,
           uint32_t run,
           MonoTime now);
  // Returns the orders to the worker that may still be carried out.
  std::vector<Order> OrdersTo(const std::string& worker, MonoTime now);

 private:
  void RemoveExpired(MonoTime now);

  std::map<std::string, std::vector<Order>> orders_;
};

}  // namespace figflow

#endif  // SCHEDULING_OPEN_ORDERS_H_
