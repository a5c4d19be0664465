// Shares of customers: the order of dispatch.
#include <utility>

#include "Scheduling/fair_share.h"
#include "Scheduling/pool_scheduler.h"

namespace figflow {

FairSequence PoolScheduler::SequenceOf(std::vector<WaitingStage> stages) const {
  static const std::vector<CustomerConfig> no_customers;
  FairSequence::Scope scope{
      {}, {}, options_.bounds.fair_shares ? plan_->customers : no_customers};
  if (!scope.customers.empty()) {
    scope.capacity = TotalCapacity();
    scope.occupied = OccupiedByCustomer();
  }
  return FairSequence(std::move(stages), scope);
}

std::map<std::string, Resources> PoolScheduler::OccupiedByCustomer() const {
  std::map<std::string, Resources> occupied = usage_.all();
  Resources rest;
  for (const auto& [key, worker] : workers_) {
    rest += worker->used;
  }
  for (const auto& [customer, amount] : usage_.all()) {
    rest -= amount;
  }
  occupied[""] = rest;
  return occupied;
}

Resources PoolScheduler::TotalCapacity() const {
  Resources total;
  for (const auto& [key, worker] : workers_) {
    if (worker->IsInUse()) {
      total += worker->report.capacity;
    }
  }
  return total;
}

}  // namespace figflow
