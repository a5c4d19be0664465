#ifndef SCHEDULING_WORKER_GATEWAY_H_
#define SCHEDULING_WORKER_GATEWAY_H_

#include <functional>

#include "Scheduling/orders.h"
#include "Scheduling/placement_tickets.h"

namespace figflow {

// Sends orders to workers. The methods return immediately; `done` is called
// exactly once, from another thread. Error kUnavailable means that the order
// was not sent. Any other error means that no response arrived: the order may
// have been carried out, or may still be carried out seconds later.
class WorkerGateway {
 public:
  virtual ~WorkerGateway() = default;

  using OrderCallback = std::function<void(Result<OrderResponse>)>;
  using HoldCallback = std::function<void(Result<HoldResponse>)>;
  using PolicyCallback = std::function<void(Result<PolicyResponse>)>;

  virtual void Start(const StartOrder& order, OrderCallback done) = 0;
  virtual void Stop(const StopOrder& order, OrderCallback done) = 0;
  virtual void Hold(const HoldOrder& order, HoldCallback done) = 0;
  virtual void Pace(const PaceOrder& order, OrderCallback done) = 0;
  // Queries the placement policy service.
  virtual void Ask(const PolicyQuery& question, PolicyCallback done) = 0;
};

}  // namespace figflow

#endif  // SCHEDULING_WORKER_GATEWAY_H_
